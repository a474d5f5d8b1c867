//! Client connections: what they have sent so far, and answers in the order of their commands.
//!
//! Bounds: connections by the descriptors granted, commands under way by connection, bytes of commands by the memory granted.
//! When descriptors run short the connection that has been idle longest is evicted, see `Session::eviction_rank`.

mod session;

use bytes::{Bytes, BytesMut};
use chalkdeck::api::RequestId;
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_resp::{encode_reply, take_command, Frame, MessageLimits, ParsedCommand, ReplySlot};
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
/// Commands of one connection whose answers are pending; at this number reading is paused.
const MAX_PENDING_COMMANDS: usize = 64;
/// Answer bytes that a client may leave unread; beyond this reading is paused.
const MAX_UNSENT_BYTES: usize = 256 << 10;
/// The longest text of an error line, in characters.
const MAX_ERROR_TEXT: usize = 200;

/// A command that was received, with the slot of its answer.
pub(crate) struct ReceivedCommand {
    pub(crate) slot: ReplySlot,
    pub(crate) words: Vec<Bytes>,
    /// The time from which on its deadline counts: it was received no later.
    pub(crate) received_at: u64,
}

/// All client connections.
pub(crate) struct Front {
    sessions: FxHashMap<ConnId, Session>,
    /// A further connection evicts an idle one.
    max_sessions: usize,
    /// Bytes of commands that may be held, and that are held now.
    max_held_bytes: usize,
    held_bytes: usize,
    /// Paused connections that may go on, each once.
    resumed: Vec<ConnId>,
    /// When the shutdown began to close idle connections.
    shutdown_since: Option<u64>,
}

impl Front {
    pub(crate) fn new(max_sessions: usize, max_held_bytes: usize) -> Front {
        let (sessions, resumed) = Default::default();
        Front {
            sessions,
            max_sessions,
            max_held_bytes,
            held_bytes: 0,
            resumed,
            shutdown_since: None,
        }
    }

    /// A connection was accepted.
    pub(crate) fn accepted(&mut self, engine: &mut Engine, conn: ConnId) {
        let now = engine.now();
        self.sessions.insert(conn, Session::accepted(now));
        if self.sessions.len() <= self.max_sessions {
            return;
        }
        if let Some(idle) = self.longest_idle(engine, now, conn) {
            self.sessions.remove(&idle);
            engine.close(idle);
        }
    }

    /// The next connection to evict: one that is owed no answer and has nothing waiting to be read.
    fn longest_idle(&self, engine: &mut Engine, now: u64, new: ConnId) -> Option<ConnId> {
        let owed_nothing =
            |(conn, session): &(&ConnId, &Session)| **conn != new && session.answers.pending() == 0;
        let idle = self.sessions.iter().filter(owed_nothing);
        let mut idle: Vec<_> = idle
            .map(|(conn, session)| (session.eviction_rank(now), *conn))
            .collect();
        idle.sort_unstable();
        idle.into_iter()
            .map(|(_, conn)| conn)
            .find(|conn| engine.is_quiet(*conn))
    }

    pub(crate) fn owns(&self, conn: ConnId) -> bool {
        self.sessions.contains_key(&conn)
    }

    /// Bytes were received.
    pub(crate) fn bytes(&mut self, engine: &mut Engine, conn: ConnId, data: &[u8]) {
        let now = engine.now();
        let Some(session) = self.sessions.get_mut(&conn).filter(|s| !s.read_closed) else {
            return;
        };
        session.bytes.extend_from_slice(data);
        session.active_at = now;
        session.received_at = session.unread_since.unwrap_or(now);
        forget_pause_once_read(engine, conn, session);
    }

    /// The next command of a connection, as long as there is room for it. A protocol error is answered and ends the reading.
    pub(crate) fn next(&mut self, engine: &mut Engine, conn: ConnId) -> Option<ReceivedCommand> {
        let unsent = engine.unsent(conn);
        let is_full = self.held_bytes >= self.max_held_bytes;
        let session = self.sessions.get_mut(&conn).filter(|s| !s.read_closed)?;
        let is_bounded =
            session.answers.pending() >= MAX_PENDING_COMMANDS || unsent > MAX_UNSENT_BYTES;
        if is_bounded || is_full && !session.bytes.is_empty() {
            pause(engine, conn, session);
            return None;
        }
        match take_command(&mut session.bytes, &COMMAND_LIMITS) {
            ParsedCommand::Incomplete => {
                unpause(engine, conn, session);
                None
            }
            ParsedCommand::Complete(words) => {
                session.has_spoken = true;
                let received_at = session.received_at;
                Some(ReceivedCommand {
                    slot: session.answers.reserve(),
                    words,
                    received_at,
                })
            }
            ParsedCommand::Invalid(why) => {
                session.answers.push(error(&why.to_string()));
                (session.read_closed, session.bytes) = (true, BytesMut::new());
                None
            }
        }
    }

