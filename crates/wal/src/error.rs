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
    /// Stored data is corrupt or missing. Opening has not changed any file.
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
    /// Creates the error for damage at an offset of a file.
    pub(crate) fn damage(file: &str, offset: usize, expected: impl Into<String>) -> OpenError {
        OpenError::Damage {
            file: file.into(),
            offset,
            expected: expected.into(),
        }
    }
}

/// Adds the failed operation to an I/O error of a disk.
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
    /// The record is not in the log. The log accepts further records.
    #[error("record not written: {0}")]
    NotWritten(io::Error),
    /// It is unknown whether recovery will find the record. The log is closed.
    #[error("log closed, record may have been written: {0}")]
    OutcomeUnknown(io::Error),
    /// An earlier error closed the log; nothing was written.
    #[error("log closed by an earlier error, record not written")]
    Closed,
}
