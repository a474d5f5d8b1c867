//! One connection: its protocol, whether it may ask, and answers in the order of their commands.

use super::command::Command;
use super::wire::{encode, Reply};
use bytes::BytesMut;
use chalkdeck_resp::{ReplyQueue, ReplySlot};

/// A connection's state.
#[derive(Default)]
pub(crate) struct Session {
    pub(crate) bytes: BytesMut,
    pub(crate) paused: bool,
    /// It goes on in the loop's next turn.
    pub(crate) resumes: bool,
    /// A look at whether it stands still is due.
    pub(crate) watched: bool,
    pub(crate) heard: u64,
    /// It gets no further answers than those that are due.
    pub(crate) over: bool,
    /// Tickets that it holds.
    pub(crate) tickets: usize,
    resp3: bool,
    known: bool,
    answers: ReplyQueue<Reply>,
}

impl Session {
    /// Answers that are still to come or to be sent.
    pub(crate) fn pending(&self) -> usize {
        self.answers.pending()
    }
    /// An answer at once.
    pub(crate) fn ready(&mut self, reply: Reply) {
        self.answers.push(reply);
    }
    /// An answer to come; returns its slot.
    pub(crate) fn wait(&mut self) -> ReplySlot {
        self.answers.reserve()
    }
    pub(crate) fn answer(&mut self, slot: ReplySlot, reply: Reply) {
        self.answers.fill(slot, reply);
    }
    /// The answers that can be sent.
    pub(crate) fn take_ready(&mut self) -> BytesMut {
        let mut out = BytesMut::new();
        while let Some(reply) = self.answers.pop_ready() {
            encode(&mut out, reply, self.resp3);
        }
        out
    }
    /// Nothing is asked and nothing is owed.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending() == 0 && self.bytes.is_empty()
    }
    /// All is answered and nothing more is read.
    pub(crate) fn ended(&self) -> bool {
        self.over && self.pending() == 0
    }

    /// Commands that are answered from the connection's own state; none: the command goes on.
    pub(crate) fn greet(&mut self, command: &Command, password: &[u8]) -> Option<Reply> {
        let wrong = || {
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
                    return wrong();
                }
                self.known = true;
            }
            Command::Quit => return None,
            _ => {}
        }
        if !password.is_empty() && !self.known {
            return Some(Reply::Error("NOAUTH Authentication required.".into()));
        }
        match command {
            Command::Hello { resp3, .. } => {
                self.resp3 = resp3.unwrap_or(self.resp3);
                Some(Reply::Hello)
            }
            Command::Auth(_) => Some(Reply::Ok),
            Command::Plain(reply) => Some(reply.clone()),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
