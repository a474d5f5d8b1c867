//! Client sessions: each holds the received bytes of a client connection and its replies in the order of its commands.
//!
//! Limits: the number of sessions follows from the granted file descriptors. What they take together of the granted memory is counted by
//! one budget: received bytes, open requests with the replies expected to them, and replies that are not sent. The number of pending
//! commands is limited per connection. Above the limit of sessions some are evicted, see [`eviction`].

mod arrival_times;
mod closing;
mod eviction;
mod flow_control;
mod overdue_commands;
mod reply_sizes;
mod session;

pub(crate) use flow_control::MEMORY_CHECK_INTERVAL;

use crate::client_replies;
use crate::clock;
use crate::memory_budget::MemoryBudget;
use crate::memory_plan::CUSTOMER_BYTES;
use bytes::{Bytes, BytesMut};
use chalkdeck::api::RequestId;
use chalkdeck_net::{ConnId, Engine, MAX_READ_BYTES};
use chalkdeck_resp::{
    command_size, encode_reply, take_command, CommandSize, Frame, MessageLimits, ParsedCommand,
    ReplySlot,
};
use chalkdeck_time::Timestamp;
use overdue_commands::OverdueCommands;
use reply_sizes::ReplySizes;
use rustc_hash::{FxHashMap, FxHashSet};
use session::Session;
use std::collections::VecDeque;

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
    /// Whether it waited too long to be begun: for memory, or unread, so that its client may have left without that being seen yet.
    pub(crate) is_overdue: bool,
}

/// What an open request takes besides its command and its customer, in bytes: its state here, in the decision engine and at the counter,
/// with its timers and its attempts.
const REQUEST_STATE_BYTES: usize = 1_792;
/// The least number of bytes that are read from a connection at once.
const MIN_READ_BYTES: usize = 1 << 10;
/// Replies are encoded and written in batches of about this size.
const WRITE_BATCH_BYTES: usize = 16 << 10;

/// What an open request takes: its command, the copy of it that is written to an endpoint, its state, that of its customer, which cannot be
/// dropped meanwhile, and the expected reply.
fn request_bytes(command_bytes: usize, expected_reply_bytes: usize) -> usize {
    2 * command_bytes + REQUEST_STATE_BYTES + CUSTOMER_BYTES + expected_reply_bytes
}

/// What a reply takes until it is sent.
fn reply_bytes(reply: &Frame) -> usize {
    match reply {
        Frame::BulkString(value) => value.len(),
        _ => 0,
    }
}

/// All client sessions.
pub(crate) struct Sessions {
    by_conn: FxHashMap<ConnId, Session>,
    /// Above this number connections are evicted.
    max_sessions: usize,
    budget: MemoryBudget,
    /// Maximum number of bytes that are read from a connection at once.
    read_bytes: usize,
    reply_sizes: ReplySizes,
    /// Connections whose commands are handled on, each at most once, in the order of their turns.
    resume_queue: VecDeque<ConnId>,
    /// Connections that are paused until memory is free.
    waiting_for_memory: Vec<ConnId>,
    /// When the connections that wait for memory were checked last.
    memory_checked_at: Timestamp,
    /// Connections with replies that are ready and not written, as their clients have not accepted those before.
    blocked_writes: Vec<ConnId>,
    overdue_commands: OverdueCommands,
    /// When the shutdown began to close idle connections.
    closing_since: Option<Timestamp>,
}

impl Sessions {
    /// Creates the state of at most `max_sessions` sessions, which may take `memory_bytes` together.
    pub(crate) fn new(max_sessions: usize, memory_bytes: usize) -> Sessions {
        let budget = MemoryBudget::new(memory_bytes, max_sessions);
        Sessions {
            by_conn: FxHashMap::default(),
            max_sessions,
            read_bytes: budget.guaranteed().clamp(MIN_READ_BYTES, MAX_READ_BYTES),
            budget,
            reply_sizes: ReplySizes::default(),
            resume_queue: VecDeque::new(),
            waiting_for_memory: Vec::new(),
            memory_checked_at: Timestamp::ZERO,
            blocked_writes: Vec::new(),
            overdue_commands: OverdueCommands::default(),
            closing_since: None,
        }
    }

