//! Recovery of a state from the newest valid snapshot and the records that follow it.
//!
//! The log writes one record at a time, so a crash can tear only the tail of the newest segment. Damage anywhere else is
//! an error, because acknowledged records would be lost.

use crate::disk::Disk;
use crate::error::{DiskContext, OpenError};
use crate::file_names::{self, list_segments, list_snapshots};
use crate::record::{self, RecordReader};
use crate::segment::SegmentHead;
use crate::state::{Identity, ReplayableState, Replayed};
use prost::Message;

/// An incomplete record that a crash left at the end of a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// Name of the segment.
    pub file: String,
    /// Length of the torn tail in bytes.
    pub len: u64,
}

/// How a state was recovered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// Position of the snapshot that was restored; 0 if none was.
    pub snapshot_position: u64,
    /// Damaged snapshots that were skipped: the name of each and what is wrong with it.
    pub damaged_snapshots: Vec<String>,
    /// Number of changes that were replayed after the snapshot.
    pub replayed_changes: u64,
    /// A torn tail, which opening the log truncates.
    pub torn_tail: Option<TornTail>,
}

/// A state that was recovered from a folder.
pub struct RecoveredState<S> {
    /// The state.
    pub state: S,
    /// Which log it belongs to.
    pub identity: Identity,
    /// How it was recovered.
    pub report: RecoveryReport,
}

/// Recovers the state of a folder without changing the folder.
///
/// Replays no record that starts at `end_position` or later; `u64::MAX` replays all records.
///
/// # Errors
///
/// The disk failed, or a file is damaged in another place than the torn tail of the newest segment.
pub fn recover<D: Disk, S: ReplayableState>(
    disk: &D,
    settings: &S::Settings,
    end_position: u64,
) -> Result<RecoveredState<S>, OpenError> {
    let mut recovery = Recovery {
        disk,
        end_position,
        recovered: RecoveredState {
            state: S::new(settings),
            identity: Identity::default(),
            report: RecoveryReport::default(),
        },
    };
    recovery.restore_newest_snapshot(settings)?;
    recovery.replay_segments()?;
    Ok(recovery.recovered)
}

/// A recovery in progress.
struct Recovery<'a, D, S> {
    disk: &'a D,
    end_position: u64,
    recovered: RecoveredState<S>,
}

impl<D: Disk, S: ReplayableState> Recovery<'_, D, S> {
    fn restore_newest_snapshot(&mut self, settings: &S::Settings) -> Result<(), OpenError> {
        let names = list_snapshots(self.disk).during("listing the folder")?;
        for name in names.iter().rev() {
            let is_too_new = file_names::snapshot_position(name)
                .is_none_or(|position| position > self.end_position);
            if is_too_new {
                continue;
            }
            let bytes = self.disk.read(name).during(name.as_str())?;
            match S::restore(&bytes, settings) {
                Ok((state, identity)) => {
                    self.recovered.report.snapshot_position = state.position();
                    self.recovered.state = state;
                    self.recovered.identity = identity;
                    return Ok(());
                }
                Err(damage) => {
                    let damaged = format!("{name}: {damage}");
                    self.recovered.report.damaged_snapshots.push(damaged);
                }
            }
        }
        Ok(())
    }

    fn replay_segments(&mut self) -> Result<(), OpenError> {
        let names = list_segments(self.disk).during("listing the folder")?;
        for (index, name) in names.iter().enumerate() {
            let next_name = names.get(index + 1);
            // The epoch comes from the file name because a segment that the snapshot covers is not read.
            let epoch = file_names::segment_epoch(name).unwrap_or(0);
            self.raise_epoch(epoch);
            if self.is_covered_by_snapshot(next_name) {
                continue;
            }
            if self.is_complete() {
                break;
            }
            self.replay_segment_file(name, next_name.is_none())?;
        }
        Ok(())
    }

    /// Whether the snapshot contains all records of a segment, given the name of the next segment.
    fn is_covered_by_snapshot(&self, next_name: Option<&String>) -> bool {
        let next_position = next_name.and_then(|next| file_names::segment_position(next));
        next_position.is_some_and(|next| next <= self.recovered.report.snapshot_position)
    }

    fn is_complete(&self) -> bool {
        self.recovered.state.position() >= self.end_position
    }

    fn raise_epoch(&mut self, epoch: u64) {
        let identity = &mut self.recovered.identity;
        identity.epoch = identity.epoch.max(epoch);
    }

    /// Replays the file of a segment; only the newest segment may have a torn tail.
    fn replay_segment_file(&mut self, name: &str, is_newest: bool) -> Result<(), OpenError> {
        let bytes = self.disk.read(name).during(name)?;
        let valid_len = self.replay_segment(&bytes, name)?;
        // A segment without a valid head was torn while it was created.
        let is_intact = valid_len == bytes.len() && valid_len > 0;
        if is_intact || self.is_complete() {
            return Ok(());
        }
        if !is_newest || record::has_valid_record_from(&bytes, valid_len + 1) {
            let expected = "a sound record, as others follow";
            return Err(OpenError::damage(name, valid_len, expected));
        }
        self.recovered.report.torn_tail = Some(TornTail {
            file: name.to_owned(),
            len: (bytes.len() - valid_len) as u64,
        });
        Ok(())
    }

    /// Applies the records of a segment and returns the length in bytes of its valid part.
    fn replay_segment(&mut self, bytes: &[u8], name: &str) -> Result<usize, OpenError> {
        let mut records = RecordReader::new(bytes);
        let Some(head) = records.next() else {
            return Ok(0);
        };
        let head = SegmentHead::decode(head.body)
            .map_err(|_| OpenError::damage(name, 0, "the head of a segment"))?;
        self.check_head(&head, name)?;
        self.recovered.identity.incarnation = head.incarnation;
        self.raise_epoch(head.epoch);
        while !self.is_complete() {
            let Some(record) = records.next() else {
                break;
            };
            self.replay_record(record, name)?;
        }
        Ok(records.offset())
    }

    fn check_head(&self, head: &SegmentHead, name: &str) -> Result<(), OpenError> {
        if head.version != S::VERSION {
            let expected = format!("version {}, found {}", S::VERSION, head.version);
            return Err(OpenError::damage(name, 0, expected));
        }
        let incarnation = self.recovered.identity.incarnation;
        if incarnation != 0 && head.incarnation != incarnation {
            let expected = format!("incarnation {incarnation:x}, found {:x}", head.incarnation);
            return Err(OpenError::damage(name, 0, expected));
        }
        if head.position > self.recovered.state.position() {
            return Err(self.gap_error(name, 0, head.position));
        }
        Ok(())
    }

    fn replay_record(&mut self, record: record::Record<'_>, name: &str) -> Result<(), OpenError> {
        match self.recovered.state.replay(record.body) {
            Ok(Replayed::Changes(count)) => {
                self.recovered.report.replayed_changes += count;
                Ok(())
            }
            Ok(Replayed::AlreadyApplied) => Ok(()),
            Ok(Replayed::Gap { record_position }) => {
                Err(self.gap_error(name, record.offset, record_position))
            }
            Err(_) => {
                let expected = format!("a record of {}", S::RECORD_CONTENT);
                Err(OpenError::damage(name, record.offset, expected))
            }
        }
    }

    /// Creates the error for changes that are missing between the state and a position.
    fn gap_error(&self, name: &str, offset: usize, found_position: u64) -> OpenError {
        let position = self.recovered.state.position();
        let content = S::RECORD_CONTENT;
        let expected = format!("{content} from {position} on, found {found_position}");
        OpenError::damage(name, offset, expected)
    }
}

#[cfg(test)]
mod tests;
