//! The log that records are appended to.
//!
//! A caller may acknowledge a record once the record has the durability that the caller promises: after [`Log::append`]
//! it survives a crash of the process, after [`Log::sync`] also a crash of the machine.

use crate::disk::Disk;
use crate::error::{AppendError, DiskContext, OpenError};
use crate::file_names;
use crate::recovery::{self, RecoveredState, RecoveryReport, TornTail};
use crate::segment::{self, OpenSegment, SegmentHead};
use crate::state::{Identity, ReplayableState};
use std::io;

/// A log that is open for appending.
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
    /// Recovers the state of a folder, truncates a torn tail and starts a new segment in a new epoch. An empty folder gets
    /// `new_incarnation`.
    ///
    /// # Errors
    ///
    /// The disk failed, or a file is damaged in another place than the torn tail. Damage leaves all files unchanged.
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
            truncate_torn_tail(&disk, tail)?;
        }
        identity.epoch += 1;
        if identity.incarnation == 0 {
            identity.incarnation = new_incarnation;
        }
        let log = Log::with_new_segment(disk, identity, S::VERSION, state.position())?;
        Ok(OpenedLog { log, state, report })
    }

    fn with_new_segment(
        disk: D,
        identity: Identity,
        version: u32,
        position: u64,
    ) -> Result<Log<D>, OpenError> {
        let name = file_names::segment(position, identity.epoch);
        let operation = format!("creating {name}");
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

    /// The incarnation and epoch of this log.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Whether an error closed the log, which then accepts no further records.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Appends an encoded record. After a failed write the segment is truncated to its previous length; if that fails too,
    /// the log closes.
    pub fn append(&mut self, record: &[u8]) -> Result<(), AppendError> {
        if self.is_closed {
            return Err(AppendError::Closed);
        }
        let Err(error) = self.disk.append(&mut self.segment.file, record) else {
            self.segment.len += record.len() as u64;
            return Ok(());
        };
        let truncated = self.disk.truncate(&self.segment.name, self.segment.len);
        if truncated.is_ok() {
            return Err(AppendError::NotWritten(error));
        }
        self.is_closed = true;
        Err(AppendError::OutcomeUnknown(error))
    }

    /// Makes the appended records durable. An error closes the log: it is then unknown which bytes are durable, and a later
    /// sync may succeed although the earlier bytes are lost.
    pub fn sync(&mut self) -> Result<(), AppendError> {
        if self.is_closed {
            return Err(AppendError::Closed);
        }
        self.sync_segment().map_err(AppendError::OutcomeUnknown)
    }

    /// Starts a new segment at a position, so that a snapshot at that position supersedes the older segments. If the new
    /// segment cannot be created, it is removed and the current one stays in use; if that fails too, the log closes.
    pub fn roll(&mut self, position: u64) -> io::Result<()> {
        let name = file_names::segment(position, self.identity.epoch);
        // Nothing was appended to the current segment if it already has this name.
        if self.is_closed || name == self.segment.name {
            return Ok(());
        }
        self.sync_segment()?;
        let head = SegmentHead::new(self.version, self.identity, position);
        let created = segment::create(&self.disk, name.clone(), &head);
        if created.is_err() {
            // Recovery permits a torn tail in the newest segment only, so no newer segment may exist while this one grows.
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

/// Truncates a torn tail, or removes the file if all of it is torn.
fn truncate_torn_tail<D: Disk>(disk: &D, tail: &TornTail) -> Result<(), OpenError> {
    let name = &tail.file;
    let file_len = disk.read(name).during(name.as_str())?.len() as u64;
    if tail.len == file_len {
        return disk.remove(name).during(format!("removing {name}"));
    }
    disk.truncate(name, file_len - tail.len)
        .during(format!("truncating {name}"))
}

#[cfg(test)]
mod tests;
