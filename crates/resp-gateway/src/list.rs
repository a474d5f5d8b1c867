//! The list of backends as discovery tells it.

use chalkdeck::api::{CellId, EndpointEntry, EndpointState, Timestamp};
use chalkdeck_simulator_adapter::settings::{server_id, zone_id};
use serde::Deserialize;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The most backends of one list.
pub const MOST: usize = 10_000;

/// One backend: where this gateway reaches it, and what the decisions are told of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its line of the list.
    pub entry: EndpointEntry,
}

/// One answer of discovery.
#[derive(Clone, Debug)]
pub struct List {
    /// Its version.
    pub index: u64,
    /// It is the whole list, not changes alone.
    pub snapshot: bool,
    /// Its lines.
    pub servers: Vec<Server>,
}

/// Why a list is not taken.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ListError {
    /// Not the form of a list.
    #[error("expected a list of endpoints: {0}")]
    #[diagnostic(
        code(chalkdeck::list::shape),
        help("each endpoint has a name, an address and a status; see what wrote the list")
    )]
    Shape(#[from] serde_json::Error),
    /// More backends than are taken.
    #[error("endpoints: expected at most {MOST}, found {0}")]
    #[diagnostic(
        code(chalkdeck::list::too_many),
        help("give this gateway the backends of its own part of the fleet")
    )]
    TooMany(usize),
    /// A status that is not known.
    #[error("{name}: status: expected ready, draining or gone, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::list::status),
        help("the whole list is left out until each status is known here: see whether the list is of a later version")
    )]
    Status {
        /// The backend.
        name: String,
        /// What stood there.
        found: String,
    },
    /// An address that cannot be read.
    #[error("{name}: address: expected ip:port, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::list::address),
        help("the list has to give addresses, not names: there is no DNS here")
    )]
    Address {
        /// The backend.
        name: String,
        /// What stood there.
        found: String,
    },
}

#[derive(Deserialize)]
struct Wire {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

#[derive(Deserialize)]
struct Endpoint {
    name: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    group: u64,
    status: String,
    weight: Option<f64>,
    #[serde(default)]
    since_ms: u64,
}

/// Reads an answer. A list with one line that cannot be read is not taken at all: the last good one is the better guess.
pub fn read(value: &Value, zones: &mut HashMap<String, u32>) -> Result<List, ListError> {
    let wire = Wire::deserialize(value)?;
    if wire.endpoints.len() > MOST {
        return Err(ListError::TooMany(wire.endpoints.len()));
    }
    let servers = wire
        .endpoints
        .iter()
        .map(|e| server(e, zones))
        .collect::<Result<_, _>>()?;
    Ok(List {
        index: wire.index,
        snapshot: wire.snapshot,
        servers,
    })
}

fn server(e: &Endpoint, zones: &mut HashMap<String, u32>) -> Result<Server, ListError> {
    let listed = match e.status.as_str() {
        "ready" => EndpointState::InService,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Removed,
        other => {
            return Err(ListError::Status {
                name: e.name.clone(),
                found: other.to_string(),
            })
        }
    };
    let Ok(address) = e.address.parse() else {
        return Err(ListError::Address {
            name: e.name.clone(),
            found: e.address.clone(),
        });
    };
    let entry = EndpointEntry {
        endpoint: server_id(&e.name),
        zone: zone_id(zones, &e.zone.replace([' ', ','], "_")),
        cell: CellId(e.group),
        state: listed,
        weight: e.weight.filter(|w| w.is_finite()).unwrap_or(1.0),
        started_at: (e.since_ms > 0)
            .then(|| Timestamp::from_micros(e.since_ms.saturating_mul(1_000))),
    };
    Ok(Server { address, entry })
}
