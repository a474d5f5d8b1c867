//! Connections to the endpoints. The decision engine chooses the endpoint; this module finds or starts a connection to it.
//!
//! Limits: `max_connections_per_endpoint` connections to each endpoint, `max_streams_per_connection` calls on each connection, and
//! as many that wait for a connection to be established.

use crate::base::listed_endpoint::ListedEndpoint;
use chalkdeck::api::{EndpointId, RequestId};
use chalkdeck_net::{ConnId, Engine, Limits};
use http::uri::Authority;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;

/// An attempt, by its call and its number among the call's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AttemptId {
    pub(crate) call: RequestId,
    pub(crate) number: usize,
}

struct Connection {
    conn: ConnId,
    is_established: bool,
    /// Whether it was not established in time and is kept for later attempts.
    is_late: bool,
    /// Attempts that wait until it is established.
    waiting: Vec<AttemptId>,
}

struct Endpoint {
    address: SocketAddr,
    authority: Authority,
    connections: Vec<Connection>,
}

/// The connection for an attempt, or why there is none.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FoundConnection {
    /// This connection is established and has a free stream.
    Established(ConnId),
    /// This connection was started for the attempt, which waits for it.
    Started(ConnId),
    /// The attempt waits for a connection that was started earlier.
    Connecting,
    /// All connections to the endpoint are full, and no other is allowed.
    Full,
    /// The endpoint is not on the list, or no connection can be started.
    Unreachable,
}

/// The connections to all endpoints of the list, and those that are draining.
pub(crate) struct EndpointConnections {
    limits: Limits,
    max_connections: usize,
    endpoints: FxHashMap<EndpointId, Endpoint>,
    endpoint_of: FxHashMap<ConnId, EndpointId>,
    /// Connections to endpoints that have left the list.
    draining: Vec<ConnId>,
}

impl EndpointConnections {
    /// An empty set of connections. `keepalive`: the interval of pings, in microseconds.
    pub(crate) fn new(max_connections: usize, streams: u32, keepalive: u64) -> EndpointConnections {
        let limits = Limits {
            max_streams: streams,
            keepalive_interval_micros: keepalive,
            ..Limits::default()
        };
        EndpointConnections {
            limits,
            max_connections,
            endpoints: FxHashMap::default(),
            endpoint_of: FxHashMap::default(),
            draining: Vec::new(),
        }
    }

    /// Applies a new list; connections to endpoints that are no longer on it are closed once their last call has ended.
    /// Returns the attempts that waited for one of these connections to be established.
    pub(crate) fn update(
        &mut self,
        engine: &mut Engine,
        listed: &[ListedEndpoint],
    ) -> Vec<AttemptId> {
        let mut previous = std::mem::take(&mut self.endpoints);
        for endpoint in listed {
            let id = endpoint.entry.endpoint;
            let connections = previous.remove(&id).map(|endpoint| endpoint.connections);
            let endpoint = Endpoint {
                address: endpoint.address,
                authority: authority_of(endpoint.address),
                connections: connections.unwrap_or_default(),
            };
            self.endpoints.insert(id, endpoint);
        }
        let mut waiting = Vec::new();
        for connection in previous
            .into_values()
            .flat_map(|endpoint| endpoint.connections)
        {
            self.endpoint_of.remove(&connection.conn);
            self.draining.push(connection.conn);
            waiting.extend(connection.waiting);
        }
        self.close_idle(engine);
        waiting
    }

    /// Closes draining connections without open calls.
    pub(crate) fn close_idle(&mut self, engine: &mut Engine) {
        self.draining.retain(|&conn| {
            let is_busy = engine.open_stream_count(conn) > 0;
            if !is_busy {
                engine.close(conn);
            }
            is_busy
        });
    }

    /// The authority for requests to an endpoint.
    pub(crate) fn authority(&self, endpoint: EndpointId) -> Option<Authority> {
        let endpoint = self.endpoints.get(&endpoint)?;
        Some(endpoint.authority.clone())
    }

    /// The listed endpoint with the lowest id.
    pub(crate) fn first_endpoint(&self) -> Option<EndpointId> {
        self.endpoints.keys().min().copied()
    }

