//! Clients: their connections, what they sent so far, and answers in the order of their commands.
//!
//! Bounds: connections by the descriptors granted, commands under way by connection, bytes of commands by the memory granted.
//! When descriptors are short the connection that was idle longest goes, one that never said a word before all others.

use bytes::{Bytes, BytesMut};
use chalkdeck::api::RequestId;
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_resp::{encode, take, Answers, Bounds, Frame, Front as Taken};
use rustc_hash::{FxHashMap, FxHashSet};

/// What is read of a command: a body of 64 KiB beside an id, a customer and a list of names.
const BOUNDS: Bounds = Bounds { words: 16, word: 64 << 10, line: 0, message: 80 << 10, inline: false };
/// Commands of one connection whose answers are still to come; beyond, nothing is read from it.
const MOST_PENDING: usize = 64;
/// Bytes that a client may leave unread; beyond, nothing is read from it.
const UNREAD: usize = 256 << 10;
/// A connection that has not sent its first whole command by then is closed, as is one that stays silent within a command.
/// The platform owes such clients a close within 3 s. In microseconds, as all of these.
const SILENT: u64 = 2_000_000;
/// A connection without an open request is closed after this: some clients keep theirs for good.
const IDLE: u64 = 10_000_000;
/// How long a client that was told of an error may take to read it.
const LINGER: u64 = 2_000_000;
/// A client that has not taken a byte of its answers for so long is closed.
const STALLED: u64 = 10_000_000;
/// A client that never said a word so long after it came is the first to go.
const WORDLESS: u64 = 50_000;
/// Connections end one after another over this time after a stop began to let them go, so that their clients do not all come
/// to the other gateways at once.
const LET_GO: u64 = 250_000;

#[derive(Default)]
struct Session {
    bytes: BytesMut,
    answers: Answers<Frame>,
    /// Its requests without a final answer.
    open: FxHashSet<RequestId>,
    /// Nothing is read for now, whole commands may be left.
    paused: bool,
    /// When the bytes had come that are read now: at the latest, or when the reading of them was put off.
    received: u64,
    /// Since when bytes may wait unread, as nothing was read from then on.
    put_off: Option<u64>,
    /// It has its place in `Front::resumed`.
    resumes: bool,
    /// Nothing more is read: an error was told or it was asked to end.
    over: bool,
    /// Since when it may read the error that it was told of.
    lingers: Option<u64>,
    spoke: bool,
    came: u64,
    /// When it last began, continued or was answered.
    used: u64,
    /// Bytes it had taken in all, and since when it has taken no further ones though some wait for it.
    stuck: Option<(u64, u64)>,
}

impl Session {
    fn between_requests(&self) -> bool {
        self.answers.pending() == 0 && self.bytes.is_empty() && self.lingers.is_none()
    }

    /// Whether it may go by now: its turn of the stop has come, and one that is new had time for its first command.
    fn may_go(&self, conn: ConnId, since: u64, now: u64) -> bool {
        let turn = since + (conn.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) % LET_GO;
        now >= turn && (self.spoke || now >= self.came + WORDLESS)
    }
}

/// A command that came, by the connection and the slot of its answer.
pub(crate) struct Came {
    pub(crate) slot: u64,
    pub(crate) words: Vec<Bytes>,
    /// When it had come, as far as is known: not later than that.
    pub(crate) received: u64,
}

/// All clients.
pub(crate) struct Front {
    sessions: FxHashMap<ConnId, Session>,
    /// Connections beyond this are made up for by idle ones.
    most: usize,
    /// Bytes of commands that may be held, and that are.
    most_bytes: usize,
    held_bytes: usize,
    /// Paused connections that may go on, each once.
    resumed: Vec<ConnId>,
    /// Since when connections are let go.
    stopping: Option<u64>,
}

impl Front {
    pub(crate) fn new(most: usize, most_bytes: usize) -> Front {
        let (sessions, resumed) = Default::default();
        Front { sessions, most, most_bytes, held_bytes: 0, resumed, stopping: None }
    }

    /// A client came.
    pub(crate) fn accepted(&mut self, engine: &mut Engine, conn: ConnId) {
        let now = engine.now();
        self.sessions.insert(conn, Session { came: now, used: now, ..Session::default() });
        if self.sessions.len() > self.most {
            if let Some(idle) = self.longest_idle(engine, now, conn) {
                self.sessions.remove(&idle);
                engine.close(idle);
            }
        }
    }

