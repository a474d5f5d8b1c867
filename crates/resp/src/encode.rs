//! Commands and replies as they are written.

use crate::Frame;
use bytes::BytesMut;
use redis_protocol::resp2;

/// Appends a reply.
pub fn encode_reply(out: &mut BytesMut, frame: &Frame) {
    // It fails only where a buffer cannot grow, and this one grows.
    let _ = resp2::encode::extend_encode(out, frame, false);
}

/// Appends a command. Each word is given in pieces, which saves joining them first.
pub fn encode_command(out: &mut BytesMut, words: &[&[&[u8]]]) {
    out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for pieces in words {
        let length: usize = pieces.iter().map(|piece| piece.len()).sum();
        out.extend_from_slice(format!("${length}\r\n").as_bytes());
        for piece in *pieces {
            out.extend_from_slice(piece);
        }
        out.extend_from_slice(b"\r\n");
    }
}
