//! Circuit breaker of the counter: closed, open or half-open.

use crate::api::{TimeDelta, Timestamp};

#[cfg(test)]
mod tests;

/// Number of failures that opens the breaker; each success halves the number. Three failures in a
/// row open it, as in the rate limiter that this one is derived from.
const FAILURES_TO_OPEN: f64 = 3.0;
/// Time that the breaker stays open before one call probes the counter, as in that rate limiter.
const COOLDOWN: TimeDelta = TimeDelta::from_secs(5);

/// A circuit breaker over the counter calls of one customer or of all customers.
#[derive(Debug, Default)]
pub(crate) struct CircuitBreaker {
    failures: f64,
    opened_at: Option<Timestamp>,
    is_probing: bool,
}

impl CircuitBreaker {
    /// Whether the breaker is open or half-open.
    pub(crate) fn is_open(&self) -> bool {
        self.opened_at.is_some()
    }

    /// Whether the breaker is half-open and its probe is in flight.
    pub(crate) fn is_probing(&self) -> bool {
        self.is_probing
    }

    /// Whether a call may be made now.
    pub(crate) fn allows_call(&self, now: Timestamp) -> bool {
        match self.opened_at {
            None => true,
            Some(opened_at) => !self.is_probing && now >= opened_at + COOLDOWN,
        }
    }

    /// Records a call that is sent. After the cooldown it is the half-open probe.
    pub(crate) fn record_call(&mut self) {
        self.is_probing |= self.opened_at.is_some();
    }

    /// Records a call that failed.
    pub(crate) fn record_failure(&mut self, now: Timestamp, is_probe: bool) {
        self.failures += 1.0;
        let reached_threshold = self.opened_at.is_none() && self.failures >= FAILURES_TO_OPEN;
        let failed_probe = is_probe && self.is_probing;
        if reached_threshold || failed_probe {
            self.opened_at = Some(now);
            self.is_probing = false;
        }
    }

    /// Records a call that succeeded. While closed, this halves the number of failures instead of
    /// clearing it, so that a counter which fails most calls and occasionally succeeds still opens
    /// the breaker.
    pub(crate) fn record_success(&mut self, is_probe: bool) {
        if is_probe && self.is_probing {
            *self = CircuitBreaker::default();
        } else if self.opened_at.is_none() {
            self.failures /= 2.0;
        }
    }
}