    /// The address of an endpoint.
    pub(crate) fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        let endpoint = self.endpoints.get(&endpoint)?;
        Some(endpoint.address)
    }

    /// Finds or starts a connection for an attempt. Stores the attempt if it has to wait.
    pub(crate) fn find(
        &mut self,
        engine: &mut Engine,
        endpoint_id: EndpointId,
        attempt: AttemptId,
    ) -> FoundConnection {
        let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) else {
            return FoundConnection::Unreachable;
        };
        if let Some(conn) = endpoint.least_loaded(engine) {
            return FoundConnection::Established(conn);
        }
        if endpoint.wait_for_connection(attempt, self.limits.max_streams as usize) {
            return FoundConnection::Connecting;
        }
        if endpoint.timely_connections() >= self.max_connections {
            return FoundConnection::Full;
        }
        let Ok(conn) = engine.connect(endpoint.address, self.limits) else {
            return FoundConnection::Unreachable;
        };
        endpoint.connections.push(Connection {
            conn,
            is_established: false,
            is_late: false,
            waiting: vec![attempt],
        });
        self.endpoint_of.insert(conn, endpoint_id);
        FoundConnection::Started(conn)
    }

    /// Marks a connection as established. Returns the attempts that waited for it; `None`: it does not lead to a
    /// listed endpoint.
    pub(crate) fn mark_established(&mut self, conn: ConnId) -> Option<Vec<AttemptId>> {
        let connection = self.connection(conn)?;
        connection.is_established = true;
        connection.is_late = false;
        Some(std::mem::take(&mut connection.waiting))
    }

    /// Keeps a connection that was not established in time, as an endpoint whose connections always take longer would otherwise never be
    /// reached. Returns the attempts that waited for it; `None`: it is to be closed, as another one to its endpoint is kept already.
    pub(crate) fn keep_late(&mut self, conn: ConnId) -> Option<Vec<AttemptId>> {
        let endpoint_id = self.endpoint_of.get(&conn)?;
        let endpoint = self.endpoints.get(endpoint_id)?;
        if endpoint.connections.iter().any(|other| other.is_late) {
            return None;
        }
        let connection = self.connection(conn)?;
        connection.is_late = true;
        Some(std::mem::take(&mut connection.waiting))
    }

    /// Removes a connection that is closed or accepts no new stream. Returns the attempts that waited for it.
    pub(crate) fn remove(&mut self, conn: ConnId) -> Option<Vec<AttemptId>> {
        let endpoint_id = self.endpoint_of.remove(&conn)?;
        let connections = &mut self.endpoints.get_mut(&endpoint_id)?.connections;
        let index = connections
            .iter()
            .position(|connection| connection.conn == conn)?;
        Some(connections.swap_remove(index).waiting)
    }

    /// Whether a connection is not yet established.
    pub(crate) fn is_connecting(&mut self, conn: ConnId) -> bool {
        self.connection(conn)
            .is_some_and(|connection| !connection.is_established)
    }

    fn connection(&mut self, conn: ConnId) -> Option<&mut Connection> {
        let endpoint_id = self.endpoint_of.get(&conn)?;
        let endpoint = self.endpoints.get_mut(endpoint_id)?;
        endpoint
            .connections
            .iter_mut()
            .find(|connection| connection.conn == conn)
    }
}

impl Endpoint {
    /// The established connection with the most free streams, unless it has none.
    fn least_loaded(&self, engine: &Engine) -> Option<ConnId> {
        let conn = self
            .connections
            .iter()
            .filter(|connection| connection.is_established)
            .map(|connection| connection.conn)
            .max_by_key(|conn| engine.available_streams(*conn))?;
        (engine.available_streams(conn) > 0).then_some(conn)
    }

    /// The number of connections, without one that is late.
    fn timely_connections(&self) -> usize {
        let connections = self.connections.iter();
        connections.filter(|connection| !connection.is_late).count()
    }

    /// Adds an attempt to those that wait for a connection in progress. Returns false if none has room.
    fn wait_for_connection(&mut self, attempt: AttemptId, max_waiting: usize) -> bool {
        let connecting = self.connections.iter_mut().find(|connection| {
            let is_timely = !connection.is_established && !connection.is_late;
            is_timely && connection.waiting.len() < max_waiting
        });
        match connecting {
            Some(connection) => {
                connection.waiting.push(attempt);
                true
            }
            None => false,
        }
    }
}

fn authority_of(address: SocketAddr) -> Authority {
    // The fallback is never used: an address is always a valid authority.
    address
        .to_string()
        .parse()
        .unwrap_or(Authority::from_static("server"))
}

#[cfg(test)]
mod tests;
