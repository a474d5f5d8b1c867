//! Connections to endpoints. Each carries one attempt at a time, so an attempt is aborted by closing its connection without affecting
//! others. The outcome of an attempt on a broken connection depends on whether the last byte of its command was written: only then may
//! the endpoint have run it.

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

/// The maximum number of items in a reply.
const MAX_REPLY_ITEMS: usize = 8;
/// The maximum length of an error reply, including its load report.
const MAX_LINE_BYTES: usize = 1_024;
/// The maximum size of everything in a reply except its value.
const REPLY_OVERHEAD_BYTES: usize = 8 << 10;
/// The time for which a connection is not reused after a reply. A duplicate of the reply, or stray bytes after it, arrive within this time
/// and would otherwise be taken for the reply to the next request. The latest of 69 that were observed arrived 4 ms after the reply.
const MIN_REUSE_DELAY: TimeDelta = TimeDelta::from_millis(10);

/// How long a connection may take to be established after its dial timed out.
const MAX_LATE_TIME: TimeDelta = TimeDelta::from_secs(10);

/// The immediate result of sending an attempt.
pub(crate) enum SendResult {
    /// The command was written.
    Written,
    /// The command will be written once this connection is established.
    Dialing(ConnId),
    /// The attempt has already ended.
    Ended(AttemptEnd),
}

/// All connections to endpoints.
pub(crate) struct EndpointConnections {
    addresses: FxHashMap<EndpointId, SocketAddr>,
    pool: ConnectionPool,
    max_connections: usize,
    reply_limits: MessageLimits,
    /// The maximum total size of the buffers of incomplete replies.
    max_partial_bytes: usize,
    /// The total size of the buffers of incomplete replies.
    partial_bytes: usize,
    keep_alive: KeepAlive,
}

