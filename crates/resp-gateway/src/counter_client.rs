//! Calls to the counter, pipelined on a few connections and answered in order. Calls of one key share a connection, so their results
//! are reported in the order of the calls.
//!
//! A call ends by its reply, by its time-out or by the end of its connection; a reply that is received later is ignored. A connection
//! on which nothing was received since a call was sent that has timed out, or only a part of a reply, may be dead: the next call takes
//! a new connection, and calls that are open end on the old one.

mod connection;
mod reply;
mod result;

pub(crate) use result::CounterResult;

use crate::clock;
use bytes::{Bytes, BytesMut};
use chalkdeck::api::{CounterKey, Outcome};
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_resp::encode_command;
use chalkdeck_time::{TimeDelta, Timestamp};
use connection::{Call, Connection};
use std::net::SocketAddr;

/// Connections at one address. The counter holds 32; one that breaks takes the calls behind along, so there are some, and
/// each costs a system call where one could do, so there are few.
const CONNECTIONS: usize = 4;
/// Connections that only wait for the ends of their calls.
const MAX_RETIRED: usize = 12;
/// Microseconds in a millisecond, the unit of the time to live in a call.
const MICROS_PER_MILLI: u64 = 1_000;

/// What a call led to at once.
pub(crate) enum CallStart {
    /// It is queued on a connection.
    Queued,
    /// It is queued on this connection, which is being established.
    Dialing(ConnId),
    /// It ended.
    Ended(CounterResult),
}

/// The client of one counter.
pub(crate) struct CounterClient {
    address: SocketAddr,
    /// By the keys of their calls.
    connections: Vec<Connection>,
    /// Connections to an earlier address or that fell silent, on which calls are still open.
    retired: Vec<Connection>,
    timeout: TimeDelta,
}

impl CounterClient {
    /// `timeout`: after which a call without a reply has ended.
    pub(crate) fn new(address: SocketAddr, timeout: TimeDelta) -> CounterClient {
        CounterClient {
            address,
            connections: (0..CONNECTIONS).map(|_| Connection::default()).collect(),
            retired: Vec::new(),
            timeout,
        }
    }

    /// Whether this is a connection to the counter.
    pub(crate) fn owns(&self, conn: ConnId) -> bool {
        let connections = self.connections.iter().chain(&self.retired);
        connections
            .into_iter()
            .any(|connection| connection.conn == Some(conn))
    }

    fn all(&mut self) -> impl Iterator<Item = &mut Connection> {
        self.connections.iter_mut().chain(&mut self.retired)
    }

    fn find(&mut self, conn: ConnId) -> Option<&mut Connection> {
        self.all().find(|connection| connection.conn == Some(conn))
    }

    /// Sends new calls to another address. Open calls end at the old one, whose connections are closed after them.
    pub(crate) fn set_address(
        &mut self,
        engine: &mut Engine,
        address: SocketAddr,
    ) -> Vec<CounterResult> {
        if address == self.address {
            return Vec::new();
        }
        self.address = address;
        for index in 0..CONNECTIONS {
            self.retire(index);
        }
        self.close_retired(engine)
    }

    /// New calls of its keys take a new connection.
    fn retire(&mut self, index: usize) {
        let connection = std::mem::take(&mut self.connections[index]);
        self.retired.push(connection);
    }

    /// Closes retired connections without open calls, and the oldest beyond the limit.
    fn close_retired(&mut self, engine: &mut Engine) -> Vec<CounterResult> {
        let excess = self.retired.len().saturating_sub(MAX_RETIRED);
        let mut results = Vec::new();
        for (index, connection) in self.retired.iter_mut().enumerate() {
            if index < excess || !connection.has_open_calls() {
                results.extend(connection.close(engine));
            }
        }
        self.retired.retain(|connection| connection.conn.is_some());
        results
    }

    /// Adds to a counter that lives for `time_to_live` after its first increment.
    pub(crate) fn add(
        &mut self,
        engine: &mut Engine,
        key: CounterKey,
        amount: f64,
        time_to_live: TimeDelta,
    ) -> CallStart {
        let now = clock::now(engine);
        let deadline = now + self.timeout;
        let connection = &mut self.connections[(key.0 % CONNECTIONS as u64) as usize];
        if connection.is_full() {
            let result = CounterResult::without_total(key, Outcome::Rejected);
            return CallStart::Ended(result);
        }
        let mut start = CallStart::Queued;
        if connection.conn.is_none() {
            let Ok(conn) = engine.connect_raw(self.address) else {
                let result = CounterResult::without_total(key, Outcome::ConnectFailed);
                return CallStart::Ended(result);
            };
            connection.conn = Some(conn);
            start = CallStart::Dialing(conn);
        }
        let command = encode_add(key, amount, time_to_live);
        connection.push(engine, Call::new(key, now, deadline, command));
        start
    }

    /// When the next call times out.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        let connections = self.connections.iter().chain(&self.retired);
        connections.filter_map(Connection::next_deadline).min()
    }

    /// Ends the calls whose deadline has passed.
    pub(crate) fn expire_calls(&mut self, engine: &mut Engine) -> Vec<CounterResult> {
        let now = clock::now(engine);
        let mut results = Vec::new();
        let mut silent = Vec::new();
        for (index, connection) in self.all().enumerate() {
            let is_silent = connection.expire_calls(now, &mut results);
            if is_silent && index < CONNECTIONS {
                silent.push(index);
            }
        }
        for index in silent {
            self.retire(index);
        }
        results.extend(self.close_retired(engine));
        results
    }

    /// A connection was established; one that is not the counter's is ignored.
    pub(crate) fn on_connected(&mut self, engine: &mut Engine, conn: ConnId) {
        if let Some(connection) = self.find(conn) {
            connection.on_connected(engine, conn);
        }
    }

    /// Bytes were received; returns the results of the calls that they complete.
    pub(crate) fn on_bytes(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        data: &[u8],
    ) -> Vec<CounterResult> {
        match self.find(conn) {
            Some(connection) => connection.on_bytes(engine, data),
            None => Vec::new(),
        }
    }

    /// A connection has ended, with so many bytes that were not written; returns the results of its calls.
    pub(crate) fn on_closed(&mut self, conn: ConnId, unsent: usize) -> Vec<CounterResult> {
        let Some(connection) = self.find(conn) else {
            return Vec::new();
        };
        let results = connection.end(unsent);
        self.retired.retain(|connection| connection.conn.is_some());
        results
    }

    /// The time to establish a connection is over. If it is not established, its calls have ended.
    pub(crate) fn on_dial_timeout(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
    ) -> Vec<CounterResult> {
        match self.find(conn) {
            Some(connection) if !connection.is_established() => connection.close(engine),
            _ => Vec::new(),
        }
    }
}

/// The command that adds to a counter and reads its total. The time to live is rounded up to whole milliseconds.
fn encode_add(key: CounterKey, amount: f64, time_to_live: TimeDelta) -> Bytes {
    let key = key.0.to_string();
    let amount = amount.to_string();
    let time_to_live_ms = time_to_live.as_micros().div_ceil(MICROS_PER_MILLI).max(1);
    let time_to_live_ms = time_to_live_ms.to_string();
    let mut out = BytesMut::new();
    encode_command(
        &mut out,
        &[
            &[b"ADDGET"],
            &[key.as_bytes()],
            &[amount.as_bytes()],
            &[time_to_live_ms.as_bytes()],
        ],
    );
    out.freeze()
}
