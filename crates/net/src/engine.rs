//! The event loop. It holds listeners, connections, streams and timers by id, and reports what happens to them as events.
//!
//! A listener holds at most `Limits::max_connections` connections, and a connection at most `Limits::max_streams` streams. A
//! peer can send one flow-control window on a stream until `consume` releases capacity. Bytes queued to be sent are not bounded
//! here: the caller limits them with the help of `Event::Sent`.

mod connections;
mod lingering;
mod listeners;
mod plain;
mod streams;

use crate::clock::Clock;
use crate::connection::{Connection, Transport};
use crate::event::Event;
use crate::listener::Listener;
use crate::ready_queue::{Priority, ReadyQueue};
use crate::stream::Stream;
use listeners::ACCEPTS_PER_TURN;
use mio::{Poll, Token};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of streams that clients may open in one turn of the loop. Without a limit, a flood of new streams would delay the
/// streams that are already open, as each of their steps waits for the next turn.
const OPENS_PER_TURN: usize = 64;
/// Maximum number of connections and streams that are polled in one turn of the loop, so that a busy peer does not delay timers.
const POLLS_PER_TURN: usize = 8_192;
/// Maximum number of bytes that are read from plain connections in one turn of the loop, unless the caller sets another one.
const READ_BYTES_PER_TURN: usize = 1 << 20;
/// A poll that takes at least this long has waited for its events, in microseconds.
const MIN_WAIT_MICROS: u64 = 1_000;
/// The longest time between two polls in which events count as having happened at its beginning, in microseconds. The platform may hold up a
/// process for 0.15 s.
const MAX_HOLD_UP_MICROS: u64 = 250_000;
/// Maximum number of readiness events that one `mio` poll returns.
const READINESS_CAPACITY: usize = 1_024;
/// The mio token of the `LoopWaker`.
const WAKER_TOKEN: Token = Token(usize::MAX);

/// Wakes an event loop from another thread.
pub type LoopWaker = mio::Waker;

/// A time in microseconds and what is due then: the token of a timer, or the key of a connection. Reversed, so that a heap yields
/// the earliest one first.
type Scheduled = Reverse<(u64, u64)>;

/// The event loop. One thread owns it; no lock is held between its calls.
pub struct Engine {
    poll: Poll,
    readiness: mio::Events,
    ready: Arc<ReadyQueue>,
    clock: Clock,
    /// The last assigned key. Listeners, connections and streams share one sequence of keys.
    last_key: u64,
    listeners: FxHashMap<u64, Listener>,
    connections: FxHashMap<u64, Connection>,
    streams: FxHashMap<u64, Box<Stream>>,
    /// The timers that are set: the time and the token of each.
    timers: BTreeSet<(u64, u64)>,
    /// The times of the next keepalive pings, by connection.
    pings: BinaryHeap<Scheduled>,
    /// The times of the next checks of lingering closes, by connection.
    lingering_checks: BinaryHeap<Scheduled>,
    /// When the discarding of what clients send on answered streams ends, by stream.
    discards: BinaryHeap<Scheduled>,
    /// Events that `turn` has not returned yet.
    events: VecDeque<Event>,
    /// The number of streams that clients opened in this turn.
    opened_in_turn: usize,
    /// The number of bytes that were read from plain connections in this turn.
    read_in_turn: usize,
    /// Maximum number of bytes that are read from plain connections in one turn.
    read_bytes_per_turn: usize,
    /// The earliest time at which what the poll reports may have happened.
    polled_since: u64,
    /// When the poll last returned.
    polled_at: u64,
    /// Listeners that may have further connections to accept.
    accepting_listeners: Vec<u64>,
    /// Plain connections whose bytes from the last turn the caller has not handled yet.
    unhandled: FxHashSet<u64>,
    /// Plain connections that were read in this turn and may have more to read.
    unread: Vec<u64>,
    /// Plain connections with bytes that were queued in this turn. They are flushed before the next wait.
    unflushed: Vec<u64>,
}

impl Engine {
    /// An event loop without listeners, connections or timers.
    ///
    /// # Errors
    /// The operating system cannot create a poll handle.
    pub fn new() -> io::Result<Engine> {
        Engine::with_clock(Clock::start())
    }

    /// An event loop with the given clock.
    ///
    /// # Errors
    /// See `new`.
    pub fn with_clock(clock: Clock) -> io::Result<Engine> {
        let now = clock.now();
        Ok(Engine {
            poll: Poll::new()?,
            readiness: mio::Events::with_capacity(READINESS_CAPACITY),
            ready: Arc::default(),
            clock,
            last_key: 1,
            listeners: FxHashMap::default(),
            connections: FxHashMap::default(),
            streams: FxHashMap::default(),
            timers: BTreeSet::new(),
            pings: BinaryHeap::new(),
            lingering_checks: BinaryHeap::new(),
            discards: BinaryHeap::new(),
            events: VecDeque::new(),
            opened_in_turn: 0,
            read_in_turn: 0,
            read_bytes_per_turn: READ_BYTES_PER_TURN,
            polled_since: now,
            polled_at: now,
            accepting_listeners: Vec::new(),
            unhandled: FxHashSet::default(),
            unread: Vec::new(),
            unflushed: Vec::new(),
        })
    }

    /// Microseconds since the Unix epoch, from a clock that never steps.
    pub fn now(&self) -> u64 {
        self.clock.now()
    }

    /// Sets the maximum number of bytes that are read from plain connections in one turn of the loop. They are kept until the caller has
    /// handled them.
    pub fn set_read_bytes_per_turn(&mut self, bytes: usize) {
        self.read_bytes_per_turn = bytes;
    }

