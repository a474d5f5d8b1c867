//! An in-memory disk for tests. It injects I/O errors and crashes on demand; after a crash it retains only what a file
//! system guarantees.

use crate::disk::Disk;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// Index of a file's contents in [`DiskState::files`].
type FileId = usize;
/// File names and the contents that they refer to.
type Directory = BTreeMap<String, FileId>;

/// An injected error, in place of the error of a system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SimulatedError {
    /// The simulated machine has crashed; every call fails.
    #[error("the machine stopped")]
    Stopped,
    /// A sync failed.
    #[error("input/output error")]
    SyncFailed,
}

impl From<SimulatedError> for io::Error {
    fn from(error: SimulatedError) -> io::Error {
        io::Error::other(error)
    }
}

#[derive(Clone, Debug, Default)]
struct FileContents {
    bytes: Vec<u8>,
    /// Length in bytes that is certain to survive a crash.
    synced_len: usize,
}

/// A change of the directory.
#[derive(Clone, Debug)]
enum DirectoryChange {
    Create { name: String, file: FileId },
    Rename { from: String, to: String },
    Remove { name: String },
}

impl DirectoryChange {
    fn apply(&self, directory: &mut Directory) {
        match self {
            DirectoryChange::Create { name, file } => {
                directory.insert(name.clone(), *file);
            }
            DirectoryChange::Rename { from, to } => {
                if let Some(file) = directory.remove(from) {
                    directory.insert(to.clone(), file);
                }
            }
            DirectoryChange::Remove { name } => {
                directory.remove(name);
            }
        }
    }
}

/// Errors that the next calls return.
#[derive(Debug, Default)]
struct InjectedErrors {
    /// The next append writes a part of its bytes and fails.
    next_append: bool,
    /// Every sync fails.
    syncs: bool,
    /// Every truncation fails.
    truncations: bool,
}

#[derive(Debug)]
struct DiskState {
    files: Vec<FileContents>,
    directory: Directory,
    /// The directory that is certain to survive a crash.
    synced_directory: Directory,
    /// Changes since the directory was last synced.
    unsynced_changes: Vec<DirectoryChange>,
    calls: u64,
    /// Every call after this number of calls fails.
    stop_after: u64,
    injected_errors: InjectedErrors,
    rng: fastrand::Rng,
}

impl DiskState {
    fn new(seed: u64) -> DiskState {
        DiskState {
            files: Vec::new(),
            directory: Directory::new(),
            synced_directory: Directory::new(),
            unsynced_changes: Vec::new(),
            calls: 0,
            stop_after: u64::MAX,
            injected_errors: InjectedErrors::default(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn add_file(&mut self, contents: FileContents) -> FileId {
        self.files.push(contents);
        self.files.len() - 1
    }

    fn change_directory(&mut self, change: DirectoryChange) {
        change.apply(&mut self.directory);
        self.unsynced_changes.push(change);
    }

    /// Whether the next call is the first to fail because the disk has stopped.
    fn stops_at_next_call(&self) -> bool {
        self.calls + 1 > self.stop_after && self.calls <= self.stop_after
    }

    /// Appends a random prefix of the bytes.
    fn append_part(&mut self, file: FileId, bytes: &[u8]) {
        let part_len = self.rng.usize(0..=bytes.len());
        self.files[file].bytes.extend(&bytes[..part_len]);
    }

    /// Returns the directory after a crash: the synced one with a random prefix of the later changes.
    fn directory_after_crash(&mut self) -> Directory {
        let mut directory = self.synced_directory.clone();
        let surviving_changes = self.rng.usize(0..=self.unsynced_changes.len());
        for change in &self.unsynced_changes[..surviving_changes] {
            change.apply(&mut directory);
        }
        directory
    }

    /// Returns the files after a crash: each keeps a random prefix of its unsynced bytes, which may end in zeros.
    fn files_after_crash(&mut self) -> Vec<FileContents> {
        let mut files = self.files.clone();
        for file in &mut files {
            let surviving_len = self.rng.usize(file.synced_len..=file.bytes.len());
            // Blocks reach the disk in any order; a block that was not written reads as zeros.
            if surviving_len > file.synced_len && self.rng.u8(..3) == 0 {
                let hole_start = self.rng.usize(file.synced_len..surviving_len);
                file.bytes[hole_start..surviving_len].fill(0);
            }
            file.bytes.truncate(surviving_len);
            file.synced_len = surviving_len;
        }
        files
    }
}

/// A simulated disk; clones share its contents.
#[derive(Clone, Debug)]
pub struct SimulatedDisk(Arc<Mutex<DiskState>>);

impl SimulatedDisk {
    /// Creates an empty disk. The seed determines what survives a crash.
    pub fn new(seed: u64) -> SimulatedDisk {
        SimulatedDisk::from_state(DiskState::new(seed))
    }

    fn from_state(state: DiskState) -> SimulatedDisk {
        SimulatedDisk(Arc::new(Mutex::new(state)))
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut DiskState) -> T) -> T {
        action(&mut self.0.lock().expect("no thread panics inside"))
    }

    /// Number of disk operations so far, failed ones included.
    pub fn calls(&self) -> u64 {
        self.with_state(|state| state.calls)
    }

    /// Makes the disk stop, as in a crash, after this number of further calls.
    pub fn stop_after(&self, calls: u64) {
        self.with_state(|state| state.stop_after = state.calls.saturating_add(calls));
    }

    /// Whether a call has failed because the disk has stopped.
    pub fn is_stopped(&self) -> bool {
        self.with_state(|state| state.calls > state.stop_after)
    }

    /// Makes the next append write a part of its bytes and fail, as on a full disk.
    pub fn fail_next_append(&self) {
        self.with_state(|state| state.injected_errors.next_append = true);
    }

    /// Makes every further sync fail.
    pub fn fail_syncs(&self) {
        self.with_state(|state| state.injected_errors.syncs = true);
    }

    /// Makes every further truncation fail.
    pub fn fail_truncations(&self) {
        self.with_state(|state| state.injected_errors.truncations = true);
    }

    /// Puts a durable file on the disk, replacing any file of that name.
    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        self.with_state(|state| {
            let synced_len = bytes.len();
            let file = state.add_file(FileContents { bytes, synced_len });
            state.directory.insert(name.into(), file);
            state.synced_directory.insert(name.into(), file);
        });
    }

    /// Simulates a crash and returns the disk as it is after the restart.
    pub fn after_crash(&self) -> SimulatedDisk {
        self.with_state(|state| {
            let directory = state.directory_after_crash();
            let files = state.files_after_crash();
            let seed = state.rng.u64(..);
            SimulatedDisk::from_state(DiskState {
                files,
                synced_directory: directory.clone(),
                directory,
                ..DiskState::new(seed)
            })
        })
    }

    /// Counts a call; returns an error if the disk has stopped.
    fn count_call(&self) -> Result<(), SimulatedError> {
        self.with_state(|state| {
            state.calls += 1;
            if state.calls > state.stop_after {
                return Err(SimulatedError::Stopped);
            }
            Ok(())
        })
    }
}

impl Disk for SimulatedDisk {
    type File = FileId;

