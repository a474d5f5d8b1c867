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
        let micros = |ms: u32, default: u64| if ms == 0 { default } else { u64::from(ms) * 1_000 };
        let count = |n: u32, default: usize| if n == 0 { default } else { n as usize };
        let real = |v: f64, default: f64| if v == 0.0 { default } else { v };
        let set = Settings {
            tries: if wire.tries == 0 { default.tries } else { wire.tries },
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
        set.check().map_err(|e| TextError { line: 1, what: e.to_string() })?;
        Ok(set)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn text_fills_in_and_errors_name_their_place() {
        let set = Settings::parse("tries: 2\nbackoff_first_ms: 50").expect("it is sound");
        assert_eq!((set.tries, set.backoff_first, set.queue), (2, 50_000, Settings::default().queue));
        assert_eq!(Settings::parse("tries: 2\ntires: 3").expect_err("no such field").line, 2);
        let error = Settings::parse("backoff_first_ms: 9000").expect_err("above the longest");
        assert!(error.what.contains("backoff_first"));
        assert!(Settings::parse("spread: -1").is_err() && Settings::parse("budget: nan").is_err());
    }
}
