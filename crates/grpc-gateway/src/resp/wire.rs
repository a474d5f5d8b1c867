//! RESP as this front writes it; commands are read by `chalkdeck-resp`.

use bytes::{Bytes, BytesMut};
use chalkdeck_resp::MessageLimits;
use redis_protocol::resp2::{self, types::BytesFrame};
use redis_protocol::resp3;

/// What is read of a command.
pub(crate) const LIMITS: MessageLimits = MessageLimits {
    max_elements: 64,
    max_element_bytes: 4 << 10,
    max_line_bytes: 0,
    max_message_bytes: 64 << 10,
    accepts_inline: true,
};

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
        Reply::Array(items) => F::Array {
            data: items.into_iter().map(frame3).collect(),
            attributes,
        },
        Reply::Hello => {
            let mut words = hello(true).into_iter().map(frame3);
            let mut data = resp3::types::FrameMap::default();
            while let (Some(name), Some(value)) = (words.next(), words.next()) {
                data.insert(name, value);
            }
            F::Map { data, attributes }
        }
        Reply::Error(text) => F::SimpleError {
            data: text.replace(['\r', '\n'], " ").into(),
            attributes,
        },
        Reply::Ok => F::SimpleString {
            data: Bytes::from_static(b"OK"),
            attributes,
        },
        Reply::Pong => F::SimpleString {
            data: Bytes::from_static(b"PONG"),
            attributes,
        },
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
