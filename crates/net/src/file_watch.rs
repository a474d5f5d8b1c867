//! A file that is read again when it was replaced or written.

use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The longest file that is read.
const MAX_BYTES: u64 = 32 << 20;

/// Why a watched file was not read.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum FileWatchError {
    /// It does not exist, or the system does not give it.
    #[error("cannot be read: {0}")]
    #[diagnostic(
        code(chalkdeck::net::watch_read),
        help("put the file back, readable by this process; what was last read stays in force until then")
    )]
    Read(#[from] io::Error),
    /// It is too long.
    #[error("expected at most {MAX_BYTES} bytes, found {0}")]
    #[diagnostic(
        code(chalkdeck::net::watch_too_long),
        help("see what wrote the file; what was last read stays in force until it is shorter")
    )]
    TooLong(u64),
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct FileVersion {
    modified: Option<SystemTime>,
    bytes: u64,
    inode: u64,
}

/// Checks a file whenever it is polled, and reads it when it may have changed.
#[derive(Debug)]
pub struct FileWatch {
    path: PathBuf,
    /// The version that was read last.
    last_read: Option<FileVersion>,
    /// The last poll failed, and its error was returned.
    has_failed: bool,
}

impl FileWatch {
    /// Watches a file; nothing is read yet.
    pub fn new(path: PathBuf) -> FileWatch {
        FileWatch {
            path,
            last_read: None,
            has_failed: false,
        }
    }
    /// The file.
    pub fn path(&self) -> &Path {
        &self.path
    }
    /// Returns the bytes of the file if it has changed since the last poll. An error is returned once until the file is readable again.
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
