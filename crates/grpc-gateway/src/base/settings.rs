//! The validated settings, which all modules of the gateway read.

use chalkdeck::api;
use chalkdeck_net::Limits;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What is wrong with the settings, and where.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {what}")]
pub struct SettingsError {
    /// The path of the settings file, as it was given.
    pub file: String,
    /// The line, from 1; also 1 if a field is missing.
    pub line: usize,
    /// The field, what was found in it and what was expected.
    pub what: String,
}

/// A path, and the class and units of its calls.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The full path, or a prefix of it.
    pub path: String,
    /// Whether `path` is a prefix.
    pub is_prefix: bool,
    /// The index of the class.
    pub class: usize,
    /// The units that a call costs.
    pub units: f64,
    /// Whether a client may set the units of its call.
    pub allows_client_units: bool,
}

/// Settings of the RESP port.
#[derive(Clone, Debug, PartialEq)]
pub struct RespSettings {
    /// The address to listen at.
    pub listen: SocketAddr,
    /// The password that clients have to send; empty: none.
    pub password: String,
    /// The index of the class of its requests, which are only admitted: callers do the work themselves.
    pub class: usize,
    /// The lease of an admitted request that names none, in microseconds.
    pub default_lease: u64,
    /// The maximum number of open connections.
    pub max_connections: usize,
}

/// Settings of the connection to the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorSettings {
    /// The addresses of the coordinator's replicas.
    pub addresses: Vec<SocketAddr>,
    /// The name of this gateway, unique in the fleet.
    pub name: String,
    /// The region of this gateway, by its name in access rules.
    pub region: String,
    /// The metadata in which a trusted proxy sends the caller's region; `None`: no metadata is trusted.
    pub region_metadata: Option<http::HeaderName>,
    /// The file with the table of address prefixes and their regions.
    pub regions_file: Option<PathBuf>,
    /// The cache file of the shared state.
    pub state_file: Option<PathBuf>,
    /// The interval of reports to the coordinator, in microseconds.
    pub report_interval: u64,
    /// Whether this gateway may become the leader of elections.
    pub is_candidate: bool,
    /// The metadata in which a caller sends the version of the service that it uses.
    pub version_metadata: http::HeaderName,
}

/// The validated settings of a gateway.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The settings of the decision engine.
    pub policy: api::Settings,
    /// The address that accepts calls.
    pub listen: SocketAddr,
    /// The address of the admin port; `None`: there is none.
    pub admin: Option<SocketAddr>,
    /// The names of the classes, by index.
    pub class_names: Vec<String>,
    /// The names of the plans, by index.
    pub plan_names: Vec<String>,
    /// For each class the index of the class of its calls without an idempotency key: for a keyed class a non-idempotent copy of
    /// it, otherwise the class itself.
    pub unkeyed_class: Vec<usize>,
    /// The routes; the first match applies.
    pub routes: Vec<Route>,
    /// The metadata that names the customer.
    pub customer_metadata: http::HeaderName,
    /// The index of the plan of customers that are not in `plan_of`; `None`: their calls are rejected.
    pub default_plan: Option<usize>,
    /// The indices of plans by customer.
    pub plan_of: HashMap<String, usize>,
    /// The number of gateways that receive calls of one customer.
    pub customer_gateways: u32,
    /// The RESP port; `None`: there is none.
    pub resp: Option<RespSettings>,
    /// The fair admission queue; `None`: requests reach the decision engine in order of arrival.
    pub admission_queue: Option<chalkdeck_admission_queue::Settings>,
    /// Whether zones are monitored as sites, and load of a lost one fails over to the others.
    pub is_site_failover_enabled: bool,
    /// Whether load beyond the capacity of the remaining sites is shed, lowest priority first.
    pub is_site_shedding_enabled: bool,
    /// The file that persists operators' site overrides; `None`: overrides last until the gateway ends.
    pub site_overrides_file: Option<PathBuf>,
    /// The connection to the coordinator; `None`: there is no coordinator.
    pub coordinator: Option<CoordinatorSettings>,
    /// The name of this gateway's zone.
    pub zone_name: String,
    /// The addresses of the counter's partitions, in the same order at all gateways; empty: there is no counter.
    pub counter_addresses: Vec<SocketAddr>,
    /// The file with the endpoint list.
    pub endpoint_list_file: PathBuf,
    /// The interval at which that file is checked for changes, in microseconds.
    pub endpoint_poll_interval: u64,
    /// The time-out of establishing a connection to an endpoint, in microseconds.
    pub connect_timeout: u64,
    /// The maximum number of connections to one endpoint.
    pub max_connections_per_endpoint: usize,
    /// The maximum number of concurrent calls on one connection to an endpoint.
    pub max_streams_per_connection: u32,
    /// The interval of HTTP/2 pings on connections to endpoints, in microseconds.
    pub keepalive_interval: u64,
    /// The maximum number of bytes that are buffered of a request, for retries, and of a unary response, until it ends.
    pub max_buffered_bytes: usize,
    /// The limits of clients' connections.
    pub client_limits: Limits,
    /// The log level.
    pub log_level: String,
    /// Whether logs are JSON lines.
    pub log_json: bool,
}
