//! A server as the list tells it, and the numbers of names.

use chalkdeck::api::{EndpointEntry, ZoneId};
use std::net::SocketAddr;

/// One server: where it is, and what the decisions are told of it.
#[derive(Debug, Clone)]
pub struct Server {
    /// Where it is reached.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone_name: String,
    /// The service and version that it tells, parted by a space; none: it tells none.
    pub contract: Option<String>,
    /// Its line of the list.
    pub entry: EndpointEntry,
}

/// The stable number of a name, equal at every gateway.
pub(crate) fn number_of(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// The number of a zone's name, equal at every gateway.
pub(crate) fn zone_of(name: &str) -> ZoneId {
    ZoneId(number_of(name) as u32)
}
