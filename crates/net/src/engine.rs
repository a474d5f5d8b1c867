//! The poll loop: listeners, connections, streams and timers by id, and what happens to them as events.
//!
//! Bounds: a listener takes `Limits::connections`, a connection `Limits::streams`; of a stream's incoming bytes at most
//! one window is held until `consume` gives it back; what a caller queues to go out it must pace by `Event::Sent`.

use crate::clock::Clock;
use crate::close::CloseReason;
use crate::conn::{Conn, Link, Speaks, Step};
use crate::listener::{Listener, ACCEPTS_TURN};
use crate::stream::{Outgoing, Stream};
use crate::wake::{Ready, Turn};
use bytes::Bytes;
use http::{request, response, HeaderMap, Request, Response};
use mio::net::TcpStream;
use mio::{Interest, Poll, Token};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);
    };
}
id!(/// A place where connections come in.
    ListenerId);
id!(/// A connection of either side.
    ConnId);
id!(/// A stream of either side; never used again.
    StreamId);

/// Bounds of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections that a listener holds; further ones wait in the kernel's queue.
    pub connections: usize,
    /// Streams open at once on one connection.
    pub streams: u32,
    /// Bytes of one stream, and of one connection, on the way before they are consumed.
    pub stream_window: u32,
    /// The same for all streams of a connection together.
    pub connection_window: u32,
    /// The longest head or trailers, in bytes.
    pub header_bytes: u32,
    /// Streams that a client may reset on one connection within a second; beyond that it is closed.
    pub resets: u32,
    /// A connection that was asked for is pinged this often, in microseconds; one that has not answered by the next ping is
    /// lost. 0: never.
    pub keepalive: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 16_384,
            streams: 1_024,
            stream_window: 65_535,
            connection_window: 16 << 20,
            header_bytes: 16 << 10,
            resets: 1_000,
            keepalive: 0,
        }
    }
}

/// Why a stream broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The peer refused it unseen.
    Refused,
    /// The peer went away and says that it did not see it.
    GoneAway,
    /// The peer reset it.
    Reset(h2::Reason),
    /// The connection is lost.
    Lost,
}

/// What happened.
#[derive(Debug)]
#[allow(missing_docs)]
pub enum Event {
    /// A connection came in.
    Accepted { listener: ListenerId, conn: ConnId },
    /// A connection that was asked for stands.
    Connected { conn: ConnId },
    /// A connection is over. `reached`: it once stood. `unsent`: bytes queued on a plain one that were never written.
    Closed {
        conn: ConnId,
        reached: bool,
        unsent: usize,
        reason: CloseReason,
    },
    /// A client opened a stream. `ended`: it has no body.
    Opened {
        stream: StreamId,
        conn: ConnId,
        head: Box<request::Parts>,
        ended: bool,
    },
    /// The head of an answer came.
    Head {
        stream: StreamId,
        head: Box<response::Parts>,
        ended: bool,
    },
    /// Bytes came; `Engine::consume` lets more come.
    Data { stream: StreamId, data: Bytes },
    /// The peer sent its last.
    End {
        stream: StreamId,
        trailers: Option<HeaderMap>,
    },
    /// So many queued bytes were handed to the connection.
    Sent { stream: StreamId, bytes: usize },
    /// The stream broke off; nothing more is heard of it.
    Broken { stream: StreamId, how: Broken },
    /// A timer came due.
    Timer(u64),
    /// A GET on a side port.
    Get { conn: ConnId, path: String },
    /// Bytes on a plain connection.
    Bytes { conn: ConnId, data: Bytes },
}

/// Streams that one connection may open before others have their turn, and that all may open in one turn of the loop. Guards
/// against floods: each step of the calls that are under way waits for a turn.
const OPENS_EACH: usize = 8;
const OPENS_TURN: usize = 64;
/// Wakes a loop from another thread.
pub type LoopWaker = mio::Waker;

/// The loop's state. One thread, no locks held between calls.
pub struct Engine {
    pub(crate) poll: Poll,
    readiness: mio::Events,
    pub(crate) ready: Arc<Ready>,
    clock: Clock,
    next: u64,
    pub(crate) listeners: FxHashMap<u64, Listener>,
    pub(crate) conns: FxHashMap<u64, Conn>,
    streams: FxHashMap<u64, Box<Stream>>,
    timers: BinaryHeap<Reverse<(u64, u64)>>,
    /// When a connection is to be pinged.
    pings: BinaryHeap<Reverse<(u64, u64)>>,
    pub(crate) out: VecDeque<Event>,
    /// Streams opened in this turn.
    opens: usize,
    /// Listeners with more connections to take in.
    pub(crate) accepting: Vec<u64>,
    /// Plain connections of which the last turn handed bytes over that its caller has not dealt with yet.
    pub(crate) unhandled: FxHashSet<u64>,
    /// Plain connections that gave their piece in this turn and may have more to read.
    unread: Vec<u64>,
    /// Plain connections with bytes queued in this turn; they are written before the next wait.
    pub(crate) dirty: Vec<u64>,
}

