//! Parses the endpoint list from Envoy's `ClusterLoadAssignment`.
//!
//! Optional metadata of an endpoint under the key `chalkdeck`:
//! - `cell` (text or number): its cell; by default the zone of its locality.
//! - `started_ms` (number): the Unix time in milliseconds at which it last started; by default it counts as started long ago.
//! - `server` (text): its name, the same at all gateways even if they reach it at different addresses; by default its address.
//! - `contract` (text): the service and version that it serves, separated by a space; by default it is in service whichever
//!   versions the fleet admits.

pub use crate::base::listed_endpoint::ListedEndpoint;
use crate::base::listed_endpoint::{hash_name, zone_id_of};
use chalkdeck::api::{CellId, EndpointEntry, EndpointId, EndpointState, Timestamp};
use chalkdeck_net::file_watch::FileWatchError;
use chalkdeck_proto::envoy::config::core::v3::{address, socket_address, HealthStatus};
use chalkdeck_proto::envoy::config::endpoint::v3::{
    lb_endpoint, ClusterLoadAssignment, LbEndpoint, LocalityLbEndpoints,
};
use chalkdeck_proto::text;
use prost::Message;
use prost_types::value::Kind;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;

/// The full name of the protobuf message.
pub const MESSAGE: &str = "envoy.config.endpoint.v3.ClusterLoadAssignment";
/// The maximum number of endpoints on a list.
const MAX_ENDPOINTS: usize = 10_000;
/// The key of chalkdeck's metadata.
const METADATA_KEY: &str = "chalkdeck";
/// Later times are rejected, as they are probably in another unit than milliseconds; this one is in the year 33658.
const MAX_UNIX_MILLIS: f64 = 1e15;
const MICROS_PER_MILLI: f64 = 1e3;
/// File name extensions of the text format; other files are binary.
const TEXT_EXTENSIONS: [&str; 3] = ["txtpb", "textproto", "pb_text"];

/// Why a file is not a valid endpoint list; the message names the place.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidListError(String);

