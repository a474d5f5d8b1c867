//! Decodes the replies that a client receives.

use crate::error::{ProtocolError, ProtocolErrorKind};
use crate::extent::{reply_extent, Extent};
use crate::limits::MessageLimits;
use crate::Frame;
use bytes::BytesMut;
use redis_protocol::resp2;

/// The result of decoding a reply at the start of the receive buffer.
#[derive(Debug, PartialEq)]
pub enum ParsedReply {
    /// The reply is not complete yet, or the buffer is empty.
    Incomplete,
    /// A complete reply.
    Complete(Frame),
    /// A protocol error; the connection cannot be decoded any further.
    Invalid(ProtocolError),
}

/// Decodes the next reply and removes it from the buffer. Nested arrays are invalid.
pub fn take_reply(buffer: &mut BytesMut, limits: &MessageLimits) -> ParsedReply {
    if buffer.is_empty() {
        return ParsedReply::Incomplete;
    }
    let end = match reply_extent(buffer, limits) {
        Extent::Incomplete(_) if buffer.len() > limits.max_message_bytes => {
            return ParsedReply::Invalid(ProtocolErrorKind::TooLarge("a reply").into())
        }
        Extent::Incomplete(_) => return ParsedReply::Incomplete,
        Extent::Invalid(kind) => return ParsedReply::Invalid(kind.into()),
        Extent::Complete(end) => end,
    };
    match resp2::decode::decode_bytes(&buffer.split_to(end).freeze()) {
        Ok(Some((frame, _))) => ParsedReply::Complete(frame),
        _ => ParsedReply::Invalid(ProtocolErrorKind::UnexpectedShape("a reply").into()),
    }
}