impl Engine {
    /// A loop that holds nothing. Errors: the system gives no poll handle.
    pub fn new() -> io::Result<Engine> {
        Engine::with_clock(Clock::start())
    }

    /// The same with a clock of the caller's.
    pub fn with_clock(clock: Clock) -> io::Result<Engine> {
        Ok(Engine {
            poll: Poll::new()?,
            readiness: mio::Events::with_capacity(1024),
            ready: Arc::default(),
            clock,
            next: 1,
            listeners: FxHashMap::default(),
            conns: FxHashMap::default(),
            streams: FxHashMap::default(),
            timers: BinaryHeap::new(),
            pings: BinaryHeap::new(),
            out: VecDeque::new(),
            opens: 0,
            accepting: Vec::new(),
            unhandled: FxHashSet::default(),
            unread: Vec::new(),
            dirty: Vec::new(),
        })
    }

    /// Microseconds since the Unix epoch; never steps.
    pub fn now(&self) -> u64 {
        self.clock.now()
    }

    pub(crate) fn id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Wakes the loop from another thread. One loop has one of them.
    pub fn waker(&self) -> io::Result<LoopWaker> {
        mio::Waker::new(self.poll.registry(), Token(usize::MAX))
    }

    /// Connections of a listener that are held now, also of one that takes no more.
    pub fn held_by(&self, listener: ListenerId) -> usize {
        self.conns
            .values()
            .filter(|c| c.listener == Some(listener.0))
            .count()
    }

    /// Begins a connection; `Connected` or `Closed` follows. Errors: no socket, or refused at once.
    pub fn connect(&mut self, address: SocketAddr, limits: Limits) -> io::Result<ConnId> {
        self.dial(address, limits, Speaks::Http2)
    }

    /// The same for a connection of plain bytes, on which nothing may be queued before `Connected`.
    pub fn connect_raw(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        self.dial(address, Limits::default(), Speaks::Raw)
    }

    fn dial(&mut self, address: SocketAddr, limits: Limits, speaks: Speaks) -> io::Result<ConnId> {
        let mut stream = TcpStream::connect(address)?;
        let _ = stream.set_nodelay(true);
        let id = self.id();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll
            .registry()
            .register(&mut stream, Token(id as usize), interest)?;
        let waker = self.ready.waker(id, Turn::First);
        self.conns
            .insert(id, Conn::connecting(stream, limits, speaks, waker));
        Ok(ConnId(id))
    }

    /// How many further streams may be opened there now.
    pub fn room(&self, conn: ConnId) -> usize {
        self.conns.get(&conn.0).map_or(0, Conn::room)
    }

    /// Streams that are open there.
    pub fn open_streams(&self, conn: ConnId) -> usize {
        self.conns.get(&conn.0).map_or(0, |c| c.streams)
    }

    /// Opens a stream. `ended`: it has no body. Nothing when the connection does not stand or takes no more.
    pub fn open(&mut self, conn: ConnId, head: Request<()>, ended: bool) -> Option<StreamId> {
        let id = self.next + 1;
        let waker = self.ready.waker(id, Turn::First);
        let link = self.conns.get_mut(&conn.0).filter(|c| c.room() > 0)?;
        let Link::Client(sender, _) = &mut link.link else {
            return None;
        };
        let (answer, body) = sender.send_request(head, ended).ok()?;
        self.next = id;
        link.streams += 1;
        let outgoing = if ended {
            Outgoing::Done
        } else {
            Outgoing::Body(body)
        };
        waker.wake_by_ref();
        let stream = Stream::sent(StreamId(id), conn.0, waker, answer, outgoing);
        self.streams.insert(id, Box::new(stream));
        Some(StreamId(id))
    }

    /// Answers with a head. `end`: it is the whole answer.
    pub fn respond(&mut self, stream: StreamId, head: Response<()>, end: bool) {
        self.on_stream(stream, |s| s.respond(head, end));
    }
    /// Queues bytes.
    pub fn send(&mut self, stream: StreamId, data: Bytes) {
        self.on_stream(stream, |s| s.send(data));
    }
    /// Ends our direction after what is queued.
    pub fn finish(&mut self, stream: StreamId, trailers: Option<HeaderMap>) {
        self.on_stream(stream, |s| s.finish(trailers));
    }
    /// Breaks a stream off; nothing more is heard of it.
    pub fn reset(&mut self, stream: StreamId, reason: h2::Reason) {
        self.on_stream(stream, |s| s.reset(reason));
        self.forget(stream.0);
    }
    /// Lets the peer send so many bytes more.
    pub fn consume(&mut self, stream: StreamId, bytes: usize) {
        self.on_stream(stream, |s| s.consume(bytes));
    }
    /// Bytes queued there that the peer's window does not take yet.
    pub fn queued(&self, stream: StreamId) -> usize {
        self.streams.get(&stream.0).map_or(0, |s| s.queued())
    }
    /// Whether the stream can still move.
    pub fn is_open(&self, stream: StreamId) -> bool {
        self.streams.contains_key(&stream.0)
    }
    /// Connections and streams that are held now.
    pub fn held(&self) -> (usize, usize) {
        (self.conns.len(), self.streams.len())
    }

