//! The pool of connections to all endpoints, indexed by connection, by attempt and, for idle connections, by endpoint.

use super::connection::{ActiveAttempt, Connection};
use crate::attempt::AttemptId;
use chalkdeck::api::EndpointId;
use chalkdeck_net::ConnId;
use chalkdeck_time::{TimeDelta, Timestamp};
use rustc_hash::FxHashMap;

/// The connections to all endpoints.
#[derive(Default)]
pub(super) struct ConnectionPool {
    connections: FxHashMap<ConnId, Connection>,
    by_attempt: FxHashMap<AttemptId, ConnId>,
    /// The idle connections of each endpoint, the most recently used one last.
    idle: FxHashMap<EndpointId, Vec<ConnId>>,
}

impl ConnectionPool {
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(super) fn contains(&self, conn: ConnId) -> bool {
        self.connections.contains_key(&conn)
    }

    pub(super) fn get(&self, conn: ConnId) -> Option<&Connection> {
        self.connections.get(&conn)
    }

    pub(super) fn get_mut(&mut self, conn: ConnId) -> Option<&mut Connection> {
        self.connections.get_mut(&conn)
    }

    /// The connection that carries an attempt.
    pub(super) fn find_attempt(&self, id: AttemptId) -> Option<ConnId> {
        self.by_attempt.get(&id).copied()
    }

    /// Adds a connection.
    pub(super) fn insert(&mut self, conn: ConnId, connection: Connection) {
        if let Some(active) = &connection.active {
            self.by_attempt.insert(active.id, conn);
        }
        self.connections.insert(conn, connection);
    }

    /// Removes a connection from the pool.
    pub(super) fn remove(&mut self, conn: ConnId) -> Option<Connection> {
        let connection = self.connections.remove(&conn)?;
        self.remove_idle(connection.endpoint, conn);
        if let Some(active) = &connection.active {
            self.by_attempt.remove(&active.id);
        }
        Some(connection)
    }

    fn remove_idle(&mut self, endpoint: EndpointId, conn: ConnId) {
        if let Some(idle) = self.idle.get_mut(&endpoint) {
            idle.retain(|other| *other != conn);
            if idle.is_empty() {
                self.idle.remove(&endpoint);
            }
        }
    }

    /// Begins an attempt on an idle connection.
    pub(super) fn begin_attempt(&mut self, conn: ConnId, attempt: ActiveAttempt) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let endpoint = connection.endpoint;
        self.by_attempt.insert(attempt.id, conn);
        connection.active = Some(attempt);
        self.remove_idle(endpoint, conn);
    }

    /// Removes the attempt from a connection, which is then neither active nor idle until `keep_idle` is called.
    pub(super) fn take_attempt(&mut self, conn: ConnId) -> Option<ActiveAttempt> {
        let active = self.connections.get_mut(&conn)?.active.take()?;
        self.by_attempt.remove(&active.id);
        Some(active)
    }

    /// Marks a connection without an attempt as idle.
    pub(super) fn keep_idle(&mut self, conn: ConnId, now: Timestamp) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        connection.idle_since = Some(now);
        self.idle.entry(connection.endpoint).or_default().push(conn);
    }

    /// The idle connections of an endpoint.
    pub(super) fn idle_of(&self, endpoint: EndpointId) -> &[ConnId] {
        self.idle.get(&endpoint).map_or(&[], Vec::as_slice)
    }

    /// The most recently used connection to an endpoint among those that have been idle for at least `min_time`.
    pub(super) fn last_used_idle(
        &self,
        endpoint: EndpointId,
        now: Timestamp,
        min_time: TimeDelta,
    ) -> Option<ConnId> {
        let is_idle_for = |conn: &&ConnId| {
            let connection = self.connections.get(conn);
            connection.is_some_and(|connection| connection.is_idle_for(now, min_time))
        };
        let idle = self.idle_of(endpoint);
        idle.iter().rev().find(is_idle_for).copied()
    }

    /// The connection that has been idle longest.
    pub(super) fn longest_idle(&self) -> Option<ConnId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.active.is_none())
            .min_by_key(|(conn, connection)| (connection.idle_since, **conn))
            .map(|(conn, _)| *conn)
    }

    /// Whether a connection to an endpoint is still being established after its dial timed out.
    pub(super) fn has_late(&self, endpoint: EndpointId) -> bool {
        self.connections
            .values()
            .any(|connection| connection.endpoint == endpoint && connection.late_since.is_some())
    }

    /// The connections that are still not established so long after their dial timed out.
    pub(super) fn late_for(&self, now: Timestamp, min_time: TimeDelta) -> Vec<ConnId> {
        self.connections
            .iter()
            .filter(|(_, connection)| {
                let since = connection.late_since;
                since.is_some_and(|since| now >= since + min_time)
            })
            .map(|(conn, _)| *conn)
            .collect()
    }

    /// The connections that have been idle for at least `min_time`.
    pub(super) fn idle_for(&self, now: Timestamp, min_time: TimeDelta) -> Vec<ConnId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.is_idle_for(now, min_time))
            .map(|(conn, _)| *conn)
            .collect()
    }
}
