//! Commands as a server reads them.

use crate::error::{Unreadable, What};
use crate::guard::{self, Bounds, Extent};
use crate::Frame;
use bytes::{Bytes, BytesMut};
use redis_protocol::resp2;

/// What stands at the front of the bytes that came.
#[derive(Debug, PartialEq)]
pub enum Front {
    /// Not a whole command yet.
    Partial,
    /// Its words.
    Command(Vec<Bytes>),
    /// Bytes that cannot be read on from, and why.
    Bad(Unreadable),
}

/// Takes the next command off the bytes that came. An empty line, where lines may come, and an empty array are none and are
/// passed over.
pub fn take(bytes: &mut BytesMut, bounds: &Bounds) -> Front {
    while !bytes.is_empty() {
        if bytes[0] != b'*' {
            if !bounds.inline {
                return Front::Bad(
                    What::Mark {
                        expected: "'*'",
                        found: bytes[0],
                    }
                    .into(),
                );
            }
            match inline(bytes, bounds) {
                Front::Command(words) if words.is_empty() => continue,
                front => return front,
            }
        }
        let end = match guard::command(bytes, bounds) {
            Extent::Partial if bytes.len() > bounds.message => {
                return Front::Bad(What::TooBig("a request").into())
            }
            Extent::Partial => return Front::Partial,
            Extent::Bad(what) => return Front::Bad(what.into()),
            Extent::Whole(end) => end,
        };
        let command = bytes.split_to(end).freeze();
        return match resp2::decode::decode_bytes(&command) {
            Ok(Some((Frame::Array(words), _))) if words.is_empty() => continue,
            Ok(Some((Frame::Array(words), _))) => {
                Front::Command(words.into_iter().map(word).collect())
            }
            _ => Front::Bad(What::Shape("an array of bulk strings").into()),
        };
    }
    Front::Partial
}

fn word(frame: Frame) -> Bytes {
    match frame {
        Frame::BulkString(bytes) => bytes,
        // The guard lets nothing else through.
        _ => Bytes::new(),
    }
}

/// A command as a line of words.
fn inline(bytes: &mut BytesMut, bounds: &Bounds) -> Front {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
        return if bytes.len() > bounds.word {
            Front::Bad(What::TooBig("inline request").into())
        } else {
            Front::Partial
        };
    };
    let line = bytes.split_to(end + 1).freeze();
    let words = line
        .split(|b| b.is_ascii_whitespace())
        .filter(|w| !w.is_empty());
    let words: Vec<Bytes> = words
        .take(bounds.words + 1)
        .map(|w| line.slice_ref(w))
        .collect();
    if words.len() > bounds.words {
        return Front::Bad(What::Words.into());
    }
    Front::Command(words)
}
