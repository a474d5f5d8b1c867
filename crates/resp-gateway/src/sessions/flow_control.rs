//! Flow control: no further command of a client is taken while that client exceeds its limits or the memory budget has no room for the
//! command. Reading goes on a little, so that the end of the connection is seen behind what was sent before it, and is then paused.

use super::session::Session;
use super::Sessions;
use crate::clock;
use crate::memory_budget::MemoryBudget;
use bytes::BytesMut;
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_time::TimeDelta;

/// The number of commands with pending replies on one connection at which no further one is taken.
const MAX_PENDING_COMMANDS: usize = 64;
/// Commands are taken again below this number of pending ones, so that the connection is not blocked again at once.
const RESUME_PENDING_COMMANDS: usize = MAX_PENDING_COMMANDS / 2;
/// The number of reply bytes not accepted by a client above which no further command of it is taken and no further reply is written.
const MAX_UNSENT_BYTES: usize = 256 << 10;
/// How much is read from a connection that is blocked, unless memory is short.
const MAX_BYTES_AHEAD: usize = 64 << 10;
/// The longest time for which a command may wait unread and still be begun. The platform allows no attempt that begins later than 0.1 s
/// after its client has closed the connection.
const MAX_UNREAD_TIME: TimeDelta = TimeDelta::from_millis(75);
/// A consumed part of a receive buffer is kept if it is smaller.
const MIN_RELEASED_BYTES: usize = 4 << 10;
/// The interval at which connections that wait for memory are checked.
pub(crate) const MEMORY_CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(5);

impl Sessions {
    /// Queues a blocked connection to be resumed, if it is within its limits again.
    pub(super) fn queue_to_resume(&mut self, engine: &mut Engine, conn: ConnId) {
        let Some(session) = self.by_conn.get_mut(&conn) else {
            return;
        };
        // A connection that waits for memory is checked at an interval.
        if !session.is_blocked || session.is_waiting_for_memory || session.is_read_closed {
            return;
        }
        let has_room = session.replies.pending() < RESUME_PENDING_COMMANDS
            && engine.unsent_bytes(conn) <= MAX_UNSENT_BYTES;
        if has_room {
            self.queue_for_next_turn(conn);
        }
    }

    /// Queues a connection whose commands are handled on in the next turn.
    fn queue_for_next_turn(&mut self, conn: ConnId) {
        let session = self.by_conn.get_mut(&conn);
        if let Some(session) = session.filter(|session| !session.is_queued_to_resume) {
            session.is_queued_to_resume = true;
            self.resume_queue.push_back(conn);
        }
    }

    /// Queues a connection with further commands for the next turn. Nothing more is read from it while many bytes wait to be handled, or
    /// without memory for them.
    pub(crate) fn continue_in_next_turn(&mut self, engine: &mut Engine, conn: ConnId) {
        self.queue_for_next_turn(conn);
        if let Some(session) = self.by_conn.get_mut(&conn) {
            let has_room = session.bytes.len() < MAX_BYTES_AHEAD
                && self.budget.allows(session.held_bytes, self.read_bytes);
            if !has_room {
                engine.set_read_paused(conn, true);
            }
        }
    }

    /// Whether the client of a connection has left, or may have: the end of the connection may wait behind unread bytes.
    pub(crate) fn may_have_left(&self, engine: &mut Engine, conn: ConnId) -> bool {
        engine.has_peer_ended(conn) || may_have_left(engine, conn)
    }

    /// Whether connections are queued to be resumed.
    pub(crate) fn has_connections_to_resume(&self) -> bool {
        !self.resume_queue.is_empty()
    }

    /// Whether connections wait until memory is free or they have waited too long.
    pub(crate) fn has_connections_waiting_for_memory(&self) -> bool {
        !self.waiting_for_memory.is_empty()
    }

