//! Errors of the configuration.

use chalkdeck::api::SettingsError;
use chalkdeck_simulator_adapter::WireError;

/// What is wrong with a configuration, and where.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{location}: {kind}")]
pub struct ConfigError {
    /// The environment variable or the file.
    pub location: String,
    /// What was expected and what was found.
    #[diagnostic_source]
    pub kind: ConfigErrorKind,
}

/// What is wrong with a configuration.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ConfigErrorKind {
    /// The environment variable is not set.
    #[error("expected the path of the configuration")]
    #[diagnostic(
        code(chalkdeck::config::variable),
        help("set ROUTER_CONFIG to the path of the gateway's JSON file")
    )]
    Variable,
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    #[diagnostic(
        code(chalkdeck::config::read),
        help("see that the file is there and that this user may read it")
    )]
    Read(#[from] std::io::Error),
    /// The file exceeds the maximum size.
    #[error("expected at most {max} bytes, found {found}")]
    #[diagnostic(
        code(chalkdeck::config::too_long),
        help("see whether it is the right file")
    )]
    TooLong {
        /// Its size in bytes.
        found: u64,
        /// The maximum size in bytes.
        max: u64,
    },
    /// The file is not JSON of the expected form.
    #[error("expected a configuration: {0}")]
    #[diagnostic(
        code(chalkdeck::config::shape),
        help("the file is JSON with at least `listen`, `discovery` and `settings`; after SIGHUP the earlier one stays in force")
    )]
    Shape(#[from] serde_json::Error),
    /// An address that is not `ip:port`.
    #[error("{field}: expected ip:port, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::config::address),
        help("give an address and a port, not a name: there is no DNS here")
    )]
    Address {
        /// The field of the file.
        field: &'static str,
        /// The address that was found.
        found: String,
    },
    /// A seed that is not a hexadecimal number.
    #[error("seed: expected hex digits, found '{0}'")]
    #[diagnostic(
        code(chalkdeck::config::seed),
        help("give at most 16 hex digits, new with each start")
    )]
    Seed(String),
    /// A setting that cannot be parsed.
    #[error(transparent)]
    #[diagnostic(
        code(chalkdeck::config::setting),
        help(
            "the place named is a path below `settings`; times are whole numbers of microseconds"
        )
    )]
    Setting(#[from] WireError),
    /// A duration that cannot be parsed.
    #[error("settings: {path}: expected a whole number of microseconds, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::config::time),
        help("times are whole numbers of microseconds")
    )]
    Time {
        /// The path of the setting.
        path: &'static str,
        /// The text that was found.
        found: String,
    },
    /// Settings that contradict each other.
    #[error("settings: {0}")]
    #[diagnostic(
        code(chalkdeck::config::settings),
        help("what is named goes against another setting or against sense: see what the platform tells its gateways")
    )]
    Settings(#[from] SettingsError),
}
