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

#[derive(Default)]
struct Session {
    bytes: BytesMut,
    answers: Answers<Frame>,
    /// Its requests without a final answer.
    open: FxHashSet<RequestId>,
    paused: bool,
    /// Nothing more is read: an error was told or the gateway stops.
    over: bool,
    /// It was told of an error and may read it.
    lingers: bool,
    spoke: bool,
    /// When it last began, continued or was answered.
    used: u64,
    /// Bytes it had not taken at the last look, and since when there are no fewer.
    unread: (usize, u64),
}

impl Session {
    fn between_requests(&self) -> bool {
        self.answers.pending() == 0 && self.bytes.is_empty() && !self.lingers
    }
}

/// A command that came, by the connection and the slot of its answer.
pub(crate) struct Came {
    pub(crate) slot: u64,
    pub(crate) words: Vec<Bytes>,
}

/// All clients.
pub(crate) struct Front {
    sessions: FxHashMap<ConnId, Session>,
    /// Connections beyond this are made up for by idle ones.
    most: usize,
    /// Bytes of commands that may be held, and that are.
    most_bytes: usize,
    held_bytes: usize,
    stopping: bool,
}

impl Front {
    pub(crate) fn new(most: usize, most_bytes: usize) -> Front {
        Front { sessions: FxHashMap::default(), most, most_bytes, held_bytes: 0, stopping: false }
    }

    /// A client came.
    pub(crate) fn accepted(&mut self, engine: &mut Engine, conn: ConnId) {
        let used = engine.now();
        self.sessions.insert(conn, Session { used, ..Session::default() });
        if self.sessions.len() > self.most {
            if let Some(idle) = self.longest_idle(used, conn) {
                self.sessions.remove(&idle);
                engine.close(idle);
            }
        }
    }

    fn longest_idle(&self, now: u64, new: ConnId) -> Option<ConnId> {
        let idle = self.sessions.iter().filter(|(c, s)| **c != new && s.answers.pending() == 0);
        let rank = |s: &Session| (s.spoke || now < s.used + WORDLESS, s.used);
        idle.min_by_key(|(c, s)| (rank(s), **c)).map(|(c, _)| *c)
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
    }

    /// The next command of a connection, as long as there is room for it. What cannot be read is told and ends it.
    pub(crate) fn next(&mut self, engine: &mut Engine, conn: ConnId) -> Option<Came> {
        let unread = engine.unsent(conn);
        let full = self.held_bytes >= self.most_bytes;
        let session = self.sessions.get_mut(&conn).filter(|s| !s.over)?;
        if session.answers.pending() >= MOST_PENDING || unread > UNREAD || full && !session.bytes.is_empty() {
            session.paused = true;
            engine.pause(conn, true);
            return None;
        }
        match take(&mut session.bytes, &BOUNDS) {
            Taken::Partial => None,
            Taken::Command(words) => {
                session.spoke = true;
                Some(Came { slot: session.answers.wait(), words })
            }
            Taken::Bad(why) => {
                session.answers.ready(error(&why));
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

    /// Sends the answers that can be sent. Returns whether the connection may go on reading.
    pub(crate) fn flush(&mut self, engine: &mut Engine, conn: ConnId) -> bool {
        let Some(session) = self.sessions.get_mut(&conn) else { return false };
        let mut out = BytesMut::new();
        while let Some(answer) = session.answers.take() {
            encode(&mut out, &answer);
        }
        if !out.is_empty() {
            session.used = engine.now();
            engine.write(conn, &out);
        }
        if session.answers.pending() > 0 {
            return false;
        }
        if session.over && !session.lingers {
            session.lingers = true;
            engine.linger(conn);
        } else if self.stopping && session.bytes.is_empty() {
            session.over = true;
            engine.end(conn);
        }
        let more = session.paused && !session.over;
        if more {
            session.paused = false;
            engine.pause(conn, false);
        }
        more
    }

    /// A connection is over; returns its requests that are still open.
    pub(crate) fn closed(&mut self, conn: ConnId) -> Vec<RequestId> {
        let Some(session) = self.sessions.remove(&conn) else { return Vec::new() };
        let mut open: Vec<RequestId> = session.open.into_iter().collect();
        open.sort_unstable();
        open
    }

    /// Looks at connections that stand still, and returns those that may go on reading.
    pub(crate) fn sweep(&mut self, engine: &mut Engine) -> Vec<ConnId> {
        let now = engine.now();
        let (mut close, mut resume) = (Vec::new(), Vec::new());
        for (conn, session) in &mut self.sessions {
            let unread = engine.unsent(*conn);
            if unread == 0 || unread < session.unread.0 {
                session.unread.1 = now;
            }
            session.unread.0 = unread;
            if over_time(session, now) {
                close.push(*conn);
            } else if session.paused && unread <= UNREAD && session.answers.pending() < MOST_PENDING / 2 {
                session.paused = false;
                resume.push(*conn);
            }
        }
        close.sort_unstable();
        resume.sort_unstable();
        // Its end is told by the loop, and with it its open requests.
        close.into_iter().for_each(|conn| engine.close(conn));
        resume.iter().for_each(|conn| engine.pause(*conn, false));
        resume
    }

    /// From here on a connection ends once it is between two requests.
    pub(crate) fn stop(&mut self, engine: &mut Engine) {
        self.stopping = true;
        let mut idle: Vec<ConnId> =
            self.sessions.iter().filter(|(_, s)| s.between_requests()).map(|(c, _)| *c).collect();
        idle.sort_unstable();
        for conn in idle {
            self.sessions.get_mut(&conn).into_iter().for_each(|s| s.over = true);
            engine.end(conn);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }
}

/// Whether a connection stood still for longer than it may.
fn over_time(s: &Session, now: u64) -> bool {
    let still = now.saturating_sub(s.used);
    if s.unread.0 > 0 && now.saturating_sub(s.unread.1) >= STALLED {
        return true;
    }
    if s.lingers {
        return still >= LINGER;
    }
    let half = !s.bytes.is_empty() && !s.paused;
    let waits = s.answers.pending() > 0;
    (half || !s.spoke) && !waits && still >= SILENT || !waits && !s.paused && still >= IDLE
}

/// An error line. It carries no code that says trying again is harmless.
pub(crate) fn error(why: &str) -> Frame {
    let plain: String = why.chars().take(200).map(|c| if c.is_control() { ' ' } else { c }).collect();
    Frame::Error(format!("ERR {plain}").into())
}
