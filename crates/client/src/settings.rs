//! Settings of a client.

mod text;

pub use chalkdeck_proto::text::TextError;

use chalkdeck_time::TimeDelta;

/// The largest jitter that makes sense.
const MAX_RETRY_JITTER: f64 = 10.0;

/// Limits and times of a client.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Attempts of one call, the first included.
    pub max_attempts: u32,
    /// The first wait between attempts of one call.
    pub initial_backoff: TimeDelta,
    /// The longest wait between attempts of one call.
    pub max_backoff: TimeDelta,
    /// Fraction of a retry time that is added at random at most, so that rejected calls do not return together.
    pub retry_jitter: f64,
    /// Retries that can be saved up.
    pub retry_budget: f64,
    /// Retries that each answer earns.
    pub retry_budget_refill: f64,
    /// The window over which lost connections are made again at first.
    pub initial_reconnect_window: TimeDelta,
    /// The longest such window.
    pub max_reconnect_window: TimeDelta,
    /// A connect that takes longer has failed.
    pub connect_timeout: TimeDelta,
    /// How often connections are pinged; one that does not answer by the next ping is lost. Zero: never.
    pub keepalive_interval: TimeDelta,
    /// How long a gateway that fails again and again is ejected.
    pub ejection_time: TimeDelta,
    /// Attempts in flight at one gateway.
    pub max_in_flight_per_gateway: usize,
    /// Calls that may wait for a gateway.
    pub max_pending: usize,
    /// An attempt with less time left than this is not sent.
    pub min_time_left: TimeDelta,
    /// Seed of everything random.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_attempts: 4,
            initial_backoff: TimeDelta::from_millis(20),
            max_backoff: TimeDelta::from_secs(1),
            retry_jitter: 0.5,
            retry_budget: 10.0,
            retry_budget_refill: 0.1,
            initial_reconnect_window: TimeDelta::from_millis(200),
            max_reconnect_window: TimeDelta::from_secs(5),
            connect_timeout: TimeDelta::from_secs(1),
            keepalive_interval: TimeDelta::from_secs(5),
            ejection_time: TimeDelta::from_secs(1),
            max_in_flight_per_gateway: 1_000,
            max_pending: 10_000,
            min_time_left: TimeDelta::from_millis(2),
            seed: 1,
        }
    }
}

/// Settings that are out of range. The messages name the fields of the text form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// No attempt is permitted.
    #[error("tries: expected at least 1")]
    MaxAttempts,
    /// The backoff is zero, or its first value exceeds the longest.
    #[error("backoff_first: expected above 0 and at most backoff_most")]
    Backoff,
    /// The jitter is not a number in its range.
    #[error("spread: expected 0 to 10")]
    RetryJitter,
    /// The retry budget or its refill is not a number of 0 or more.
    #[error("budget, earn: expected numbers of 0 or more")]
    RetryBudget,
    /// The first reconnect window exceeds the longest.
    #[error("reconnect_most: expected at least reconnect_first")]
    ReconnectWindow,
    /// No attempt may be in flight.
    #[error("outstanding: expected at least 1")]
    MaxInFlight,
}

impl Settings {
    /// Checks the ranges of all values.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.max_attempts == 0 {
            return Err(SettingsError::MaxAttempts);
        }
        if self.initial_backoff.is_zero() || self.max_backoff < self.initial_backoff {
            return Err(SettingsError::Backoff);
        }
        if !is_non_negative(self.retry_jitter) || self.retry_jitter > MAX_RETRY_JITTER {
            return Err(SettingsError::RetryJitter);
        }
        if !is_non_negative(self.retry_budget) || !is_non_negative(self.retry_budget_refill) {
            return Err(SettingsError::RetryBudget);
        }
        if self.max_reconnect_window < self.initial_reconnect_window {
            return Err(SettingsError::ReconnectWindow);
        }
        if self.max_in_flight_per_gateway == 0 {
            return Err(SettingsError::MaxInFlight);
        }
        Ok(())
    }
}

fn is_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

#[cfg(test)]
mod tests;