    fn on_stream(&mut self, stream: StreamId, act: impl FnOnce(&mut Stream)) {
        if let Some(s) = self.streams.get_mut(&stream.0) {
            act(s);
        }
    }

    /// Asks all clients of a listener's connections to open nothing new (GOAWAY); what is open goes on.
    pub fn drain(&mut self, listener: ListenerId) {
        for conn in self
            .conns
            .values_mut()
            .filter(|c| c.listener == Some(listener.0))
        {
            conn.drain();
        }
    }

    /// Ends a connection at once.
    pub fn close(&mut self, conn: ConnId) {
        self.close_for(conn, h2::Reason::NO_ERROR);
    }

    fn close_for(&mut self, conn: ConnId, reason: h2::Reason) {
        if let Some(c) = self.conns.get_mut(&conn.0) {
            match &mut c.link {
                Link::Server(link) => link.abrupt_shutdown(reason),
                link => *link = Link::Closed,
            }
            c.waker.wake_by_ref();
            if matches!(c.link, Link::Closed) {
                self.drop_conn(conn.0, CloseReason::Local);
            }
        }
    }

    /// Answers a GET and closes.
    pub fn reply(&mut self, conn: ConnId, status: u16, body: &str) {
        if let Some(Conn {
            link: Link::Http1(http1),
            waker,
            ..
        }) = self.conns.get_mut(&conn.0)
        {
            if matches!(http1.reply(status, body), crate::http1::Step::Close) {
                self.drop_conn(conn.0, CloseReason::Local);
            } else {
                waker.wake_by_ref();
            }
        }
    }

    /// `Event::Timer(token)` at that time. Timers are not taken back; stale ones are the caller's to ignore.
    pub fn timer(&mut self, at: u64, token: u64) {
        self.timers.push(Reverse((at, token)));
    }

    /// Waits until something happens, at most so many microseconds, and hands over what did.
    pub fn turn(&mut self, most_wait: u64, events: &mut Vec<Event>) -> io::Result<()> {
        self.write_dirty();
        self.unhandled.clear();
        self.retry_accepts();
        let idle = self.ready.is_empty() && self.out.is_empty() && self.accepting.is_empty();
        let next = [self.timers.peek(), self.pings.peek()]
            .into_iter()
            .flatten()
            .map(|Reverse((at, _))| *at)
            .min();
        let due = next.map_or(most_wait, |at| at.saturating_sub(self.now()));
        let wait = if idle { due.min(most_wait) } else { 0 };
        match self
            .poll
            .poll(&mut self.readiness, Some(Duration::from_micros(wait)))
        {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => other?,
        }
        let mut touched = std::mem::take(&mut self.accepting);
        for event in &self.readiness {
            let key = event.token().0 as u64;
            touched.push(key);
            if event.is_read_closed() || event.is_error() {
                if let Some(Conn {
                    link: Link::Raw(raw),
                    ..
                }) = self.conns.get_mut(&key)
                {
                    raw.ends = true;
                }
            }
        }
        for key in touched {
            if self.listeners.contains_key(&key) {
                self.accept(key, ACCEPTS_TURN);
            } else if let Some(conn) = self.conns.get(&key) {
                conn.waker.wake_by_ref();
            }
        }
        // Bounded, so that a busy peer does not keep timers waiting.
        self.opens = 0;
        for _ in 0..8192 {
            if self.opens >= OPENS_TURN {
                break;
            }
            let Some(key) = self.ready.pop() else { break };
            self.poll_key(key);
        }
        for key in std::mem::take(&mut self.unread) {
            if let Some(conn) = self.conns.get(&key) {
                conn.waker.wake_by_ref();
            }
        }
        // After what was read: an answer that came in time must not be met by its own time-out, nor a connection with a request
        // on it by the end of its patience.
        self.timers_due();
        events.extend(self.out.drain(..));
        Ok(())
    }

    fn timers_due(&mut self) {
        let now = self.now();
        while let Some(Reverse((_, token))) = self.timers.peek().filter(|t| t.0 .0 <= now).copied()
        {
            self.timers.pop();
            self.out.push_back(Event::Timer(token));
        }
        self.ping_due(now);
    }

