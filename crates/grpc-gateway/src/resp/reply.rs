//! Replies of the RESP port and their encoding in RESP2 and RESP3. Commands are parsed by `chalkdeck-resp`.

use bytes::{Bytes, BytesMut};
use chalkdeck_resp::MessageLimits;
use redis_protocol::resp2::{self, types::BytesFrame};
use redis_protocol::resp3;

/// The limits of a received command.
pub(crate) const COMMAND_LIMITS: MessageLimits = MessageLimits {
    max_elements: 64,
    max_element_bytes: 4 << 10,
    max_line_bytes: 0,
    max_message_bytes: 64 << 10,
    accepts_inline: true,
};

/// The reply to a command.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Reply {
    Ok,
    Pong,
    Error(String),
    Integer(i64),
    Bulk(Bytes),
    Null,
    Array(Vec<Reply>),
    /// The reply to `HELLO`: a map in RESP3, an array of alternating names and values in RESP2.
    Hello,
}

/// The names and values in the reply to `HELLO`.
fn hello_properties(uses_resp3: bool) -> Vec<Reply> {
    let text = |text: &'static str| Reply::Bulk(Bytes::from_static(text.as_bytes()));
    let version = Bytes::from_static(env!("CARGO_PKG_VERSION").as_bytes());
    vec![
        text("server"),
        text("chalkdeck"),
        text("version"),
        Reply::Bulk(version),
        text("proto"),
        Reply::Integer(if uses_resp3 { 3 } else { 2 }),
        text("mode"),
        text("standalone"),
        text("role"),
        text("master"),
    ]
}

fn resp2_frame(reply: Reply) -> BytesFrame {
    match reply {
        Reply::Ok => BytesFrame::SimpleString(Bytes::from_static(b"OK")),
        Reply::Pong => BytesFrame::SimpleString(Bytes::from_static(b"PONG")),
        Reply::Error(text) => BytesFrame::Error(text.replace(['\r', '\n'], " ").into()),
        Reply::Integer(number) => BytesFrame::Integer(number),
        Reply::Bulk(bytes) => BytesFrame::BulkString(bytes),
        Reply::Null => BytesFrame::Null,
        Reply::Array(items) => BytesFrame::Array(items.into_iter().map(resp2_frame).collect()),
        Reply::Hello => BytesFrame::Array(
            hello_properties(false)
                .into_iter()
                .map(resp2_frame)
                .collect(),
        ),
    }
}

fn resp3_frame(reply: Reply) -> resp3::types::BytesFrame {
    use resp3::types::BytesFrame as Frame;
    let attributes = None;
    match reply {
        Reply::Null => Frame::Null,
        Reply::Integer(data) => Frame::Number { data, attributes },
        Reply::Bulk(data) => Frame::BlobString { data, attributes },
        Reply::Array(items) => Frame::Array {
            data: items.into_iter().map(resp3_frame).collect(),
            attributes,
        },
        Reply::Hello => {
            let mut properties = hello_properties(true).into_iter().map(resp3_frame);
            let mut data = resp3::types::FrameMap::default();
            while let (Some(name), Some(value)) = (properties.next(), properties.next()) {
                data.insert(name, value);
            }
            Frame::Map { data, attributes }
        }
        Reply::Error(text) => Frame::SimpleError {
            data: text.replace(['\r', '\n'], " ").into(),
            attributes,
        },
        Reply::Ok => Frame::SimpleString {
            data: Bytes::from_static(b"OK"),
            attributes,
        },
        Reply::Pong => Frame::SimpleString {
            data: Bytes::from_static(b"PONG"),
            attributes,
        },
    }
}

/// Appends an encoded reply.
pub(crate) fn encode(out: &mut BytesMut, reply: Reply, uses_resp3: bool) {
    // The encoders fail only if a buffer is too short, and this one grows.
    if uses_resp3 {
        let _ = resp3::encode::complete::extend_encode(out, &resp3_frame(reply), false);
    } else {
        let _ = resp2::encode::extend_encode(out, &resp2_frame(reply), false);
    }
}
