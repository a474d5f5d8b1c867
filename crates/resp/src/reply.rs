//! Replies as a client reads them, and both kinds as they are written.

use crate::error::{Unreadable, What};
use crate::guard::{self, Bounds, Extent};
use crate::Frame;
use bytes::BytesMut;
use redis_protocol::resp2;

/// What stands at the front of the bytes that came.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// Not a whole reply yet.
    Partial,
    /// A reply.
    Whole(Frame),
    /// Bytes that cannot be read on from, and why.
    Bad(Unreadable),
}

/// Takes the next reply off the bytes that came. A nested array is not read.
pub fn take_reply(bytes: &mut BytesMut, bounds: &Bounds) -> Reply {
    if bytes.is_empty() {
        return Reply::Partial;
    }
    let end = match guard::reply(bytes, bounds) {
        Extent::Partial if bytes.len() > bounds.message => {
            return Reply::Bad(What::TooBig("a reply").into())
        }
        Extent::Partial => return Reply::Partial,
        Extent::Bad(what) => return Reply::Bad(what.into()),
        Extent::Whole(end) => end,
    };
    match resp2::decode::decode_bytes(&bytes.split_to(end).freeze()) {
        Ok(Some((frame, _))) => Reply::Whole(frame),
        _ => Reply::Bad(What::Shape("a reply").into()),
    }
}

/// Appends a reply.
pub fn encode(out: &mut BytesMut, frame: &Frame) {
    // The buffer grows, so it does not fail.
    let _ = resp2::encode::extend_encode(out, frame, false);
}

/// Appends a command. Each word is given in pieces, which spares joining them first.
pub fn push_command(out: &mut BytesMut, words: &[&[&[u8]]]) {
    out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        let length: usize = word.iter().map(|piece| piece.len()).sum();
        out.extend_from_slice(format!("${length}\r\n").as_bytes());
        word.iter().for_each(|piece| out.extend_from_slice(piece));
        out.extend_from_slice(b"\r\n");
    }
}
