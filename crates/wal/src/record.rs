//! Records on disk: length and CRC32C (32 bit, little endian), then a message.

use prost::Message;

/// The longest record that is written or believed.
pub const MOST: usize = 4 << 20;
/// Bytes before each message.
pub const FRAME: usize = 8;

/// The check of a body.
pub fn checksum(body: &[u8]) -> u32 {
    crc32c::crc32c(body)
}

/// Appends a message as a record.
pub fn push(out: &mut Vec<u8>, message: &impl Message) {
    let at = out.len();
    out.extend([0; FRAME]);
    message.encode(out).expect("a vector grows");
    let body = &out[at + FRAME..];
    let (len, crc) = (body.len() as u32, checksum(body));
    out[at..at + 4].copy_from_slice(&len.to_le_bytes());
    out[at + 4..at + FRAME].copy_from_slice(&crc.to_le_bytes());
}

/// Appends bytes as a record; they may not be empty.
pub fn push_bytes(out: &mut Vec<u8>, body: &[u8]) {
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(checksum(body).to_le_bytes());
    out.extend_from_slice(body);
}

/// The body of the record at `at`, if a whole and sound one stands there.
pub fn body(bytes: &[u8], at: usize) -> Option<&[u8]> {
    let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (len, crc) = (word(at)? as usize, word(at + 4)?);
    // A record is never empty: a tail of zeros would read as one.
    if len == 0 || len > MOST {
        return None;
    }
    let body = bytes.get(at + FRAME..at + FRAME + len)?;
    (checksum(body) == crc).then_some(body)
}

/// Whether a sound record begins anywhere from `at` on.
pub fn any_after(bytes: &[u8], at: usize) -> bool {
    (at..bytes.len().saturating_sub(FRAME)).any(|at| body(bytes, at).is_some())
}
