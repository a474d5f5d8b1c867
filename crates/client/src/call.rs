//! Calls, their handles and their replies.

use crate::command::{Command, CommandSender};
use crate::core::{CallId, Idempotency, Outcome};
use bytes::Bytes;
use chalkdeck_net::grpc::Code;
use std::sync::Arc;
use std::time::Duration;

/// A unary call, or the beginning of a stream.
#[derive(Clone, Debug)]
pub struct Call {
    /// `/package.Service/Method`.
    pub path: String,
    /// The message, without its frame.
    pub message: Bytes,
    /// Names and values of further metadata, such as the customer.
    pub metadata: Vec<(String, String)>,
    /// Whether it may be retried.
    pub idempotency: Idempotency,
    /// The idempotency key of a keyed call; without one the library draws one of 128 bits.
    pub key: Option<String>,
    /// Time for all attempts together.
    pub timeout: Duration,
}

/// How a call ended.
#[derive(Clone, Debug)]
pub struct Reply {
    /// How it ended.
    pub outcome: Outcome,
    /// Status of the last attempt that had one.
    pub status: Option<Code>,
    /// Message of that status.
    pub status_message: String,
    /// The message of an answer.
    pub message: Option<Bytes>,
    /// Attempts that were sent.
    pub attempts: u32,
}

impl Reply {
    /// The reply to a call of which nothing was sent.
    pub(crate) fn without_attempt(
        outcome: Outcome,
        status: Option<Code>,
        status_message: impl Into<String>,
    ) -> Reply {
        Reply {
            outcome,
            status,
            status_message: status_message.into(),
            message: None,
            attempts: 0,
        }
    }
}

/// Too many calls are open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too many calls are open; let some end first")]
pub struct TooManyCalls;

/// A call under way. Dropping the handle does not cancel the call.
#[derive(Clone)]
pub struct CallHandle {
    pub(crate) commands: Arc<CommandSender>,
    pub(crate) call: CallId,
}

impl CallHandle {
    /// Cancels the call: its callback gets [`Outcome::Cancelled`], unless the call has ended.
    pub fn cancel(&self) {
        self.commands.send(Command::Cancel { call: self.call });
    }
}
