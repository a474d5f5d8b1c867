//! Snapshots on disk: a state at one position.

use crate::disk::Disk;
use crate::held::{Held, Identity};
use std::io;

const NEW: &str = "snapshot.new";

/// Name of the snapshot at a position; names sort by it.
pub fn name_at(position: u64) -> String {
    format!("snapshot-{position:020}")
}

/// Writes a snapshot so that a crash leaves it whole or not there: new file, sync, rename, sync of the folder.
pub fn write<D: Disk, H: Held>(disk: &D, held: &H, identity: Identity) -> io::Result<()> {
    if disk.list()?.iter().any(|n| n == NEW) {
        disk.remove(NEW)?;
    }
    let mut file = disk.create(NEW)?;
    disk.append(&mut file, &held.snapshot(identity))?;
    disk.sync(&mut file)?;
    drop(file);
    disk.rename(NEW, &name_at(held.position()))?;
    disk.sync_folder()
}
