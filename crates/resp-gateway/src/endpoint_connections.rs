//! Connections to endpoints, with one attempt on each at a time: aborting an attempt closes its connection and disturbs no other.
//! The fact that decides how an attempt on a broken connection ended: whether the last byte of its command was written.

mod connection;
mod keep_alive;
mod pool;

use crate::attempt::{AbortReason, AttemptEnd, AttemptId};
use crate::clock;
use crate::endpoint_list::{EndpointList, ListedEndpoint};
use crate::endpoint_reply::{self, EndpointReply};
use crate::request::ApiCommand;
use bytes::BytesMut;
use chalkdeck::api::{EndpointId, EndpointState, LoadReport, Outcome, UpdateScope};
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_resp::{take_reply, MessageLimits, ParsedReply};
use chalkdeck_time::{TimeDelta, Timestamp};
use connection::{write_command, ActiveAttempt, Connection};
use keep_alive::KeepAlive;
use pool::ConnectionPool;
use rustc_hash::{FxHashMap, FxHashSet};
use std::net::SocketAddr;

/// The most items of a reply.
const MAX_REPLY_ITEMS: usize = 8;
/// The longest error line, with the load report behind it.
const MAX_LINE_BYTES: usize = 1_024;
/// What a reply may hold beside its value.
const REPLY_OVERHEAD_BYTES: usize = 8 << 10;
/// The part of the memory granted that one value may take.
const VALUE_MEMORY_FRACTION: f64 = 1.0 / 64.0;
/// The part of the memory granted that all incomplete replies together may take.
const PARTIAL_REPLIES_MEMORY_FRACTION: f64 = 1.0 / 8.0;
/// A second copy of a reply, or noise behind it, is received by then; until then its connection is not used again, as the next request
/// would take it for its own reply. The latest of 69 that were seen came 4 ms behind.
const SETTLE_TIME: TimeDelta = TimeDelta::from_millis(10);

/// What sending an attempt led to at once.
pub(crate) enum SendResult {
    /// Its command was written.
    Written,
    /// Its command is written once this connection is established.
    Dialing(ConnId),
    /// It ended.
    Ended(AttemptEnd),
}

/// All connections to endpoints.
pub(crate) struct EndpointConnections {
    addresses: FxHashMap<EndpointId, SocketAddr>,
    pool: ConnectionPool,
    max_connections: usize,
    reply_limits: MessageLimits,
    /// Bytes of incomplete replies that may be held.
    max_partial_bytes: usize,
    /// Bytes of incomplete replies that are held.
    partial_bytes: usize,
    keep_alive: KeepAlive,
}

impl EndpointConnections {
    /// `memory_bytes`: the memory granted. `idle_timeout`: after which an endpoint closes an idle connection; none: it never does.
    pub(crate) fn new(
        max_connections: usize,
        memory_bytes: f64,
        idle_timeout: Option<TimeDelta>,
    ) -> EndpointConnections {
        let max_value_bytes = (memory_bytes * VALUE_MEMORY_FRACTION) as usize;
        EndpointConnections {
            addresses: FxHashMap::default(),
            pool: ConnectionPool::default(),
            max_connections,
            reply_limits: MessageLimits {
                max_elements: MAX_REPLY_ITEMS,
                max_element_bytes: max_value_bytes,
                max_line_bytes: MAX_LINE_BYTES,
                max_message_bytes: max_value_bytes + REPLY_OVERHEAD_BYTES,
                accepts_inline: false,
            },
            max_partial_bytes: (memory_bytes * PARTIAL_REPLIES_MEMORY_FRACTION) as usize,
            partial_bytes: 0,
            keep_alive: KeepAlive::new(idle_timeout),
        }
    }

    /// Whether this is a connection to an endpoint.
    pub(crate) fn owns(&self, conn: ConnId) -> bool {
        self.pool.contains(conn)
    }

    /// Applies an endpoint update. Idle connections to endpoints that were removed, drain or moved are closed; attempts go on.
    pub(crate) fn apply_update(&mut self, engine: &mut Engine, list: &EndpointList) {
        let mut changed: Vec<EndpointId> = Vec::new();
        if list.scope == UpdateScope::Complete {
            changed.extend(std::mem::take(&mut self.addresses).into_keys());
        }
        let mut draining = FxHashSet::default();
        for ListedEndpoint { address, entry } in &list.endpoints {
            changed.push(entry.endpoint);
            if entry.state == EndpointState::Removed {
                self.addresses.remove(&entry.endpoint);
            } else {
                self.addresses.insert(entry.endpoint, *address);
            }
            if entry.state == EndpointState::Draining {
                draining.insert(entry.endpoint);
            }
        }
        for endpoint in changed {
            let address = self.addresses.get(&endpoint).copied();
            let usable = address.filter(|_| !draining.contains(&endpoint));
            self.close_idle_elsewhere(engine, endpoint, usable);
        }
    }

