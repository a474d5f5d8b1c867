//! Why a gateway does not start, or does not apply an operator's override.

use chalkdeck_access::RegionError;
use chalkdeck_coordinator::cache_file::CacheFileError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a gateway does not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// The system gives no poll handle.
    #[error("poll: {0}")]
    #[diagnostic(
        code(chalkdeck::gateway::poll),
        help("see the limit of descriptors (ulimit -n)")
    )]
    Poll(io::Error),
    /// An address cannot be listened at.
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
        /// What the system says.
        source: io::Error,
    },
    /// The decisions do not take the settings.
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

/// Why the operators' overrides of sites can't be read or persisted.
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
        /// What the system says.
        source: io::Error,
    },
    /// The file can't be parsed.
    #[error("{}:{line}: {what}", file.display())]
    #[diagnostic(
        code(chalkdeck::gateway::words_form),
        help("put it right, or remove it if no site is to be kept out: a gateway does not start on a word it cannot read")
    )]
    Form {
        /// Its path.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What was expected there.
        what: String,
    },
    /// Too many sites.
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
    /// Sites are not watched by the settings.
    #[error("sites are not watched: settings have no 'sites {{ on: true }}'")]
    #[diagnostic(
        code(chalkdeck::gateway::sites_off),
        help("say it to gateways that watch sites")
    )]
    Off,
    /// No such override.
    #[error("expected drain, hold or let-back, found '{0}'")]
    #[diagnostic(
        code(chalkdeck::gateway::site_word),
        help("see docs/site-loss.md for what each does")
    )]
    UnknownOverride(String),
    /// No such site.
    #[error("expected one of {known}, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::gateway::site_name),
        help("sites are named as the server list names its zones")
    )]
    UnknownSite {
        /// Sites that the list names.
        known: String,
        /// What was asked for.
        found: String,
    },
    /// No such path.
    #[error("expected /sites or /sites/WORD/NAME")]
    #[diagnostic(
        code(chalkdeck::gateway::sites_path),
        help("`chalkdeck site` says it rightly")
    )]
    Path,
    /// It could not be persisted, so it is not applied.
    #[error("the word could not be kept: {0}")]
    #[diagnostic(
        code(chalkdeck::gateway::word_kept),
        help("nothing was changed; see the file of sites.words_file")
    )]
    NotPersisted(#[from] SiteOverridesError),
}

/// Why the gateway can't take part in the shared state.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum CoordinatorError {
    /// See [`CacheFileError`].
    #[error(transparent)]
    #[diagnostic(transparent)]
    CacheFile(#[from] CacheFileError),
    /// The table of regions is not read.
    #[error("{}: {source}", file.display())]
    #[diagnostic(
        code(chalkdeck::gateway::regions_file),
        help("see keepers.regions_file in the settings, and whether it may be read")
    )]
    RegionsFile {
        /// Its path.
        file: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The table of regions is not sound.
    #[error("{}: {source}", file.display())]
    #[diagnostic(
        code(chalkdeck::gateway::regions),
        help("one prefix and one region a line; the line is named")
    )]
    Regions {
        /// Its path.
        file: PathBuf,
        /// What is wrong there.
        source: RegionError,
    },
}
