//! Client sessions: the connections of clients, what each has sent so far, and the replies in the order of its commands.
//!
//! Limits: connections by the descriptors granted, pending commands by connection, bytes of commands by the memory granted. When
//! descriptors run short the connection that has been idle longest is evicted, see [`session::EvictionRank`].

mod closing;
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

/// The largest command that is read: a body of 64 KiB beside an id, a customer and a list of names.
const COMMAND_LIMITS: MessageLimits = MessageLimits {
    max_elements: 16,
    max_element_bytes: 64 << 10,
    max_line_bytes: 0,
    max_message_bytes: 80 << 10,
    accepts_inline: false,
};

/// A command that was received, with the slot of its reply.
pub(crate) struct ReceivedCommand {
    pub(crate) slot: ReplySlot,
    pub(crate) words: Vec<Bytes>,
    /// The time from which on its deadline counts: it was received no later.
    pub(crate) received_at: Timestamp,
}

/// All client sessions.
pub(crate) struct Sessions {
    by_conn: FxHashMap<ConnId, Session>,
    /// Beyond this number a new connection evicts an idle one.
    max_sessions: usize,
    /// Bytes of commands that may be held.
    max_held_bytes: usize,
    /// Bytes of commands that are held.
    held_bytes: usize,
    /// Paused connections that may go on, each once.
    resumed: Vec<ConnId>,
    /// When the shutdown began to close idle connections.
    shutdown_since: Option<Timestamp>,
}

impl Sessions {
    pub(crate) fn new(max_sessions: usize, max_held_bytes: usize) -> Sessions {
        Sessions {
            by_conn: FxHashMap::default(),
            max_sessions,
            max_held_bytes,
            held_bytes: 0,
            resumed: Vec::new(),
            shutdown_since: None,
        }
    }

    /// Whether this is the connection of a client.
    pub(crate) fn owns(&self, conn: ConnId) -> bool {
        self.by_conn.contains_key(&conn)
    }

    /// A connection was accepted. Where there are too many now, an idle one is evicted.
    pub(crate) fn on_accepted(&mut self, engine: &mut Engine, conn: ConnId) {
        let now = clock::now(engine);
        self.by_conn.insert(conn, Session::accepted(now));
        if self.by_conn.len() > self.max_sessions {
            self.evict_one(engine, conn, now);
        }
    }

    /// Bytes were received.
    pub(crate) fn on_bytes(&mut self, engine: &mut Engine, conn: ConnId, data: &[u8]) {
        let now = clock::now(engine);
        let Some(session) = self.by_conn.get_mut(&conn).filter(|s| !s.is_read_closed) else {
            return;
        };
        session.bytes.extend_from_slice(data);
        session.active_at = now;
        session.received_at = session.unread_since.unwrap_or(now);
        flow_control::forget_pause_once_read(engine, conn, session);
    }

    /// The next command of a connection, as long as there is room for it. A protocol error is answered and ends the reading.
    pub(crate) fn next_command(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
    ) -> Option<ReceivedCommand> {
        let is_full = self.is_full();
        let unsent = engine.unsent(conn);
        let session = self.by_conn.get_mut(&conn).filter(|s| !s.is_read_closed)?;
        let is_limited = flow_control::exceeds_limits(session, unsent);
        if is_limited || is_full && !session.bytes.is_empty() {
            flow_control::pause(engine, conn, session);
            return None;
        }
        match take_command(&mut session.bytes, &COMMAND_LIMITS) {
            ParsedCommand::Incomplete => {
                flow_control::unpause(engine, conn, session);
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

    /// A request of the connection is open; its command holds so many bytes.
    pub(crate) fn on_request_opened(&mut self, conn: ConnId, id: RequestId, bytes: usize) {
        self.held_bytes += bytes;
        if let Some(session) = self.by_conn.get_mut(&conn) {
            session.open_requests.insert(id);
        }
    }

    /// A request has its final reply, or its client has disconnected.
    pub(crate) fn on_request_ended(&mut self, conn: ConnId, id: RequestId, bytes: usize) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
        if let Some(session) = self.by_conn.get_mut(&conn) {
            session.open_requests.remove(&id);
        }
    }

    /// Fills the slot of a reply. `flush` sends it once those before it are known.
    pub(crate) fn reply(&mut self, conn: ConnId, slot: ReplySlot, reply: Frame) {
        if let Some(session) = self.by_conn.get_mut(&conn) {
            session.replies.fill(slot, reply);
        }
    }

    /// Reads no further command from the connection, which is closed once all its replies are sent.
    pub(crate) fn close_reading(&mut self, conn: ConnId) {
        if let Some(session) = self.by_conn.get_mut(&conn) {
            session.is_read_closed = true;
        }
    }

    /// Sends the replies whose turn has come.
    pub(crate) fn flush(&mut self, engine: &mut Engine, conn: ConnId) {
        let Some(session) = self.by_conn.get_mut(&conn) else {
            return;
        };
        let mut out = BytesMut::new();
        while let Some(reply) = session.replies.pop_ready() {
            encode_reply(&mut out, &reply);
        }
        if !out.is_empty() {
            session.active_at = clock::now(engine);
            engine.write(conn, &out);
        }
        self.resume(engine, conn);
        self.linger_once_answered(engine, conn);
    }

    /// A connection has ended; returns its requests that are still open, in the order of their ids.
    pub(crate) fn on_closed(&mut self, conn: ConnId) -> Vec<RequestId> {
        let Some(session) = self.by_conn.remove(&conn) else {
            return Vec::new();
        };
        let mut open: Vec<RequestId> = session.open_requests.into_iter().collect();
        open.sort_unstable();
        open
    }
}

#[cfg(test)]
mod shutdown_tests;
#[cfg(test)]
mod test_support;
#[cfg(test)]
mod tests;
