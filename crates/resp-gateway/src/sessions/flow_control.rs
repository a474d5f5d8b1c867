//! Flow control: reading from a client is paused while it, or all clients together, hold too much, and resumed once there is room.

use super::session::Session;
use super::Sessions;
use crate::clock;
use chalkdeck_net::{ConnId, Engine};

/// Commands of one connection whose replies are pending; at this number reading is paused.
const MAX_PENDING_COMMANDS: usize = 64;
/// Reading is resumed below this number, so that it is not paused again at once.
const RESUME_PENDING_COMMANDS: usize = MAX_PENDING_COMMANDS / 2;
/// Reply bytes that a client may leave unread; beyond this reading is paused.
const MAX_UNSENT_BYTES: usize = 256 << 10;

impl Sessions {
    /// Whether the commands of all clients hold as many bytes as they may.
    pub(super) fn is_full(&self) -> bool {
        self.held_bytes >= self.max_held_bytes
    }

    /// Queues a paused connection to go on, if there is room for its commands again.
    pub(super) fn resume(&mut self, engine: &mut Engine, conn: ConnId) {
        let is_full = self.is_full();
        let Some(session) = self.by_conn.get_mut(&conn) else {
            return;
        };
        if !session.is_paused || session.is_read_closed || session.is_queued_to_resume {
            return;
        }
        let has_room = session.replies.pending() < RESUME_PENDING_COMMANDS
            && engine.unsent(conn) <= MAX_UNSENT_BYTES;
        if has_room && !is_full {
            session.is_queued_to_resume = true;
            self.resumed.push(conn);
        }
    }

    /// Whether paused connections may go on.
    pub(crate) fn has_resumed(&self) -> bool {
        !self.resumed.is_empty()
    }

    /// The paused connections that may go on, in the order in which they could.
    pub(crate) fn take_resumed(&mut self) -> Vec<ConnId> {
        let resumed = std::mem::take(&mut self.resumed);
        for conn in &resumed {
            if let Some(session) = self.by_conn.get_mut(conn) {
                session.is_queued_to_resume = false;
            }
        }
        resumed
    }
}

/// Whether a session itself holds more than one may, with so many bytes that its client has not read.
pub(super) fn exceeds_limits(session: &Session, unsent: usize) -> bool {
    session.replies.pending() >= MAX_PENDING_COMMANDS || unsent > MAX_UNSENT_BYTES
}

/// Stops to read from a connection.
pub(super) fn pause(engine: &mut Engine, conn: ConnId, session: &mut Session) {
    session.is_paused = true;
    session.unread_since.get_or_insert(clock::now(engine));
    engine.pause(conn, true);
}

/// Reads from a connection again.
pub(super) fn unpause(engine: &mut Engine, conn: ConnId, session: &mut Session) {
    if session.is_paused {
        session.is_paused = false;
        engine.pause(conn, false);
        forget_pause_once_read(engine, conn, session);
    }
}

/// What was waiting in the socket during a pause has been read once the socket is empty.
pub(super) fn forget_pause_once_read(engine: &mut Engine, conn: ConnId, session: &mut Session) {
    if session.unread_since.is_some() && engine.is_quiet(conn) {
        session.unread_since = None;
    }
}
