//! An endpoint of the endpoint list, and the ids that are derived from names.

use chalkdeck::api::{EndpointEntry, ZoneId};
use std::net::SocketAddr;

/// One endpoint: where this gateway reaches it, and its entry for the decision engine.
#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    /// The address that the gateway connects to.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone_name: String,
    /// The service and version that it serves, separated by a space; `None`: the list names none.
    pub contract: Option<String>,
    /// The entry that the decision engine receives.
    pub entry: EndpointEntry,
}

/// The hash of a name, which is the same at every gateway.
pub(crate) fn hash_name(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// The id of a zone by its name, which is the same at every gateway.
pub(crate) fn zone_id_of(name: &str) -> ZoneId {
    ZoneId(hash_name(name) as u32)
}
