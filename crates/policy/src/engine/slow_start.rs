//! Slow start: an endpoint that has just started gets a growing fraction of a warm one's load.
//!
//! Its load is that of a warm endpoint of the same weight at this gateway, times the fraction of
//! its capacity that it has reached by now. Warm endpoints sustain that load, and each gateway
//! scales its own, so the load from all gateways stays in proportion.

use super::DecisionEngine;
use crate::api::{TimeDelta, Timestamp};
use crate::endpoint::Endpoint;

/// Time that unused units for an endpoint in slow start stay valid if many gateways share it.
/// Hundreds of gateways that each accumulated units for one request would overload it.
const UNUSED_UNITS_LIFETIME: TimeDelta = TimeDelta::from_millis(250);
/// Fraction of the load that overloads an endpoint in slow start which is safe to send. The load is
/// also never more than that of a warm endpoint.
const SAFE_OVERLOAD_FRACTION: f64 = 0.5;
/// Maximum ratio of the weight of all endpoints in service to that of the warm ones at which the
/// rate per weight is derived from the warm ones.
const MAX_TOTAL_TO_WARM_WEIGHT: f64 = 3.0;
/// Minimum total weight; prevents a division by zero.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

impl DecisionEngine {
    /// Updates the buckets of all endpoints in slow start, and ends the slow starts that have
    /// lasted for their duration.
    pub(super) fn advance_slow_starts(&mut self) {
        if self.endpoints.slow_start_count == 0 {
            return;
        }
        let now = self.now;
        let are_limits_fractional = self.are_limits_fractional();
        let rate_per_weight = self.units_rate_per_weight();
        let settings = &self.settings;
        let safe_fraction = (settings.overload_multiple * SAFE_OVERLOAD_FRACTION).min(1.0);
        let mut ended = 0;
        for endpoint in self.endpoints.iter_mut() {
            let Some(since) = endpoint.slow_start_since else {
                continue;
            };
            if now >= since + settings.slow_start_duration {
                endpoint.slow_start_since = None;
                ended += 1;
                continue;
            }
            let min_capacity = settings.slow_start_min_capacity;
            let progress = (now - since).as_secs_f64() / settings.slow_start_duration.as_secs_f64();
            let capacity = min_capacity + (1.0 - min_capacity) * progress;
            let bucket = &mut endpoint.slow_start_bucket;
            bucket.rate = rate_per_weight * endpoint.weight * capacity * safe_fraction;
            bucket.refill(now);
            let unused_units_limit = bucket.rate * UNUSED_UNITS_LIFETIME.as_secs_f64();
            if are_limits_fractional && bucket.level > unused_units_limit {
                bucket.level = -settings.max_request_units;
            }
        }
        self.endpoints.slow_start_count -= ended;
    }

    /// Units per second that an endpoint of weight one gets from this gateway.
    fn units_rate_per_weight(&self) -> f64 {
        let now = self.now;
        let is_warm = |endpoint: &&Endpoint| {
            endpoint.is_in_service
                && is_not_ejected(endpoint, now)
                && endpoint.slow_start_since.is_none()
        };
        let weights = self.endpoints.iter().filter(is_warm);
        let warm_weight: f64 = weights.map(|endpoint| endpoint.weight).sum();
        let in_service = self.endpoints.iter();
        let total_weight: f64 = in_service
            .filter(|endpoint| endpoint.is_in_service)
            .map(|endpoint| endpoint.weight)
            .sum();
        let weight = if warm_weight * MAX_TOTAL_TO_WARM_WEIGHT >= total_weight {
            warm_weight
        } else {
            total_weight.max(MIN_TOTAL_WEIGHT)
        };
        self.send_rate.per_second(now) / weight
    }
}

fn is_not_ejected(endpoint: &Endpoint, now: Timestamp) -> bool {
    now >= endpoint.ejected_until
}
