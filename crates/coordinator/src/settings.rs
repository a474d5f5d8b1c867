//! A replica's settings, read from protobuf text.

use crate::consensus::is_valid_replica_count;
use crate::ids::Slot;
use chalkdeck_leader_election::LeaseTerms;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_proto::text;
use chalkdeck_time::TimeDelta;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// The message that the text is the form of.
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
/// Within a lease the consensus has to elect a leader, and to decide some renewals.
const MIN_TICKS_PER_LEASE: u64 = 20;

/// Why settings cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {why}")]
    #[diagnostic(
        code(chalkdeck::keeper::settings_file),
        help("see the path, and whether it may be read")
    )]
    File {
        /// Its path.
        file: String,
        /// What the system says.
        why: String,
    },
    /// Not the text form of a replica's settings.
    #[error("{file}:{line}: {what}")]
    #[diagnostic(
        code(chalkdeck::keeper::settings_form),
        help("the fields are those of chalkdeck/keeper/v1/settings.proto")
    )]
    Form {
        /// Its path.
        file: String,
        /// The line, from 1.
        line: usize,
        /// What was expected there.
        what: String,
    },
    /// A field's value cannot be used.
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
        /// What it may be.
        expected: &'static str,
        /// What it is.
        found: String,
    },
}

/// All settings of a replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its place among the replicas.
    pub slot: Slot,
    /// Where it listens for gRPC.
    pub listen: SocketAddr,
    /// Where it listens for health checks and metrics.
    pub admin: Option<SocketAddr>,
    /// Addresses of all replicas, by slot.
    pub replicas: Vec<SocketAddr>,
    /// Where its log is kept.
    pub folder: PathBuf,
    /// Terms of the sessions' leases.
    pub lease_terms: LeaseTerms,
    /// See [`crate::replica::ReplicaSettings::min_move_interval_ms`].
    pub min_move_interval_ms: u64,
    /// See [`crate::replica::ReplicaSettings::unused_after_ms`].
    pub unused_after_ms: u64,
    /// Time between ticks of the consensus.
    pub tick_interval: TimeDelta,
    /// Entries after which the log begins anew.
    pub max_log_entries: usize,
    /// Elections beside the built-in ones.
    pub elections: Vec<String>,
}

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    /// They name the file, and the line or the field with what was expected.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let source = std::fs::read_to_string(path).map_err(|error| SettingsError::File {
            file: file.clone(),
            why: error.to_string(),
        })?;
        Settings::parse(&source, &file, path.parent().unwrap_or(Path::new(".")))
    }

    /// The same from text; the folder is relative to `base`.
    ///
    /// # Errors
    /// See [`Settings::load`].
    pub fn parse(source: &str, file: &str, base: &Path) -> Result<Settings, SettingsError> {
        let wire: wire::Settings =
            text::parse(MESSAGE_NAME, source).map_err(|error| SettingsError::Form {
                file: file.into(),
                line: error.line,
                what: error.what,
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

/// A field that is not set reads as 0.
fn value_or_default(value: u64, default: u64) -> u64 {
    if value == 0 {
        default
    } else {
        value
    }
}

/// Checks of the fields' values.
struct FieldValidator<'a> {
    file: &'a str,
    wire: &'a wire::Settings,
}

impl FieldValidator<'_> {
    fn error(
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
            .map_err(|_| self.error(field, "ip:port", &text))
    }

    fn replicas(&self) -> Result<Vec<SocketAddr>, SettingsError> {
        let mut replicas = Vec::new();
        for text in &self.wire.keepers {
            replicas.push(self.parse_address("keepers", text)?);
        }
        if !is_valid_replica_count(replicas.len()) {
            return Err(self.error("keepers", "one, three or five addresses", &replicas.len()));
        }
        Ok(replicas)
    }

    fn slot(&self, replica_count: usize) -> Result<Slot, SettingsError> {
        Slot::checked(self.wire.slot, replica_count)
            .ok_or_else(|| self.error("slot", "a place among the keepers, from 1", &self.wire.slot))
    }

    fn folder(&self) -> Result<&str, SettingsError> {
        if self.wire.folder.is_empty() {
            return Err(self.error("folder", "where the log is kept", &""));
        }
        Ok(&self.wire.folder)
    }

    fn lease_terms(&self) -> Result<LeaseTerms, SettingsError> {
        let drift_ppm = match self.wire.drift_ppm {
            0 => DEFAULT_DRIFT_PPM,
            drift_ppm => drift_ppm,
        };
        if drift_ppm > MAX_DRIFT_PPM {
            return Err(self.error("drift_ppm", "at most 100000", &drift_ppm));
        }
        let lease_ms = value_or_default(u64::from(self.wire.lease_ms), DEFAULT_LEASE_MS);
        if !LEASE_MS_RANGE.contains(&lease_ms) {
            return Err(self.error("lease_ms", "200 to 600000", &self.wire.lease_ms));
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
            return Err(self.error(
                "tick_ms",
                "at most a twentieth of lease_ms",
                &self.wire.tick_ms,
            ));
        }
        Ok(tick)
    }

    /// `own`: the address of the replica's slot.
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
