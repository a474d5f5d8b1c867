//! Connections to the endpoints. No endpoint is chosen here; a connection to the chosen one is found or begun.
//!
//! Limits: `server_connections` for each endpoint, `server_streams` calls on each connection, and as many that wait until one is
//! established.

use crate::base::server::Server;
use chalkdeck::api::{EndpointId, RequestId};
use chalkdeck_net::{ConnId, Engine, Limits};
use http::uri::Authority;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;

/// An attempt by its call and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AttemptId {
    pub(crate) call: RequestId,
    pub(crate) number: usize,
}

struct Connection {
    conn: ConnId,
    is_established: bool,
    /// Attempts that are sent once it is established.
    waiting: Vec<AttemptId>,
}

struct Endpoint {
    address: SocketAddr,
    authority: Authority,
    connections: Vec<Connection>,
}

/// Where an attempt can be sent.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FoundConnection {
    /// On this connection, now.
    Established(ConnId),
    /// Once a connection is established that was begun for this attempt.
    Begun(ConnId),
    /// Once a connection is established that was begun before.
    Connecting,
    /// All connections to the endpoint are full.
    Full,
    /// The endpoint is not known, or no connection can be begun.
    Unreachable,
}

/// The connections to all endpoints of the list.
pub(crate) struct EndpointConnections {
    limits: Limits,
    max_connections: usize,
    endpoints: FxHashMap<EndpointId, Endpoint>,
    endpoint_of: FxHashMap<ConnId, EndpointId>,
    /// Connections to endpoints that have left the list.
    draining: Vec<ConnId>,
}

impl EndpointConnections {
    /// No connections yet. `keepalive`: the interval of pings, in microseconds.
    pub(crate) fn new(max_connections: usize, streams: u32, keepalive: u64) -> EndpointConnections {
        let limits = Limits {
            streams,
            keepalive,
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

    /// Takes over a new list; connections to endpoints that are no longer on it are closed once their last call has ended.
    /// Returns the attempts that waited for one that was never established.
    pub(crate) fn update(&mut self, engine: &mut Engine, servers: &[Server]) -> Vec<AttemptId> {
        let mut old = std::mem::take(&mut self.endpoints);
        for server in servers {
            let id = server.entry.endpoint;
            let connections = old.remove(&id).map(|endpoint| endpoint.connections);
            let endpoint = Endpoint {
                address: server.address,
                authority: authority_of(server.address),
                connections: connections.unwrap_or_default(),
            };
            self.endpoints.insert(id, endpoint);
        }
        let mut unsent = Vec::new();
        for connection in old.into_values().flat_map(|endpoint| endpoint.connections) {
            self.endpoint_of.remove(&connection.conn);
            self.draining.push(connection.conn);
            unsent.extend(connection.waiting);
        }
        self.close_idle(engine);
        unsent
    }

    /// Closes connections to endpoints that have left the list once no call is open on them.
    pub(crate) fn close_idle(&mut self, engine: &mut Engine) {
        self.draining.retain(|&conn| {
            let is_busy = engine.open_streams(conn) > 0;
            if !is_busy {
                engine.close(conn);
            }
            is_busy
        });
    }

    /// The endpoint's authority in the heads of calls.
    pub(crate) fn authority(&self, endpoint: EndpointId) -> Option<Authority> {
        let endpoint = self.endpoints.get(&endpoint)?;
        Some(endpoint.authority.clone())
    }

    /// The endpoint of the list with the lowest id.
    pub(crate) fn first_endpoint(&self) -> Option<EndpointId> {
        self.endpoints.keys().min().copied()
    }

    /// The endpoint's address.
    pub(crate) fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        let endpoint = self.endpoints.get(&endpoint)?;
        Some(endpoint.address)
    }

    /// Finds or begins a connection for an attempt. One that must wait for it is remembered.
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
        if endpoint.wait_for_connecting(attempt, self.limits.streams as usize) {
            return FoundConnection::Connecting;
        }
        if endpoint.connections.len() >= self.max_connections {
            return FoundConnection::Full;
        }
        let Ok(conn) = engine.connect(endpoint.address, self.limits) else {
            return FoundConnection::Unreachable;
        };
        endpoint.connections.push(Connection {
            conn,
            is_established: false,
            waiting: vec![attempt],
        });
        self.endpoint_of.insert(conn, endpoint_id);
        FoundConnection::Begun(conn)
    }

    /// A connection is established. Returns the attempts that waited for it; `None`: it is not one to an endpoint.
    pub(crate) fn connected(&mut self, conn: ConnId) -> Option<Vec<AttemptId>> {
        let connection = self.connection(conn)?;
        connection.is_established = true;
        Some(std::mem::take(&mut connection.waiting))
    }

    /// A connection is closed, or accepts nothing new: it is forgotten. Returns the attempts that waited for it.
    pub(crate) fn forget(&mut self, conn: ConnId) -> Option<Vec<AttemptId>> {
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
    /// The established connection with the most free streams, if it has any.
    fn least_loaded(&self, engine: &Engine) -> Option<ConnId> {
        let conn = self
            .connections
            .iter()
            .filter(|connection| connection.is_established)
            .map(|connection| connection.conn)
            .max_by_key(|conn| engine.available_streams(*conn))?;
        (engine.available_streams(conn) > 0).then_some(conn)
    }

    /// Lets an attempt wait for a connection that is being established. Returns false if none has room.
    fn wait_for_connecting(&mut self, attempt: AttemptId, max_waiting: usize) -> bool {
        let connecting = self.connections.iter_mut().find(|connection| {
            !connection.is_established && connection.waiting.len() < max_waiting
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
    // An address is always a valid authority.
    address
        .to_string()
        .parse()
        .unwrap_or(Authority::from_static("server"))
}
