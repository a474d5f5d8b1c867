//! Encodes commands and replies.

use crate::Frame;
use bytes::BytesMut;
use redis_protocol::resp2;

/// Appends an encoded reply.
pub fn encode_reply(out: &mut BytesMut, frame: &Frame) {
    // Encoding fails only if the buffer cannot grow, and a `BytesMut` can.
    let _ = resp2::encode::extend_encode(out, frame, false);
}

/// Appends an encoded command. Each word is given in pieces, so that callers need not concatenate them first.
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
