//! A keeper's settings from protobuf text.

use chalkdeck_leader_election::LeaseTerms;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_proto::text;
use chalkdeck_time::TimeDelta;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const MESSAGE: &str = "chalkdeck.keeper.v1.Settings";

/// Settings that cannot be used.
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
    /// Not the text form of a keeper's settings.
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
        help("docs/keeper.md has each field's meaning and bounds")
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

/// All settings of a keeper.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its place among the keepers, from 1.
    pub slot: u32,
    /// For gRPC.
    pub listen: SocketAddr,
    /// For health and metrics.
    pub admin: Option<SocketAddr>,
    /// All keepers by slot.
    pub keepers: Vec<SocketAddr>,
    /// Where its log is kept.
    pub folder: PathBuf,
    /// Sessions' terms.
    pub terms: LeaseTerms,
    /// In milliseconds.
    pub move_ms: u64,
    /// In milliseconds of the agreed time.
    pub dead_after_ms: u64,
    /// The agreement's clock, in microseconds.
    pub tick: u64,
    /// Entries after which the log begins anew.
    pub snapshot_entries: usize,
    /// Duties beside the built-in ones.
    pub duties: Vec<String>,
}

impl Settings {
    /// Reads a file. Errors name it, and the line or the field with what was expected.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let source = std::fs::read_to_string(path).map_err(|e| SettingsError::File {
            file: file.clone(),
            why: e.to_string(),
        })?;
        Settings::parse(&source, &file, path.parent().unwrap_or(Path::new(".")))
    }

    /// The same from text; the folder is relative to `base`.
    pub fn parse(source: &str, file: &str, base: &Path) -> Result<Settings, SettingsError> {
        let wire: wire::Settings =
            text::parse(MESSAGE, source).map_err(|e| SettingsError::Form {
                file: file.into(),
                line: e.line,
                what: e.what,
            })?;
        let wrong = |field, expected, found: String| SettingsError::Value {
            file: file.into(),
            field,
            expected,
            found: if found.is_empty() {
                "nothing".into()
            } else {
                found
            },
        };
        let address = |field, text: &str| {
            text.parse::<SocketAddr>()
                .map_err(|_| wrong(field, "ip:port", text.to_string()))
        };
        let keepers = wire
            .keepers
            .iter()
            .map(|k| address("keepers", k))
            .collect::<Result<Vec<SocketAddr>, _>>()?;
        if !matches!(keepers.len(), 1 | 3 | 5) {
            return Err(wrong(
                "keepers",
                "one, three or five addresses",
                keepers.len().to_string(),
            ));
        }
        let place = wire.slot as usize;
        if place == 0 || place > keepers.len() {
            return Err(wrong(
                "slot",
                "a place among the keepers, from 1",
                wire.slot.to_string(),
            ));
        }
        if wire.folder.is_empty() {
            return Err(wrong("folder", "where the log is kept", String::new()));
        }
        let drift = if wire.drift_ppm == 0 {
            10_000
        } else {
            wire.drift_ppm
        };
        if drift > 100_000 {
            return Err(wrong("drift_ppm", "at most 100000", drift.to_string()));
        }
        let or = |value: u64, default: u64| if value == 0 { default } else { value };
        let lease = or(u64::from(wire.lease_ms), 6_000) * 1_000;
        if !(200_000..=600_000_000).contains(&lease) {
            return Err(wrong(
                "lease_ms",
                "200 to 600000",
                wire.lease_ms.to_string(),
            ));
        }
        let tick = or(u64::from(wire.tick_ms), 20) * 1_000;
        if tick * 20 > lease {
            return Err(wrong(
                "tick_ms",
                "at most a twentieth of lease_ms",
                wire.tick_ms.to_string(),
            ));
        }
        let listen = if wire.listen.is_empty() {
            keepers[place - 1]
        } else {
            address("listen", &wire.listen)?
        };
        let admin = (!wire.admin.is_empty())
            .then(|| address("admin", &wire.admin))
            .transpose()?;
        Ok(Settings {
            slot: wire.slot,
            listen,
            admin,
            keepers,
            folder: base.join(&wire.folder),
            terms: LeaseTerms {
                lease: TimeDelta::from_micros(lease),
                drift_ppm: drift,
            },
            move_ms: or(u64::from(wire.move_ms), 30_000),
            dead_after_ms: or(wire.dead_after_ms, 30 * 24 * 3_600_000),
            tick,
            snapshot_entries: or(u64::from(wire.snapshot_entries), 10_000) as usize,
            duties: wire.duties,
        })
    }
}

#[cfg(test)]
mod tests;
