//! RESP2 on the wire, free of I/O: where a command or a reply ends, and what it holds. The codec is `redis-protocol`'s;
//! before it stands a guard that reads lengths, so that one that lies is told at once and nothing nested or large is ever
//! kept or decoded.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answers;
mod command;
mod error;
mod guard;
mod reply;

pub use answers::Answers;
pub use command::{take, Front};
pub use error::{Unreadable, What};
pub use guard::Bounds;
pub use redis_protocol::resp2::types::BytesFrame as Frame;
pub use reply::{encode, push_command, take_reply, Reply};
