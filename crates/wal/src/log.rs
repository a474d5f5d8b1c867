//! The log that records are appended to.
//!
//! A record may be acknowledged only once it is as durable as was promised: after [`Log::append`], or after [`Log::sync`].

use crate::disk::Disk;
use crate::error::{AppendError, DiskContext, OpenError};
use crate::file_names;
use crate::recovery::{self, RecoveredState, RecoveryReport, TornTail};
use crate::segment::{self, OpenSegment, SegmentHead};
use crate::state::{Identity, ReplayableState};
use std::io;

/// An open log.
pub struct Log<D: Disk> {
    disk: D,
    segment: OpenSegment<D::File>,
    version: u32,
    is_closed: bool,
    identity: Identity,
}

/// An open log with the state that was recovered from it.
pub struct OpenedLog<D: Disk, S> {
    /// The log, ready for the next record.
    pub log: Log<D>,
    /// The recovered state.
    pub state: S,
    /// How the state was recovered.
    pub report: RecoveryReport,
}

impl<D: Disk> Log<D> {
    /// Recovers the state of a folder, cuts off a torn end and begins a new segment in a new epoch. A folder that contains
    /// nothing gets `new_incarnation`.
    ///
    /// # Errors
    ///
    /// The disk failed, or a file is damaged before the torn end; then nothing has been changed.
    pub fn open<S: ReplayableState>(
        disk: D,
        settings: &S::Settings,
        new_incarnation: u64,
    ) -> Result<OpenedLog<D, S>, OpenError> {
        let RecoveredState {
            state,
            mut identity,
            report,
        } = recovery::recover::<D, S>(&disk, settings, u64::MAX)?;
        if let Some(tail) = &report.torn_tail {
            cut_off(&disk, tail)?;
        }
        identity.epoch += 1;
        if identity.incarnation == 0 {
            identity.incarnation = new_incarnation;
        }
        let log = Log::begin(disk, identity, S::VERSION, state.position())?;
        Ok(OpenedLog { log, state, report })
    }

    fn begin(
        disk: D,
        identity: Identity,
        version: u32,
        position: u64,
    ) -> Result<Log<D>, OpenError> {
        let name = file_names::segment(position, identity.epoch);
        let operation = format!("beginning {name}");
        let head = SegmentHead::new(version, identity, position);
        let segment = segment::create(&disk, name, &head).during(operation)?;
        Ok(Log {
            disk,
            segment,
            version,
            is_closed: false,
            identity,
        })
    }

    /// Which log this is.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Whether an error closed the log, which then accepts no further records.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Appends an encoded record. What a failed write left is cut off again; the log closes if that fails too.
    pub fn append(&mut self, record: &[u8]) -> Result<(), AppendError> {
        if self.is_closed {
            return Err(AppendError::Closed);
        }
        let Err(error) = self.disk.append(&mut self.segment.file, record) else {
            self.segment.len += record.len() as u64;
            return Ok(());
        };
        let restored = self.disk.truncate(&self.segment.name, self.segment.len);
        if restored.is_ok() {
            return Err(AppendError::NotWritten(error));
        }
        self.is_closed = true;
        Err(AppendError::OutcomeUnknown(error))
    }

    /// Makes what was appended durable. An error closes the log: the state of the bytes is unknown then, and a second sync
    /// that succeeds would not prove anything about them.
    pub fn sync(&mut self) -> Result<(), AppendError> {
        if self.is_closed {
            return Err(AppendError::Closed);
        }
        self.sync_segment().map_err(AppendError::OutcomeUnknown)
    }

    /// Begins a new segment at a position, so that a snapshot there can replace the older segments. After an error in
    /// creating it the present segment stays in use.
    pub fn roll(&mut self, position: u64) -> io::Result<()> {
        let name = file_names::segment(position, self.identity.epoch);
        // The name is that of the present segment if nothing was appended to it.
        if self.is_closed || name == self.segment.name {
            return Ok(());
        }
        self.sync_segment()?;
        let head = SegmentHead::new(self.version, self.identity, position);
        let created = segment::create(&self.disk, name.clone(), &head);
        if created.is_err() {
            // An empty segment must not follow one that still grows.
            self.is_closed = self.disk.remove(&name).is_err();
        }
        self.segment = created?;
        Ok(())
    }

    fn sync_segment(&mut self) -> io::Result<()> {
        let synced = self.disk.sync(&mut self.segment.file);
        self.is_closed = synced.is_err();
        synced
    }
}

/// Removes a torn end, and the whole file if there is nothing else in it.
fn cut_off<D: Disk>(disk: &D, tail: &TornTail) -> Result<(), OpenError> {
    let name = &tail.file;
    let file_len = disk.read(name).during(name.as_str())?.len() as u64;
    if tail.len == file_len {
        return disk.remove(name).during(format!("removing {name}"));
    }
    disk.truncate(name, file_len - tail.len)
        .during(format!("cutting {name}"))
}

#[cfg(test)]
mod tests;
