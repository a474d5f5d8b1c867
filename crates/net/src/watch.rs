//! A file that is read again when it was replaced or written.

use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// Longest file that is read.
const MOST_BYTES: u64 = 32 << 20;

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
        Watch { path, seen: None, failed: false }
    }
    /// The file.
    pub fn path(&self) -> &Path {
        &self.path
    }
    /// The bytes, when the file changed since the last look; an error is told once until the file is back.
    pub fn look(&mut self) -> Option<Result<Vec<u8>, String>> {
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
        Some(std::fs::read(&self.path).map_err(|e| e.to_string()))
    }
}

fn stamp(path: &Path) -> Result<Stamp, String> {
    use std::os::unix::fs::MetadataExt;
    let meta = std::fs::metadata(path).map_err(|e| e.to_string())?;
    if meta.len() > MOST_BYTES {
        return Err(format!("expected at most {MOST_BYTES} bytes, found {}", meta.len()));
    }
    Ok(Stamp { changed: meta.modified().ok(), bytes: meta.len(), node: meta.ino() })
}
