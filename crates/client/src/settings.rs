//! The settings of a client.

mod text;

pub use chalkdeck_proto::text::TextError;

use chalkdeck_time::TimeDelta;

/// Maximum value of `retry_jitter`.
const MAX_RETRY_JITTER: f64 = 10.0;

/// The limits and times of a client.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of attempts of one call, including the first.
    pub max_attempts: u32,
    /// The initial backoff between attempts of one call.
    pub initial_backoff: TimeDelta,
    /// Maximum backoff between attempts of one call.
    pub max_backoff: TimeDelta,
    /// Maximum fraction of a retry time that is added to it at random, so that rejected calls do not return together.
    pub retry_jitter: f64,
    /// Maximum number of retries that the retry budget can hold.
    pub retry_budget: f64,
    /// The retries that each answered call adds to the retry budget.
    pub retry_budget_refill: f64,
    /// The initial window over which reconnects are spread at random.
    pub initial_reconnect_window: TimeDelta,
    /// Maximum window over which reconnects are spread.
    pub max_reconnect_window: TimeDelta,
    /// The time limit for establishing a connection.
    pub connect_timeout: TimeDelta,
    /// The interval of keepalive pings. A connection that does not answer before the next ping is closed. Zero disables pings.
    pub keepalive_interval: TimeDelta,
    /// How long a gateway is ejected after consecutive failures.
    pub ejection_time: TimeDelta,
    /// Maximum number of attempts in flight at one gateway.
    pub max_in_flight_per_gateway: usize,
    /// Maximum number of calls that wait for a gateway.
    pub max_pending: usize,
    /// An attempt is not sent if less time than this is left until the deadline.
    pub min_time_left: TimeDelta,
    /// The seed of all random decisions.
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

/// A setting is out of range. The messages name the fields of the text format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// No attempt is permitted.
    #[error("tries: expected at least 1")]
    MaxAttempts,
    /// The initial backoff is zero, or exceeds the maximum.
    #[error("backoff_first: expected above 0 and at most backoff_most")]
    Backoff,
    /// The jitter is not a number in its range.
    #[error("spread: expected 0 to 10")]
    RetryJitter,
    /// The retry budget or its refill is not a number of 0 or more.
    #[error("budget, earn: expected numbers of 0 or more")]
    RetryBudget,
    /// The initial reconnect window exceeds the maximum.
    #[error("reconnect_most: expected at least reconnect_first")]
    ReconnectWindow,
    /// No attempt may be in flight.
    #[error("outstanding: expected at least 1")]
    MaxInFlight,
}

impl Settings {
    /// Checks the ranges of all values.
    ///
    /// # Errors
    ///
    /// A value is out of range.
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
