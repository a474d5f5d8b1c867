//! The file operations that the log needs, on one folder. Tests use a simulated disk that injects errors instead.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A folder of files.
///
/// A crash may lose, tear or reorder bytes that were not synced. The same holds for creations, renames and removals until
/// the folder is synced.
pub trait Disk: Clone + Send + 'static {
    /// A file that is open for appending.
    type File: Send;

    /// Lists the names of the files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates a file; fails if a file of that name exists.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Appends all bytes; after an error some of them may have been appended.
    fn append(&self, file: &mut Self::File, bytes: &[u8]) -> io::Result<()>;
    /// Makes the bytes of a file durable. After an error it is unknown which of them are durable.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;
    /// Truncates a file to a length in bytes, durably.
    fn truncate(&self, name: &str, len: u64) -> io::Result<()>;
    /// Renames a file, replacing any file that has the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes creations, renames and removals durable.
    fn sync_folder(&self) -> io::Result<()>;
}

/// Name of the file that a process locks while it uses a folder.
const LOCK_FILE: &str = "lock";

/// Another process uses the folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("another process holds this folder")]
pub struct FolderLocked;

impl From<FolderLocked> for io::Error {
    fn from(error: FolderLocked) -> io::Error {
        io::Error::new(io::ErrorKind::ResourceBusy, error)
    }
}

/// A folder of the file system. A lock file keeps a second process from using it.
#[derive(Clone, Debug)]
pub struct Folder {
    path: PathBuf,
    _lock: Arc<File>,
}

impl Folder {
    /// Creates the folder if it does not exist, and locks it.
    ///
    /// # Errors
    ///
    /// [`FolderLocked`] if another process holds the lock; any error of the file system.
    pub fn open(path: &Path) -> io::Result<Folder> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))?;
        lock.try_lock().map_err(|error| match error {
            TryLockError::WouldBlock => FolderLocked.into(),
            TryLockError::Error(error) => error,
        })?;
        Ok(Folder {
            path: path.to_path_buf(),
            _lock: Arc::new(lock),
        })
    }
}

impl Disk for Folder {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        let entries = std::fs::read_dir(&self.path)?;
        entries
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()))
            .collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<File> {
        OpenOptions::new()
            .append(true)
            .create_new(true)
            .open(self.path.join(name))
    }

    fn append(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn sync(&self, file: &mut File) -> io::Result<()> {
        file.sync_data()
    }

    fn truncate(&self, name: &str, len: u64) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(len)?;
        file.sync_data()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
