//! Names of segment and snapshot files. The position has a fixed width, so that sorting the names sorts the files by
//! position.

use crate::disk::Disk;
use std::io;

const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
/// Name of the file that a snapshot is written to before it is renamed.
pub(crate) const TEMPORARY_SNAPSHOT: &str = "snapshot.new";
/// Digits of a position: as many as the largest `u64` has.
const POSITION_DIGITS: usize = 20;
/// Minimum number of digits of an epoch.
const EPOCH_DIGITS: usize = 10;

/// Name of the segment that starts at a position in an epoch.
pub fn segment(position: u64, epoch: u64) -> String {
    format!("{SEGMENT_PREFIX}{position:0POSITION_DIGITS$}-{epoch:0EPOCH_DIGITS$}")
}

/// Name of the snapshot of the state at a position.
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

/// Lists the segments of a folder, oldest first.
pub fn list_segments<D: Disk>(disk: &D) -> io::Result<Vec<String>> {
    list_sorted(disk, segment_position)
}

/// Lists the snapshots of a folder, oldest first.
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
