//! A replica's settings, in protobuf text format.

use crate::consensus::is_valid_replica_count;
use crate::ids::Slot;
use chalkdeck_leader_election::LeaseTerms;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_proto::text;
use chalkdeck_time::TimeDelta;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// The protobuf message whose text format is read.
const MESSAGE_NAME: &str = "chalkdeck.keeper.v1.Settings";

const DEFAULT_LEASE_MS: u64 = 6_000;
const DEFAULT_DRIFT_PPM: u32 = 10_000;
const DEFAULT_TICK_MS: u64 = 20;
const DEFAULT_MIN_MOVE_INTERVAL_MS: u64 = 30_000;
/// 30 days.
const DEFAULT_UNUSED_AFTER_MS: u64 = 30 * 24 * 3_600_000;
const DEFAULT_MAX_LOG_ENTRIES: u64 = 10_000;
const LEASE_MS_RANGE: RangeInclusive<u64> = 200..=600_000;
const MAX_DRIFT_PPM: u32 = 100_000;
/// Minimum number of consensus ticks per lease, because the replicas must elect a leader and decide renewals within one lease.
const MIN_TICKS_PER_LEASE: u64 = 20;

/// An error in a replica's settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum SettingsError {
    /// The settings file cannot be read.
    #[error("{file}: {why}")]
    #[diagnostic(
        code(chalkdeck::keeper::settings_file),
        help("see the path, and whether it may be read")
    )]
    File {
        /// Its path.
        file: String,
        /// The error of the operating system.
        why: String,
    },
    /// The text is not a `Settings` message in protobuf text format.
    #[error("{file}:{line}: {what}")]
    #[diagnostic(
        code(chalkdeck::keeper::settings_form),
        help("the fields are those of chalkdeck/keeper/v1/settings.proto")
    )]
    Form {
        /// Its path.
        file: String,
        /// The line number, from 1.
        line: usize,
        /// The problem in that line.
        what: String,
    },
    /// A field has an invalid value.
    #[error("{file}: {field}: expected {expected}, found {found}")]
    #[diagnostic(
        code(chalkdeck::keeper::settings_value),
        help("docs/coordinator.md has each field's meaning and bounds")
    )]
    Value {
        /// Its path.
        file: String,
        /// The field.
        field: &'static str,
        /// The valid values.
        expected: &'static str,
        /// The actual value.
        found: String,
    },
}

/// All settings of a replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The replica's slot in the address list.
    pub slot: Slot,
    /// The address that the gRPC server listens on.
    pub listen: SocketAddr,
    /// The address that health checks and metrics are served on.
    pub admin: Option<SocketAddr>,
    /// Addresses of all replicas, by slot.
    pub replicas: Vec<SocketAddr>,
    /// The folder of the replica's log.
    pub folder: PathBuf,
    /// Lease terms of the sessions.
    pub lease_terms: LeaseTerms,
    /// See [`crate::replica::ReplicaSettings::min_move_interval_ms`].
    pub min_move_interval_ms: u64,
    /// See [`crate::replica::ReplicaSettings::unused_after_ms`].
    pub unused_after_ms: u64,
    /// Time between ticks of the consensus.
    pub tick_interval: TimeDelta,
    /// Maximum number of log entries before the log is compacted into a new configuration.
    pub max_log_entries: usize,
    /// Elections in addition to the built-in ones.
    pub elections: Vec<String>,
}

impl Settings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    /// See [`SettingsError`]. The errors name the file, and the line or the field with the expected value.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let source = std::fs::read_to_string(path).map_err(|error| SettingsError::File {
            file: file.clone(),
            why: error.to_string(),
        })?;
        Settings::parse(&source, &file, path.parent().unwrap_or(Path::new(".")))
    }

    /// Parses settings from text. A relative path of the log's folder is resolved against `base`.
    ///
    /// # Errors
    /// See [`Settings::load`].
    pub fn parse(source: &str, file: &str, base: &Path) -> Result<Settings, SettingsError> {
        let wire: wire::Settings =
            text::parse(MESSAGE_NAME, source).map_err(|error| SettingsError::Form {
                file: file.into(),
                line: error.line,
                what: error.message,
            })?;
        let validator = FieldValidator { file, wire: &wire };
        let replicas = validator.replicas()?;
        let slot = validator.slot(replicas.len())?;
        let folder = validator.folder()?;
        let lease_terms = validator.lease_terms()?;
        Ok(Settings {
            slot,
            tick_interval: validator.tick_interval(lease_terms.lease)?,
            listen: validator.listen_address(replicas[slot.index()])?,
            admin: validator.admin_address()?,
            replicas,
            folder: base.join(folder),
            lease_terms,
            min_move_interval_ms: value_or_default(
                u64::from(wire.move_ms),
                DEFAULT_MIN_MOVE_INTERVAL_MS,
            ),
            unused_after_ms: value_or_default(wire.dead_after_ms, DEFAULT_UNUSED_AFTER_MS),
            max_log_entries: value_or_default(
                u64::from(wire.snapshot_entries),
                DEFAULT_MAX_LOG_ENTRIES,
            ) as usize,
            elections: wire.duties,
        })
    }
}

