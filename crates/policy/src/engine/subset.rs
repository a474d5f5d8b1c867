//! Deterministic subsetting: each gateway prefers a subset of the fleet, which is all endpoints in
//! service, and concurrency limits are scaled to its share.
//!
//! A gateway with few requests would have no recent statistics about any endpoint if it spread them
//! over a large fleet.

use super::DecisionEngine;
use crate::endpoint::table::LimitSum;
use crate::endpoint::{Endpoint, INITIAL_LIMIT};

/// Minimum size of a gateway's subset. A larger one spreads its load better; with a smaller one it
/// has samples of each endpoint within a second or two.
const MIN_SUBSET_SIZE: f64 = 8.0;
/// Additional endpoints for each unit per second that the gateway sends.
const SUBSET_ENDPOINTS_PER_UNIT_RATE: f64 = 1.0;
/// Distance between the starts of the subsets of consecutive gateways, as a fraction of the fleet.
/// The golden ratio spreads them evenly, also over the consecutive gateways that one customer's
/// requests come through.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// Initial limit of the attempts of all gateways together at one endpoint. It is low, because a
/// limit that has to be lowered first costs late answers.
const INITIAL_SHARED_LIMIT: f64 = 6.0;
/// Maximum number of endpoints that one selection compares if the subset is larger.
pub(super) const MAX_CANDIDATES: usize = 48;
/// Minimum number of gateways per endpoint; prevents a division by zero.
const MIN_GATEWAYS_PER_ENDPOINT: f64 = 1e-9;

impl DecisionEngine {
    /// Number of endpoints in this gateway's subset.
    pub(super) fn subset_size(&self) -> usize {
        let rate = self.send_rate.per_second(self.now);
        let size = MIN_SUBSET_SIZE + SUBSET_ENDPOINTS_PER_UNIT_RATE * rate;
        size.min(self.endpoints.in_service_count() as f64) as usize
    }

    /// Index of the subset's first endpoint in the shared order of the fleet.
    pub(super) fn subset_start(&self) -> usize {
        let endpoints = self.endpoints.in_service_count();
        let relative_start = (f64::from(self.settings.gateway_index) * GOLDEN_RATIO).fract();
        let start = relative_start * endpoints as f64;
        (start as usize).min(endpoints)
    }

    /// The endpoints in service, this gateway's subset first.
    pub(super) fn subset_first(&self) -> impl Iterator<Item = &Endpoint> + '_ {
        self.endpoints.in_service_from(self.subset_start())
    }

    /// This gateway's share of the concurrency limit of an endpoint: one if few gateways use it,
    /// otherwise inversely proportional to their number.
    pub(super) fn limit_share(&self) -> f64 {
        let endpoints = self.endpoints.in_service_count().max(1) as f64;
        let gateways_per_endpoint =
            f64::from(self.settings.gateways) * self.subset_size() as f64 / endpoints;
        (INITIAL_SHARED_LIMIT
            / INITIAL_LIMIT
            / gateways_per_endpoint.max(MIN_GATEWAYS_PER_ENDPOINT))
        .min(1.0)
    }

    /// Whether so many gateways share the endpoints that initial limits are below one attempt, so
    /// that they barely bound the attempts.
    pub(super) fn are_limits_fractional(&self) -> bool {
        INITIAL_LIMIT * self.limit_share() < 1.0
    }

    /// Whether outlier detection allows attempts to an endpoint now.
    pub(super) fn is_healthy(&self, endpoint: &Endpoint) -> bool {
        endpoint.is_healthy(self.now)
    }

    /// The sum of the limits of the subset's healthy endpoints. For a large subset it is recomputed
    /// at most once per timer resolution, as one answer among hundreds hardly changes it.
    pub(super) fn subset_limit(&mut self, subset_size: usize) -> f64 {
        let known = self.endpoints.limit_sum;
        let is_recent = self.now < known.computed_at + self.settings.timer_resolution;
        if subset_size > MAX_CANDIDATES && is_recent {
            return known.limit;
        }
        let limit_share = self.limit_share();
        let limit = self
            .subset_first()
            .take(subset_size)
            .filter(|endpoint| self.is_healthy(endpoint))
            .map(|endpoint| endpoint.limit * limit_share)
            .sum();
        self.endpoints.limit_sum = LimitSum {
            computed_at: self.now,
            limit,
        };
        limit
    }
}