impl EndpointConnections {
    /// At most `max_value_bytes` are taken of one value, and `max_partial_bytes` of all incomplete replies. `idle_timeout` is the idle time after which endpoints close a connection; `None` if they
    /// never do.
    pub(crate) fn new(
        max_connections: usize,
        max_value_bytes: usize,
        max_partial_bytes: usize,
        idle_timeout: Option<TimeDelta>,
    ) -> EndpointConnections {
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
            max_partial_bytes,
            partial_bytes: 0,
            keep_alive: KeepAlive::new(idle_timeout),
        }
    }

    /// Whether this is a connection to an endpoint.
    pub(crate) fn owns(&self, conn: ConnId) -> bool {
        self.pool.contains(conn)
    }

    /// Applies an endpoint update. Closes idle connections to endpoints that were removed, are draining or have a new address; open
    /// attempts continue.
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
            let usable_address = address.filter(|_| !draining.contains(&endpoint));
            self.close_idle_except(engine, endpoint, usable_address);
        }
    }

    /// Closes the idle connections to an endpoint, except those to the given address.
    fn close_idle_except(
        &mut self,
        engine: &mut Engine,
        endpoint: EndpointId,
        address: Option<SocketAddr>,
    ) {
        let has_other_address = |conn: &&ConnId| {
            let connection = self.pool.get(**conn);
            connection.is_none_or(|connection| address != Some(connection.address))
        };
        let idle = self.pool.idle_of(endpoint).iter();
        let stale: Vec<ConnId> = idle.filter(has_other_address).copied().collect();
        for conn in stale {
            self.close(engine, conn);
        }
    }

    /// Sends an attempt to an endpoint, on an idle connection if one can be reused, otherwise on a new one.
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

    /// Begins to establish a connection to an endpoint. If that fails, returns the outcome of the attempt as the error.
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
        match engine.connect_plain(address) {
            Ok(conn) => Ok((conn, address)),
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }

    /// Finds an idle connection that can be reused. Connections that have expired or ended, or on which bytes are waiting, are closed.
    fn find_reusable(&mut self, engine: &mut Engine, endpoint: EndpointId) -> Option<ConnId> {
        let now = clock::now(engine);
        let keep_alive = self.keep_alive.current();
        loop {
            let conn = self.pool.last_used_idle(endpoint, now, MIN_REUSE_DELAY)?;
            let connection = self.pool.get(conn);
            let is_expired =
                connection.is_none_or(|connection| connection.is_idle_for(now, keep_alive));
            if !is_expired && engine.is_idle(conn) {
                return Some(conn);
            }
            self.close(engine, conn);
        }
    }

    fn close(&mut self, engine: &mut Engine, conn: ConnId) {
        self.remove(conn);
        engine.close(conn);
    }

    /// Removes a connection from the pool and its incomplete reply from the total size.
    fn remove(&mut self, conn: ConnId) -> Option<Connection> {
        let connection = self.pool.remove(conn)?;
        self.partial_bytes = self.partial_bytes.saturating_sub(connection.counted_bytes);
        Some(connection)
    }

    /// Closes the connection that has been idle longest, so that another can be opened; returns whether there was one.
    fn close_longest_idle(&mut self, engine: &mut Engine) -> bool {
        let Some(conn) = self.pool.longest_idle() else {
            return false;
        };
        self.close(engine, conn);
        true
    }

    /// Closes connections whose keep-alive time has passed or that were not established for too long. Called at a fixed interval.
    pub(crate) fn sweep(&mut self, engine: &mut Engine) {
        let keep_alive = self.keep_alive.current();
        let now = clock::now(engine);
        let mut expired = self.pool.idle_for(now, keep_alive);
        expired.extend(self.pool.late_for(now, MAX_LATE_TIME));
        for conn in expired {
            self.close(engine, conn);
        }
    }

    /// Writes the command of the attempt that waits for an established connection. A connection whose dial timed out is kept for the
    /// next attempt, if it still leads to its endpoint.
    pub(crate) fn on_connected(&mut self, engine: &mut Engine, conn: ConnId) {
        let Some(connection) = self.pool.get_mut(conn) else {
            return;
        };
        if connection.late_since.take().is_some() {
            let listed = self.addresses.get(&connection.endpoint);
            if listed == Some(&connection.address) {
                self.pool.keep_idle(conn, clock::now(engine));
            } else {
                self.close(engine, conn);
            }
            return;
        }
        let Some(active) = &mut connection.active else {
            return;
        };
        if let Some(command) = active.unwritten.take() {
            write_command(engine, conn, &command, active.deadline);
        }
    }

    /// Handles received bytes. Returns the end of the attempt if they complete its reply.
    pub(crate) fn on_bytes(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        data: &[u8],
    ) -> Option<AttemptEnd> {
        let connection = self.pool.get_mut(conn)?;
        if connection.active.is_none() {
            // No attempt expects a reply.
            self.close(engine, conn);
            return None;
        }
        let counted_before = std::mem::take(&mut connection.counted_bytes);
        self.partial_bytes = self.partial_bytes.saturating_sub(counted_before);
        connection.partial_reply.extend_from_slice(data);
        let buffer_bytes = connection.partial_reply.capacity();
        let reply = match take_reply(&mut connection.partial_reply, &self.reply_limits) {
            ParsedReply::Incomplete
                if self.partial_bytes + buffer_bytes <= self.max_partial_bytes =>
            {
                connection.counted_bytes = buffer_bytes;
                self.partial_bytes += buffer_bytes;
                return None;
            }
            ParsedReply::Incomplete | ParsedReply::Invalid(_) => EndpointReply::Invalid,
            ParsedReply::Complete(frame) => endpoint_reply::parse(frame),
        };
        self.on_reply(engine, conn, reply)
    }

    fn on_reply(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        reply: EndpointReply,
    ) -> Option<AttemptEnd> {
        let connection = self.pool.get_mut(conn)?;
        // A connection with an invalid reply, with bytes after the reply or with an unwritten part of the command must not be reused.
        let is_reusable = reply != EndpointReply::Invalid
            && connection.partial_reply.is_empty()
            && engine.unsent_bytes(conn) == 0;
        // The bytes are no longer counted, so the buffer of a large reply is released.
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
            // The request may have run, but its result is lost.
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

    /// Handles the end of a connection on which `unsent` bytes were not written. Returns the end of the attempt on it, if there is one.
    pub(crate) fn on_closed(
        &mut self,
        now: Timestamp,
        conn: ConnId,
        unsent: usize,
    ) -> Option<AttemptEnd> {
        let idle_time = self.pool.get(conn)?.idle_time_before_attempt();
        let end = self.remove_and_end_attempt(now, conn, unsent)?;
        if let Some(idle_time) = idle_time.filter(|_| end.outcome == Outcome::Reset) {
            self.keep_alive.on_reset(idle_time, end.elapsed);
        }
        Some(end)
    }

    /// Removes a connection and returns how the attempt on it ended.
    fn remove_and_end_attempt(
        &mut self,
        now: Timestamp,
        conn: ConnId,
        unsent: usize,
    ) -> Option<AttemptEnd> {
        let connection = self.remove(conn)?;
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
        let unsent = engine.unsent_bytes(conn);
        let mut end = self.remove_and_end_attempt(clock::now(engine), conn, unsent)?;
        engine.close(conn);
        end.outcome = match (end.outcome, reason) {
            // The command was written, so the request may have run.
            (Outcome::Reset, AbortReason::DeadlineExceeded) => Outcome::Timeout,
            (Outcome::Reset, AbortReason::Cancelled) => Outcome::Cancelled,
            (_, AbortReason::Cancelled) => Outcome::NeverSent,
            (outcome, AbortReason::DeadlineExceeded) => outcome,
        };
        Some(end)
    }

    /// Handles the dial time-out of a connection: if it is not established, ends its attempt. One connection to each endpoint may still
    /// be established later, as an endpoint whose connections always take longer would otherwise never be reached; others are closed.
    pub(crate) fn on_dial_timeout(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
    ) -> Option<AttemptEnd> {
        let connection = self.pool.get(conn)?;
        if !connection.is_dialing() {
            return None;
        }
        let endpoint = connection.endpoint;
        let now = clock::now(engine);
        if !self.pool.has_late(endpoint) {
            let active = self.pool.take_attempt(conn)?;
            self.pool.get_mut(conn)?.late_since = Some(now);
            let elapsed = now - active.started_at;
            let outcome = Outcome::ConnectFailed;
            let end = AttemptEnd::without_reply(active.id, endpoint, outcome, elapsed);
            return Some(end);
        }
        let end = self.remove_and_end_attempt(now, conn, 0);
        engine.close(conn);
        end
    }
}

#[cfg(test)]
mod late_connection_tests;
