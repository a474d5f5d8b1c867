//! Which files stay once a newer snapshot exists.

use crate::disk::Disk;
use crate::file_names::{self, list_segments, list_snapshots};
use std::io;

/// Snapshots that are retained, so that damage to the newest one loses nothing.
const RETAINED_SNAPSHOTS: usize = 2;

/// Removes all but the newest snapshots, and the segments that the oldest retained snapshot contains. While there are fewer
/// snapshots than are retained all segments stay, as the snapshot might be damaged.
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

/// Removes segments that contain only changes before a position, which is so if the next one begins there or earlier.
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
