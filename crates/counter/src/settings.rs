//! Settings from protobuf text.

use crate::state::Limits;
use chalkdeck_proto::chalkdeck::counter::v1 as wire;
use chalkdeck_proto::text;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const MESSAGE: &str = "chalkdeck.counter.v1.Settings";

/// Settings that cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {what}")]
pub struct SettingsError {
    file: String,
    what: String,
}

/// One part of the counter.
#[derive(Clone, Debug)]
pub struct Part {
    /// For gRPC.
    pub listen: SocketAddr,
    /// For metrics.
    pub admin: Option<SocketAddr>,
    /// Its folder; none: nothing is kept on disk.
    pub folder: Option<PathBuf>,
}

/// All settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// At least one.
    pub parts: Vec<Part>,
    /// When a batch is answered.
    pub promise: wire::Promise,
    /// Of each part.
    pub limits: Limits,
    /// Adds that may wait at a part.
    pub waiting: usize,
    /// Bytes of log after which a snapshot is made.
    pub snapshot_bytes: u64,
}

impl Settings {
    /// Reads a file. Errors name it, and the line or the field with what was expected.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let error = |what: String| SettingsError {
            file: path.display().to_string(),
            what,
        };
        let source = std::fs::read_to_string(path).map_err(|e| error(e.to_string()))?;
        let base = path.parent().unwrap_or(Path::new("."));
        Settings::parse(&source, base).map_err(error)
    }

    /// The same from text; folders are relative to `base`.
    pub fn parse(source: &str, base: &Path) -> Result<Settings, String> {
        let wire: wire::Settings = text::parse(MESSAGE, source).map_err(|e| e.to_string())?;
        let default = Limits::default();
        let or = |n: u32, default: usize| if n == 0 { default } else { n as usize };
        if wire.listen.is_empty() {
            return Err("listen: expected at least one ip:port".into());
        }
        if !wire.admin.is_empty() && wire.admin.len() != wire.listen.len() {
            return Err(format!(
                "admin: expected {} of them, one for each part, or none; found {}",
                wire.listen.len(),
                wire.admin.len()
            ));
        }
        let promise = wire.promise();
        if (wire.folder.is_empty()) != (promise == wire::Promise::Memory) {
            return Err("folder: expected one, or promise: MEMORY without one".into());
        }
        let address = |field: &str, text: &String| {
            text.parse::<SocketAddr>()
                .map_err(|_| format!("{field}: expected ip:port, found '{text}'"))
        };
        let mut parts = Vec::new();
        for (i, listen) in wire.listen.iter().enumerate() {
            let admin = wire.admin.get(i).map(|a| address("admin", a)).transpose()?;
            let folder = base.join(&wire.folder).join(format!("part-{i}"));
            let folder = (promise != wire::Promise::Memory).then_some(folder);
            parts.push(Part {
                listen: address("listen", listen)?,
                admin,
                folder,
            });
        }
        let horizon = if wire.horizon_ms == 0 {
            default.horizon
        } else {
            u64::from(wire.horizon_ms) * 1_000
        };
        let limits = Limits {
            names: or(wire.names, default.names),
            callers: or(wire.callers, default.callers),
            remembered: or(wire.remembered, default.remembered),
            horizon,
        };
        let snapshot_bytes = if wire.snapshot_bytes == 0 {
            64 << 20
        } else {
            wire.snapshot_bytes
        };
        Ok(Settings {
            parts,
            promise,
            limits,
            waiting: or(wire.waiting, 65_536),
            snapshot_bytes,
        })
    }
}

#[cfg(test)]
mod tests;
