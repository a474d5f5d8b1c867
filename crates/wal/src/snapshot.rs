//! Writing of snapshots: the full state at one position.

use crate::disk::Disk;
use crate::file_names::{self, TEMPORARY_SNAPSHOT};
use crate::state::{Identity, ReplayableState};
use std::io;

/// Writes a snapshot atomically: writes and syncs a temporary file, renames it and syncs the folder. After a crash the
/// snapshot is complete or absent.
pub fn write<D: Disk, S: ReplayableState>(
    disk: &D,
    state: &S,
    identity: Identity,
) -> io::Result<()> {
    if disk.list()?.iter().any(|name| name == TEMPORARY_SNAPSHOT) {
        disk.remove(TEMPORARY_SNAPSHOT)?;
    }
    let mut file = disk.create(TEMPORARY_SNAPSHOT)?;
    disk.append(&mut file, &state.snapshot(identity))?;
    disk.sync(&mut file)?;
    drop(file);
    disk.rename(TEMPORARY_SNAPSHOT, &file_names::snapshot(state.position()))?;
    disk.sync_folder()
}
