//! Polls a file for changes and reads it again after each one.

use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// Maximum size of a file that is read.
const MAX_BYTES: u64 = 32 << 20;

/// A watched file cannot be read.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum FileWatchError {
    /// It does not exist, or the operating system denies access.
    #[error("cannot be read: {0}")]
    #[diagnostic(
        code(chalkdeck::net::watch_read),
        help("put the file back, readable by this process; what was last read stays in force until then")
    )]
    Read(#[from] io::Error),
    /// It is too large.
    #[error("expected at most {MAX_BYTES} bytes, found {0}")]
    #[diagnostic(
        code(chalkdeck::net::watch_too_long),
        help("see what wrote the file; what was last read stays in force until it is shorter")
    )]
    TooLong(u64),
}

/// The metadata that shows whether a file was written or replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
struct FileVersion {
    modified: Option<SystemTime>,
    bytes: u64,
    inode: u64,
}

/// Checks a file when it is polled, and reads it if its metadata has changed.
#[derive(Debug)]
pub struct FileWatch {
    path: PathBuf,
    /// The last version that was read.
    last_read: Option<FileVersion>,
    /// The last poll failed, so its error is already reported.
    has_failed: bool,
}

impl FileWatch {
    /// Watches a file. Nothing is read before the first poll.
    pub fn new(path: PathBuf) -> FileWatch {
        FileWatch {
            path,
            last_read: None,
            has_failed: false,
        }
    }
    /// The path of the watched file.
    pub fn path(&self) -> &Path {
        &self.path
    }
    /// Returns the content of the file if it has changed since the last poll. While the file cannot be checked, only the first poll
    /// returns the error.
    pub fn poll(&mut self) -> Option<Result<Vec<u8>, FileWatchError>> {
        let version = match file_version(&self.path) {
            Ok(version) => version,
            Err(error) => {
                self.last_read = None;
                let was_reported = std::mem::replace(&mut self.has_failed, true);
                return (!was_reported).then_some(Err(error));
            }
        };
        self.has_failed = false;
        if self.last_read.as_ref() == Some(&version) {
            return None;
        }
        self.last_read = Some(version);
        Some(std::fs::read(&self.path).map_err(FileWatchError::from))
    }
}

fn file_version(path: &Path) -> Result<FileVersion, FileWatchError> {
    let metadata = std::fs::metadata(path)?;
    if metadata.len() > MAX_BYTES {
        return Err(FileWatchError::TooLong(metadata.len()));
    }
    Ok(FileVersion {
        modified: metadata.modified().ok(),
        bytes: metadata.len(),
        inode: metadata.ino(),
    })
}
