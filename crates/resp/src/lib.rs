//! RESP2 on the wire, free of I/O: where a command or a reply ends, and what it holds.
//!
//! `redis-protocol` decodes. Before it runs, the lengths of a message are checked against [`MessageLimits`], so that a false length
//! is rejected as soon as it is read, and nothing nested or too large is ever buffered or decoded.
#![forbid(unsafe_code)]

mod command;
mod encode;
mod error;
mod extent;
mod limits;
mod reply;
mod reply_queue;

pub use command::{take_command, ParsedCommand};
pub use encode::{encode_command, encode_reply};
pub use error::{ProtocolError, ProtocolErrorKind};
pub use limits::MessageLimits;
/// A reply, or a part of one.
pub use redis_protocol::resp2::types::BytesFrame as Frame;
pub use reply::{take_reply, ParsedReply};
pub use reply_queue::{ReplyQueue, ReplySlot};