    /// Guards against connections that are gone without a word: half open, their calls would wait for their time-outs.
    fn ping_due(&mut self, now: u64) {
        while let Some(Reverse((_, key))) = self.pings.peek().filter(|p| p.0 .0 <= now).copied() {
            self.pings.pop();
            let Some(conn) = self.conns.get_mut(&key) else {
                continue;
            };
            if conn.unanswered {
                self.drop_conn(key, CloseReason::Failed("no answer to a ping".to_string()));
                continue;
            }
            conn.send_ping();
            let next = now + conn.limits.keepalive;
            self.pings.push(Reverse((next, key)));
        }
    }

    fn poll_key(&mut self, key: u64) {
        if let Some(stream) = self.streams.get_mut(&key) {
            let conn = stream.conn;
            stream.poll(&mut self.out);
            let reset = stream.was_reset();
            if stream.over() {
                self.forget(key);
            }
            if reset {
                self.count_reset(conn);
            }
        } else if self.conns.contains_key(&key) {
            self.poll_conn(key);
        }
    }

    /// Guards against clients that open and reset without end: each such stream costs work that nobody waits for.
    fn count_reset(&mut self, key: u64) {
        let second = self.now() / 1_000_000;
        let Some(conn) = self.conns.get_mut(&key) else {
            return;
        };
        if conn.reset_second != second {
            (conn.reset_second, conn.resets) = (second, 0);
        }
        conn.resets += 1;
        if conn.resets > conn.limits.resets && conn.listener.is_some() {
            tracing::warn!(
                resets = conn.resets,
                "closing the connection of a client that resets too many streams"
            );
            self.close_for(ConnId(key), h2::Reason::ENHANCE_YOUR_CALM);
        }
    }

    fn forget(&mut self, key: u64) {
        let Some(stream) = self.streams.remove(&key) else {
            return;
        };
        if let Some(conn) = self.conns.get_mut(&stream.conn) {
            conn.streams -= 1;
        }
    }

    fn poll_conn(&mut self, key: u64) {
        let mut opens = 0;
        while let Some(conn) = self.conns.get_mut(&key) {
            match conn.poll() {
                Step::Wait => return,
                Step::Connected => {
                    let keepalive = conn.limits.keepalive;
                    self.out.push_back(Event::Connected { conn: ConnId(key) });
                    if keepalive > 0 {
                        self.pings
                            .push(Reverse((self.clock.now() + keepalive, key)));
                    }
                }
                Step::Get(path) => {
                    self.out.push_back(Event::Get {
                        conn: ConnId(key),
                        path,
                    });
                    return;
                }
                Step::Bytes(data, more) => {
                    // One piece a turn, so that no connection keeps the others waiting or fills the memory: the rest is the
                    // next turn's, and until then it stays in the socket.
                    if more {
                        self.unread.push(key);
                    }
                    if !data.is_empty() {
                        self.unhandled.insert(key);
                        self.out.push_back(Event::Bytes {
                            conn: ConnId(key),
                            data,
                        });
                    }
                    return;
                }
                Step::Opened(request, respond) => {
                    conn.streams += 1;
                    opens += 1;
                    let others_turn = opens >= OPENS_EACH;
                    if others_turn {
                        conn.waker.wake_by_ref();
                    }
                    self.opened(key, *request, respond);
                    if others_turn {
                        return;
                    }
                }
                Step::Closed(reason) => return self.drop_conn(key, reason),
            }
        }
    }

    fn opened(
        &mut self,
        conn: u64,
        request: Request<h2::RecvStream>,
        respond: h2::server::SendResponse<Bytes>,
    ) {
        let id = self.id();
        let (head, body) = request.into_parts();
        let ended = body.is_end_stream();
        let waker = self.ready.waker(id, Turn::First);
        waker.wake_by_ref();
        let (stream, head) = (StreamId(id), Box::new(head));
        self.out.push_back(Event::Opened {
            stream,
            conn: ConnId(conn),
            head,
            ended,
        });
        self.opens += 1;
        self.streams.insert(
            id,
            Box::new(Stream::opened(stream, conn, waker, body, respond)),
        );
    }

    fn drop_conn(&mut self, key: u64, reason: CloseReason) {
        let Some(conn) = self.conns.remove(&key) else {
            return;
        };
        if let Some(l) = conn.listener.and_then(|l| self.listeners.get_mut(&l)) {
            l.held -= 1;
            if std::mem::take(&mut l.paused) {
                self.accept(conn.listener.unwrap_or(0), ACCEPTS_TURN);
            }
        }
        let unsent = if let Link::Raw(raw) = &conn.link {
            raw.unsent()
        } else {
            0
        };
        self.out.push_back(Event::Closed {
            conn: ConnId(key),
            reached: conn.reached,
            unsent,
            reason,
        });
    }
}
