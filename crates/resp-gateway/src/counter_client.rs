//! The client of the counter. Calls are pipelined on a few connections, on each of which the counter replies in order. Calls for the same
//! key use the same connection, so their results are reported in the order of the calls.
//!
//! A call ends with its reply, its time-out or the end of its connection; a reply that arrives after the time-out is ignored. When a call
//! times out on a connection that has received nothing, or only a part of a reply, since the call was sent, the connection may be
//! dead. It is then retired: new calls use a new connection, and open calls end on the old one.

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

/// The number of connections to the counter's current address; the counter accepts 32. A connection that breaks fails all calls pending on
/// it, which argues for several; each connection needs its own system calls, which argues for few.
const CONNECTION_COUNT: usize = 4;
/// The maximum number of retired connections.
const MAX_RETIRED: usize = 12;
/// Microseconds in a millisecond, the unit of the time to live in a call.
const MICROS_PER_MILLI: u64 = 1_000;

/// The immediate result of starting a call.
pub(crate) enum CallStart {
    /// The call is queued on a connection.
    Queued,
    /// The call is queued on this connection, which is being established.
    Dialing(ConnId),
    /// The call has already ended.
    Ended(CounterResult),
}

/// The client of one counter.
pub(crate) struct CounterClient {
    address: SocketAddr,
    /// The connections that new calls use; the key of a call selects one.
    connections: Vec<Connection>,
    /// Connections to an earlier address or without replies, which remain until their open calls have ended.
    retired: Vec<Connection>,
    timeout: TimeDelta,
    /// The maximum number of calls without a reply; further calls are rejected without being sent.
    max_pending_calls: usize,
}

impl CounterClient {
    /// `timeout` is the time after which a call without a reply ends, and `max_pending_calls` the maximum number of calls without one.
    pub(crate) fn new(
        address: SocketAddr,
        timeout: TimeDelta,
        max_pending_calls: usize,
    ) -> CounterClient {
        CounterClient {
            address,
            connections: (0..CONNECTION_COUNT)
                .map(|_| Connection::default())
                .collect(),
            retired: Vec::new(),
            timeout,
            max_pending_calls,
        }
    }

    /// Whether this is a connection to the counter.
    pub(crate) fn owns(&self, conn: ConnId) -> bool {
        let connections = self.connections.iter().chain(&self.retired);
        connections
            .into_iter()
            .any(|connection| connection.conn == Some(conn))
    }

    /// The number of calls without a reply, also of those that have timed out.
    fn pending_calls(&self) -> usize {
        let connections = self.connections.iter().chain(&self.retired);
        connections.map(Connection::pending_calls).sum()
    }

    fn all_connections(&mut self) -> impl Iterator<Item = &mut Connection> {
        self.connections.iter_mut().chain(&mut self.retired)
    }

    fn find(&mut self, conn: ConnId) -> Option<&mut Connection> {
        self.all_connections()
            .find(|connection| connection.conn == Some(conn))
    }

    /// Sets the address for new calls. Open calls end on the connections to the old address, which are closed afterwards.
    pub(crate) fn set_address(
        &mut self,
        engine: &mut Engine,
        address: SocketAddr,
    ) -> Vec<CounterResult> {
        if address == self.address {
            return Vec::new();
        }
        self.address = address;
        for index in 0..CONNECTION_COUNT {
            self.retire(index);
        }
        self.close_retired(engine)
    }

    /// Retires a connection: new calls for its keys use a new one.
    fn retire(&mut self, index: usize) {
        let connection = std::mem::take(&mut self.connections[index]);
        self.retired.push(connection);
    }

    /// Closes retired connections without open calls, and the oldest ones above the limit. Returns the results of the calls that this
    /// ends.
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

    /// Starts a call that adds to a counter, which expires `time_to_live` after its first increment.
    pub(crate) fn add(
        &mut self,
        engine: &mut Engine,
        key: CounterKey,
        amount: f64,
        time_to_live: TimeDelta,
    ) -> CallStart {
        let now = clock::now(engine);
        let deadline = now + self.timeout;
        if self.pending_calls() >= self.max_pending_calls {
            let result = CounterResult::without_total(key, Outcome::Rejected);
            return CallStart::Ended(result);
        }
        let connection = &mut self.connections[(key.0 % CONNECTION_COUNT as u64) as usize];
        let mut start = CallStart::Queued;
        if connection.conn.is_none() {
            let Ok(conn) = engine.connect_plain(self.address) else {
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

    /// The earliest deadline of an open call.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        let connections = self.connections.iter().chain(&self.retired);
        connections.filter_map(Connection::next_deadline).min()
    }

    /// Ends the calls whose deadline has passed.
    pub(crate) fn expire_calls(&mut self, engine: &mut Engine) -> Vec<CounterResult> {
        let now = clock::now(engine);
        let mut results = Vec::new();
        let mut silent = Vec::new();
        for (index, connection) in self.all_connections().enumerate() {
            let is_silent = connection.expire_calls(now, &mut results);
            if is_silent && index < CONNECTION_COUNT {
                silent.push(index);
            }
        }
        for index in silent {
            self.retire(index);
        }
        results.extend(self.close_retired(engine));
        results
    }

    /// Handles an established connection. Does nothing if it is not one to the counter.
    pub(crate) fn on_connected(&mut self, engine: &mut Engine, conn: ConnId) {
        if let Some(connection) = self.find(conn) {
            connection.on_connected(engine, conn);
        }
    }

    /// Handles received bytes; returns the results of the calls that they complete.
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

    /// Handles the end of a connection on which `unsent` bytes were not written; returns the results of its calls.
    pub(crate) fn on_closed(&mut self, conn: ConnId, unsent: usize) -> Vec<CounterResult> {
        let Some(connection) = self.find(conn) else {
            return Vec::new();
        };
        let results = connection.end(unsent);
        self.retired.retain(|connection| connection.conn.is_some());
        results
    }

    /// Handles the dial time-out of a connection: if it is not established, closes it and returns the results of its calls.
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

/// Encodes the command that adds to a counter and returns its total. The time to live is rounded up to whole milliseconds.
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
