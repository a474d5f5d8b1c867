//! Removal of files that newer snapshots supersede.

use crate::disk::Disk;
use crate::file_names::{self, list_segments, list_snapshots};
use std::io;

/// Number of snapshots that are retained: with an older one, damage to the newest snapshot loses no data.
const RETAINED_SNAPSHOTS: usize = 2;

/// Removes all but the newest `RETAINED_SNAPSHOTS` snapshots, and the segments whose records the oldest retained snapshot
/// contains. While fewer snapshots exist all segments stay, because the only snapshot might be damaged.
pub fn remove_superseded<D: Disk>(disk: &D) -> io::Result<()> {
    let snapshots = list_snapshots(disk)?;
    let Some(oldest_retained) = snapshots.len().checked_sub(RETAINED_SNAPSHOTS) else {
        return Ok(());
    };
    for name in &snapshots[..oldest_retained] {
        disk.remove(name)?;
    }
    let Some(position) = file_names::snapshot_position(&snapshots[oldest_retained]) else {
        return Ok(());
    };
    remove_segments_before(disk, position)?;
    disk.sync_folder()
}

/// Removes segments that contain only changes before a position: those whose next segment starts at or before it.
fn remove_segments_before<D: Disk>(disk: &D, position: u64) -> io::Result<()> {
    let segments = list_segments(disk)?;
    for (name, next_name) in segments.iter().zip(segments.iter().skip(1)) {
        let next_position = file_names::segment_position(next_name);
        if next_position.is_some_and(|next| next <= position) {
            disk.remove(name)?;
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