    /// Queues the connections that wait for memory, at an interval, the one that takes least first.
    pub(crate) fn queue_connections_waiting_for_memory(&mut self, engine: &Engine) {
        let now = clock::now(engine);
        if now < self.memory_checked_at + MEMORY_CHECK_INTERVAL {
            return;
        }
        self.memory_checked_at = now;
        let mut waiting = std::mem::take(&mut self.waiting_for_memory);
        waiting.sort_by_key(|conn| self.by_conn.get(conn).map(|session| session.held_bytes));
        for conn in waiting {
            if let Some(session) = self.by_conn.get_mut(&conn) {
                session.is_waiting_for_memory = false;
            }
            self.queue_for_next_turn(conn);
        }
    }

    /// The number of connections that are queued to be resumed.
    pub(crate) fn connections_to_resume(&self) -> usize {
        self.resume_queue.len()
    }

    /// Takes the connection that is the next to be resumed.
    pub(crate) fn next_connection_to_resume(&mut self) -> Option<ConnId> {
        let conn = self.resume_queue.pop_front()?;
        if let Some(session) = self.by_conn.get_mut(&conn) {
            session.is_queued_to_resume = false;
        }
        Some(conn)
    }

    /// Records in the memory budget what a session takes now.
    pub(super) fn update_budget(&mut self, engine: &mut Engine, conn: ConnId) {
        if let Some(session) = self.by_conn.get_mut(&conn) {
            update_budget(&mut self.budget, engine, conn, session);
        }
    }

    /// Writes further replies to the clients that did not accept all of them at once.
    pub(crate) fn flush_blocked_writes(&mut self, engine: &mut Engine) {
        for conn in std::mem::take(&mut self.blocked_writes) {
            self.flush(engine, conn);
        }
    }
}

/// Records in the memory budget what a session takes now.
pub(super) fn update_budget(
    budget: &mut MemoryBudget,
    engine: &mut Engine,
    conn: ConnId,
    session: &mut Session,
) {
    let held = session.bytes_taken(engine.write_buffer_bytes(conn));
    budget.update(session.held_bytes, held);
    session.held_bytes = held;
}

/// Whether a session has reached its own limits; `unsent` is the number of reply bytes that its client has not accepted.
pub(super) fn exceeds_limits(session: &Session, unsent: usize) -> bool {
    session.replies.pending() >= MAX_PENDING_COMMANDS || is_write_blocked(unsent)
}

/// Whether no further reply is written, with this number of bytes that the client has not accepted.
pub(super) fn is_write_blocked(unsent: usize) -> bool {
    unsent > MAX_UNSENT_BYTES
}

/// Releases the part of a receive buffer that was consumed, if it is large.
pub(super) fn shrink_buffer(session: &mut Session) {
    if session.bytes.is_empty() {
        session.bytes = BytesMut::new();
        session.consumed_bytes = 0;
    } else if session.consumed_bytes > session.bytes.len().max(MIN_RELEASED_BYTES) {
        session.bytes = BytesMut::from(&session.bytes[..]);
        session.consumed_bytes = 0;
    }
}

/// Blocks the commands of a connection. Reading is paused once enough was read ahead, or without memory for more.
pub(super) fn block(
    engine: &mut Engine,
    conn: ConnId,
    session: &mut Session,
    budget: &MemoryBudget,
    read_bytes: usize,
) {
    session.is_blocked = true;
    let has_room = session.bytes.len() < MAX_BYTES_AHEAD
        && !session.is_waiting_for_memory
        && budget.allows(session.held_bytes, read_bytes);
    if !has_room {
        engine.set_read_paused(conn, true);
    }
}

/// Reads from a connection and takes its commands again.
pub(super) fn resume(engine: &mut Engine, conn: ConnId, session: &mut Session) {
    session.is_blocked = false;
    engine.set_read_paused(conn, false);
}

/// Whether the client may have left unnoticed: its socket was not empty for a while, and the end of the connection may wait behind unread
/// bytes.
pub(super) fn may_have_left(engine: &mut Engine, conn: ConnId) -> bool {
    engine.has_unread_for(conn, MAX_UNREAD_TIME.as_micros())
}
