//! Segments of the log: files that start with a [`SegmentHead`] record, followed by the records of the state.

use crate::disk::Disk;
use crate::record;
use crate::state::Identity;
use prost::Message;
use std::io;

/// The first record of each segment.
#[derive(Clone, PartialEq, Message)]
pub struct SegmentHead {
    /// Version of the record format.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// [`Identity::incarnation`] of the log.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// [`Identity::epoch`] in which the segment was created.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Number of changes that precede this segment.
    #[prost(uint64, tag = "4")]
    pub position: u64,
}

impl SegmentHead {
    /// The head of a segment that starts at a position.
    pub(crate) fn new(version: u32, identity: Identity, position: u64) -> SegmentHead {
        SegmentHead {
            version,
            incarnation: identity.incarnation,
            epoch: identity.epoch,
            position,
        }
    }
}

/// The segment that records are appended to.
pub(crate) struct OpenSegment<F> {
    /// Name of the file.
    pub(crate) name: String,
    /// The file, open for appending.
    pub(crate) file: F,
    /// Length in bytes of the records that were appended without an error, the head included.
    pub(crate) len: u64,
}

/// Creates a segment that contains only its head, and makes it durable.
pub(crate) fn create<D: Disk>(
    disk: &D,
    name: String,
    head: &SegmentHead,
) -> io::Result<OpenSegment<D::File>> {
    let mut file = disk.create(&name)?;
    let mut bytes = Vec::new();
    record::append_message(&mut bytes, head);
    disk.append(&mut file, &bytes)?;
    disk.sync(&mut file)?;
    disk.sync_folder()?;
    let len = bytes.len() as u64;
    Ok(OpenSegment { name, file, len })
}