    fn list(&self) -> io::Result<Vec<String>> {
        self.count_call()?;
        Ok(self.with_state(|state| state.directory.keys().cloned().collect()))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.count_call()?;
        self.with_state(|state| {
            let file = state.directory.get(name).ok_or(io::ErrorKind::NotFound)?;
            Ok(state.files[*file].bytes.clone())
        })
    }

    fn create(&self, name: &str) -> io::Result<FileId> {
        self.count_call()?;
        self.with_state(|state| {
            if state.directory.contains_key(name) {
                return Err(io::ErrorKind::AlreadyExists.into());
            }
            let file = state.add_file(FileContents::default());
            let name = name.to_owned();
            state.change_directory(DirectoryChange::Create { name, file });
            Ok(file)
        })
    }

    fn append(&self, file: &mut FileId, bytes: &[u8]) -> io::Result<()> {
        let is_full = self.with_state(|state| {
            let stops = state.stops_at_next_call();
            let is_full = std::mem::take(&mut state.injected_errors.next_append);
            if stops || is_full {
                state.append_part(*file, bytes);
            }
            is_full
        });
        self.count_call()?;
        if is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.with_state(|state| state.files[*file].bytes.extend(bytes));
        Ok(())
    }

    fn sync(&self, file: &mut FileId) -> io::Result<()> {
        self.count_call()?;
        self.with_state(|state| {
            if state.injected_errors.syncs {
                return Err(SimulatedError::SyncFailed.into());
            }
            let contents = &mut state.files[*file];
            contents.synced_len = contents.bytes.len();
            Ok(())
        })
    }

    fn truncate(&self, name: &str, len: u64) -> io::Result<()> {
        self.count_call()?;
        self.with_state(|state| {
            if state.injected_errors.truncations {
                return Err(io::ErrorKind::ReadOnlyFilesystem.into());
            }
            let file = state.directory[name];
            let contents = &mut state.files[file];
            contents.bytes.truncate(len as usize);
            contents.synced_len = len as usize;
            Ok(())
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.count_call()?;
        let from = from.to_owned();
        let to = to.to_owned();
        self.with_state(|state| state.change_directory(DirectoryChange::Rename { from, to }));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.count_call()?;
        let name = name.to_owned();
        self.with_state(|state| state.change_directory(DirectoryChange::Remove { name }));
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.count_call()?;
        self.with_state(|state| {
            state.synced_directory = state.directory.clone();
            state.unsynced_changes.clear();
        });
        Ok(())
    }
}