    /// Closes the idle connections of an endpoint that do not lead to this address.
    fn close_idle_elsewhere(
        &mut self,
        engine: &mut Engine,
        endpoint: EndpointId,
        address: Option<SocketAddr>,
    ) {
        let leads_elsewhere = |conn: &&ConnId| {
            let connection = self.pool.get(**conn);
            connection.is_none_or(|connection| address != Some(connection.address))
        };
        let idle = self.pool.idle_of(endpoint).iter();
        let stale: Vec<ConnId> = idle.filter(leads_elsewhere).copied().collect();
        for conn in stale {
            self.close(engine, conn);
        }
    }

    /// Sends an attempt to an endpoint.
    pub(crate) fn send(
        &mut self,
        engine: &mut Engine,
        id: AttemptId,
        endpoint: EndpointId,
        deadline: Timestamp,
        command: &ApiCommand,
    ) -> SendResult {
        let mut attempt = ActiveAttempt {
            id,
            started_at: clock::now(engine),
            deadline,
            unwritten: None,
        };
        if let Some(conn) = self.find_reusable(engine, endpoint) {
            write_command(engine, conn, command, deadline);
            self.pool.begin_attempt(conn, attempt);
            return SendResult::Written;
        }
        match self.dial(engine, endpoint) {
            Ok((conn, address)) => {
                attempt.unwritten = Some(command.clone());
                let connection = Connection::dialing(endpoint, address, attempt);
                self.pool.insert(conn, connection);
                SendResult::Dialing(conn)
            }
            Err(outcome) => {
                let end = AttemptEnd::without_reply(id, endpoint, outcome, TimeDelta::ZERO);
                SendResult::Ended(end)
            }
        }
    }

