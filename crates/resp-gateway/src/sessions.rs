//! Client sessions: each holds the received bytes of a client connection and its replies in the order of its commands.
//!
//! Limits: the number of sessions follows from the granted file descriptors, the bytes of commands from the granted memory, and the number
//! of pending commands is limited per connection. Above the limit of sessions some are evicted, see [`eviction`].

mod closing;
mod eviction;
mod flow_control;
mod session;

use crate::client_replies;
use crate::clock;
use bytes::{Bytes, BytesMut};
use chalkdeck::api::RequestId;
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_resp::{encode_reply, take_command, Frame, MessageLimits, ParsedCommand, ReplySlot};
use chalkdeck_time::Timestamp;
use rustc_hash::FxHashMap;
use session::Session;

/// The size limits of a command: a body of up to 64 KiB, besides the customer, the id and the list of fields.
const COMMAND_LIMITS: MessageLimits = MessageLimits {
    max_elements: 16,
    max_element_bytes: 64 << 10,
    max_line_bytes: 0,
    max_message_bytes: 80 << 10,
    accepts_inline: false,
};

/// A received command, with the slot of its reply.
pub(crate) struct ReceivedCommand {
    pub(crate) slot: ReplySlot,
    pub(crate) words: Vec<Bytes>,
    /// The time from which its deadline is counted; the command was received at this time or later.
    pub(crate) received_at: Timestamp,
}

/// All client sessions.
pub(crate) struct Sessions {
    by_conn: FxHashMap<ConnId, Session>,
    /// Above this number connections are evicted.
    max_sessions: usize,
    /// The maximum total size of the commands of open requests; at it, all reading is paused.
    max_command_bytes: usize,
    /// The total size of the commands of open requests.
    command_bytes: usize,
    /// Paused connections that are to be resumed, each at most once.
    resume_queue: Vec<ConnId>,
    /// When the shutdown began to close idle connections.
    closing_since: Option<Timestamp>,
}

impl Sessions {
    pub(crate) fn new(max_sessions: usize, max_command_bytes: usize) -> Sessions {
        Sessions {
            by_conn: FxHashMap::default(),
            max_sessions,
            max_command_bytes,
            command_bytes: 0,
            resume_queue: Vec::new(),
            closing_since: None,
        }
    }

    /// Whether this is the connection of a client.
    pub(crate) fn owns(&self, conn: ConnId) -> bool {
        self.by_conn.contains_key(&conn)
    }

    /// Adds a session for an accepted connection.
    pub(crate) fn on_accepted(&mut self, engine: &Engine, conn: ConnId) {
        let now = clock::now(engine);
        self.by_conn.insert(conn, Session::accepted(now));
    }

    /// Stores received bytes, unless the connection is not read any more.
    pub(crate) fn on_bytes(&mut self, engine: &mut Engine, conn: ConnId, data: &[u8]) {
        let now = clock::now(engine);
        let Some(session) = self.by_conn.get_mut(&conn).filter(|s| !s.is_read_closed) else {
            return;
        };
        session.bytes.extend_from_slice(data);
        session.last_active_at = now;
        session.received_at = session.unread_since.unwrap_or(now);
        flow_control::clear_unread_since_if_empty(engine, conn, session);
    }

    /// Returns the next command of a connection, or pauses the connection if flow control does not allow another one. A protocol error is
    /// answered, and the connection is not read any more.
    pub(crate) fn next_command(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
    ) -> Option<ReceivedCommand> {
        let is_command_memory_full = self.is_command_memory_full();
        let unsent = engine.unsent_bytes(conn);
        let session = self.by_conn.get_mut(&conn).filter(|s| !s.is_read_closed)?;
        let is_limited = flow_control::exceeds_limits(session, unsent);
        if is_limited || is_command_memory_full && !session.bytes.is_empty() {
            flow_control::pause(engine, conn, session);
            return None;
        }
        match take_command(&mut session.bytes, &COMMAND_LIMITS) {
            ParsedCommand::Incomplete => {
                flow_control::resume(engine, conn, session);
                None
            }
            ParsedCommand::Complete(words) => {
                session.has_sent_command = true;
                Some(ReceivedCommand {
                    slot: session.replies.reserve(),
                    words,
                    received_at: session.received_at,
                })
            }
            ParsedCommand::Invalid(protocol_error) => {
                let reply = client_replies::error(&protocol_error.to_string());
                session.replies.push(reply);
                session.is_read_closed = true;
                session.bytes = BytesMut::new();
                None
            }
        }
    }

    /// Registers a request of the connection; `bytes` is the size of its command.
    pub(crate) fn on_request_opened(&mut self, conn: ConnId, id: RequestId, bytes: usize) {
        self.command_bytes += bytes;
        if let Some(session) = self.by_conn.get_mut(&conn) {
            session.open_requests.insert(id);
        }
    }

    /// Removes a request that has its final reply or whose client has disconnected; `bytes` is the size of its command.
    pub(crate) fn on_request_ended(&mut self, conn: ConnId, id: RequestId, bytes: usize) {
        self.command_bytes = self.command_bytes.saturating_sub(bytes);
        if let Some(session) = self.by_conn.get_mut(&conn) {
            session.open_requests.remove(&id);
        }
    }

    /// Fills the slot of a reply. `flush` sends it once the replies before it are known.
    pub(crate) fn reply(&mut self, conn: ConnId, slot: ReplySlot, reply: Frame) {
        if let Some(session) = self.by_conn.get_mut(&conn) {
            session.replies.fill(slot, reply);
        }
    }

    /// Stops reading commands from the connection, which is closed once all its replies are sent.
    pub(crate) fn close_reading(&mut self, conn: ConnId) {
        if let Some(session) = self.by_conn.get_mut(&conn) {
            session.is_read_closed = true;
        }
    }

    /// Sends the replies that are ready and have no unknown reply before them.
    pub(crate) fn flush(&mut self, engine: &mut Engine, conn: ConnId) {
        let Some(session) = self.by_conn.get_mut(&conn) else {
            return;
        };
        let mut out = BytesMut::new();
        while let Some(reply) = session.replies.pop_ready() {
            encode_reply(&mut out, &reply);
        }
        if !out.is_empty() {
            session.last_active_at = clock::now(engine);
            engine.write(conn, &out);
        }
        self.queue_to_resume(engine, conn);
        self.linger_once_answered(engine, conn);
    }

    /// Removes the session of a connection that has ended; returns its open requests in the order of their ids.
    pub(crate) fn on_closed(&mut self, conn: ConnId) -> Vec<RequestId> {
        let Some(session) = self.by_conn.remove(&conn) else {
            return Vec::new();
        };
        let mut open_requests: Vec<RequestId> = session.open_requests.into_iter().collect();
        open_requests.sort_unstable();
        open_requests
    }
}

#[cfg(test)]
mod eviction_tests;
#[cfg(test)]
mod shutdown_tests;
#[cfg(test)]
mod test_support;
#[cfg(test)]
mod tests;
