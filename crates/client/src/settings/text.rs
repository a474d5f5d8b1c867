//! Parses settings in the protobuf text format.

use super::{Settings, TextError};
use chalkdeck_proto::chalkdeck::client::v1 as wire;
use chalkdeck_time::TimeDelta;

/// The full name of the message type of the settings.
const MESSAGE_NAME: &str = "chalkdeck.client.v1.Settings";

impl Settings {
    /// Parses `chalkdeck.client.v1.Settings` in text format. Fields that are absent or zero keep their defaults.
    ///
    /// # Errors
    ///
    /// The text is invalid, in which case the error has the line, or a value is out of range, in which case the error names the
    /// field.
    pub fn parse(text: &str) -> Result<Settings, TextError> {
        let wire: wire::Settings = chalkdeck_proto::text::parse(MESSAGE_NAME, text)?;
        let settings = from_wire(&wire);
        settings.check().map_err(|error| TextError {
            line: 1,
            message: error.to_string(),
        })?;
        Ok(settings)
    }
}

fn from_wire(wire: &wire::Settings) -> Settings {
    let default = Settings::default();
    let max_attempts = match wire.tries {
        0 => default.max_attempts,
        tries => tries,
    };
    Settings {
        max_attempts,
        initial_backoff: millis_or(wire.backoff_first_ms, default.initial_backoff),
        max_backoff: millis_or(wire.backoff_most_ms, default.max_backoff),
        retry_jitter: number_or(wire.spread, default.retry_jitter),
        retry_budget: number_or(wire.budget, default.retry_budget),
        retry_budget_refill: number_or(wire.earn, default.retry_budget_refill),
        initial_reconnect_window: millis_or(
            wire.reconnect_first_ms,
            default.initial_reconnect_window,
        ),
        max_reconnect_window: millis_or(wire.reconnect_most_ms, default.max_reconnect_window),
        connect_timeout: millis_or(wire.connect_timeout_ms, default.connect_timeout),
        keepalive_interval: millis_or(wire.keepalive_ms, default.keepalive_interval),
        ejection_time: millis_or(wire.rest_ms, default.ejection_time),
        max_in_flight_per_gateway: count_or(wire.outstanding, default.max_in_flight_per_gateway),
        max_pending: count_or(wire.queue, default.max_pending),
        ..default
    }
}

fn millis_or(millis: u32, default: TimeDelta) -> TimeDelta {
    match millis {
        0 => default,
        millis => TimeDelta::from_millis(u64::from(millis)),
    }
}

fn count_or(count: u32, default: usize) -> usize {
    match count {
        0 => default,
        count => count as usize,
    }
}

fn number_or(number: f64, default: f64) -> f64 {
    if number == 0.0 {
        return default;
    }
    number
}
