//! RESP on the wire: where a command ends, its words, and answers. The codec is `redis-protocol`'s; before it stands a guard
//! that reads lengths, so that one that lies is told at once and nothing nested or large is ever decoded.

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::{self, types::BytesFrame};
use redis_protocol::resp3;

/// The most words of a command, and bytes of one word; with them a command is at most this long.
pub(crate) const MOST_WORDS: usize = 64;
pub(crate) const MOST_WORD: usize = 4 << 10;
pub(crate) const MOST_COMMAND: usize = 64 << 10;

/// What stands at the front of the bytes that came.
#[derive(Debug, PartialEq)]
pub(crate) enum Front {
    /// Not a whole command yet.
    Partial,
    /// Its words.
    Command(Vec<Bytes>),
    /// Bytes that cannot be read on from.
    Bad(String),
}

enum Extent {
    Partial,
    Whole(usize),
    Bad(String),
}

/// A line of a number after its mark.
enum Length {
    Partial,
    Of { value: usize, next: usize },
    Bad,
}

fn length(bytes: &[u8], at: usize, most: usize) -> Length {
    let rest = &bytes[at..];
    let Some(end) = rest.windows(2).take(24).position(|w| w == b"\r\n") else {
        return if rest.len() > 24 { Length::Bad } else { Length::Partial };
    };
    let number = std::str::from_utf8(&rest[..end]).ok().and_then(|t| t.parse::<usize>().ok());
    match number.filter(|n| *n <= most) {
        Some(value) => Length::Of { value, next: at + end + 2 },
        None => Length::Bad,
    }
}

/// How far the command reaches: an array of strings, each within its bounds.
fn extent(bytes: &[u8]) -> Extent {
    let (words, mut at) = match length(bytes, 1, MOST_WORDS) {
        Length::Of { value, next } => (value, next),
        Length::Partial => return Extent::Partial,
        Length::Bad => return Extent::Bad("Protocol error: invalid multibulk length".into()),
    };
    for _ in 0..words {
        match bytes.get(at) {
            None => return Extent::Partial,
            Some(b'$') => {}
            Some(other) => {
                return Extent::Bad(format!("Protocol error: expected '$', got '{}'", other.escape_ascii()))
            }
        }
        match length(bytes, at + 1, MOST_WORD) {
            Length::Of { value, next } => at = next + value + 2,
            Length::Partial => return Extent::Partial,
            Length::Bad => return Extent::Bad("Protocol error: invalid bulk length".into()),
        }
        if bytes.len() >= at && &bytes[at - 2..at] != b"\r\n" {
            return Extent::Bad("Protocol error: expected CRLF after a bulk string".into());
        }
    }
    if bytes.len() < at {
        Extent::Partial
    } else {
        Extent::Whole(at)
    }
}

/// Takes the next command off the bytes that came. An empty line is none and is passed over.
pub(crate) fn take(bytes: &mut BytesMut) -> Front {
    while !bytes.is_empty() {
        if bytes[0] != b'*' {
            match inline(bytes) {
                Front::Command(words) if words.is_empty() => continue,
                front => return front,
            }
        }
        let end = match extent(bytes) {
            Extent::Partial => return Front::Partial,
            Extent::Bad(why) => return Front::Bad(why),
            Extent::Whole(end) => end,
        };
        let command = bytes.split_to(end).freeze();
        return match resp2::decode::decode_bytes(&command) {
            Ok(Some((BytesFrame::Array(words), _))) if words.is_empty() => continue,
            Ok(Some((BytesFrame::Array(words), _))) => Front::Command(words.into_iter().map(word).collect()),
            _ => Front::Bad("Protocol error: expected an array of bulk strings".into()),
        };
    }
    Front::Partial
}

fn word(frame: BytesFrame) -> Bytes {
    match frame {
        BytesFrame::BulkString(bytes) => bytes,
        // The guard lets nothing else through.
        _ => Bytes::new(),
    }
}

/// A command as a line of words, as typed by hand.
fn inline(bytes: &mut BytesMut) -> Front {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
        return if bytes.len() > MOST_WORD {
            Front::Bad("Protocol error: too big inline request".into())
        } else {
            Front::Partial
        };
    };
    let line = bytes.split_to(end + 1).freeze();
    let words = line.split(|b| b.is_ascii_whitespace()).filter(|w| !w.is_empty());
    let words: Vec<Bytes> = words.take(MOST_WORDS + 1).map(|w| line.slice_ref(w)).collect();
    if words.len() > MOST_WORDS {
        return Front::Bad("Protocol error: too many words".into());
    }
    Front::Command(words)
}

/// An answer.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Reply {
    Ok,
    Pong,
    Error(String),
    Integer(i64),
    Bulk(Bytes),
    Null,
    Array(Vec<Reply>),
    /// The answer to HELLO: a map in RESP3, a list of pairs in RESP2.
    Hello,
}

/// What HELLO tells.
fn hello(resp3: bool) -> Vec<Reply> {
    let text = |t: &'static str| Reply::Bulk(Bytes::from_static(t.as_bytes()));
    let version = Bytes::from_static(env!("CARGO_PKG_VERSION").as_bytes());
    vec![
        text("server"),
        text("chalkdeck"),
        text("version"),
        Reply::Bulk(version),
        text("proto"),
        Reply::Integer(if resp3 { 3 } else { 2 }),
        text("mode"),
        text("standalone"),
        text("role"),
        text("master"),
    ]
}

