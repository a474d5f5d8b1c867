//! What the platform tells a gateway: variables and one JSON file. The settings go through the drill's own reader.

use crate::list::{self, List};
use chalkdeck::api::{Settings, SettingsError};
use chalkdeck_simulator_adapter::fields::WireError;
use chalkdeck_simulator_adapter::settings::{self, Read};
use serde::Deserialize;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The variable that names the file.
pub const FILE: &str = "ROUTER_CONFIG";
/// The longest file that is read.
const MOST_BYTES: u64 = 16 << 20;

/// What is wrong with a configuration, and where.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{place}: {what}")]
pub struct ConfigError {
    /// The variable or the file.
    pub place: String,
    /// What was found there and what was expected.
    #[diagnostic_source]
    pub what: Fault,
}

/// What is wrong with a configuration.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Fault {
    /// The variable is not there.
    #[error("expected the path of the configuration")]
    #[diagnostic(
        code(chalkdeck::config::variable),
        help("set ROUTER_CONFIG to the path of the gateway's JSON file")
    )]
    Variable,
    /// The file is not given by the system.
    #[error("cannot be read: {0}")]
    #[diagnostic(
        code(chalkdeck::config::read),
        help("see that the file is there and that this user may read it")
    )]
    Read(#[from] std::io::Error),
    /// The file is too long.
    #[error("expected at most {MOST_BYTES} bytes, found {0}")]
    #[diagnostic(
        code(chalkdeck::config::too_long),
        help("see whether it is the right file")
    )]
    TooLong(u64),
    /// Not the form of a configuration.
    #[error("expected a configuration: {0}")]
    #[diagnostic(
        code(chalkdeck::config::shape),
        help("the file is JSON with at least `listen`, `discovery` and `settings`; after SIGHUP the earlier one stays in force")
    )]
    Shape(#[from] serde_json::Error),
    /// An address that cannot be read.
    #[error("{field}: expected ip:port, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::config::address),
        help("give an address and a port, not a name: there is no DNS here")
    )]
    Address {
        /// Its field.
        field: &'static str,
        /// What stood there.
        found: String,
    },
    /// A seed that cannot be read.
    #[error("seed: expected hex digits, found '{0}'")]
    #[diagnostic(
        code(chalkdeck::config::seed),
        help("give at most 16 hex digits, new with each start")
    )]
    Seed(String),
    /// A setting that cannot be read.
    #[error(transparent)]
    #[diagnostic(
        code(chalkdeck::config::setting),
        help(
            "the place named is a path below `settings`; times are whole numbers of microseconds"
        )
    )]
    Setting(#[from] WireError),
    /// A time that cannot be read.
    #[error("settings: {path}: expected a whole number of microseconds, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::config::time),
        help("times are whole numbers of microseconds")
    )]
    Time {
        /// Its path.
        path: &'static str,
        /// What stood there.
        found: String,
    },
    /// Settings that make no sense together.
    #[error("settings: {0}")]
    #[diagnostic(
        code(chalkdeck::config::settings),
        help("what is named goes against another setting or against sense: see what the platform tells its gateways")
    )]
    Settings(#[from] SettingsError),
}

/// What the platform grants a gateway.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Memory in MB; beyond, the gateway is killed.
    #[serde(default = "default_memory")]
    pub memory_mb: f64,
    /// File descriptors.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
}

fn default_memory() -> f64 {
    192.0
}
fn default_sockets() -> usize {
    1024
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            memory_mb: default_memory(),
            sockets: default_sockets(),
        }
    }
}

/// The file as it stands.
#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: String,
    discovery: String,
    counter: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Value>,
    settings: Value,
}

/// A checked configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where it was read, and where it is read again.
    pub file: PathBuf,
    /// The gateway's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where the counter answers; none: there is none.
    pub counter: Option<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
    /// What the platform grants.
    pub limits: Limits,
    /// The backends as this gateway last had them; none: the list could not be read.
    pub known: Option<List>,
    /// What the decisions take, and the names in it.
    pub read: Read,
    /// A connection to a backend or the counter not made by then has failed, in microseconds.
    pub dial_timeout: u64,
    /// A backend closes a connection that was idle for so long, in microseconds; 0: never.
    pub idle: u64,
    /// A drain has to be heard and followed within this after it was told, in microseconds.
    pub grace: u64,
}