    /// Begins to establish a connection to an endpoint; where that fails, the outcome of the attempt.
    fn dial(
        &mut self,
        engine: &mut Engine,
        endpoint: EndpointId,
    ) -> Result<(ConnId, SocketAddr), Outcome> {
        let Some(address) = self.addresses.get(&endpoint).copied() else {
            return Err(Outcome::ConnectFailed);
        };
        if self.pool.len() >= self.max_connections && !self.close_longest_idle(engine) {
            return Err(Outcome::NeverSent);
        }
        match engine.connect_raw(address) {
            Ok(conn) => Ok((conn, address)),
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }

    /// Finds an idle connection that is established and quiet. One that has expired or ended, or on which bytes are waiting, is closed.
    fn find_reusable(&mut self, engine: &mut Engine, endpoint: EndpointId) -> Option<ConnId> {
        let now = clock::now(engine);
        let keep_alive = self.keep_alive.current();
        loop {
            let conn = self.pool.last_used_idle(endpoint, now, SETTLE_TIME)?;
            let connection = self.pool.get(conn);
            let is_expired =
                connection.is_none_or(|connection| connection.is_idle_for(now, keep_alive));
            if !is_expired && engine.is_quiet(conn) {
                return Some(conn);
            }
            self.close(engine, conn);
        }
    }

    fn close(&mut self, engine: &mut Engine, conn: ConnId) {
        self.forget(conn);
        engine.close(conn);
    }

    fn forget(&mut self, conn: ConnId) -> Option<Connection> {
        let connection = self.pool.remove(conn)?;
        self.partial_bytes = self
            .partial_bytes
            .saturating_sub(connection.partial_reply.len());
        Some(connection)
    }

    /// Makes room for a connection to another endpoint; returns whether there was an idle one to close.
    fn close_longest_idle(&mut self, engine: &mut Engine) -> bool {
        let Some(conn) = self.pool.longest_idle() else {
            return false;
        };
        self.close(engine, conn);
        true
    }

    /// Closes connections that have been idle for longer than they are kept. Called at a fixed interval.
    pub(crate) fn sweep(&mut self, engine: &mut Engine) {
        let keep_alive = self.keep_alive.current();
        for conn in self.pool.idle_for(clock::now(engine), keep_alive) {
            self.close(engine, conn);
        }
    }

    /// A connection was established.
    pub(crate) fn on_connected(&mut self, engine: &mut Engine, conn: ConnId) {
        let Some(connection) = self.pool.get_mut(conn) else {
            return;
        };
        let Some(active) = &mut connection.active else {
            return;
        };
        if let Some(command) = active.unwritten.take() {
            write_command(engine, conn, &command, active.deadline);
        }
    }

    /// Bytes were received. Returns the end of the attempt that they complete.
    pub(crate) fn on_bytes(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        data: &[u8],
    ) -> Option<AttemptEnd> {
        let connection = self.pool.get_mut(conn)?;
        if connection.active.is_none() {
            // No attempt waits for them.
            self.close(engine, conn);
            return None;
        }
        let counted_bytes = connection.partial_reply.len();
        connection.partial_reply.extend_from_slice(data);
        let reply = match take_reply(&mut connection.partial_reply, &self.reply_limits) {
            ParsedReply::Incomplete
                if self.partial_bytes + data.len() <= self.max_partial_bytes =>
            {
                self.partial_bytes += data.len();
                return None;
            }
            ParsedReply::Incomplete | ParsedReply::Invalid(_) => EndpointReply::Invalid,
            ParsedReply::Complete(frame) => endpoint_reply::parse(frame),
        };
        self.partial_bytes = self.partial_bytes.saturating_sub(counted_bytes);
        self.on_reply(engine, conn, reply)
    }

    fn on_reply(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        reply: EndpointReply,
    ) -> Option<AttemptEnd> {
        let connection = self.pool.get_mut(conn)?;
        // More than one reply, or bytes that no endpoint sends: it must not be used again.
        let is_reusable = reply != EndpointReply::Invalid
            && connection.partial_reply.is_empty()
            && engine.unsent(conn) == 0;
        // Its bytes are not counted any more, and the room of a large reply is not kept.
        connection.partial_reply = BytesMut::new();
        if let Some(idle_time) = connection.idle_time_before_attempt() {
            self.keep_alive.on_reply(idle_time);
        }
        let endpoint = connection.endpoint;
        let active = self.pool.take_attempt(conn)?;
        let now = clock::now(engine);
        if is_reusable {
            self.pool.keep_idle(conn, now);
        } else {
            self.close(engine, conn);
        }
        let (outcome, load_report, value) = match reply {
            EndpointReply::Served { value, load_report } => (Outcome::Ok, load_report, Some(value)),
            EndpointReply::Failed {
                outcome,
                load_report,
            } => (outcome, load_report, None),
            // It has run, and its result is lost.
            EndpointReply::Invalid => (Outcome::Error, LoadReport::default(), None),
        };
        Some(AttemptEnd {
            attempt: active.id,
            endpoint,
            outcome,
            elapsed: now - active.started_at,
            load_report,
            value,
        })
    }

    /// A connection has ended, with so many bytes that were not written. Returns the end of the attempt on it.
    pub(crate) fn on_closed(
        &mut self,
        now: Timestamp,
        conn: ConnId,
        unsent: usize,
    ) -> Option<AttemptEnd> {
        let idle_time = self.pool.get(conn)?.idle_time_before_attempt();
        let end = self.end_attempt(now, conn, unsent)?;
        if let Some(idle_time) = idle_time.filter(|_| end.outcome == Outcome::Reset) {
            self.keep_alive.on_reset(idle_time, end.elapsed);
        }
        Some(end)
    }

    /// Forgets a connection and returns how the attempt on it ended.
    fn end_attempt(&mut self, now: Timestamp, conn: ConnId, unsent: usize) -> Option<AttemptEnd> {
        let connection = self.forget(conn)?;
        let active = connection.active?;
        let is_written = active.unwritten.is_none() && unsent == 0;
        let outcome = if is_written {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        };
        let elapsed = now - active.started_at;
        let end = AttemptEnd::without_reply(active.id, connection.endpoint, outcome, elapsed);
        Some(end)
    }

    /// Aborts an attempt by closing its connection.
    pub(crate) fn abort(
        &mut self,
        engine: &mut Engine,
        attempt: AttemptId,
        reason: AbortReason,
    ) -> Option<AttemptEnd> {
        let conn = self.pool.find_attempt(attempt)?;
        let unsent = engine.unsent(conn);
        let mut end = self.end_attempt(clock::now(engine), conn, unsent)?;
        engine.close(conn);
        end.outcome = match (end.outcome, reason) {
            // Its command was written, so it may have run.
            (Outcome::Reset, AbortReason::DeadlineExceeded) => Outcome::Timeout,
            (Outcome::Reset, AbortReason::Cancelled) => Outcome::Cancelled,
            (_, AbortReason::Cancelled) => Outcome::NeverSent,
            (outcome, AbortReason::DeadlineExceeded) => outcome,
        };
        Some(end)
    }

    /// The time to establish a connection is over. If it is not established, its attempt has ended.
    pub(crate) fn on_dial_timeout(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
    ) -> Option<AttemptEnd> {
        if !self.pool.get(conn)?.is_dialing() {
            return None;
        }
        let end = self.end_attempt(clock::now(engine), conn, 0);
        engine.close(conn);
        end
    }
}
