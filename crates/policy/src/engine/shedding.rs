//! Load shedding of arriving requests, and the retry-after of rejections for load.

use super::DecisionEngine;
use crate::api::{ClassId, RequestId, TimeDelta};
use crate::shedding::overload::OVERLOAD_ACCEPT_RATE;

/// Maximum retry-after of a request that is shed, as a fraction of the latency objective. A later
/// retry would miss the objective.
const MAX_RETRY_AFTER_OBJECTIVE_FRACTION: f64 = 0.3;

impl DecisionEngine {
    /// Draws whether a request is shed. The accept rate protects endpoints when a gateway has too
    /// few attempts in flight for concurrency limits to bound them.
    pub(super) fn is_shed(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let weight = request.priority_weight(&self.settings);
        // With site failover on, all gateways share one threshold on the priority weight per unit.
        if let Some(threshold) = self.shedder.threshold {
            let weight_per_unit = weight / request.incoming.units;
            return weight_per_unit < threshold.reject_below
                || weight_per_unit < threshold.admit_above
                    && self.rng.f64() >= threshold.admit_fraction;
        }
        self.shedder.observe_weight(weight);
        let accept_probability = self.shedder.accept_probability(weight);
        self.are_limits_fractional() && self.rng.f64() > accept_probability
    }

    /// Whether the endpoints are overloaded. Applies only if concurrency limits are below one
    /// attempt and site failover is off.
    pub(super) fn is_overloaded(&self) -> bool {
        self.shedder.accept_rate < OVERLOAD_ACCEPT_RATE
            && self.are_limits_fractional()
            && self.shedder.threshold.is_none()
    }

    /// Draws the retry-after of a rejection for load. It is short, so that the retry can meet the
    /// latency objective, and random and longer the more is shed, so that retries don't arrive all
    /// at once.
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