    /// Of the connections on which nothing waits to be read.
    fn longest_idle(&self, engine: &mut Engine, now: u64, new: ConnId) -> Option<ConnId> {
        // Those that are within a command, or are told of an error, come last.
        let rank = |s: &Session| (!s.between_requests(), s.spoke || now < s.used + WORDLESS, s.used);
        let idle = self.sessions.iter().filter(|(c, s)| **c != new && s.answers.pending() == 0);
        let mut idle: Vec<_> = idle.map(|(c, s)| (rank(s), *c)).collect();
        idle.sort_unstable();
        idle.into_iter().map(|(_, conn)| conn).find(|conn| engine.is_quiet(*conn))
    }

    pub(crate) fn owns(&self, conn: ConnId) -> bool {
        self.sessions.contains_key(&conn)
    }

    /// Bytes came.
    pub(crate) fn bytes(&mut self, engine: &mut Engine, conn: ConnId, data: &[u8]) {
        let now = engine.now();
        let Some(session) = self.sessions.get_mut(&conn).filter(|s| !s.over) else { return };
        session.bytes.extend_from_slice(data);
        session.used = now;
        // What was not read while the connection was paused may have come at any time since.
        session.received = session.put_off.unwrap_or(now);
        if session.put_off.is_some() && engine.is_quiet(conn) {
            session.put_off = None;
        }
    }

    /// The next command of a connection, as long as there is room for it. What cannot be read is told and ends it.
    pub(crate) fn next(&mut self, engine: &mut Engine, conn: ConnId) -> Option<Came> {
        let unread = engine.unsent(conn);
        let full = self.held_bytes >= self.most_bytes;
        let session = self.sessions.get_mut(&conn).filter(|s| !s.over)?;
        if session.answers.pending() >= MOST_PENDING || unread > UNREAD || full && !session.bytes.is_empty() {
            session.paused = true;
            session.put_off.get_or_insert(engine.now());
            engine.pause(conn, true);
            return None;
        }
        match take(&mut session.bytes, &BOUNDS) {
            Taken::Partial => {
                if std::mem::take(&mut session.paused) {
                    engine.pause(conn, false);
                    session.put_off = session.put_off.filter(|_| !engine.is_quiet(conn));
                }
                None
            }
            Taken::Command(words) => {
                session.spoke = true;
                let received = session.received;
                Some(Came { slot: session.answers.wait(), words, received })
            }
            Taken::Bad(why) => {
                session.answers.ready(error(&why.to_string()));
                (session.over, session.bytes) = (true, BytesMut::new());
                None
            }
        }
    }

    /// A request of the connection is under way; its command takes so many bytes.
    pub(crate) fn opened(&mut self, conn: ConnId, id: RequestId, bytes: usize) {
        self.held_bytes += bytes;
        self.sessions.get_mut(&conn).into_iter().for_each(|s| {
            s.open.insert(id);
        });
    }

    /// A request has its final answer, or its client is gone.
    pub(crate) fn ended(&mut self, conn: ConnId, id: RequestId, bytes: usize) {
        self.held_bytes -= bytes.min(self.held_bytes);
        self.sessions.get_mut(&conn).into_iter().for_each(|s| {
            s.open.remove(&id);
        });
    }

