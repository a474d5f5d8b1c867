//! Calls, call handles and replies.

use crate::command::{Command, CommandSender};
use crate::core::{CallId, Idempotency, Outcome};
use bytes::Bytes;
use chalkdeck_net::grpc::Code;
use std::sync::Arc;
use std::time::Duration;

/// A unary call, or the first message of a stream.
#[derive(Clone, Debug)]
pub struct Call {
    /// The path of the method: `/package.Service/Method`.
    pub path: String,
    /// The encoded message, without a frame header.
    pub message: Bytes,
    /// Names and values of additional metadata, such as the customer.
    pub metadata: Vec<(String, String)>,
    /// Whether it may be retried.
    pub idempotency: Idempotency,
    /// The idempotency key of a keyed call. If there is none, the library generates a random key of 128 bits.
    pub key: Option<String>,
    /// The time limit for all attempts together.
    pub timeout: Duration,
}

/// The reply to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// How it ended.
    pub outcome: Outcome,
    /// The status of the last attempt that received one.
    pub status: Option<Code>,
    /// The message of that status.
    pub status_message: String,
    /// The response message, if the call was answered.
    pub message: Option<Bytes>,
    /// The number of attempts that were sent.
    pub attempts: u32,
}

impl Reply {
    /// The reply to a call without any attempt.
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

/// The limit of open calls is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too many calls are open; let some end first")]
pub struct TooManyCalls;

/// A handle of an open call. Dropping it does not cancel the call.
#[derive(Clone)]
pub struct CallHandle {
    pub(crate) commands: Arc<CommandSender>,
    pub(crate) call: CallId,
}

impl CallHandle {
    /// Cancels the call. Its callback receives [`Outcome::Cancelled`], unless the call has already ended.
    pub fn cancel(&self) {
        self.commands.send(Command::Cancel { call: self.call });
    }
}
