//! Parses the endpoint list out of Envoy's `ClusterLoadAssignment`.
//!
//! Metadata under the key `chalkdeck`: `cell` (text; none: the locality's) and `started_ms` (Unix time in milliseconds
//! at which the server last started; none: long ago), `server` (text; by which all gateways know it where they reach it
//! under different addresses; none: its address), `contract` (text; the service and version that it serves, parted by a
//! space; none: it is put in service whatever the fleet admits).

pub use crate::base::server::Server;
use crate::base::server::{number_of, zone_of};
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

/// The message's full name.
pub const MESSAGE: &str = "envoy.config.endpoint.v3.ClusterLoadAssignment";
/// The most endpoints that a list may have.
const MAX_ENDPOINTS: usize = 10_000;
/// The key of this gateway's own metadata.
const METADATA_KEY: &str = "chalkdeck";
/// Times after this, in the year 33658, are mistakes of the unit.
const MAX_UNIX_MILLIS: f64 = 1e15;
const MICROS_PER_MILLI: f64 = 1e3;
/// Endings of file names that mean the text form; other files are binary.
const TEXT_EXTENSIONS: [&str; 3] = ["txtpb", "textproto", "pb_text"];

/// Why a file is no endpoint list; the text names the place.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ListError(String);

/// Why a watched list is not put in force.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// Its file could not be read.
    #[error(transparent)]
    Read(#[from] FileWatchError),
    /// It could not be parsed.
    #[error(transparent)]
    List(#[from] ListError),
}

fn invalid<T>(reason: impl Into<String>) -> Result<T, ListError> {
    Err(ListError(reason.into()))
}

/// Parses a list; the extension of the file's name tells text (`txtpb`, `textproto`, `pb_text`) from binary.
pub fn parse(path: &Path, bytes: &[u8]) -> Result<Vec<Server>, ListError> {
    let extension = path.extension().and_then(|e| e.to_str()).unwrap_or("");
    let list = if TEXT_EXTENSIONS.contains(&extension) {
        let Ok(text) = std::str::from_utf8(bytes) else {
            return invalid("expected UTF-8 text");
        };
        text::parse(MESSAGE, text).map_err(|e| ListError(e.to_string()))?
    } else {
        ClusterLoadAssignment::decode(bytes)
            .map_err(|e| ListError(format!("expected {MESSAGE}: {e}")))?
    };
    parse_servers(&list)
}

/// The servers of a list.
fn parse_servers(list: &ClusterLoadAssignment) -> Result<Vec<Server>, ListError> {
    let mut servers = Vec::new();
    let mut known = HashSet::new();
    for (locality_index, locality) in list.endpoints.iter().enumerate() {
        for (endpoint_index, endpoint) in locality.lb_endpoints.iter().enumerate() {
            let server = parse_server(locality, endpoint).map_err(|e| {
                ListError(format!(
                    "endpoints[{locality_index}].lb_endpoints[{endpoint_index}]: {e}"
                ))
            })?;
            if !known.insert(server.entry.endpoint) {
                return invalid(format!(
                    "endpoints[{locality_index}].lb_endpoints[{endpoint_index}]: {} is listed twice",
                    server.address
                ));
            }
            servers.push(server);
        }
    }
    if servers.len() > MAX_ENDPOINTS {
        return invalid(format!(
            "expected at most {MAX_ENDPOINTS} endpoints, found {}",
            servers.len()
        ));
    }
    Ok(servers)
}

fn parse_server(
    locality: &LocalityLbEndpoints,
    endpoint: &LbEndpoint,
) -> Result<Server, ListError> {
    let address = address_of(endpoint)?;
    let zone_name = locality
        .locality
        .as_ref()
        .map_or("", |locality| locality.zone.as_str());
    let state = state_of(endpoint)?;
    let cell = cell_of(endpoint, zone_name)?;
    let started_at = start_of(endpoint)?;
    let name = name_of(endpoint, address)?;
    let entry = EndpointEntry {
        endpoint: EndpointId(number_of(&name)),
        zone: zone_of(zone_name),
        cell: CellId(number_of(&cell)),
        state,
        weight: f64::from(endpoint.load_balancing_weight.unwrap_or(1)),
        started_at,
    };
    Ok(Server {
        address,
        zone_name: zone_name.to_string(),
        contract: contract_of(endpoint)?,
        entry,
    })
}

fn state_of(endpoint: &LbEndpoint) -> Result<EndpointState, ListError> {
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

fn cell_of(endpoint: &LbEndpoint, zone_name: &str) -> Result<String, ListError> {
    match metadata(endpoint, "cell") {
        None => Ok(zone_name.to_string()),
        Some(Kind::StringValue(cell)) => Ok(cell.clone()),
        Some(Kind::NumberValue(cell)) => Ok(cell.to_string()),
        Some(_) => invalid("metadata chalkdeck.cell: expected a text"),
    }
}

fn start_of(endpoint: &LbEndpoint) -> Result<Option<Timestamp>, ListError> {
    match metadata(endpoint, "started_ms") {
        None => Ok(None),
        Some(Kind::NumberValue(millis)) if (0.0..MAX_UNIX_MILLIS).contains(millis) => {
            let micros = (millis * MICROS_PER_MILLI) as u64;
            Ok(Some(Timestamp::from_micros(micros)))
        }
        Some(_) => invalid("metadata chalkdeck.started_ms: expected Unix milliseconds"),
    }
}

/// The name by which all gateways know the endpoint.
fn name_of(endpoint: &LbEndpoint, address: SocketAddr) -> Result<String, ListError> {
    match metadata(endpoint, "server") {
        None => Ok(address.to_string()),
        Some(Kind::StringValue(name)) => Ok(name.clone()),
        Some(_) => invalid("metadata chalkdeck.server: expected a text"),
    }
}

fn contract_of(endpoint: &LbEndpoint) -> Result<Option<String>, ListError> {
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

fn address_of(endpoint: &LbEndpoint) -> Result<SocketAddr, ListError> {
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
