//! A folder of files, as far as the log needs one; tests put one in its place that stops, tears and forgets.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A folder. What was not synced may be lost, torn or out of order after a crash; names too, until the folder is synced.
pub trait Disk: Clone + Send + 'static {
    /// A file that is appended to.
    type File: Send;
    /// Names of the files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// A file's bytes.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// A new file; one of that name is an error.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Appends all bytes, or a part of them and an error.
    fn append(&self, file: &mut Self::File, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's bytes outlast a crash. After an error nothing is known of them.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;
    /// Cuts a file to a length, for good.
    fn cut(&self, name: &str, len: u64) -> io::Result<()>;
    /// Renames over an older file.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes names outlast a crash.
    fn sync_folder(&self) -> io::Result<()>;
}

/// A folder of the machine, held by one process at a time.
#[derive(Clone, Debug)]
pub struct Folder {
    path: PathBuf,
    _lock: Arc<File>,
}

impl Folder {
    /// Makes the folder if there is none, and locks it. Errors: another process holds it, no permission.
    pub fn open(path: &Path) -> io::Result<Folder> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join("lock"))?;
        lock.try_lock().map_err(|e| match e {
            std::fs::TryLockError::WouldBlock => io::Error::new(
                io::ErrorKind::ResourceBusy,
                "another process holds this folder",
            ),
            std::fs::TryLockError::Error(e) => e,
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
            .map(|e| Ok(e?.file_name().to_string_lossy().into_owned()))
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
    fn cut(&self, name: &str, len: u64) -> io::Result<()> {
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