    /// Maximum number of bytes to read from a connection at once, so that what is read without permission stays within the guaranteed part of
    /// a session.
    pub(crate) fn read_bytes(&self) -> usize {
        self.read_bytes
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

    /// Stores received bytes, unless the connection is not read any more. `arrived_since` is the earliest time at which they may have arrived.
    pub(crate) fn on_bytes(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        data: &[u8],
        arrived_since: Timestamp,
    ) {
        let now = clock::now(engine);
        let Some(session) = self.by_conn.get_mut(&conn).filter(|s| !s.is_read_closed) else {
            return;
        };
        let discarded = session.discarded_bytes.min(data.len());
        session.discarded_bytes -= discarded;
        let kept = &data[discarded..];
        session.bytes.extend_from_slice(kept);
        session.last_active_at = now;
        session.arrival_times.on_received(kept.len(), arrived_since);
        engine.check_unread(conn);
        flow_control::update_budget(&mut self.budget, engine, conn, session);
    }

    /// Returns the next command of a connection, or blocks the connection if flow control does not allow another one. A protocol error is
    /// answered, and the connection is not read any more.
    pub(crate) fn next_command(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
    ) -> Option<ReceivedCommand> {
        let unsent = engine.unsent_bytes(conn);
        let has_peer_ended = engine.has_peer_ended(conn);
        let session = self.by_conn.get_mut(&conn).filter(|s| !s.is_read_closed)?;
        if has_peer_ended {
            // The client has gone. With reading paused, the event loop reports its end without reading what stands before it.
            session.bytes = BytesMut::new();
            engine.set_read_paused(conn, true);
            return None;
        }
        if flow_control::exceeds_limits(session, unsent) {
            flow_control::block(engine, conn, session, &self.budget, self.read_bytes);
            return None;
        }
        let now = clock::now(engine);
        let is_overdue =
            flow_control::may_have_left(engine, conn) || session.has_waited_for_memory(now);
        match command_size(&session.bytes, &COMMAND_LIMITS) {
            CommandSize::Known(bytes) => {
                let expected = self.reply_sizes.expected_for(session);
                let request_bytes = request_bytes(bytes, expected).saturating_sub(bytes);
                if !is_overdue && !self.budget.allows(session.held_bytes, request_bytes) {
                    self.wait_for_memory(engine, conn, true);
                    return None;
                }
                self.take_command(engine, conn, is_overdue)
            }
            CommandSize::AtLeast(bytes) => {
                self.wait_for_rest(engine, conn, bytes, is_overdue);
                None
            }
        }
    }

    fn take_command(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        is_overdue: bool,
    ) -> Option<ReceivedCommand> {
        let session = self.by_conn.get_mut(&conn)?;
        let length = session.bytes.len();
        let parsed = take_command(&mut session.bytes, &COMMAND_LIMITS);
        let consumed = length.saturating_sub(session.bytes.len());
        let received_at = session.arrival_times.on_consumed(consumed);
        session.consumed_bytes += consumed;
        session.memory_missing_since = None;
        let command = match parsed {
            ParsedCommand::Incomplete => {
                flow_control::resume(engine, conn, session);
                None
            }
            ParsedCommand::Complete(words) => {
                session.has_sent_command = true;
                self.overdue_commands.count += u64::from(is_overdue);
                Some(ReceivedCommand {
                    slot: session.replies.reserve(),
                    words,
                    received_at,
                    is_overdue,
                })
            }
            ParsedCommand::Invalid(protocol_error) => {
                let reply = client_replies::error(&protocol_error.to_string());
                session.replies.push(reply);
                session.is_read_closed = true;
                session.bytes = BytesMut::new();
                None
            }
        };
        self.update_budget(engine, conn);
        command
    }

    /// Makes room for the rest of a command of at least `bytes` bytes. Without memory for a long one, reading is paused; once it is overdue,
    /// the command is rejected and its rest is discarded: of a valid command only the last word is long.
    fn wait_for_rest(&mut self, engine: &mut Engine, conn: ConnId, bytes: usize, is_overdue: bool) {
        let Some(session) = self.by_conn.get_mut(&conn) else {
            return;
        };
        flow_control::shrink_buffer(session);
        let missing = bytes.saturating_sub(session.bytes.len());
        let next_size = bytes.max(self.read_bytes);
        let additional = next_size.saturating_sub(session.bytes.capacity());
        // A command that may be short is always read, but not beside open requests without room for it.
        let is_short = bytes <= self.read_bytes;
        let is_allowed = is_short && (session.open_requests.is_empty() || is_overdue)
            || self.budget.allows(session.held_bytes, additional);
        if !is_allowed && !is_overdue {
            self.update_budget(engine, conn);
            return self.wait_for_memory(engine, conn, false);
        }
        session.memory_missing_since = None;
        if is_allowed {
            session.bytes.reserve(missing);
        } else {
            session.arrival_times.on_consumed(session.bytes.len());
            session.bytes = BytesMut::new();
            session.discarded_bytes = missing;
            session.has_sent_command = true;
            session.replies.push(client_replies::busy(None));
            self.overdue_commands.count += 1;
        }
        flow_control::resume(engine, conn, session);
        self.update_budget(engine, conn);
    }

    /// Pauses reading until memory is free. `is_complete`: the command that needs it has been received whole.
    fn wait_for_memory(&mut self, engine: &mut Engine, conn: ConnId, is_complete: bool) {
        let Some(session) = self.by_conn.get_mut(&conn) else {
            return;
        };
        session.is_blocked = is_complete;
        let now = clock::now(engine);
        session.memory_missing_since.get_or_insert(now);
        engine.set_read_paused(conn, true);
        if !std::mem::replace(&mut session.is_waiting_for_memory, true) {
            self.waiting_for_memory.push(conn);
        }
    }

    /// Registers a request of the connection; `bytes` is the size of its command. Returns what it takes of the memory budget.
    pub(crate) fn on_request_opened(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        id: RequestId,
        bytes: usize,
    ) -> usize {
        let Some(session) = self.by_conn.get_mut(&conn) else {
            return 0;
        };
        let request_bytes = request_bytes(bytes, self.reply_sizes.expected_for(session));
        session.open_requests.insert(id);
        session.open_bytes += request_bytes;
        self.update_budget(engine, conn);
        request_bytes
    }

    /// Removes a request that has its final reply or whose client has disconnected; `request_bytes` is what it takes.
    pub(crate) fn on_request_ended(&mut self, conn: ConnId, id: RequestId, request_bytes: usize) {
        if let Some(session) = self.by_conn.get_mut(&conn) {
            session.open_requests.remove(&id);
            if session.open_requests.is_empty() {
                session.open_requests = FxHashSet::default();
            }
            session.open_bytes = session.open_bytes.saturating_sub(request_bytes);
        }
    }

    /// Fills the slot of a reply. `flush` sends it once the replies before it are known. A value that has to wait for them is replaced by
    /// an error if there is no memory to keep it.
    pub(crate) fn reply(&mut self, conn: ConnId, slot: ReplySlot, reply: Frame) {
        let Some(session) = self.by_conn.get_mut(&conn) else {
            return;
        };
        let mut reply = reply;
        if let Frame::BulkString(value) = &reply {
            self.reply_sizes.observe(value.len());
            if !session.replies.is_first(slot) && !self.budget.allows_reply(value.len()) {
                reply = client_replies::error("no memory to keep the reply for those before it");
            } else if !session.replies.is_first(slot) {
                // The value is a part of a larger buffer, which would be kept as long.
                reply = Frame::BulkString(Bytes::copy_from_slice(value));
            }
        }
        session.ready_bytes += reply_bytes(&reply);
        session.replies.fill(slot, reply);
    }

    /// Stops reading commands from the connection, which is closed once all its replies are sent.
    pub(crate) fn close_reading(&mut self, conn: ConnId) {
        if let Some(session) = self.by_conn.get_mut(&conn) {
            session.is_read_closed = true;
        }
    }

    /// Sends the replies that are ready and have no unknown reply before them, as long as the client accepts them.
    pub(crate) fn flush(&mut self, engine: &mut Engine, conn: ConnId) {
        let Some(session) = self.by_conn.get_mut(&conn) else {
            return;
        };
        let mut out = BytesMut::new();
        let mut is_written = false;
        while session.replies.first_ready().is_some() {
            if flow_control::is_write_blocked(engine.unsent_bytes(conn)) && !engine.flush(conn) {
                self.blocked_writes.push(conn);
                break;
            }
            while let Some(reply) = session.replies.pop_ready() {
                session.ready_bytes = session.ready_bytes.saturating_sub(reply_bytes(&reply));
                encode_reply(&mut out, &reply);
                if out.len() >= WRITE_BATCH_BYTES {
                    break;
                }
            }
            engine.write(conn, &out);
            out.clear();
            is_written = true;
        }
        if is_written {
            session.last_active_at = clock::now(engine);
        }
        flow_control::update_budget(&mut self.budget, engine, conn, session);
        self.queue_to_resume(engine, conn);
        self.linger_once_answered(engine, conn);
    }

    fn remove(&mut self, conn: ConnId) -> Option<Session> {
        let session = self.by_conn.remove(&conn)?;
        self.budget.update(session.held_bytes, 0);
        Some(session)
    }

    /// Removes the session of a connection that has ended; returns its open requests in the order of their ids.
    pub(crate) fn on_closed(&mut self, conn: ConnId) -> Vec<RequestId> {
        let open_requests = self.open_requests(conn);
        self.remove(conn);
        open_requests
    }

    /// The open requests of a connection in the order of their ids.
    pub(crate) fn open_requests(&self, conn: ConnId) -> Vec<RequestId> {
        let session = self.by_conn.get(&conn);
        let mut open_requests: Vec<RequestId> = session
            .into_iter()
            .flat_map(|session| session.open_requests.iter().copied())
            .collect();
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