    fn next_key(&mut self) -> u64 {
        self.last_key += 1;
        self.last_key
    }

    /// Creates the handle that wakes this loop from another thread. A loop supports only one.
    ///
    /// # Errors
    /// The operating system cannot create the handle.
    pub fn waker(&self) -> io::Result<LoopWaker> {
        mio::Waker::new(self.poll.registry(), WAKER_TOKEN)
    }

    /// Sets a timer that causes `Event::Timer(token)` at the time `at`.
    pub fn set_timer(&mut self, at: u64, token: u64) {
        self.timers.insert((at, token));
    }

    /// Cancels the timer that was set with this time and token. Its event may already be among those of the last turn.
    pub fn cancel_timer(&mut self, at: u64, token: u64) {
        self.timers.remove(&(at, token));
    }

    /// The number of timers that are set.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// Runs one turn of the loop: waits for an event, for at most `max_wait_micros`, and appends what happened to `events`.
    ///
    /// # Errors
    /// The operating system fails to poll the sockets.
    pub fn turn(&mut self, max_wait_micros: u64, events: &mut Vec<Event>) -> io::Result<()> {
        self.flush_plain();
        self.unhandled.clear();
        self.retry_accepts();
        self.wait(max_wait_micros)?;
        self.wake_ready();
        self.poll_ready();
        self.wake_unread();
        // Timers fire after the reads: a reply that arrived in time must not be reported after its own timeout, and a
        // connection that has received a request must not be closed by its idle timeout.
        self.fire_timers();
        events.extend(self.events.drain(..));
        Ok(())
    }

    fn wait(&mut self, max_wait_micros: u64) -> io::Result<()> {
        let is_idle =
            self.ready.is_empty() && self.events.is_empty() && self.accepting_listeners.is_empty();
        let scheduled = [&self.pings, &self.lingering_checks, &self.discards];
        let next_scheduled = scheduled
            .iter()
            .filter_map(|heap| heap.peek())
            .map(|Reverse((at, _))| *at);
        let next_timer = self.timers.first().map(|(at, _)| *at);
        let next = next_scheduled.chain(next_timer).min();
        let until_next = next.map_or(max_wait_micros, |at| at.saturating_sub(self.now()));
        let wait = if is_idle {
            until_next.min(max_wait_micros)
        } else {
            0
        };
        let wait = Some(Duration::from_micros(wait));
        let begun_at = self.now();
        let result = match self.poll.poll(&mut self.readiness, wait) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
            other => other,
        };
        self.record_poll(begun_at);
        result
    }

    /// Records since when what the poll reports may have happened: a poll that waited returned with its first event, and one that did not
    /// wait reports what has happened since the one before.
    fn record_poll(&mut self, begun_at: u64) {
        let now = self.now();
        let has_waited = now >= begun_at + MIN_WAIT_MICROS;
        let earliest = now.saturating_sub(MAX_HOLD_UP_MICROS);
        self.polled_since = if has_waited {
            now
        } else {
            self.polled_at.max(earliest)
        };
        self.polled_at = now;
    }

    /// Accepts new connections, and wakes the connections whose sockets are ready.
    fn wake_ready(&mut self) {
        let mut keys = std::mem::take(&mut self.accepting_listeners);
        for event in &self.readiness {
            let key = event.token().0 as u64;
            keys.push(key);
            if let Some(listener) = self.listeners.get_mut(&key) {
                listener.waiting_since.get_or_insert(self.polled_since);
            }
            let Some(Connection {
                transport: Transport::Plain(plain),
                ..
            }) = self.connections.get_mut(&key)
            else {
                continue;
            };
            plain.has_peer_ended |= event.is_read_closed() || event.is_error();
            if event.is_readable() || plain.has_peer_ended {
                plain.unread_since.get_or_insert(self.polled_since);
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

    /// Polls the connections and streams that are ready, within the limits of a turn.
    fn poll_ready(&mut self) {
        self.opened_in_turn = 0;
        self.read_in_turn = 0;
        for _ in 0..POLLS_PER_TURN {
            let has_share_left = self.opened_in_turn < OPENS_PER_TURN
                && self.read_in_turn < self.read_bytes_per_turn;
            if !has_share_left {
                break;
            }
            let is_half_used = self.read_in_turn >= self.read_bytes_per_turn / 2;
            let preferred = if is_half_used {
                Priority::Low
            } else {
                Priority::High
            };
            let Some(key) = self.ready.pop(preferred) else {
                break;
            };
            if self.streams.contains_key(&key) {
                self.poll_stream(key);
            } else {
                self.poll_connection(key);
            }
        }
    }

    /// Wakes the connections that may have more to read, for the next turn.
    fn wake_unread(&mut self) {
        for key in std::mem::take(&mut self.unread) {
            if let Some(connection) = self.connections.get(&key) {
                connection.waker.wake_by_ref();
            }
        }
    }

    fn fire_timers(&mut self) {
        let now = self.now();
        while let Some((at, token)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.events.push_back(Event::Timer(token));
        }
        self.send_pings(now);
        self.check_lingering_closes(now);
        self.end_discards(now);
    }
}

/// Writes what is queued on accepted plain connections, as far as their sockets accept it: replies that were queued in the last turn are
/// not lost when the process stops.
impl Drop for Engine {
    fn drop(&mut self) {
        for connection in self.connections.values_mut() {
            connection.flush_if_accepted();
        }
    }
}