fn frame(reply: Reply) -> BytesFrame {
    match reply {
        Reply::Ok => BytesFrame::SimpleString(Bytes::from_static(b"OK")),
        Reply::Pong => BytesFrame::SimpleString(Bytes::from_static(b"PONG")),
        Reply::Error(text) => BytesFrame::Error(text.replace(['\r', '\n'], " ").into()),
        Reply::Integer(n) => BytesFrame::Integer(n),
        Reply::Bulk(bytes) => BytesFrame::BulkString(bytes),
        Reply::Null => BytesFrame::Null,
        Reply::Array(items) => BytesFrame::Array(items.into_iter().map(frame).collect()),
        Reply::Hello => BytesFrame::Array(hello(false).into_iter().map(frame).collect()),
    }
}

fn frame3(reply: Reply) -> resp3::types::BytesFrame {
    use resp3::types::BytesFrame as F;
    let attributes = None;
    match reply {
        Reply::Null => F::Null,
        Reply::Integer(data) => F::Number { data, attributes },
        Reply::Bulk(data) => F::BlobString { data, attributes },
        Reply::Array(items) => F::Array { data: items.into_iter().map(frame3).collect(), attributes },
        Reply::Hello => {
            let mut words = hello(true).into_iter().map(frame3);
            let mut data = resp3::types::FrameMap::default();
            while let (Some(name), Some(value)) = (words.next(), words.next()) {
                data.insert(name, value);
            }
            F::Map { data, attributes }
        }
        Reply::Error(text) => F::SimpleError { data: text.replace(['\r', '\n'], " ").into(), attributes },
        Reply::Ok => F::SimpleString { data: Bytes::from_static(b"OK"), attributes },
        Reply::Pong => F::SimpleString { data: Bytes::from_static(b"PONG"), attributes },
    }
}

/// Appends an answer.
pub(crate) fn encode(out: &mut BytesMut, reply: Reply, resp3: bool) {
    // The buffer grows, so neither fails.
    if resp3 {
        let _ = resp3::encode::complete::extend_encode(out, &frame3(reply), false);
    } else {
        let _ = resp2::encode::extend_encode(out, &frame(reply), false);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn words(front: Front) -> Vec<String> {
        let Front::Command(words) = front else { panic!("expected a command, found {front:?}") };
        words.iter().map(|w| String::from_utf8_lossy(w).into_owned()).collect()
    }

    #[test]
    fn commands_come_in_pieces_in_pipelines_and_by_hand() {
        let mut bytes = BytesMut::new();
        let whole = b"*2\r\n$4\r\nPING\r\n$2\r\nhi\r\nPING  there\r\n\r\n*0\r\n*1\r\n$4\r\nQUIT\r\n";
        let mut seen = Vec::new();
        for byte in whole {
            bytes.extend_from_slice(&[*byte]);
            match take(&mut bytes) {
                Front::Partial => {}
                front => seen.push(words(front)),
            }
        }
        assert_eq!(seen, [vec!["PING", "hi"], vec!["PING", "there"], vec!["QUIT"]]);
    }

    #[test]
    fn lengths_that_lie_and_nested_arrays_are_told_at_once() {
        for (bytes, why) in [
            (&b"*1000000\r\n"[..], "multibulk"),
            (b"*-5\r\n", "multibulk"),
            (b"*99999999999999999999999999", "multibulk"),
            (b"*1\r\n$999999999\r\n", "bulk length"),
            (b"*1\r\n$-1\r\n", "bulk length"),
            (b"*1\r\n*1\r\n", "expected '$'"),
            (b"*1\r\n:5\r\n", "expected '$'"),
            (b"*1\r\n$2\r\nabcd", "expected CRLF"),
        ] {
            let Front::Bad(text) = take(&mut BytesMut::from(bytes)) else { panic!("{bytes:?} was taken") };
            assert!(text.contains(why), "{text}");
        }
        let Front::Bad(_) = take(&mut BytesMut::from(&[b'x'; 5_000][..])) else {
            panic!("a line without end")
        };
    }

    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    /// All fronts of some bytes that come in pieces, until the first that cannot be read on from.
    fn fronts(pieces: &[&[u8]]) -> Vec<Front> {
        let (mut bytes, mut out) = (BytesMut::new(), Vec::new());
        for piece in pieces {
            bytes.extend_from_slice(piece);
            loop {
                match take(&mut bytes) {
                    Front::Partial => break,
                    Front::Bad(_) => return out,
                    front => out.push(front),
                }
            }
        }
        out
    }

    proptest! {
        // The same cases every time.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn any_bytes_end_well_and_pieces_do_not_matter(
            parts in proptest::collection::vec(
                prop_oneof![
                    any::<Vec<u8>>(),
                    Just(b"*2\r\n$4\r\nPING\r\n$2\r\nhi\r\n".to_vec()),
                    Just(b"*1\r\n$".to_vec()),
                    Just(b"\r\n".to_vec()),
                    Just(b"PING\n".to_vec()),
                    "[*$:+0-9\\r\\n]{0,12}".prop_map(String::into_bytes),
                ],
                0..8,
            ),
            cut in any::<prop::sample::Index>(),
        ) {
            let bytes = parts.concat();
            let cut = cut.index(bytes.len() + 1);
            let whole = fronts(&[&bytes]);
            prop_assert_eq!(&whole, &fronts(&[&bytes[..cut], &bytes[cut..]]));
            let single: Vec<&[u8]> = bytes.chunks(1).collect();
            prop_assert_eq!(&whole, &fronts(&single));
            for front in whole {
                let Front::Command(words) = front else { unreachable!("only commands are kept") };
                prop_assert!(words.len() <= MOST_WORDS && words.iter().all(|w| w.len() <= MOST_WORD + 1));
                let _ = super::super::command::read(&words);
            }
        }
    }
}
