//! The event loop: listeners, connections, streams and timers by id, and what happens to them as events.
//!
//! Limits: a listener holds `Limits::connections`, a connection `Limits::streams`. Of the bytes that are received on a stream, at most
//! one window is held until `consume` gives it back; what a caller queues to be sent it has to pace by `Event::Sent`.

mod connections;
mod listeners;
mod plain;
mod streams;

use crate::clock::Clock;
use crate::connection::{Connection, Transport};
use crate::event::Event;
use crate::listener::Listener;
use crate::ready_queue::ReadyQueue;
use crate::stream::Stream;
use listeners::ACCEPTS_PER_TURN;
use mio::{Poll, Token};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Streams that clients may open in one turn. Against floods: each step of the open calls waits for a turn.
const OPENS_PER_TURN: usize = 64;
/// Connections and streams that are polled in one turn, so that a busy peer does not delay timers.
const POLLS_PER_TURN: usize = 8_192;
/// Events of sockets that one wait may report.
const READINESS_CAPACITY: usize = 1_024;
/// The token of `LoopWaker`.
const WAKER_TOKEN: Token = Token(usize::MAX);

/// Wakes a loop from another thread.
pub type LoopWaker = mio::Waker;

/// A moment in microseconds and what is due then: the token of a timer, or the key of a connection.
type Scheduled = Reverse<(u64, u64)>;

/// The loop's state. It belongs to one thread and holds no locks between calls.
pub struct Engine {
    poll: Poll,
    readiness: mio::Events,
    ready: Arc<ReadyQueue>,
    clock: Clock,
    /// The key that was given last. Listeners, connections and streams share the numbers.
    last_key: u64,
    listeners: FxHashMap<u64, Listener>,
    connections: FxHashMap<u64, Connection>,
    streams: FxHashMap<u64, Box<Stream>>,
    timers: BinaryHeap<Scheduled>,
    /// When connections are to be pinged.
    pings: BinaryHeap<Scheduled>,
    /// Events that were not handed over yet.
    events: VecDeque<Event>,
    /// Streams that clients opened in this turn.
    opened_in_turn: usize,
    /// Listeners that have more connections to accept.
    accepting_listeners: Vec<u64>,
    /// Plain connections of which the last turn handed over bytes that its caller has not handled yet.
    unhandled: FxHashSet<u64>,
    /// Plain connections that gave their piece in this turn and may have more to read.
    unread: Vec<u64>,
    /// Plain connections with bytes queued in this turn; they are written before the next wait.
    unflushed: Vec<u64>,
}

impl Engine {
    /// A loop that holds nothing.
    ///
    /// # Errors
    /// The system gives no poll handle.
    pub fn new() -> io::Result<Engine> {
        Engine::with_clock(Clock::start())
    }

    /// The same with a clock of the caller's.
    ///
    /// # Errors
    /// As `new`.
    pub fn with_clock(clock: Clock) -> io::Result<Engine> {
        Ok(Engine {
            poll: Poll::new()?,
            readiness: mio::Events::with_capacity(READINESS_CAPACITY),
            ready: Arc::default(),
            clock,
            last_key: 1,
            listeners: FxHashMap::default(),
            connections: FxHashMap::default(),
            streams: FxHashMap::default(),
            timers: BinaryHeap::new(),
            pings: BinaryHeap::new(),
            events: VecDeque::new(),
            opened_in_turn: 0,
            accepting_listeners: Vec::new(),
            unhandled: FxHashSet::default(),
            unread: Vec::new(),
            unflushed: Vec::new(),
        })
    }

    /// Microseconds since the Unix epoch; never steps.
    pub fn now(&self) -> u64 {
        self.clock.now()
    }

    fn next_key(&mut self) -> u64 {
        self.last_key += 1;
        self.last_key
    }

    /// Wakes the loop from another thread. One loop has one of them.
    ///
    /// # Errors
    /// The system gives no handle.
    pub fn waker(&self) -> io::Result<LoopWaker> {
        mio::Waker::new(self.poll.registry(), WAKER_TOKEN)
    }

    /// Sets a timer: `Event::Timer(token)` at that time. Timers are not cancelled; the caller ignores those that are obsolete.
    pub fn set_timer(&mut self, at: u64, token: u64) {
        self.timers.push(Reverse((at, token)));
    }

    /// Waits until something happens, at most so many microseconds, and hands over what did.
    ///
    /// # Errors
    /// The system fails to poll the sockets.
    pub fn turn(&mut self, max_wait: u64, events: &mut Vec<Event>) -> io::Result<()> {
        self.flush_plain();
        self.unhandled.clear();
        self.retry_accepts();
        self.wait(max_wait)?;
        self.wake_ready();
        self.poll_ready();
        self.wake_unread();
        // After what was read: a reply that was received in time must not be met by its own time-out, nor a connection with a request
        // on it by its idle time-out.
        self.fire_timers();
        events.extend(self.events.drain(..));
        Ok(())
    }

    fn wait(&mut self, max_wait: u64) -> io::Result<()> {
        let is_idle =
            self.ready.is_empty() && self.events.is_empty() && self.accepting_listeners.is_empty();
        let next = [self.timers.peek(), self.pings.peek()]
            .into_iter()
            .flatten()
            .map(|Reverse((at, _))| *at)
            .min();
        let until_next = next.map_or(max_wait, |at| at.saturating_sub(self.now()));
        let wait = if is_idle { until_next.min(max_wait) } else { 0 };
        let wait = Some(Duration::from_micros(wait));
        match self.poll.poll(&mut self.readiness, wait) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
            other => other,
        }
    }

    /// Accepts connections and wakes those whose sockets are ready.
    fn wake_ready(&mut self) {
        let mut keys = std::mem::take(&mut self.accepting_listeners);
        for event in &self.readiness {
            let key = event.token().0 as u64;
            keys.push(key);
            if !event.is_read_closed() && !event.is_error() {
                continue;
            }
            if let Some(Connection {
                transport: Transport::Plain(plain),
                ..
            }) = self.connections.get_mut(&key)
            {
                plain.has_peer_ended = true;
            }
        }
        for key in keys {
            if self.listeners.contains_key(&key) {
                self.accept(key, ACCEPTS_PER_TURN);
            } else if let Some(connection) = self.connections.get(&key) {
                connection.waker.wake_by_ref();
            }
        }
    }

    /// Polls what is ready, within the limits of a turn.
    fn poll_ready(&mut self) {
        self.opened_in_turn = 0;
        for _ in 0..POLLS_PER_TURN {
            if self.opened_in_turn >= OPENS_PER_TURN {
                break;
            }
            let Some(key) = self.ready.pop() else { break };
            if self.streams.contains_key(&key) {
                self.poll_stream(key);
            } else {
                self.poll_connection(key);
            }
        }
    }

    fn wake_unread(&mut self) {
        for key in std::mem::take(&mut self.unread) {
            if let Some(connection) = self.connections.get(&key) {
                connection.waker.wake_by_ref();
            }
        }
    }

    fn fire_timers(&mut self) {
        let now = self.now();
        while let Some(Reverse((at, token))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.events.push_back(Event::Timer(token));
        }
        self.send_pings(now);
    }
}
