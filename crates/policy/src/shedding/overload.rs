//! Budget of attempts in flight while the endpoints are overloaded.
//!
//! Many gateways with one or two attempts each can keep the endpoints saturated even though most
//! requests are shed. In overload, each gateway may therefore have only a fraction of its average
//! attempts under normal load in flight: if answers take ten times as long, a tenth as many
//! attempts are sent. Trade-off: this also delays requests if endpoints hang without being
//! overloaded.

/// Accept rate below which the endpoints count as overloaded.
pub(crate) const OVERLOAD_ACCEPT_RATE: f64 = 0.4;
/// Fraction of the mean under normal load that may be in flight in overload.
const OVERLOAD_BUDGET_FRACTION: f64 = 0.5;
/// Time constant of the mean under normal load, in seconds.
const NORMAL_LOAD_AVERAGING_SECONDS: f64 = 10.0;
/// Maximum budget, in attempt seconds.
const MAX_BUDGET_SECONDS: f64 = 0.5;
/// Factor that a quick answer in overload applies to the mean under normal load.
const QUICK_ANSWER_FACTOR: f64 = 1.03;

/// The budget, and the mean that it is derived from.
#[derive(Debug, Default)]
pub(crate) struct OverloadBudget {
    /// Attempts in flight per endpoint in service, averaged while there is no overload.
    normal_in_flight: f64,
    /// Remaining attempt seconds; negative if overdrawn.
    attempt_seconds: f64,
}

impl OverloadBudget {
    /// Updates the budget for elapsed seconds with a constant number of attempts in flight: adds
    /// the allowed attempt seconds and subtracts those used.
    pub(crate) fn accrue(&mut self, elapsed: f64, in_flight: f64, endpoints: f64) {
        let allowed = OVERLOAD_BUDGET_FRACTION * self.normal_in_flight * endpoints;
        let accrued = self.attempt_seconds + (allowed - in_flight) * elapsed;
        self.attempt_seconds = accrued.min(MAX_BUDGET_SECONDS);
    }

    /// Updates the mean for elapsed seconds under normal load, and clears any debt.
    pub(crate) fn observe_normal_load(&mut self, elapsed: f64, in_flight: f64, endpoints: f64) {
        let weight = 1.0 - (-elapsed / NORMAL_LOAD_AVERAGING_SECONDS).exp();
        self.normal_in_flight += weight * (in_flight / endpoints - self.normal_in_flight);
        self.attempt_seconds = self.attempt_seconds.max(0.0);
    }

    /// Raises the budget after a quick answer in overload, which shows that the endpoints can
    /// handle more.
    pub(crate) fn increase(&mut self) {
        self.normal_in_flight *= QUICK_ANSWER_FACTOR;
    }

    /// Whether the budget is exhausted.
    pub(crate) fn is_spent(&self) -> bool {
        self.attempt_seconds <= 0.0
    }
}
