//! Framing of records on disk: a header of body length and CRC32C (32 bits each, little endian), then the body.

use prost::Message;

/// Maximum length of a body, in bytes. Readers treat longer records as damaged, so writers must not exceed it.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Length of the header before each body, in bytes.
pub const HEADER_BYTES: usize = 8;
/// Offset of the checksum within the header.
const CHECKSUM_OFFSET: usize = 4;

/// Computes the checksum of a body.
pub fn checksum(body: &[u8]) -> u32 {
    crc32c::crc32c(body)
}

/// Appends a message as a record.
pub fn append_message(out: &mut Vec<u8>, message: &impl Message) {
    let start = out.len();
    out.extend([0; HEADER_BYTES]);
    message.encode(out).expect("a vector grows as needed");
    let body = &out[start + HEADER_BYTES..];
    let len = body.len() as u32;
    let crc = checksum(body);
    out[start..start + CHECKSUM_OFFSET].copy_from_slice(&len.to_le_bytes());
    out[start + CHECKSUM_OFFSET..start + HEADER_BYTES].copy_from_slice(&crc.to_le_bytes());
}

/// Appends bytes, which must not be empty, as a record.
pub fn append_bytes(out: &mut Vec<u8>, body: &[u8]) {
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(checksum(body).to_le_bytes());
    out.extend_from_slice(body);
}

/// Returns the body of the record at an offset; `None` if there is no complete record with a matching checksum.
pub fn body_at(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let len = read_u32(bytes, offset)? as usize;
    let crc = read_u32(bytes, offset + CHECKSUM_OFFSET)?;
    // Records are never empty: otherwise a tail of zeros would read as an empty record with a valid checksum.
    if len == 0 || len > MAX_BODY_BYTES {
        return None;
    }
    let body = bytes.get(offset + HEADER_BYTES..offset + HEADER_BYTES + len)?;
    (checksum(body) == crc).then_some(body)
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let word = bytes.get(offset..offset + size_of::<u32>())?;
    Some(u32::from_le_bytes(word.try_into().ok()?))
}

/// Whether a valid record starts at this offset or anywhere after it.
pub fn has_valid_record_from(bytes: &[u8], offset: usize) -> bool {
    let end = bytes.len().saturating_sub(HEADER_BYTES);
    (offset..end).any(|candidate| body_at(bytes, candidate).is_some())
}

/// A record and its offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// Offset of its header in bytes.
    pub offset: usize,
    /// Its body.
    pub body: &'a [u8],
}

/// Iterates over valid records and stops at the first invalid one.
#[derive(Clone, Debug)]
pub struct RecordReader<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> RecordReader<'a> {
    /// A reader that starts at the first byte.
    pub fn new(bytes: &'a [u8]) -> RecordReader<'a> {
        RecordReader { bytes, offset: 0 }
    }

    /// Offset of the end of the last record that was read.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Whether all bytes were read.
    pub fn is_at_end(&self) -> bool {
        self.offset >= self.bytes.len()
    }
}

impl<'a> Iterator for RecordReader<'a> {
    type Item = Record<'a>;

    fn next(&mut self) -> Option<Record<'a>> {
        let offset = self.offset;
        let body = body_at(self.bytes, offset)?;
        self.offset += HEADER_BYTES + body.len();
        Some(Record { offset, body })
    }
}

#[cfg(test)]
mod tests;