    pub(crate) fn answer(&mut self, conn: ConnId, slot: u64, answer: Frame) {
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.answers.answer(slot, answer);
        }
    }

    /// The connection takes no further command.
    pub(crate) fn quit(&mut self, conn: ConnId) {
        self.sessions.get_mut(&conn).into_iter().for_each(|s| s.over = true);
    }

    /// Sends the answers that can be sent.
    pub(crate) fn flush(&mut self, engine: &mut Engine, conn: ConnId) {
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        let mut out = BytesMut::new();
        while let Some(answer) = session.answers.take() {
            encode(&mut out, &answer);
        }
        if !out.is_empty() {
            session.used = engine.now();
            engine.write(conn, &out);
        }
        self.resume(engine, conn);
        let Some(session) = self.sessions.get_mut(&conn).filter(|s| s.answers.pending() == 0) else { return };
        if session.over && session.lingers.is_none() {
            session.lingers = Some(engine.now());
            engine.linger(conn);
        }
    }

    /// Puts a paused connection among those that may go on, if there is room for its commands again.
    fn resume(&mut self, engine: &mut Engine, conn: ConnId) {
        let full = self.held_bytes >= self.most_bytes;
        let waits = |s: &&mut Session| s.paused && !s.over && !s.resumes;
        let Some(session) = self.sessions.get_mut(&conn).filter(waits) else { return };
        if session.answers.pending() < MOST_PENDING / 2 && engine.unsent(conn) <= UNREAD && !full {
            session.resumes = true;
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
            self.sessions.get_mut(conn).into_iter().for_each(|s| s.resumes = false);
        }
        resumed
    }

    /// A connection is over; returns its requests that are still open.
    pub(crate) fn closed(&mut self, conn: ConnId) -> Vec<RequestId> {
        let Some(session) = self.sessions.remove(&conn) else { return Vec::new() };
        let mut open: Vec<RequestId> = session.open.into_iter().collect();
        open.sort_unstable();
        open
    }

    /// Looks at connections that stand still.
    pub(crate) fn sweep(&mut self, engine: &mut Engine) {
        let now = engine.now();
        let (mut close, mut paused) = (Vec::new(), Vec::new());
        for (conn, session) in &mut self.sessions {
            let (unread, taken) = (engine.unsent(*conn), engine.taken(*conn));
            let known = session.stuck.filter(|(before, _)| *before == taken);
            session.stuck = (unread > 0).then_some(known.unwrap_or((taken, now)));
            if stalled(session, now) || silent(session, now) && engine.is_quiet(*conn) {
                close.push(*conn);
            } else if session.paused {
                paused.push(*conn);
            }
        }
        close.sort_unstable();
        paused.sort_unstable();
        // Its end is told by the loop, and with it its open requests.
        close.into_iter().for_each(|conn| engine.close(conn));
        paused.into_iter().for_each(|conn| self.resume(engine, conn));
    }

    /// From here on connections are let go, each once it is between two requests.
    pub(crate) fn stop(&mut self, now: u64) {
        self.stopping.get_or_insert(now);
    }

    /// Ends the connections whose turn has come. Guards requests that were read, or that wait unread, from an end that crosses them:
    /// to be called when all events of a turn were dealt with.
    pub(crate) fn let_go(&mut self, engine: &mut Engine) {
        let (Some(since), now) = (self.stopping, engine.now()) else { return };
        let goes = |(conn, s): (&ConnId, &Session)| {
            (s.between_requests() && !s.over && s.may_go(*conn, since, now)).then_some(*conn)
        };
        let mut idle: Vec<ConnId> = self.sessions.iter().filter_map(goes).collect();
        idle.sort_unstable();
        for conn in idle {
            if engine.close_if_quiet(conn) {
                self.sessions.remove(&conn);
            }
        }
    }

    pub(crate) fn lets_go(&self) -> bool {
        self.stopping.is_some()
    }
}

/// Whether a client has not taken what it is owed for longer than it may.
fn stalled(s: &Session, now: u64) -> bool {
    let longer = |since: u64, than: u64| now.saturating_sub(since) >= than;
    s.stuck.is_some_and(|(_, since)| longer(since, STALLED)) || s.lingers.is_some_and(|at| longer(at, LINGER))
}

/// Whether a client that is owed nothing said nothing for longer than it may, as far as it was read.
fn silent(s: &Session, now: u64) -> bool {
    if s.lingers.is_some() || s.stuck.is_some() || s.answers.pending() > 0 || s.paused {
        return false;
    }
    let (since, most) = match (s.spoke, s.bytes.is_empty()) {
        (false, _) => (s.came, SILENT),
        (true, false) => (s.used, SILENT),
        (true, true) => (s.used, IDLE),
    };
    now.saturating_sub(since) >= most
}

/// An error line. It carries no code that says trying again is harmless.
pub(crate) fn error(why: &str) -> Frame {
    let plain: String = why.chars().take(200).map(|c| if c.is_control() { ' ' } else { c }).collect();
    Frame::Error(format!("ERR {plain}").into())
}

#[cfg(test)]
mod stops;
#[cfg(test)]
mod tests;