impl Config {
    /// Reads the file that the environment names. Errors: the variable is missing; see `load`.
    pub fn from_env() -> Result<Config, ConfigError> {
        match std::env::var_os(FILE) {
            Some(file) if !file.is_empty() => Config::load(Path::new(&file)),
            _ => Err(ConfigError {
                place: FILE.into(),
                what: Fault::Variable,
            }),
        }
    }

    /// Reads a file. Errors name the field, what was expected and what was found.
    pub fn load(file: &Path) -> Result<Config, ConfigError> {
        Config::read(file).map_err(|what| ConfigError {
            place: file.display().to_string(),
            what,
        })
    }

    fn read(file: &Path) -> Result<Config, Fault> {
        let size = std::fs::metadata(file)?.len();
        if size > MOST_BYTES {
            return Err(Fault::TooLong(size));
        }
        Config::parse(file, &std::fs::read(file)?)
    }

    fn parse(file: &Path, text: &[u8]) -> Result<Config, Fault> {
        let told: File = serde_json::from_slice(text)?;
        let paths = flatten(&told.settings);
        let mut read = settings::read_paths(&paths)?;
        read.settings.check()?;
        let micros = |path: &'static str, default: u64| match paths.get(path) {
            None => Ok(default),
            Some(text) => text.parse::<u64>().map_err(|_| Fault::Time {
                path,
                found: text.clone(),
            }),
        };
        let known = told
            .known
            .as_ref()
            .map(|k| list::read(k, &mut read.zones))
            .transpose();
        if let Err(e) = &known {
            tracing::warn!("known: {e}: starts with no list");
        }
        Ok(Config {
            file: file.to_path_buf(),
            name: told.name,
            listen: address("listen", &told.listen)?,
            discovery: address("discovery", &told.discovery)?,
            counter: told
                .counter
                .as_deref()
                .map(|a| address("counter", a))
                .transpose()?,
            seed: seed(&told.seed)?,
            limits: told.limits,
            known: known.unwrap_or_default(),
            dial_timeout: micros("bounds.dial_timeout", 250_000)?,
            idle: micros("bounds.conn_idle", 0)?,
            grace: micros("rules.stop_sending_within", 2_000_000)?,
            read,
        })
    }

    /// What the decisions take.
    pub fn settings(&self) -> &Settings {
        &self.read.settings
    }
}

fn address(field: &'static str, text: &str) -> Result<SocketAddr, Fault> {
    text.parse().map_err(|_| Fault::Address {
        field,
        found: text.to_string(),
    })
}

fn seed(text: &str) -> Result<u64, Fault> {
    match text {
        "" => Ok(0),
        text => u64::from_str_radix(text, 16).map_err(|_| Fault::Seed(text.to_string())),
    }
}

/// Nested JSON as the paths that the drill's wire has: a list of objects puts its length under `.count`, plain lists are joined
/// with commas, and spaces and commas inside a text turn into `_`.
fn flatten(settings: &Value) -> HashMap<String, String> {
    let mut paths = HashMap::new();
    put(&mut paths, String::new(), settings);
    paths
}

fn put(paths: &mut HashMap<String, String>, path: String, value: &Value) {
    let below = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(name, v)| put(paths, below(name), v)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            paths.insert(below("count"), items.len().to_string());
            items
                .iter()
                .enumerate()
                .for_each(|(i, v)| put(paths, below(&i.to_string()), v));
        }
        Value::Array(items) => {
            paths.insert(
                path,
                items.iter().filter_map(plain).collect::<Vec<_>>().join(","),
            );
        }
        value => paths.extend(plain(value).map(|text| (path, text))),
    }
}

fn plain(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.replace([' ', ','], "_")),
        Value::Number(n) => Some(n.to_string()),
        Value::Bool(b) => Some(b.to_string()),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