/// Why a new endpoint list is not applied.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// Its file could not be read.
    #[error(transparent)]
    Read(#[from] FileWatchError),
    /// Its content is invalid.
    #[error(transparent)]
    List(#[from] InvalidListError),
}

fn invalid<T>(reason: impl Into<String>) -> Result<T, InvalidListError> {
    Err(InvalidListError(reason.into()))
}

/// Parses a list; files with the extension `txtpb`, `textproto` or `pb_text` are text, others are binary.
pub fn parse(path: &Path, bytes: &[u8]) -> Result<Vec<ListedEndpoint>, InvalidListError> {
    let extension = path
        .extension()
        .and_then(|extension| extension.to_str())
        .unwrap_or("");
    let list = if TEXT_EXTENSIONS.contains(&extension) {
        let Ok(text) = std::str::from_utf8(bytes) else {
            return invalid("expected UTF-8 text");
        };
        text::parse(MESSAGE, text).map_err(|error| InvalidListError(error.to_string()))?
    } else {
        ClusterLoadAssignment::decode(bytes)
            .map_err(|error| InvalidListError(format!("expected {MESSAGE}: {error}")))?
    };
    parse_endpoints(&list)
}

fn parse_endpoints(list: &ClusterLoadAssignment) -> Result<Vec<ListedEndpoint>, InvalidListError> {
    let mut listed_endpoints = Vec::new();
    let mut seen_ids = HashSet::new();
    for (locality_index, locality) in list.endpoints.iter().enumerate() {
        for (endpoint_index, endpoint) in locality.lb_endpoints.iter().enumerate() {
            let listed = parse_endpoint(locality, endpoint).map_err(|error| {
                InvalidListError(format!(
                    "endpoints[{locality_index}].lb_endpoints[{endpoint_index}]: {error}"
                ))
            })?;
            if !seen_ids.insert(listed.entry.endpoint) {
                return invalid(format!(
                    "endpoints[{locality_index}].lb_endpoints[{endpoint_index}]: {} is listed twice",
                    listed.address
                ));
            }
            listed_endpoints.push(listed);
        }
    }
    if listed_endpoints.len() > MAX_ENDPOINTS {
        return invalid(format!(
            "expected at most {MAX_ENDPOINTS} endpoints, found {}",
            listed_endpoints.len()
        ));
    }
    Ok(listed_endpoints)
}

fn parse_endpoint(
    locality: &LocalityLbEndpoints,
    endpoint: &LbEndpoint,
) -> Result<ListedEndpoint, InvalidListError> {
    let address = address_of(endpoint)?;
    let zone_name = locality
        .locality
        .as_ref()
        .map_or("", |locality| locality.zone.as_str());
    let state = state_of(endpoint)?;
    let cell = cell_of(endpoint, zone_name)?;
    let started_at = started_at_of(endpoint)?;
    let name = name_of(endpoint, address)?;
    let entry = EndpointEntry {
        endpoint: EndpointId(hash_name(&name)),
        zone: zone_id_of(zone_name),
        cell: CellId(hash_name(&cell)),
        state,
        weight: f64::from(endpoint.load_balancing_weight.unwrap_or(1)),
        started_at,
        address: Some(address),
    };
    Ok(ListedEndpoint {
        address,
        zone_name: zone_name.to_string(),
        contract: contract_of(endpoint)?,
        entry,
    })
}

fn state_of(endpoint: &LbEndpoint) -> Result<EndpointState, InvalidListError> {
    match HealthStatus::try_from(endpoint.health_status) {
        Ok(HealthStatus::Unknown | HealthStatus::Healthy | HealthStatus::Degraded) => {
            Ok(EndpointState::InService)
        }
        Ok(HealthStatus::Draining | HealthStatus::Unhealthy | HealthStatus::Timeout) => {
            Ok(EndpointState::Draining)
        }
        Err(_) => invalid(format!(
            "health_status: {} is not known",
            endpoint.health_status
        )),
    }
}

fn cell_of(endpoint: &LbEndpoint, zone_name: &str) -> Result<String, InvalidListError> {
    match metadata(endpoint, "cell") {
        None => Ok(zone_name.to_string()),
        Some(Kind::StringValue(cell)) => Ok(cell.clone()),
        Some(Kind::NumberValue(cell)) => Ok(cell.to_string()),
        Some(_) => invalid("metadata chalkdeck.cell: expected a text"),
    }
}

fn started_at_of(endpoint: &LbEndpoint) -> Result<Option<Timestamp>, InvalidListError> {
    match metadata(endpoint, "started_ms") {
        None => Ok(None),
        Some(Kind::NumberValue(millis)) if (0.0..MAX_UNIX_MILLIS).contains(millis) => {
            let micros = (millis * MICROS_PER_MILLI) as u64;
            Ok(Some(Timestamp::from_micros(micros)))
        }
        Some(_) => invalid("metadata chalkdeck.started_ms: expected Unix milliseconds"),
    }
}

/// The name of the endpoint, the same at all gateways.
fn name_of(endpoint: &LbEndpoint, address: SocketAddr) -> Result<String, InvalidListError> {
    match metadata(endpoint, "server") {
        None => Ok(address.to_string()),
        Some(Kind::StringValue(name)) => Ok(name.clone()),
        Some(_) => invalid("metadata chalkdeck.server: expected a text"),
    }
}

fn contract_of(endpoint: &LbEndpoint) -> Result<Option<String>, InvalidListError> {
    match metadata(endpoint, "contract") {
        None => Ok(None),
        Some(Kind::StringValue(contract)) if contract.split(' ').count() == 2 => {
            Ok(Some(contract.clone()))
        }
        Some(_) => invalid(
            "metadata chalkdeck.contract: expected a service and its version, parted by a space",
        ),
    }
}

fn address_of(endpoint: &LbEndpoint) -> Result<SocketAddr, InvalidListError> {
    let Some(lb_endpoint::HostIdentifier::Endpoint(host)) = &endpoint.host_identifier else {
        return invalid("expected an endpoint with an address");
    };
    let Some(address::Address::SocketAddress(socket)) =
        host.address.as_ref().and_then(|a| a.address.as_ref())
    else {
        return invalid("endpoint.address: expected a socket_address");
    };
    let Some(socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else {
        return invalid("socket_address: expected a port_value");
    };
    let (Ok(ip), Ok(port)) = (socket.address.parse(), u16::try_from(port)) else {
        return invalid(format!(
            "socket_address: expected an IP and a port, found {}:{port}",
            socket.address
        ));
    };
    Ok(SocketAddr::new(ip, port))
}

fn metadata<'a>(endpoint: &'a LbEndpoint, name: &str) -> Option<&'a Kind> {
    endpoint
        .metadata
        .as_ref()?
        .filter_metadata
        .get(METADATA_KEY)?
        .fields
        .get(name)?
        .kind
        .as_ref()
}

#[cfg(test)]
mod tests;