    /// A request of the connection is under way; its command takes so many bytes.
    pub(crate) fn opened(&mut self, conn: ConnId, id: RequestId, bytes: usize) {
        self.held_bytes += bytes;
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.open.insert(id);
        }
    }

    /// A request has its final answer, or its client has gone.
    pub(crate) fn ended(&mut self, conn: ConnId, id: RequestId, bytes: usize) {
        self.held_bytes -= bytes.min(self.held_bytes);
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.open.remove(&id);
        }
    }

    pub(crate) fn answer(&mut self, conn: ConnId, slot: ReplySlot, answer: Frame) {
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.answers.fill(slot, answer);
        }
    }

    /// No further command is read from the connection.
    pub(crate) fn quit(&mut self, conn: ConnId) {
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.read_closed = true;
        }
    }

    /// Sends the answers whose turn has come.
    pub(crate) fn flush(&mut self, engine: &mut Engine, conn: ConnId) {
        let Some(session) = self.sessions.get_mut(&conn) else {
            return;
        };
        let mut out = BytesMut::new();
        while let Some(answer) = session.answers.pop_ready() {
            encode_reply(&mut out, &answer);
        }
        if !out.is_empty() {
            session.active_at = engine.now();
            engine.write(conn, &out);
        }
        self.resume(engine, conn);
        let Some(session) = self
            .sessions
            .get_mut(&conn)
            .filter(|s| s.answers.pending() == 0)
        else {
            return;
        };
        if session.read_closed && session.lingering_since.is_none() {
            session.lingering_since = Some(engine.now());
            engine.linger(conn);
        }
    }

    /// Queues a paused connection to go on, if there is room for its commands again.
    fn resume(&mut self, engine: &mut Engine, conn: ConnId) {
        let is_full = self.held_bytes >= self.max_held_bytes;
        let waits = |s: &&mut Session| s.paused && !s.read_closed && !s.is_queued_to_resume;
        let Some(session) = self.sessions.get_mut(&conn).filter(waits) else {
            return;
        };
        let has_room = session.answers.pending() < MAX_PENDING_COMMANDS / 2;
        if has_room && engine.unsent(conn) <= MAX_UNSENT_BYTES && !is_full {
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
            if let Some(session) = self.sessions.get_mut(conn) {
                session.is_queued_to_resume = false;
            }
        }
        resumed
    }

    /// A connection is over; returns its requests that are still open.
    pub(crate) fn closed(&mut self, conn: ConnId) -> Vec<RequestId> {
        let Some(session) = self.sessions.remove(&conn) else {
            return Vec::new();
        };
        let mut open: Vec<RequestId> = session.open.into_iter().collect();
        open.sort_unstable();
        open
    }

    /// Closes connections whose time is up and resumes paused ones that have room again. Called at a fixed interval.
    pub(crate) fn sweep(&mut self, engine: &mut Engine) {
        let now = engine.now();
        let (mut timed_out, mut paused) = (Vec::new(), Vec::new());
        for (conn, session) in &mut self.sessions {
            session.note_written(engine.taken(*conn), engine.unsent(*conn), now);
            if session.is_write_timed_out(now)
                || session.is_read_timed_out(now) && engine.is_quiet(*conn)
            {
                timed_out.push(*conn);
            } else if session.paused {
                paused.push(*conn);
            }
        }
        timed_out.sort_unstable();
        paused.sort_unstable();
        // The loop reports the end of each, and with it the end of its open requests.
        timed_out.into_iter().for_each(|conn| engine.close(conn));
        paused
            .into_iter()
            .for_each(|conn| self.resume(engine, conn));
    }

    /// Begins to close connections, each once it is between two requests.
    pub(crate) fn shut_down(&mut self, now: u64) {
        self.shutdown_since.get_or_insert(now);
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown_since.is_some()
    }

    /// During a shutdown, closes the idle connections whose turn has come. Requests that were received, or that wait unread, are
    /// answered first.
    pub(crate) fn close_idle(&mut self, engine: &mut Engine) {
        let (Some(since), now) = (self.shutdown_since, engine.now()) else {
            return;
        };
        let is_due = |conn: ConnId, session: &Session| {
            session.is_between_requests()
                && !session.read_closed
                && session.may_close(conn, since, now)
        };
        let due = self
            .sessions
            .iter()
            .filter(|(conn, session)| is_due(**conn, session));
        let mut due: Vec<ConnId> = due.map(|(conn, _)| *conn).collect();
        due.sort_unstable();
        for conn in due {
            if engine.close_if_quiet(conn) {
                self.sessions.remove(&conn);
            }
        }
    }
}

fn pause(engine: &mut Engine, conn: ConnId, session: &mut Session) {
    session.paused = true;
    session.unread_since.get_or_insert(engine.now());
    engine.pause(conn, true);
}

fn unpause(engine: &mut Engine, conn: ConnId, session: &mut Session) {
    if std::mem::take(&mut session.paused) {
        engine.pause(conn, false);
        forget_pause_once_read(engine, conn, session);
    }
}

/// What was waiting in the socket during a pause has been read once the socket is empty.
fn forget_pause_once_read(engine: &mut Engine, conn: ConnId, session: &mut Session) {
    if session.unread_since.is_some() && engine.is_quiet(conn) {
        session.unread_since = None;
    }
}

/// An error line. It carries no code that says that a retry is harmless.
pub(crate) fn error(why: &str) -> Frame {
    let without_control = |c: char| if c.is_control() { ' ' } else { c };
    let text: String = why
        .chars()
        .take(MAX_ERROR_TEXT)
        .map(without_control)
        .collect();
    Frame::Error(format!("ERR {text}").into())
}

#[cfg(test)]
mod stops;
#[cfg(test)]
mod tests;
