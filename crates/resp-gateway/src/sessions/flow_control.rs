//! Flow control: reading from a client is paused while that client, or all clients together, exceed their limits, and resumed once they
//! are within the limits again.

use super::session::Session;
use super::Sessions;
use crate::clock;
use chalkdeck_net::{ConnId, Engine};

/// The number of commands with pending replies on one connection at which reading is paused.
const MAX_PENDING_COMMANDS: usize = 64;
/// Reading is resumed below this number of pending commands, so that it is not paused again at once.
const RESUME_PENDING_COMMANDS: usize = MAX_PENDING_COMMANDS / 2;
/// The number of reply bytes not accepted by a client above which reading from it is paused.
const MAX_UNSENT_BYTES: usize = 256 << 10;

impl Sessions {
    /// Whether the commands of all clients together have reached their size limit.
    pub(super) fn is_command_memory_full(&self) -> bool {
        self.command_bytes >= self.max_command_bytes
    }

    /// Queues a paused connection to be resumed, if it and all clients together are within their limits again.
    pub(super) fn queue_to_resume(&mut self, engine: &mut Engine, conn: ConnId) {
        let is_command_memory_full = self.is_command_memory_full();
        let Some(session) = self.by_conn.get_mut(&conn) else {
            return;
        };
        if !session.is_paused || session.is_read_closed || session.is_queued_to_resume {
            return;
        }
        let has_room = session.replies.pending() < RESUME_PENDING_COMMANDS
            && engine.unsent_bytes(conn) <= MAX_UNSENT_BYTES;
        if has_room && !is_command_memory_full {
            session.is_queued_to_resume = true;
            self.resume_queue.push(conn);
        }
    }

    /// Whether paused connections are queued to be resumed.
    pub(crate) fn has_connections_to_resume(&self) -> bool {
        !self.resume_queue.is_empty()
    }

    /// Takes the paused connections that are queued to be resumed, in the order in which they were queued.
    pub(crate) fn take_connections_to_resume(&mut self) -> Vec<ConnId> {
        let resumed = std::mem::take(&mut self.resume_queue);
        for conn in &resumed {
            if let Some(session) = self.by_conn.get_mut(conn) {
                session.is_queued_to_resume = false;
            }
        }
        resumed
    }
}

/// Whether a session has reached its own limits; `unsent` is the number of reply bytes that its client has not accepted.
pub(super) fn exceeds_limits(session: &Session, unsent: usize) -> bool {
    session.replies.pending() >= MAX_PENDING_COMMANDS || unsent > MAX_UNSENT_BYTES
}

/// Pauses reading from a connection.
pub(super) fn pause(engine: &mut Engine, conn: ConnId, session: &mut Session) {
    session.is_paused = true;
    session.unread_since.get_or_insert(clock::now(engine));
    engine.set_read_paused(conn, true);
}

/// Resumes reading from a paused connection.
pub(super) fn resume(engine: &mut Engine, conn: ConnId, session: &mut Session) {
    if session.is_paused {
        session.is_paused = false;
        engine.set_read_paused(conn, false);
        clear_unread_since_if_empty(engine, conn, session);
    }
}

/// Clears `unread_since` once the socket is empty: everything that arrived during the pause has been read.
pub(super) fn clear_unread_since_if_empty(
    engine: &mut Engine,
    conn: ConnId,
    session: &mut Session,
) {
    if session.unread_since.is_some() && engine.is_idle(conn) {
        session.unread_since = None;
    }
}
