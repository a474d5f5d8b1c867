//! Errors of opening a log and of appending to it.

use std::io;

/// Why a log could not be opened.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum OpenError {
    /// An operation of the disk failed.
    #[error("{operation}: {error}")]
    #[diagnostic(
        code(chalkdeck::wal::disk),
        help("see the folder's rights and room, and whether another process holds it")
    )]
    Disk {
        /// The operation, with the file's name.
        operation: String,
        /// The error that the disk returned.
        error: io::Error,
    },
    /// Recorded data is unreadable or missing. Nothing has been changed.
    #[error("{file}, offset {offset}: expected {expected}. What was kept would be lost. Put the file back from a copy; or give up what follows from \
             there on: move this file and all later ones away, and start again")]
    #[diagnostic(
        code(chalkdeck::wal::damage),
        help("nothing was changed: put the file back from a copy, or move it and all later ones away and start again")
    )]
    Damage {
        /// Name of the damaged file.
        file: String,
        /// Offset of the damage in bytes.
        offset: usize,
        /// What was expected there.
        expected: String,
    },
}

impl OpenError {
    /// Damage in a file at an offset.
    pub(crate) fn damage(file: &str, offset: usize, expected: impl Into<String>) -> OpenError {
        OpenError::Damage {
            file: file.into(),
            offset,
            expected: expected.into(),
        }
    }
}

/// Adds the failed operation to a disk's error.
pub(crate) trait DiskContext<T> {
    /// Turns an error into [`OpenError::Disk`] for the given operation.
    fn during(self, operation: impl Into<String>) -> Result<T, OpenError>;
}

impl<T> DiskContext<T> for io::Result<T> {
    fn during(self, operation: impl Into<String>) -> Result<T, OpenError> {
        self.map_err(|error| OpenError::Disk {
            operation: operation.into(),
            error,
        })
    }
}

/// Why a record was not appended or synced.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// Nothing of the record is in the log, which accepts further records.
    #[error("not kept: {0}")]
    NotWritten(io::Error),
    /// The record may be there after the next start. The log is closed.
    #[error("may be kept, the log is closed: {0}")]
    OutcomeUnknown(io::Error),
    /// The log was closed by an earlier error; nothing was written.
    #[error("the log is closed: not kept")]
    Closed,
}
