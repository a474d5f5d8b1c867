//! Parses the endpoint lists of discovery and of the configuration.

use chalkdeck::api::{CellId, EndpointEntry, EndpointState, UpdateScope};
use chalkdeck_simulator_adapter::settings::{endpoint_id, zone_id};
use chalkdeck_time::Timestamp;
use serde::Deserialize;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The maximum number of endpoints in a list.
pub const MAX_ENDPOINTS: usize = 10_000;
/// The weight of an endpoint whose entry has none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// One endpoint of a list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The address that the endpoint listens at.
    pub address: SocketAddr,
    /// The entry that the decision engine receives.
    pub entry: EndpointEntry,
}

/// A list of endpoints: the complete list, or the changes to an earlier one.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The version of the list.
    pub version: u64,
    /// Whether the list is complete or contains changes only.
    pub scope: UpdateScope,
    /// The endpoints.
    pub endpoints: Vec<ListedEndpoint>,
}

/// Why a list is rejected.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum EndpointListError {
    /// JSON that does not have the form of a list.
    #[error("expected a list of endpoints: {0}")]
    #[diagnostic(
        code(chalkdeck::list::shape),
        help("each endpoint has a name, an address and a status; see what wrote the list")
    )]
    Shape(#[from] serde_json::Error),
    /// More endpoints than [`MAX_ENDPOINTS`].
    #[error("endpoints: expected at most {MAX_ENDPOINTS}, found {0}")]
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
        /// The name of the endpoint.
        name: String,
        /// The status that was found.
        found: String,
    },
    /// An address that is not `ip:port`.
    #[error("{name}: address: expected ip:port, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::list::address),
        help("the list has to give addresses, not names: there is no DNS here")
    )]
    Address {
        /// The name of the endpoint.
        name: String,
        /// The address that was found.
        found: String,
    },
}

#[derive(Deserialize)]
struct WireList {
    #[serde(rename = "index")]
    version: u64,
    #[serde(rename = "snapshot")]
    is_complete: bool,
    endpoints: Vec<WireEndpoint>,
}

#[derive(Deserialize)]
struct WireEndpoint {
    name: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "group")]
    cell: u64,
    status: String,
    weight: Option<f64>,
    /// When the endpoint last started, in milliseconds; 0 if it started long ago.
    #[serde(default, rename = "since_ms")]
    started_at_ms: u64,
}

/// Parses a list. A list with a single invalid entry is rejected as a whole, because the last valid list is the better approximation.
/// `zones` maps names of zones to numbers; new names are added to it.
///
/// # Errors
/// [`EndpointListError`] names the endpoint, what was expected and what was found.
pub fn parse(
    value: &Value,
    zones: &mut HashMap<String, u32>,
) -> Result<EndpointList, EndpointListError> {
    from_wire(&WireList::deserialize(value)?, zones)
}

/// Parses the text of a list, as [`parse`] does, without the intermediate form of a JSON value, which takes several times its length.
///
/// # Errors
/// See [`parse`].
pub fn parse_text(
    text: &[u8],
    zones: &mut HashMap<String, u32>,
) -> Result<EndpointList, EndpointListError> {
    from_wire(&serde_json::from_slice(text)?, zones)
}

fn from_wire(
    list: &WireList,
    zones: &mut HashMap<String, u32>,
) -> Result<EndpointList, EndpointListError> {
    if list.endpoints.len() > MAX_ENDPOINTS {
        return Err(EndpointListError::TooMany(list.endpoints.len()));
    }
    let endpoints = list
        .endpoints
        .iter()
        .map(|endpoint| parse_endpoint(endpoint, zones))
        .collect::<Result<_, _>>()?;
    let scope = if list.is_complete {
        UpdateScope::Complete
    } else {
        UpdateScope::Incremental
    };
    Ok(EndpointList {
        version: list.version,
        scope,
        endpoints,
    })
}

fn parse_endpoint(
    endpoint: &WireEndpoint,
    zones: &mut HashMap<String, u32>,
) -> Result<ListedEndpoint, EndpointListError> {
    let state = parse_status(endpoint)?;
    let Ok(address) = endpoint.address.parse() else {
        return Err(EndpointListError::Address {
            name: endpoint.name.clone(),
            found: endpoint.address.clone(),
        });
    };
    let started_at_ms = Some(endpoint.started_at_ms).filter(|millis| *millis > 0);
    let entry = EndpointEntry {
        endpoint: endpoint_id(&endpoint.name),
        // `config::setting_paths` replaces the same characters in the zone names of the settings.
        zone: zone_id(zones, &endpoint.zone.replace([' ', ','], "_")),
        cell: CellId(endpoint.cell),
        state,
        weight: endpoint
            .weight
            .filter(|weight| weight.is_finite())
            .unwrap_or(DEFAULT_WEIGHT),
        started_at: started_at_ms.map(Timestamp::from_millis),
        address: Some(address),
    };
    Ok(ListedEndpoint { address, entry })
}

fn parse_status(endpoint: &WireEndpoint) -> Result<EndpointState, EndpointListError> {
    match endpoint.status.as_str() {
        "ready" => Ok(EndpointState::InService),
        "draining" => Ok(EndpointState::Draining),
        "gone" => Ok(EndpointState::Removed),
        other => Err(EndpointListError::Status {
            name: endpoint.name.clone(),
            found: other.to_string(),
        }),
    }
}
