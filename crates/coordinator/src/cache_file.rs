//! The file in which a gateway caches the replicated state: a log of watch events, which starts with the full state and
//! continues with changes. A torn last record, left by a crash during a write, is ignored.

use crate::protocol::{wire, WatchEvent};
use crate::session::CachedState;
use chalkdeck_wal::record;
use prost::Message;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// Rule sets per record when the full state is written. The full state is split because the size of a record is limited.
const RULE_SETS_PER_RECORD: usize = 64;
/// Minimum size of the appended changes before the file is rewritten, so that a small state is not rewritten too often.
const MIN_REWRITE_BYTES: u64 = 1 << 20;

/// An error of the cache file.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum CacheFileError {
    /// The file cannot be read or written.
    #[error("{}: {source}", file.display())]
    #[diagnostic(
        code(chalkdeck::keeper::kept_file),
        help("see the path, its rights and the disk's room; until it can be written this gateway does not acknowledge newer rules")
    )]
    Io {
        /// Its path.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is damaged, or not a cache file.
    #[error("{}: expected a gateway's cache of the replicated state", file.display())]
    #[diagnostic(
        code(chalkdeck::keeper::kept_form),
        help("the file is damaged or another program's: remove it, and the gateway takes calls once it has a session with a replica")
    )]
    Malformed {
        /// Its path.
        file: PathBuf,
    },
}

/// An open cache file.
#[derive(Debug)]
pub struct CacheFile {
    path: PathBuf,
    /// Open for appending; `None` if the next write must rewrite the file.
    file: Option<File>,
    /// Size of the records of the full state at the start of the file.
    full_state_bytes: u64,
    /// Size of the changes appended since then.
    change_bytes: u64,
    /// Version of the state after the last written record.
    written_version: u64,
}

impl CacheFile {
    /// Opens the file and reads the state from it. A missing file holds an empty state.
    ///
    /// # Errors
    /// See [`CacheFileError`]. The gateway must not start after an error, because it would run without access rules that it has
    /// applied before.
    pub fn open(path: &Path) -> Result<(CacheFile, CachedState), CacheFileError> {
        let bytes = read_if_exists(path).map_err(|source| CacheFileError::Io {
            file: path.to_path_buf(),
            source,
        })?;
        let Some(state) = replay(&bytes) else {
            return Err(CacheFileError::Malformed {
                file: path.to_path_buf(),
            });
        };
        let file = CacheFile {
            path: path.to_path_buf(),
            file: None,
            full_state_bytes: 0,
            change_bytes: 0,
            written_version: state.version,
        };
        Ok((file, state))
    }

    /// Writes an event that was applied to `state`, and returns once it is synced to disk.
    ///
    /// # Errors
    /// The write failed. The next call then writes the full state.
    pub fn write(&mut self, event: &WatchEvent, state: &CachedState) -> Result<(), CacheFileError> {
        let result = if event.whole {
            self.rewrite(state)
        } else {
            self.append_or_rewrite(event, state)
        };
        self.written_version = state.version;
        result.map_err(|source| {
            self.file = None;
            CacheFileError::Io {
                file: self.path.clone(),
                source,
            }
        })
    }

    fn append_or_rewrite(&mut self, event: &WatchEvent, state: &CachedState) -> io::Result<()> {
        let can_append = self.change_bytes < MIN_REWRITE_BYTES.max(self.full_state_bytes);
        let Some(file) = self.file.as_mut().filter(|_| can_append) else {
            return self.rewrite(state);
        };
        // Events without changes are not written. `since` is set to the last written version, so that they don't count as a gap.
        let change = WatchEvent {
            since: self.written_version,
            ..event.clone()
        };
        let mut bytes = Vec::new();
        record::append_message(&mut bytes, &change);
        self.change_bytes += bytes.len() as u64;
        if bytes.len() > record::MAX_BODY_BYTES {
            return self.rewrite(state);
        }
        file.write_all(&bytes)?;
        file.sync_data()
    }

    /// Writes the full state to a new file, and atomically renames it over the old one.
    fn rewrite(&mut self, state: &CachedState) -> io::Result<()> {
        let bytes = encode_full_state(state);
        let new_path = self.path.with_extension("new");
        let mut file = File::create(&new_path)?;
        file.write_all(&bytes)?;
        file.sync_data()?;
        std::fs::rename(&new_path, &self.path)?;
        File::open(parent_folder(&self.path))?.sync_all()?;
        self.full_state_bytes = bytes.len() as u64;
        self.change_bytes = 0;
        self.file = Some(OpenOptions::new().append(true).open(&self.path)?);
        Ok(())
    }
}

fn parent_folder(path: &Path) -> &Path {
    path.parent()
        .filter(|parent| !parent.as_os_str().is_empty())
        .unwrap_or(Path::new("."))
}

fn read_if_exists(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    match File::open(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => {}
        opened => {
            opened?.read_to_end(&mut bytes)?;
        }
    }
    Ok(bytes)
}

/// Replays the records and returns the resulting state; `None` if the bytes are damaged or are not those of a cache file.
fn replay(bytes: &[u8]) -> Option<CachedState> {
    let mut state = CachedState::default();
    let mut offset = 0;
    while let Some(body) = record::body_at(bytes, offset) {
        state.apply(&WatchEvent::decode(body).ok()?);
        offset += record::HEADER_BYTES + body.len();
    }
    // A torn record is tolerated only at the end, and only after a complete one.
    let is_torn = offset < bytes.len();
    let is_damaged = is_torn && (offset == 0 || record::has_valid_record_from(bytes, offset + 1));
    (!is_damaged).then_some(state)
}

/// Encodes the full state: the first record holds everything but the rule sets, which follow in further records.
fn encode_full_state(state: &CachedState) -> Vec<u8> {
    let mut event = state.to_event();
    let rule_sets: Vec<wire::RuleSet> = std::mem::take(&mut event.rules);
    let mut bytes = Vec::new();
    record::append_message(&mut bytes, &event);
    for chunk in rule_sets.chunks(RULE_SETS_PER_RECORD) {
        let part = WatchEvent {
            version: event.version,
            since: event.version,
            cluster: event.cluster,
            rules: chunk.to_vec(),
            ..WatchEvent::default()
        };
        record::append_message(&mut bytes, &part);
    }
    bytes
}

#[cfg(test)]
mod tests;
