//! Connections to the servers. It chooses no server; it finds a connection to the one that was chosen.
//!
//! Bounds: `server_connections` for a server, `server_streams` calls on each, as many again waiting for one to stand.

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

struct Link {
    conn: ConnId,
    up: bool,
    waiting: Vec<AttemptId>,
}

struct Place {
    address: SocketAddr,
    authority: Authority,
    links: Vec<Link>,
}

/// Where an attempt can go.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Found {
    /// On this connection, now.
    Ready(ConnId),
    /// When a connection under way stands. `fresh`: it was begun for this one.
    Waits { fresh: Option<ConnId> },
    /// All its connections are full.
    Full,
    /// The server is not known or no connection can be begun.
    Unreachable,
}

fn authority(address: SocketAddr) -> Authority {
    // An address is always a sound authority.
    address
        .to_string()
        .parse()
        .unwrap_or(Authority::from_static("server"))
}

pub(crate) struct Pool {
    limits: Limits,
    most: usize,
    places: FxHashMap<EndpointId, Place>,
    server_of: FxHashMap<ConnId, EndpointId>,
    /// Connections to servers that left the list.
    leaving: Vec<ConnId>,
}

impl Pool {
    pub(crate) fn new(most: usize, streams: u32, keepalive: u64) -> Pool {
        let limits = Limits {
            streams,
            keepalive,
            ..Limits::default()
        };
        Pool {
            limits,
            most,
            places: FxHashMap::default(),
            server_of: FxHashMap::default(),
            leaving: Vec::new(),
        }
    }

    /// Takes a new list; connections to servers that are no longer on it end when their last call has. Returns the
    /// attempts that waited for one that never stood.
    pub(crate) fn update(&mut self, engine: &mut Engine, servers: &[Server]) -> Vec<AttemptId> {
        let mut old = std::mem::take(&mut self.places);
        for server in servers {
            let links = old
                .remove(&server.entry.endpoint)
                .map(|p| p.links)
                .unwrap_or_default();
            self.places.insert(
                server.entry.endpoint,
                Place {
                    address: server.address,
                    authority: authority(server.address),
                    links,
                },
            );
        }
        let mut unsent = Vec::new();
        for link in old.into_values().flat_map(|p| p.links) {
            self.server_of.remove(&link.conn);
            self.leaving.push(link.conn);
            unsent.extend(link.waiting);
        }
        self.close_idle(engine);
        unsent
    }

    /// Ends connections to servers that left the list once nothing runs on them.
    pub(crate) fn close_idle(&mut self, engine: &mut Engine) {
        self.leaving.retain(|&conn| {
            let busy = engine.open_streams(conn) > 0;
            if !busy {
                engine.close(conn);
            }
            busy
        });
    }

    /// The server's name in the heads of calls.
    pub(crate) fn authority(&self, server: EndpointId) -> Option<Authority> {
        self.places.get(&server).map(|p| p.authority.clone())
    }

    /// Some server of the list.
    pub(crate) fn any(&self) -> Option<EndpointId> {
        self.places.keys().min().copied()
    }

    pub(crate) fn address(&self, server: EndpointId) -> Option<SocketAddr> {
        self.places.get(&server).map(|p| p.address)
    }

    /// A connection for an attempt; where it must wait it is noted.
    pub(crate) fn find(
        &mut self,
        engine: &mut Engine,
        server: EndpointId,
        attempt: AttemptId,
    ) -> Found {
        let Some(place) = self.places.get_mut(&server) else {
            return Found::Unreachable;
        };
        let up = place
            .links
            .iter()
            .filter(|l| l.up)
            .max_by_key(|l| engine.available_streams(l.conn));
        if let Some(link) = up.filter(|l| engine.available_streams(l.conn) > 0) {
            return Found::Ready(link.conn);
        }
        let streams = self.limits.streams as usize;
        if let Some(link) = place
            .links
            .iter_mut()
            .find(|l| !l.up && l.waiting.len() < streams)
        {
            link.waiting.push(attempt);
            return Found::Waits { fresh: None };
        }
        if place.links.len() >= self.most {
            return Found::Full;
        }
        let Ok(conn) = engine.connect(place.address, self.limits) else {
            return Found::Unreachable;
        };
        place.links.push(Link {
            conn,
            up: false,
            waiting: vec![attempt],
        });
        self.server_of.insert(conn, server);
        Found::Waits { fresh: Some(conn) }
    }

    /// A connection stands: the attempts that waited for it.
    pub(crate) fn connected(&mut self, conn: ConnId) -> Option<Vec<AttemptId>> {
        let link = self.link(conn)?;
        link.up = true;
        Some(std::mem::take(&mut link.waiting))
    }

    /// A connection is over, or takes nothing new: it is forgotten; the attempts that waited for it.
    pub(crate) fn forget(&mut self, conn: ConnId) -> Option<Vec<AttemptId>> {
        let server = self.server_of.remove(&conn)?;
        let place = self.places.get_mut(&server)?;
        let at = place.links.iter().position(|l| l.conn == conn)?;
        Some(place.links.swap_remove(at).waiting)
    }

    /// Whether a connection is still being made.
    pub(crate) fn is_connecting(&mut self, conn: ConnId) -> bool {
        self.link(conn).is_some_and(|l| !l.up)
    }

    fn link(&mut self, conn: ConnId) -> Option<&mut Link> {
        let server = self.server_of.get(&conn)?;
        self.places
            .get_mut(server)?
            .links
            .iter_mut()
            .find(|l| l.conn == conn)
    }
}
