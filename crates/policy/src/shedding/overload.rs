//! Budget of time in flight while the endpoints are overloaded.
//!
//! Many gateways with an attempt or two each can keep endpoints full though most requests are shed.
//! In overload each gateway may have in flight a part of what it had on average in calm, so that
//! where answers take ten times as long, a tenth is sent. Trade-off: it also delays requests where
//! endpoints hang without being overloaded.

/// Accept rate below which the endpoints count as overloaded.
pub(crate) const OVERLOAD_ACCEPT_RATE: f64 = 0.4;
/// Part of the mean in calm that may be in flight in overload.
const OVERLOAD_FRACTION: f64 = 0.5;
/// Seconds over which the mean in calm is taken.
const NORMAL_LOAD_AVERAGING_SECONDS: f64 = 10.0;
/// The most attempt seconds that are saved up.
const MAX_SAVED_SECONDS: f64 = 0.5;
/// What a quick answer in overload multiplies the mean in calm with.
const QUICK_ANSWER_FACTOR: f64 = 1.03;

/// The budget and the mean that it is a part of.
#[derive(Debug, Default)]
pub(crate) struct OverloadBudget {
    /// Attempts in flight for each endpoint in service, averaged over calm times.
    normal_in_flight: f64,
    /// Attempt seconds that are left; negative: overdrawn.
    attempt_seconds: f64,
}

impl OverloadBudget {
    /// Time passed with so many attempts in flight: the budget grows by what is allowed and shrinks
    /// by what was used.
    pub(crate) fn accrue(&mut self, elapsed: f64, in_flight: f64, endpoints: f64) {
        let allowed = OVERLOAD_FRACTION * self.normal_in_flight * endpoints;
        let accrued = self.attempt_seconds + (allowed - in_flight) * elapsed;
        self.attempt_seconds = accrued.min(MAX_SAVED_SECONDS);
    }

    /// Time passed in calm: the mean follows, and no debt is kept.
    pub(crate) fn observe_normal_load(&mut self, elapsed: f64, in_flight: f64, endpoints: f64) {
        let weight = 1.0 - (-elapsed / NORMAL_LOAD_AVERAGING_SECONDS).exp();
        self.normal_in_flight += weight * (in_flight / endpoints - self.normal_in_flight);
        self.attempt_seconds = self.attempt_seconds.max(0.0);
    }

    /// A quick answer in overload: the endpoints can take more.
    pub(crate) fn increase(&mut self) {
        self.normal_in_flight *= QUICK_ANSWER_FACTOR;
    }

    /// Whether nothing is left.
    pub(crate) fn is_spent(&self) -> bool {
        self.attempt_seconds <= 0.0
    }
}
