//! The server list out of Envoy's `ClusterLoadAssignment`.
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
/// The most servers that a list may hold.
pub const MOST: usize = 10_000;

/// Why a file is no server list.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ListError(String);

/// Why a watched list is not taken over.
#[derive(Debug, thiserror::Error)]
pub enum LookError {
    /// Its file was not read.
    #[error(transparent)]
    Read(#[from] FileWatchError),
    /// It is no list.
    #[error(transparent)]
    List(#[from] ListError),
}

fn bad<T>(what: impl Into<String>) -> Result<T, ListError> {
    Err(ListError(what.into()))
}

/// Reads a list; the name's ending tells text (`txtpb`, `textproto`, `pb_text`) from binary.
pub fn read(path: &Path, bytes: &[u8]) -> Result<Vec<Server>, ListError> {
    let ending = path.extension().and_then(|e| e.to_str()).unwrap_or("");
    let list = if ["txtpb", "textproto", "pb_text"].contains(&ending) {
        let Ok(text) = std::str::from_utf8(bytes) else {
            return bad("expected UTF-8 text");
        };
        text::parse(MESSAGE, text).map_err(|e| ListError(e.to_string()))?
    } else {
        ClusterLoadAssignment::decode(bytes)
            .map_err(|e| ListError(format!("expected {MESSAGE}: {e}")))?
    };
    servers(&list)
}

/// The servers of a list.
pub fn servers(list: &ClusterLoadAssignment) -> Result<Vec<Server>, ListError> {
    let mut out = Vec::new();
    let mut known = HashSet::new();
    for (i, locality) in list.endpoints.iter().enumerate() {
        for (k, endpoint) in locality.lb_endpoints.iter().enumerate() {
            let server = server(locality, endpoint)
                .map_err(|e| ListError(format!("endpoints[{i}].lb_endpoints[{k}]: {e}")))?;
            if !known.insert(server.entry.endpoint) {
                return bad(format!(
                    "endpoints[{i}].lb_endpoints[{k}]: {} is listed twice",
                    server.address
                ));
            }
            out.push(server);
        }
    }
    if out.len() > MOST {
        return bad(format!(
            "expected at most {MOST} endpoints, found {}",
            out.len()
        ));
    }
    Ok(out)
}

fn server(locality: &LocalityLbEndpoints, endpoint: &LbEndpoint) -> Result<Server, ListError> {
    let address = address_of(endpoint)?;
    let zone = locality.locality.as_ref().map_or("", |l| l.zone.as_str());
    let listed = match HealthStatus::try_from(endpoint.health_status) {
        Ok(HealthStatus::Unknown | HealthStatus::Healthy | HealthStatus::Degraded) => {
            EndpointState::InService
        }
        Ok(HealthStatus::Draining | HealthStatus::Unhealthy | HealthStatus::Timeout) => {
            EndpointState::Draining
        }
        Err(_) => {
            return bad(format!(
                "health_status: {} is not known",
                endpoint.health_status
            ))
        }
    };
    let weight = endpoint.load_balancing_weight.unwrap_or(1);
    let cell = match field(endpoint, "cell") {
        None => zone.to_string(),
        Some(Kind::StringValue(cell)) => cell.clone(),
        Some(Kind::NumberValue(cell)) => cell.to_string(),
        Some(_) => return bad("metadata chalkdeck.cell: expected a text"),
    };
    let started = match field(endpoint, "started_ms") {
        None => None,
        Some(Kind::NumberValue(ms)) if *ms >= 0.0 && *ms < 1e15 => {
            Some(Timestamp::from_micros((ms * 1e3) as u64))
        }
        Some(_) => return bad("metadata chalkdeck.started_ms: expected Unix milliseconds"),
    };
    let name = match field(endpoint, "server") {
        None => address.to_string(),
        Some(Kind::StringValue(name)) => name.clone(),
        Some(_) => return bad("metadata chalkdeck.server: expected a text"),
    };
    let entry = EndpointEntry {
        endpoint: EndpointId(number_of(&name)),
        zone: zone_of(zone),
        cell: CellId(number_of(&cell)),
        state: listed,
        weight: f64::from(weight),
        started_at: started,
    };
    let contract = match field(endpoint, "contract") {
        None => None,
        Some(Kind::StringValue(contract)) if contract.split(' ').count() == 2 => {
            Some(contract.clone())
        }
        Some(_) => return bad(
            "metadata chalkdeck.contract: expected a service and its version, parted by a space",
        ),
    };
    Ok(Server {
        address,
        zone_name: zone.to_string(),
        contract,
        entry,
    })
}

fn address_of(endpoint: &LbEndpoint) -> Result<SocketAddr, ListError> {
    let Some(lb_endpoint::HostIdentifier::Endpoint(host)) = &endpoint.host_identifier else {
        return bad("expected an endpoint with an address");
    };
    let Some(address::Address::SocketAddress(socket)) =
        host.address.as_ref().and_then(|a| a.address.as_ref())
    else {
        return bad("endpoint.address: expected a socket_address");
    };
    let Some(socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else {
        return bad("socket_address: expected a port_value");
    };
    let (Ok(ip), Ok(port)) = (socket.address.parse(), u16::try_from(port)) else {
        return bad(format!(
            "socket_address: expected an IP and a port, found {}:{port}",
            socket.address
        ));
    };
    Ok(SocketAddr::new(ip, port))
}

fn field<'a>(endpoint: &'a LbEndpoint, name: &str) -> Option<&'a Kind> {
    endpoint
        .metadata
        .as_ref()?
        .filter_metadata
        .get("chalkdeck")?
        .fields
        .get(name)?
        .kind
        .as_ref()
}

#[cfg(test)]
mod tests;
