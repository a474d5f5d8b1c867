//! Settings of the counter, read from protobuf text.

use crate::state::Limits;
use crate::writer::SyncPolicy;
use chalkdeck_proto::chalkdeck::counter::v1 as wire;
use chalkdeck_proto::text::{self, TextError};
use chalkdeck_time::TimeDelta;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Full name of the settings' message.
const MESSAGE: &str = "chalkdeck.counter.v1.Settings";
/// Increments that may wait at a part, unless set.
const DEFAULT_PENDING_CAPACITY: usize = 65_536;
/// Bytes of log after which a snapshot is written, unless set.
const DEFAULT_SNAPSHOT_INTERVAL: u64 = 64 << 20;

/// Settings that cannot be used.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{file}: {problem}")]
pub struct SettingsError {
    file: String,
    #[diagnostic_source]
    problem: SettingsProblem,
}

/// What is wrong with settings.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SettingsProblem {
    /// The file cannot be read.
    #[error("{0}")]
    #[diagnostic(
        code(chalkdeck::counter::settings_file),
        help("see the path, and whether it may be read")
    )]
    Unreadable(io::Error),
    /// The text is not a message of settings.
    #[error("{0}")]
    #[diagnostic(
        code(chalkdeck::counter::settings_form),
        help("see the named line; docs/counter.md shows each field")
    )]
    Malformed(TextError),
    /// There is no part.
    #[error("listen: expected at least one ip:port")]
    #[diagnostic(
        code(chalkdeck::counter::parts),
        help("give one `listen` for each part")
    )]
    NoParts,
    /// The number of admin addresses is not the number of parts.
    #[error("admin: expected {expected} of them, one for each part, or none; found {found}")]
    #[diagnostic(
        code(chalkdeck::counter::admin),
        help("give one `admin` for each `listen`, in the same order, or leave all out")
    )]
    AdminCount {
        /// Number of parts.
        expected: usize,
        /// Number of admin addresses.
        found: usize,
    },
    /// A folder is given without a log, or a log without a folder.
    #[error("folder: expected one, or promise: MEMORY without one")]
    #[diagnostic(
        code(chalkdeck::counter::log_folder),
        help("`promise: MEMORY` keeps nothing on the disk; every other promise needs a folder")
    )]
    Folder,
    /// An address cannot be parsed.
    #[error("{field}: expected ip:port, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::counter::address),
        help("give an address and a port, not a name: there is no DNS here")
    )]
    Address {
        /// The field.
        field: &'static str,
        /// Its text.
        found: String,
    },
}

/// One part of the counter.
#[derive(Clone, Debug)]
pub struct PartSettings {
    /// Address of the gRPC service.
    pub grpc_address: SocketAddr,
    /// Address of the admin port.
    pub admin_address: Option<SocketAddr>,
    /// Folder of log and snapshots; `None`: the state is in memory only.
    pub folder: Option<PathBuf>,
}

/// All settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The parts, at least one.
    pub parts: Vec<PartSettings>,
    /// When the log of a part that has a folder is synced.
    pub sync_policy: SyncPolicy,
    /// Limits of each part's state.
    pub limits: Limits,
    /// Increments that may wait at a part.
    pub pending_capacity: usize,
    /// Bytes of log after which a snapshot is written.
    pub snapshot_interval: u64,
}

impl Settings {
    /// Reads a file; folders are relative to its folder.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let in_file = |problem| SettingsError {
            file: path.display().to_string(),
            problem,
        };
        let source = std::fs::read_to_string(path)
            .map_err(|error| in_file(SettingsProblem::Unreadable(error)))?;
        let base = path.parent().unwrap_or(Path::new("."));
        Settings::parse(&source, base).map_err(in_file)
    }

    /// Parses a text; folders are relative to `base`.
    pub fn parse(source: &str, base: &Path) -> Result<Settings, SettingsProblem> {
        let wire: wire::Settings =
            text::parse(MESSAGE, source).map_err(SettingsProblem::Malformed)?;
        check_consistency(&wire)?;
        Ok(Settings {
            parts: parts(&wire, base)?,
            sync_policy: sync_policy(wire.promise()),
            limits: limits(&wire),
            pending_capacity: count_or(wire.waiting, DEFAULT_PENDING_CAPACITY),
            snapshot_interval: match wire.snapshot_bytes {
                0 => DEFAULT_SNAPSHOT_INTERVAL,
                bytes => bytes,
            },
        })
    }
}

fn check_consistency(wire: &wire::Settings) -> Result<(), SettingsProblem> {
    if wire.listen.is_empty() {
        return Err(SettingsProblem::NoParts);
    }
    if !wire.admin.is_empty() && wire.admin.len() != wire.listen.len() {
        return Err(SettingsProblem::AdminCount {
            expected: wire.listen.len(),
            found: wire.admin.len(),
        });
    }
    let needs_folder = wire.promise() != wire::Promise::Memory;
    if needs_folder == wire.folder.is_empty() {
        return Err(SettingsProblem::Folder);
    }
    Ok(())
}

fn parts(wire: &wire::Settings, base: &Path) -> Result<Vec<PartSettings>, SettingsProblem> {
    let has_log = wire.promise() != wire::Promise::Memory;
    let mut parts = Vec::new();
    for (index, listen) in wire.listen.iter().enumerate() {
        let admin = wire.admin.get(index);
        let admin_address = admin.map(|text| address("admin", text)).transpose()?;
        let folder = base.join(&wire.folder).join(format!("part-{index}"));
        parts.push(PartSettings {
            grpc_address: address("listen", listen)?,
            admin_address,
            folder: has_log.then_some(folder),
        });
    }
    Ok(parts)
}

fn address(field: &'static str, text: &str) -> Result<SocketAddr, SettingsProblem> {
    text.parse().map_err(|_| SettingsProblem::Address {
        field,
        found: text.to_owned(),
    })
}

fn sync_policy(promise: wire::Promise) -> SyncPolicy {
    match promise {
        wire::Promise::Write => SyncPolicy::Periodic,
        _ => SyncPolicy::EveryBatch,
    }
}

fn limits(wire: &wire::Settings) -> Limits {
    let default = Limits::default();
    Limits {
        names: count_or(wire.names, default.names),
        callers: count_or(wire.callers, default.callers),
        remembered: count_or(wire.remembered, default.remembered),
        horizon: match wire.horizon_ms {
            0 => default.horizon,
            millis => TimeDelta::from_millis(u64::from(millis)),
        },
    }
}

/// A number that stands for a default if it is 0.
fn count_or(number: u32, default: usize) -> usize {
    match number {
        0 => default,
        count => count as usize,
    }
}

#[cfg(test)]
mod tests;
