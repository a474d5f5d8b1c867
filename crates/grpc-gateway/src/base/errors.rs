//! Errors at the start of a gateway, in site overrides and in requests about sites.

use chalkdeck_access::RegionError;
use chalkdeck_coordinator::cache_file::CacheFileError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a gateway does not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// The operating system provides no poll handle.
    #[error("poll: {0}")]
    #[diagnostic(
        code(chalkdeck::gateway::poll),
        help("see the limit of descriptors (ulimit -n)")
    )]
    Poll(io::Error),
    /// The gateway cannot listen at an address.
    #[error("cannot listen at {address}: {source}")]
    #[diagnostic(
        code(chalkdeck::gateway::listen),
        help(
            "see whether another process listens there, and whether the address is this machine's"
        )
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings violate a bound of the decision engine.
    #[error("{0}")]
    #[diagnostic(
        code(chalkdeck::gateway::decisions),
        help("the field is named; docs/operate.md has its bounds")
    )]
    Decisions(#[from] chalkdeck::api::SettingsError),
    /// See [`SiteOverridesError`].
    #[error(transparent)]
    #[diagnostic(transparent)]
    SiteOverrides(#[from] SiteOverridesError),
    /// See [`CoordinatorError`].
    #[error(transparent)]
    #[diagnostic(transparent)]
    Coordinator(#[from] CoordinatorError),
}

/// Why the operators' site overrides can't be read or persisted.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SiteOverridesError {
    /// The file can't be read or written.
    #[error("{}: {source}", file.display())]
    #[diagnostic(
        code(chalkdeck::gateway::words_file),
        help("see sites.words_file in the settings, the folder's rights and the disk's room")
    )]
    File {
        /// Its path.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file can't be parsed.
    #[error("{}:{line}: {what}", file.display())]
    #[diagnostic(
        code(chalkdeck::gateway::words_form),
        help("put it right, or remove it if no site is to be kept out: a gateway does not start on a word it cannot read")
    )]
    Malformed {
        /// Its path.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What was expected there.
        what: String,
    },
    /// The override would take more sites out of service than allowed.
    #[error("expected at most {0} sites kept out")]
    #[diagnostic(
        code(chalkdeck::gateway::words_most),
        help("let back sites that are gone")
    )]
    TooMany(usize),
}

/// Why a request about sites is rejected.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SiteRequestError {
    /// Site failover is not enabled in the settings.
    #[error("sites are not watched: settings have no 'sites {{ on: true }}'")]
    #[diagnostic(
        code(chalkdeck::gateway::sites_off),
        help("say it to gateways that watch sites")
    )]
    NotEnabled,
    /// There is no override of this name.
    #[error("expected drain, hold or let-back, found '{0}'")]
    #[diagnostic(
        code(chalkdeck::gateway::site_word),
        help("see docs/site-loss.md for what each does")
    )]
    UnknownOverride(String),
    /// The endpoint list has no site of this name.
    #[error("expected one of {known}, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::gateway::site_name),
        help("sites are named as the server list names its zones")
    )]
    UnknownSite {
        /// The sites of the endpoint list.
        known: String,
        /// The requested name.
        found: String,
    },
    /// The path is not one of the admin port's site paths.
    #[error("expected /sites or /sites/WORD/NAME")]
    #[diagnostic(
        code(chalkdeck::gateway::sites_path),
        help("`chalkdeck site` says it rightly")
    )]
    UnknownPath,
    /// The override could not be persisted and is not applied.
    #[error("the word could not be kept: {0}")]
    #[diagnostic(
        code(chalkdeck::gateway::word_kept),
        help("nothing was changed; see the file of sites.words_file")
    )]
    NotPersisted(#[from] SiteOverridesError),
}

/// Why the gateway can't use the coordinator's shared state.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum CoordinatorError {
    /// See [`CacheFileError`].
    #[error(transparent)]
    #[diagnostic(transparent)]
    CacheFile(#[from] CacheFileError),
    /// The file with the table of regions can't be read.
    #[error("{}: {source}", file.display())]
    #[diagnostic(
        code(chalkdeck::gateway::regions_file),
        help("see keepers.regions_file in the settings, and whether it may be read")
    )]
    RegionsFile {
        /// Its path.
        file: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The table of regions is invalid.
    #[error("{}: {source}", file.display())]
    #[diagnostic(
        code(chalkdeck::gateway::regions),
        help("one prefix and one region a line; the line is named")
    )]
    Regions {
        /// Its path.
        file: PathBuf,
        /// What is invalid, and on which line.
        source: RegionError,
    },
}
