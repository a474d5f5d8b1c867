//! Settings of the counter, read from a file in protobuf text format.

use crate::state::Limits;
use crate::writer::SyncPolicy;
use chalkdeck_proto::chalkdeck::counter::v1 as wire;
use chalkdeck_proto::text::{self, TextError};
use chalkdeck_time::TimeDelta;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Full name of the protobuf message of the settings.
const MESSAGE_NAME: &str = "chalkdeck.counter.v1.Settings";
/// Default of [`Settings::pending_capacity`].
const DEFAULT_PENDING_CAPACITY: usize = 65_536;
/// Default of [`Settings::snapshot_threshold_bytes`].
const DEFAULT_SNAPSHOT_THRESHOLD_BYTES: u64 = 64 << 20;

/// A settings file that cannot be used.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{file}: {problem}")]
pub struct SettingsError {
    file: String,
    #[diagnostic_source]
    problem: SettingsProblem,
}

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SettingsProblem {
    /// The file cannot be read.
    #[error("{0}")]
    #[diagnostic(
        code(chalkdeck::counter::settings_file),
        help("see the path, and whether it may be read")
    )]
    Unreadable(io::Error),
    /// The text is not a valid message of settings.
    #[error("{0}")]
    #[diagnostic(
        code(chalkdeck::counter::settings_form),
        help("see the named line; docs/counter.md shows each field")
    )]
    Malformed(TextError),
    /// There is no partition.
    #[error("listen: expected at least one ip:port")]
    #[diagnostic(
        code(chalkdeck::counter::parts),
        help("give one `listen` for each part")
    )]
    NoPartitions,
    /// The number of admin addresses differs from the number of partitions.
    #[error("admin: expected {expected} of them, one for each part, or none; found {found}")]
    #[diagnostic(
        code(chalkdeck::counter::admin),
        help("give one `admin` for each `listen`, in the same order, or leave all out")
    )]
    AdminCount {
        /// Number of partitions.
        expected: usize,
        /// Number of admin addresses.
        found: usize,
    },
    /// A folder is set although the state is in memory only, or no folder is set for the log.
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
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        found: String,
    },
}

/// Settings of one partition of the counter.
#[derive(Clone, Debug)]
pub struct PartitionSettings {
    /// Address of the gRPC service.
    pub grpc_address: SocketAddr,
    /// Address of the admin port.
    pub admin_address: Option<SocketAddr>,
    /// Folder of the log and the snapshots; `None` if the state is in memory only.
    pub folder: Option<PathBuf>,
}

/// Settings of the counter process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The partitions, at least one.
    pub partitions: Vec<PartitionSettings>,
    /// When the log of a partition is synced.
    pub sync_policy: SyncPolicy,
    /// Limits of the state of each partition.
    pub limits: Limits,
    /// Maximum number of increments that wait for a batch at one partition.
    pub pending_capacity: usize,
    /// Bytes of log after which the next snapshot of a partition is written.
    pub snapshot_threshold_bytes: u64,
}

impl Settings {
    /// Loads a settings file. A relative `folder` is resolved against the folder of the file.
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

    /// Parses settings. A relative `folder` is resolved against `base`.
    pub fn parse(source: &str, base: &Path) -> Result<Settings, SettingsProblem> {
        let wire: wire::Settings =
            text::parse(MESSAGE_NAME, source).map_err(SettingsProblem::Malformed)?;
        check_consistency(&wire)?;
        Ok(Settings {
            partitions: partitions(&wire, base)?,
            sync_policy: sync_policy(wire.promise()),
            limits: limits(&wire),
            pending_capacity: count_or_default(wire.waiting, DEFAULT_PENDING_CAPACITY),
            snapshot_threshold_bytes: match wire.snapshot_bytes {
                0 => DEFAULT_SNAPSHOT_THRESHOLD_BYTES,
                bytes => bytes,
            },
        })
    }
}

fn check_consistency(wire: &wire::Settings) -> Result<(), SettingsProblem> {
    if wire.listen.is_empty() {
        return Err(SettingsProblem::NoPartitions);
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

fn partitions(
    wire: &wire::Settings,
    base: &Path,
) -> Result<Vec<PartitionSettings>, SettingsProblem> {
    let has_log = wire.promise() != wire::Promise::Memory;
    let mut partitions = Vec::new();
    for (index, listen) in wire.listen.iter().enumerate() {
        let admin = wire.admin.get(index);
        let admin_address = admin.map(|text| address("admin", text)).transpose()?;
        let folder = base.join(&wire.folder).join(format!("part-{index}"));
        partitions.push(PartitionSettings {
            grpc_address: address("listen", listen)?,
            admin_address,
            folder: has_log.then_some(folder),
        });
    }
    Ok(partitions)
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
        names: count_or_default(wire.names, default.names),
        callers: count_or_default(wire.callers, default.callers),
        increments_per_caller: count_or_default(wire.remembered, default.increments_per_caller),
        horizon: match wire.horizon_ms {
            0 => default.horizon,
            millis => TimeDelta::from_millis(u64::from(millis)),
        },
    }
}

/// The value of a field, or the default if the field is 0.
fn count_or_default(number: u32, default: usize) -> usize {
    match number {
        0 => default,
        count => count as usize,
    }
}

#[cfg(test)]
mod tests;
