//! Replies as a client parses them.

use crate::error::{ProtocolError, ProtocolErrorKind};
use crate::extent::{reply_extent, Extent};
use crate::limits::MessageLimits;
use crate::Frame;
use bytes::BytesMut;
use redis_protocol::resp2;

/// What the received bytes begin with.
#[derive(Debug, PartialEq)]
pub enum ParsedReply {
    /// A reply that has not been received whole.
    Incomplete,
    /// A reply.
    Complete(Frame),
    /// Bytes after which nothing more can be parsed, and why.
    Invalid(ProtocolError),
}

/// Takes the next reply off the received bytes. A nested array is invalid.
pub fn take_reply(buffer: &mut BytesMut, limits: &MessageLimits) -> ParsedReply {
    if buffer.is_empty() {
        return ParsedReply::Incomplete;
    }
    let end = match reply_extent(buffer, limits) {
        Extent::Incomplete if buffer.len() > limits.max_message_bytes => {
            return ParsedReply::Invalid(ProtocolErrorKind::TooLarge("a reply").into())
        }
        Extent::Incomplete => return ParsedReply::Incomplete,
        Extent::Invalid(kind) => return ParsedReply::Invalid(kind.into()),
        Extent::Complete(end) => end,
    };
    match resp2::decode::decode_bytes(&buffer.split_to(end).freeze()) {
        Ok(Some((frame, _))) => ParsedReply::Complete(frame),
        _ => ParsedReply::Invalid(ProtocolErrorKind::UnexpectedShape("a reply").into()),
    }
}
