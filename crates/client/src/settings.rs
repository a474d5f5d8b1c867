//! Settings of a client from protobuf text.

use crate::core::Settings;
use chalkdeck_proto::chalkdeck::client::v1 as wire;
pub use chalkdeck_proto::text::TextError;

const MESSAGE: &str = "chalkdeck.client.v1.Settings";

impl Settings {
    /// Reads `chalkdeck.client.v1.Settings` in text form; what is absent keeps its default. Errors name the line, or for a
    /// value that makes no sense the field.
    pub fn parse(text: &str) -> Result<Settings, TextError> {
        let wire: wire::Settings = chalkdeck_proto::text::parse(MESSAGE, text)?;
        let default = Settings::default();
        let micros = |ms: u32, default: u64| {
            if ms == 0 {
                default
            } else {
                u64::from(ms) * 1_000
            }
        };
        let count = |n: u32, default: usize| if n == 0 { default } else { n as usize };
        let real = |v: f64, default: f64| if v == 0.0 { default } else { v };
        let set = Settings {
            tries: if wire.tries == 0 {
                default.tries
            } else {
                wire.tries
            },
            backoff_first: micros(wire.backoff_first_ms, default.backoff_first),
            backoff_most: micros(wire.backoff_most_ms, default.backoff_most),
            spread: real(wire.spread, default.spread),
            budget: real(wire.budget, default.budget),
            earn: real(wire.earn, default.earn),
            reconnect_first: micros(wire.reconnect_first_ms, default.reconnect_first),
            reconnect_most: micros(wire.reconnect_most_ms, default.reconnect_most),
            connect_timeout: micros(wire.connect_timeout_ms, default.connect_timeout),
            keepalive: micros(wire.keepalive_ms, default.keepalive),
            rest: micros(wire.rest_ms, default.rest),
            outstanding: count(wire.outstanding, default.outstanding),
            queue: count(wire.queue, default.queue),
            least_left: default.least_left,
            seed: default.seed,
        };
        set.check().map_err(|e| TextError {
            line: 1,
            what: e.to_string(),
        })?;
        Ok(set)
    }
}

#[cfg(test)]
mod tests;