/// Replaces 0, the value of an unset field, by the default.
fn value_or_default(value: u64, default: u64) -> u64 {
    if value == 0 {
        default
    } else {
        value
    }
}

/// Validates the values of the fields.
struct FieldValidator<'a> {
    file: &'a str,
    wire: &'a wire::Settings,
}

impl FieldValidator<'_> {
    fn value_error(
        &self,
        field: &'static str,
        expected: &'static str,
        found: &dyn ToString,
    ) -> SettingsError {
        let found = found.to_string();
        SettingsError::Value {
            file: self.file.into(),
            field,
            expected,
            found: if found.is_empty() {
                "nothing".into()
            } else {
                found
            },
        }
    }

    fn parse_address(&self, field: &'static str, text: &str) -> Result<SocketAddr, SettingsError> {
        text.parse()
            .map_err(|_| self.value_error(field, "ip:port", &text))
    }

    fn replicas(&self) -> Result<Vec<SocketAddr>, SettingsError> {
        let mut replicas = Vec::new();
        for text in &self.wire.keepers {
            replicas.push(self.parse_address("keepers", text)?);
        }
        if !is_valid_replica_count(replicas.len()) {
            return Err(self.value_error(
                "keepers",
                "one, three or five addresses",
                &replicas.len(),
            ));
        }
        Ok(replicas)
    }

    fn slot(&self, replica_count: usize) -> Result<Slot, SettingsError> {
        Slot::from_number(self.wire.slot, replica_count).ok_or_else(|| {
            self.value_error("slot", "a place among the keepers, from 1", &self.wire.slot)
        })
    }

    fn folder(&self) -> Result<&str, SettingsError> {
        if self.wire.folder.is_empty() {
            return Err(self.value_error("folder", "where the log is kept", &""));
        }
        Ok(&self.wire.folder)
    }

    fn lease_terms(&self) -> Result<LeaseTerms, SettingsError> {
        let drift_ppm = match self.wire.drift_ppm {
            0 => DEFAULT_DRIFT_PPM,
            drift_ppm => drift_ppm,
        };
        if drift_ppm > MAX_DRIFT_PPM {
            return Err(self.value_error("drift_ppm", "at most 100000", &drift_ppm));
        }
        let lease_ms = value_or_default(u64::from(self.wire.lease_ms), DEFAULT_LEASE_MS);
        if !LEASE_MS_RANGE.contains(&lease_ms) {
            return Err(self.value_error("lease_ms", "200 to 600000", &self.wire.lease_ms));
        }
        Ok(LeaseTerms {
            lease: TimeDelta::from_millis(lease_ms),
            drift_ppm,
        })
    }

    fn tick_interval(&self, lease: TimeDelta) -> Result<TimeDelta, SettingsError> {
        let tick_ms = value_or_default(u64::from(self.wire.tick_ms), DEFAULT_TICK_MS);
        let tick = TimeDelta::from_millis(tick_ms);
        if tick * MIN_TICKS_PER_LEASE > lease {
            return Err(self.value_error(
                "tick_ms",
                "at most a twentieth of lease_ms",
                &self.wire.tick_ms,
            ));
        }
        Ok(tick)
    }

    /// The address to listen on. `slot_address`, the address of the replica's slot, is the default.
    fn listen_address(&self, slot_address: SocketAddr) -> Result<SocketAddr, SettingsError> {
        if self.wire.listen.is_empty() {
            return Ok(slot_address);
        }
        self.parse_address("listen", &self.wire.listen)
    }

    fn admin_address(&self) -> Result<Option<SocketAddr>, SettingsError> {
        if self.wire.admin.is_empty() {
            return Ok(None);
        }
        self.parse_address("admin", &self.wire.admin).map(Some)
    }
}

#[cfg(test)]
mod tests;
