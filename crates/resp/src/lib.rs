//! RESP2 codec without I/O: decodes and encodes commands and replies.
//!
//! `redis-protocol` does the decoding. Before it runs, the lengths that a message states are checked against [`MessageLimits`], so that
//! an invalid length is rejected as soon as it is read, and nothing nested or too large is ever buffered or decoded.
#![forbid(unsafe_code)]

mod command;
mod encode;
mod error;
mod extent;
mod limits;
mod reply;
mod reply_queue;

pub use command::{command_size, take_command, CommandSize, ParsedCommand};
pub use encode::{encode_command, encode_reply};
pub use error::{ProtocolError, ProtocolErrorKind};
pub use limits::MessageLimits;
/// A RESP2 value: a reply, or an item of one.
pub use redis_protocol::resp2::types::BytesFrame as Frame;
pub use reply::{take_reply, ParsedReply};
pub use reply_queue::{ReplyQueue, ReplySlot};
