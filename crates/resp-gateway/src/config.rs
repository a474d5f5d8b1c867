//! The configuration of a gateway on the users' platform: a JSON file whose path is given by an environment variable. Its settings have
//! the names that the simulator's wire format defines and are parsed by the simulator adapter.

mod error;
mod setting_paths;

pub use error::{ConfigError, ConfigErrorKind};

use crate::endpoint_list::{self, EndpointList};
use chalkdeck::api::Settings;
use chalkdeck_simulator_adapter::settings::{self, NamedSettings};
use chalkdeck_time::TimeDelta;
use serde::Deserialize;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The environment variable that gives the path of the configuration file.
pub const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// The maximum size of the file.
const MAX_FILE_BYTES: u64 = 16 << 20;
/// The defaults of the resource limits.
const DEFAULT_MEMORY_MB: f64 = 192.0;
const DEFAULT_SOCKETS: usize = 1_024;
/// The defaults of optional durations in the settings.
const DEFAULT_DIAL_TIMEOUT: TimeDelta = TimeDelta::from_millis(250);
const DEFAULT_DRAIN_GRACE: TimeDelta = TimeDelta::from_secs(2);

/// The resources that the platform grants a gateway.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct ResourceLimits {
    /// Memory in MB; the platform kills a gateway that exceeds it.
    pub memory_mb: f64,
    /// The number of file descriptors.
    pub sockets: usize,
}

impl Default for ResourceLimits {
    fn default() -> ResourceLimits {
        ResourceLimits {
            memory_mb: DEFAULT_MEMORY_MB,
            sockets: DEFAULT_SOCKETS,
        }
    }
}

/// The content of the configuration file.
#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    listen: String,
    discovery: String,
    counter: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: ResourceLimits,
    #[serde(rename = "known")]
    initial_endpoints: Option<Value>,
    settings: Value,
}

/// A valid configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The file that the configuration is loaded and reloaded from.
    pub file: PathBuf,
    /// The gateway's name.
    pub name: String,
    /// The address that the gateway listens at for clients.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The address of the counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// The seed of the decision engine's random numbers.
    pub seed: u64,
    /// The resources that the platform grants.
    pub limits: ResourceLimits,
    /// The endpoint list to start with, as this gateway last held it; `None` if the file states none or an invalid one.
    pub initial_endpoints: Option<EndpointList>,
    /// The settings of the decision engine, and the names in them.
    pub named_settings: NamedSettings,
    /// The time within which a connection to an endpoint or the counter must be established.
    pub dial_timeout: TimeDelta,
    /// The idle time after which endpoints close a connection; `None` if they never do.
    pub endpoint_idle_timeout: Option<TimeDelta>,
    /// The time within which a published drain must take effect.
    pub drain_grace: TimeDelta,
}

impl Config {
    /// Loads the file that the environment variable `ROUTER_CONFIG` names.
    ///
    /// # Errors
    /// The variable is not set, or [`Config::load`] fails.
    pub fn from_env() -> Result<Config, ConfigError> {
        match std::env::var_os(CONFIG_VARIABLE) {
            Some(file) if !file.is_empty() => Config::load(Path::new(&file)),
            _ => Err(ConfigError {
                location: CONFIG_VARIABLE.into(),
                kind: ConfigErrorKind::Variable,
            }),
        }
    }

    /// Loads a configuration file.
    ///
    /// # Errors
    /// The file cannot be read or is invalid: the error names the field, what was expected and what was found.
    pub fn load(file: &Path) -> Result<Config, ConfigError> {
        Config::read(file).map_err(|kind| ConfigError {
            location: file.display().to_string(),
            kind,
        })
    }

    fn read(file: &Path) -> Result<Config, ConfigErrorKind> {
        let size = std::fs::metadata(file)?.len();
        if size > MAX_FILE_BYTES {
            return Err(ConfigErrorKind::TooLong {
                found: size,
                max: MAX_FILE_BYTES,
            });
        }
        Config::parse(file, &std::fs::read(file)?)
    }

    fn parse(file: &Path, text: &[u8]) -> Result<Config, ConfigErrorKind> {
        let content: ConfigFile = serde_json::from_slice(text)?;
        let values_by_path = setting_paths::flatten(&content.settings);
        let mut named_settings = settings::parse_values_by_path(&values_by_path)?;
        named_settings.settings.check()?;
        let initial_endpoints = parse_initial_endpoints(&content, &mut named_settings);
        let counter = content.counter.as_deref();
        let endpoint_idle_timeout =
            parse_duration(&values_by_path, "bounds.conn_idle", TimeDelta::ZERO);
        Ok(Config {
            file: file.to_path_buf(),
            listen: parse_address("listen", &content.listen)?,
            discovery: parse_address("discovery", &content.discovery)?,
            counter: counter
                .map(|text| parse_address("counter", text))
                .transpose()?,
            seed: parse_seed(&content.seed)?,
            limits: content.limits,
            initial_endpoints,
            dial_timeout: parse_duration(
                &values_by_path,
                "bounds.dial_timeout",
                DEFAULT_DIAL_TIMEOUT,
            )?,
            endpoint_idle_timeout: Some(endpoint_idle_timeout?).filter(|time| !time.is_zero()),
            drain_grace: parse_duration(
                &values_by_path,
                "rules.stop_sending_within",
                DEFAULT_DRAIN_GRACE,
            )?,
            named_settings,
            name: content.name,
        })
    }

    /// The settings of the decision engine.
    pub fn settings(&self) -> &Settings {
        &self.named_settings.settings
    }
}

/// Parses the endpoint list to start with. An invalid list does not prevent the start, as discovery provides a valid one.
fn parse_initial_endpoints(
    content: &ConfigFile,
    names: &mut NamedSettings,
) -> Option<EndpointList> {
    let list = content.initial_endpoints.as_ref()?;
    match endpoint_list::parse(list, &mut names.zone_numbers) {
        Ok(list) => Some(list),
        Err(error) => {
            tracing::warn!(%error, "initial endpoint list not readable: starting without endpoints");
            None
        }
    }
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, ConfigErrorKind> {
    text.parse().map_err(|_| ConfigErrorKind::Address {
        field,
        found: text.to_string(),
    })
}

/// Parses a seed in hexadecimal. An empty text means zero.
fn parse_seed(text: &str) -> Result<u64, ConfigErrorKind> {
    if text.is_empty() {
        return Ok(0);
    }
    u64::from_str_radix(text, 16).map_err(|_| ConfigErrorKind::Seed(text.to_string()))
}

fn parse_duration(
    values_by_path: &HashMap<String, String>,
    path: &'static str,
    default: TimeDelta,
) -> Result<TimeDelta, ConfigErrorKind> {
    let Some(text) = values_by_path.get(path) else {
        return Ok(default);
    };
    match text.parse() {
        Ok(micros) => Ok(TimeDelta::from_micros(micros)),
        Err(_) => Err(ConfigErrorKind::Time {
            path,
            found: text.clone(),
        }),
    }
}

#[cfg(test)]
mod tests;
