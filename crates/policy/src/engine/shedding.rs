//! Whether a request is shed before an endpoint is selected, and when its client may retry.

use super::DecisionEngine;
use crate::api::{ClassId, RequestId, TimeDelta};
use crate::shedding::overload::OVERLOAD_ACCEPT_RATE;

/// The longest retry-after of a request that is shed, as part of the latency objective: a later
/// retry would miss it.
const MAX_RETRY_AFTER_OBJECTIVE_FRACTION: f64 = 0.3;

impl DecisionEngine {
    /// Draws whether a request is shed. The accept rate protects endpoints where a gateway has too
    /// few attempts in flight to bound them by concurrency limits.
    pub(super) fn is_shed(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let weight = request.priority_weight(&self.settings);
        // Where sites are watched there is one order over all gateways: weight for the capacity it
        // takes.
        if let Some(threshold) = self.shedder.threshold {
            let density = weight / request.incoming.units;
            return density < threshold.reject_below
                || density < threshold.admit_above && self.rng.f64() >= threshold.admit_fraction;
        }
        self.shedder.observe_weight(weight);
        let accept_probability = self.shedder.accept_probability(weight);
        self.are_limits_fractional() && self.rng.f64() > accept_probability
    }

    /// Whether the endpoints count as overloaded: only where concurrency limits are below one
    /// attempt, and sites are not watched.
    pub(super) fn is_overloaded(&self) -> bool {
        self.shedder.accept_rate < OVERLOAD_ACCEPT_RATE
            && self.are_limits_fractional()
            && self.shedder.threshold.is_none()
    }

    /// Draws the retry-after of a rejection for load: short, or the answer misses the latency
    /// objective; random and longer the more is shed, so that retries don't arrive as one wave.
    pub(super) fn draw_retry_after(&mut self, class: ClassId) -> Option<TimeDelta> {
        let objective = self.settings.classes[class.0].latency_objective;
        let fraction =
            MAX_RETRY_AFTER_OBJECTIVE_FRACTION * self.rng.f64() * (1.0 - self.shedder.accept_rate);
        let wait = objective
            .mul_f64(fraction)
            .max(self.settings.timer_resolution);
        let retry_after = wait.min(self.settings.max_retry_after);
        self.settings.send_retry_after.then_some(retry_after)
    }
}
