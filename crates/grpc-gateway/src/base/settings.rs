//! Checked settings, as all parts of the gateway read them.

use chalkdeck::api;
use chalkdeck_net::Limits;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What is wrong with settings, and where.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {what}")]
pub struct SettingsError {
    /// The file as it was given.
    pub file: String,
    /// Its line, from 1; 1 also where something is missing.
    pub line: usize,
    /// The field, what was found there and what was expected.
    pub what: String,
}

/// A path, and what a call there is.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Path, or its beginning.
    pub path: String,
    /// Whether `path` is a beginning.
    pub prefix: bool,
    /// Place in the classes.
    pub class: usize,
    /// Units of a call.
    pub units: f64,
    /// Whether a client may say its units.
    pub client_units: bool,
}

/// Settings of the front.
#[derive(Clone, Debug, PartialEq)]
pub struct RespSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// CallHead of clients; empty: none.
    pub password: String,
    /// The class that its requests have; callers do the work themselves.
    pub class: usize,
    /// How long a ticket lasts that names no lease, in microseconds.
    pub lease: u64,
    /// Connections at once.
    pub connections: usize,
}

/// How a gateway reaches the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorSettings {
    /// Addresses of the replicas.
    pub addresses: Vec<SocketAddr>,
    /// This gateway's name in the fleet.
    pub name: String,
    /// Where it stands, as access rules name it.
    pub region: String,
    /// The metadata in which a trusted front tells the caller's region.
    pub region_metadata: Option<http::HeaderName>,
    /// A table of prefixes and regions.
    pub regions: Option<PathBuf>,
    /// The cache file of the shared state.
    pub state: Option<PathBuf>,
    /// Between reports, in microseconds.
    pub report_interval: u64,
    /// Whether it may lead elections.
    pub is_candidate: bool,
    /// The metadata in which a caller tells the version that it speaks.
    pub version_metadata: http::HeaderName,
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What the decisions take.
    pub policy: api::Settings,
    /// Where calls come in.
    pub listen: SocketAddr,
    /// Where health and metrics are served.
    pub admin: Option<SocketAddr>,
    /// Names of classes and plans, in their order.
    pub class_names: Vec<String>,
    /// See `class_names`.
    pub plan_names: Vec<String>,
    /// For each class the place of the one that its calls without a key belong to: they count as unsafe.
    pub unkeyed: Vec<usize>,
    /// Routes; the first match wins.
    pub routes: Vec<Route>,
    /// The metadata that names the customer.
    pub customer_metadata: http::HeaderName,
    /// Place of the plan of customers that are not listed.
    pub default_plan: Option<usize>,
    /// Plans of listed customers.
    pub plan_of: HashMap<String, usize>,
    /// Through how many gateways a customer's calls come.
    pub spread: u32,
    /// The second front; none: gRPC only.
    pub resp: Option<RespSettings>,
    /// The fair queue; none: requests go to the decisions as they come.
    pub door: Option<chalkdeck_admission_queue::Settings>,
    /// Zones are watched as sites, and what they cannot bear is refused by worth.
    pub sites: bool,
    /// See `sites`.
    pub site_floor: bool,
    /// Where an operator's words on sites are kept; none: nowhere.
    pub site_words: Option<PathBuf>,
    /// How the coordinator is reached; `None`: there is none.
    pub coordinator: Option<CoordinatorSettings>,
    /// The name of the own zone.
    pub zone_name: String,
    /// The counter's parts, in the order that all gateways have; none: there is no counter.
    pub counter: Vec<SocketAddr>,
    /// The file with the server list.
    pub endpoints: PathBuf,
    /// How often it is looked at, in microseconds.
    pub poll: u64,
    /// A connection not made by then has failed, in microseconds.
    pub connect_timeout: u64,
    /// Connections to one server.
    pub server_connections: usize,
    /// Calls on one of them.
    pub server_streams: u32,
    /// How often a connection to a server is pinged, in microseconds.
    pub keepalive: u64,
    /// Bytes of a request kept for a repeat, and of a unary answer kept back.
    pub keep_bytes: usize,
    /// Bounds of the clients' side.
    pub front: Limits,
    /// Log level and form.
    pub log_level: String,
    /// Logs as JSON lines.
    pub log_json: bool,
}
