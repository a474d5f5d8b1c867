//! A file that is read again when it was replaced or written.

use std::io;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// Longest file that is read.
const MOST_BYTES: u64 = 32 << 20;

/// Why a watched file was not read.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum WatchError {
    /// It is not there, or the system does not give it.
    #[error("cannot be read: {0}")]
    #[diagnostic(
        code(chalkdeck::net::watch_read),
        help("put the file back, readable by this process; what was last read stays in force until then")
    )]
    Read(#[from] io::Error),
    /// It is too long.
    #[error("expected at most {MOST_BYTES} bytes, found {0}")]
    #[diagnostic(
        code(chalkdeck::net::watch_too_long),
        help("see what wrote the file; what was last read stays in force until it is shorter")
    )]
    TooLong(u64),
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Stamp {
    changed: Option<SystemTime>,
    bytes: u64,
    node: u64,
}

/// Looks at a file; tells its bytes when they may be new.
#[derive(Debug)]
pub struct Watch {
    path: PathBuf,
    seen: Option<Stamp>,
    failed: bool,
}

impl Watch {
    /// Watches a file; nothing is read yet.
    pub fn new(path: PathBuf) -> Watch {
        Watch {
            path,
            seen: None,
            failed: false,
        }
    }
    /// The file.
    pub fn path(&self) -> &Path {
        &self.path
    }
    /// The bytes, when the file changed since the last look; an error is told once until the file is back.
    pub fn look(&mut self) -> Option<Result<Vec<u8>, WatchError>> {
        let stamp = match stamp(&self.path) {
            Ok(stamp) => stamp,
            Err(e) => {
                self.seen = None;
                return (!std::mem::replace(&mut self.failed, true)).then_some(Err(e));
            }
        };
        self.failed = false;
        if self.seen.as_ref() == Some(&stamp) {
            return None;
        }
        self.seen = Some(stamp);
        Some(std::fs::read(&self.path).map_err(WatchError::from))
    }
}

fn stamp(path: &Path) -> Result<Stamp, WatchError> {
    use std::os::unix::fs::MetadataExt;
    let meta = std::fs::metadata(path)?;
    if meta.len() > MOST_BYTES {
        return Err(WatchError::TooLong(meta.len()));
    }
    Ok(Stamp {
        changed: meta.modified().ok(),
        bytes: meta.len(),
        node: meta.ino(),
    })
}
