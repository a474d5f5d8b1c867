//! One client connection of the RESP port: its protocol version, its authentication, and its replies in the order of their
//! commands.

use super::command::Command;
use super::reply::{encode, Reply};
use bytes::BytesMut;
use chalkdeck_net::write_progress::WriteProgress;
use chalkdeck_resp::{ReplyQueue, ReplySlot};

/// The state of one client connection.
#[derive(Default)]
pub(crate) struct Session {
    /// Bytes received and not parsed yet.
    pub(crate) bytes: BytesMut,
    /// Whether reading is paused; `bytes` may still contain complete commands.
    pub(crate) is_paused: bool,
    /// Whether a timer is set that resumes it in the loop's next turn.
    pub(crate) is_resume_scheduled: bool,
    /// Whether a timer is set that checks whether the client makes progress.
    pub(crate) is_progress_check_scheduled: bool,
    /// When bytes were last received, or the client was last seen to accept bytes, by the loop's clock in microseconds.
    pub(crate) last_progress_at: u64,
    write_progress: WriteProgress,
    /// Whether no more commands are read, because of a protocol error or `QUIT`.
    pub(crate) is_read_closed: bool,
    /// The number of tickets that it holds.
    pub(crate) ticket_count: usize,
    uses_resp3: bool,
    is_authenticated: bool,
    replies: ReplyQueue<Reply>,
}

impl Session {
    /// The number of replies that are not known yet or were not sent yet.
    pub(crate) fn pending_replies(&self) -> usize {
        self.replies.pending()
    }
    /// Appends a reply that is known at once.
    pub(crate) fn push_reply(&mut self, reply: Reply) {
        self.replies.push(reply);
    }
    /// Reserves the place of a reply that is known later.
    pub(crate) fn reserve_reply(&mut self) -> ReplySlot {
        self.replies.reserve()
    }
    pub(crate) fn fill_reply(&mut self, slot: ReplySlot, reply: Reply) {
        self.replies.fill(slot, reply);
    }
    /// Records the total number of bytes that the client has accepted.
    pub(crate) fn record_written_bytes(&mut self, written_bytes: u64, now: u64) {
        if self.write_progress.observe(now, written_bytes) {
            self.last_progress_at = now;
        }
    }
    /// Takes and encodes the replies that can be sent: those before the first one that is not known yet.
    pub(crate) fn take_ready_replies(&mut self) -> BytesMut {
        let mut out = BytesMut::new();
        while let Some(reply) = self.replies.pop_ready() {
            encode(&mut out, reply, self.uses_resp3);
        }
        out
    }
    /// Whether no reply is pending and the client has not begun a command.
    pub(crate) fn is_between_requests(&self) -> bool {
        self.pending_replies() == 0 && self.bytes.is_empty()
    }
    /// Whether no further command is read and all replies were sent.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_read_closed && self.pending_replies() == 0
    }

    /// Handles commands that concern only the connection, and rejects all others until the client has authenticated. Returns the
    /// reply; `None`: the command remains to be executed.
    pub(crate) fn handle_connection_command(
        &mut self,
        command: &Command,
        password: &[u8],
    ) -> Option<Reply> {
        let wrong_password = || {
            Some(Reply::Error(
                "WRONGPASS invalid username-password pair or user is disabled.".into(),
            ))
        };
        match command {
            Command::Hello {
                password: Some(given),
                ..
            }
            | Command::Auth(given) => {
                if password.is_empty() {
                    let text = "ERR Client sent AUTH, but no password is set.";
                    return Some(Reply::Error(text.into()));
                }
                if given.as_ref() != password {
                    return wrong_password();
                }
                self.is_authenticated = true;
            }
            Command::Quit => return None,
            _ => {}
        }
        if !password.is_empty() && !self.is_authenticated {
            return Some(Reply::Error("NOAUTH Authentication required.".into()));
        }
        match command {
            Command::Hello { uses_resp3, .. } => {
                self.uses_resp3 = uses_resp3.unwrap_or(self.uses_resp3);
                Some(Reply::Hello)
            }
            Command::Auth(_) => Some(Reply::Ok),
            Command::FixedReply(reply) => Some(reply.clone()),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
