//! Names of segments and snapshots. They begin with the position, in a fixed width, so that they sort by it.

use crate::disk::Disk;
use std::io;

const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
/// Name of a snapshot while it is written.
pub(crate) const TEMPORARY_SNAPSHOT: &str = "snapshot.new";
/// Width of a position: the digits of the largest `u64`.
const POSITION_DIGITS: usize = 20;
/// Least width of an epoch.
const EPOCH_DIGITS: usize = 10;

/// Name of the segment that begins at a position in an epoch.
pub fn segment(position: u64, epoch: u64) -> String {
    format!("{SEGMENT_PREFIX}{position:0POSITION_DIGITS$}-{epoch:0EPOCH_DIGITS$}")
}

/// Name of the snapshot at a position.
pub fn snapshot(position: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{position:0POSITION_DIGITS$}")
}

/// The position in the name of a segment.
pub(crate) fn segment_position(name: &str) -> Option<u64> {
    position_after(name, SEGMENT_PREFIX)
}

/// The epoch in the name of a segment.
pub(crate) fn segment_epoch(name: &str) -> Option<u64> {
    let digits = name
        .strip_prefix(SEGMENT_PREFIX)?
        .get(POSITION_DIGITS + 1..)?;
    digits.parse().ok()
}

/// The position in the name of a snapshot.
pub(crate) fn snapshot_position(name: &str) -> Option<u64> {
    position_after(name, SNAPSHOT_PREFIX)
}

fn position_after(name: &str, prefix: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?.get(..POSITION_DIGITS)?;
    digits.parse().ok()
}

/// The segments of a folder, oldest first.
pub fn list_segments<D: Disk>(disk: &D) -> io::Result<Vec<String>> {
    list_sorted(disk, segment_position)
}

/// The snapshots of a folder, oldest first.
pub fn list_snapshots<D: Disk>(disk: &D) -> io::Result<Vec<String>> {
    list_sorted(disk, snapshot_position)
}

fn list_sorted<D: Disk>(
    disk: &D,
    position_of: impl Fn(&str) -> Option<u64>,
) -> io::Result<Vec<String>> {
    let mut names = disk.list()?;
    names.retain(|name| position_of(name).is_some());
    names.sort();
    Ok(names)
}
