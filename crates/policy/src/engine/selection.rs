//! Selection of an endpoint: the eligible one with the lowest expected wait.

use super::subset::MAX_CANDIDATES;
use super::DecisionEngine;
use crate::api::{EndpointId, RequestId, ZoneId};
use crate::endpoint::Endpoint;
use crate::hash::mix_bits;
use crate::request::OpenRequest;

/// Minimum number of attempts that a gateway with fractional limits may have in flight, as some
/// requests arrive together.
const MIN_IN_FLIGHT_FRACTIONAL: f64 = 2.0;
/// The same minimum if limits are at least one attempt.
const MIN_IN_FLIGHT: f64 = 1.0;
/// Bounds of the ratio of an endpoint's latency to the fleet's in its score.
const LATENCY_RATIO_BOUNDS: std::ops::RangeInclusive<f64> = 0.7..=2.0;
/// Relative increase of the score at a failure share of one.
const FAILURE_PENALTY: f64 = 3.0;
/// Increase of the score for each earlier attempt of the request at the endpoint.
const REPEAT_PENALTY: f64 = 4.0;
/// Maximum relative jitter of the score, so that gateways choose differently.
const SCORE_JITTER: f64 = 0.1;
/// Relative increase of the score outside the gateway's zone if site failover is off, scaled by the
/// gateway's limit share.
const REMOTE_ZONE_PENALTY: f64 = 0.05;
/// Relative increase of the score outside the request's preferred zone if site failover is on.
const NON_PREFERRED_ZONE_PENALTY: f64 = 4.0;
/// Factor on the score of an endpoint on probation. It is preferred, as otherwise it would never
/// get the attempt that ends its probation.
const PROBATION_FACTOR: f64 = 0.3;

/// What decides whether an endpoint has capacity, besides the endpoint's own state.
struct CapacityInputs {
    /// This gateway's share of the endpoints' limits.
    limit_share: f64,
    /// Whether any endpoint in service is healthy.
    is_any_healthy: bool,
}

/// Inputs of one selection.
struct Selection<'a> {
    request: &'a OpenRequest,
    capacity: CapacityInputs,
    /// Random salt of this selection's jitter.
    salt: u64,
    /// The zone that the request prefers; `None` if site failover is off.
    preferred_zone: Option<ZoneId>,
}

/// An endpoint with its score; a lower score is better.
#[derive(Clone, Copy)]
struct Candidate {
    score: f64,
    endpoint: EndpointId,
}

impl DecisionEngine {
    /// Selects the eligible endpoint with the lowest expected wait, outside this gateway's subset
    /// only if the subset has none. Returns `None` if the request has to wait.
    pub(super) fn select_endpoint(&mut self, id: RequestId) -> Option<EndpointId> {
        self.advance_slow_starts();
        let salt = self.rng.u64(..);
        let preferred_zone = self.choose_preferred_zone();
        let subset_size = self.subset_size();
        let limit_share = self.limit_share();
        let subset_limit = self.subset_limit(subset_size);
        let request = self.requests.get(&id)?;
        if self.is_at_fleet_limit(subset_limit) {
            return None;
        }
        let selection = Selection {
            request,
            capacity: self.capacity_inputs(subset_limit, limit_share),
            salt,
            preferred_zone,
        };
        let best = self
            .best_of_random(&selection, subset_size)
            .or_else(|| self.best_of_all(&selection, subset_size));
        best.map(|candidate| candidate.endpoint)
    }

    /// Draws the random numbers of a selection without making one.
    pub(super) fn skip_selection(&mut self) {
        self.rng.u64(..);
        self.choose_preferred_zone();
    }

    /// Whether no endpoint can take any request now.
    pub(super) fn is_capacity_exhausted(&mut self) -> bool {
        let subset_size = self.subset_size();
        let subset_limit = self.subset_limit(subset_size);
        let capacity = self.capacity_inputs(subset_limit, self.limit_share());
        let has_capacity = |endpoint: &Endpoint| self.has_capacity(&capacity, endpoint);
        self.is_at_fleet_limit(subset_limit) || !self.subset_first().any(has_capacity)
    }

    /// Whether the attempts in flight have reached a limit of all endpoints together.
    fn is_at_fleet_limit(&self, subset_limit: f64) -> bool {
        self.is_at_subset_limit(subset_limit) || (self.is_overloaded() && self.overload.is_spent())
    }

    fn capacity_inputs(&self, subset_limit: f64, limit_share: f64) -> CapacityInputs {
        CapacityInputs {
            limit_share,
            is_any_healthy: subset_limit > 0.0 || self.is_any_healthy(),
        }
    }

    fn is_any_healthy(&self) -> bool {
        self.endpoints
            .iter()
            .any(|endpoint| endpoint.is_in_service && self.is_healthy(endpoint))
    }

    /// Whether the attempts in flight have reached the sum of the subset's limits. With many
    /// gateways, single limits may be below one attempt, so only their sum bounds the attempts.
    fn is_at_subset_limit(&self, subset_limit: f64) -> bool {
        let min_in_flight = if self.are_limits_fractional() {
            MIN_IN_FLIGHT_FRACTIONAL
        } else {
            MIN_IN_FLIGHT
        };
        subset_limit > 0.0 && self.endpoints.in_flight >= subset_limit.max(min_in_flight)
    }

    /// The best of a random sample of a large subset. The best of the whole subset is hardly
    /// better, and comparing all endpoints costs more the larger the fleet is. `None` if the subset
    /// is small, or no sampled endpoint is eligible.
    fn best_of_random(&self, selection: &Selection, subset_size: usize) -> Option<Candidate> {
        if subset_size <= MAX_CANDIDATES {
            return None;
        }
        let start = self.subset_start();
        let endpoints = self.endpoints.in_service_count();
        let mut best = None;
        for i in 0..MAX_CANDIDATES {
            let offset = (selection.salt as usize).wrapping_add(i) % subset_size;
            let endpoint = self.endpoints.in_service_at((start + offset) % endpoints);
            best = self.better_of(selection, best, endpoint);
        }
        best
    }

    /// The best of the subset, or the first eligible endpoint outside it.
    fn best_of_all(&self, selection: &Selection, subset_size: usize) -> Option<Candidate> {
        let mut best = None;
        for (i, endpoint) in self.subset_first().enumerate() {
            best = self.better_of(selection, best, endpoint);
            if best.is_some() && i + 1 >= subset_size {
                break;
            }
        }
        best
    }

    fn better_of(
        &self,
        selection: &Selection,
        best: Option<Candidate>,
        endpoint: &Endpoint,
    ) -> Option<Candidate> {
        let Some(score) = self.score(selection, endpoint) else {
            return best;
        };
        match best {
            Some(best) if score >= best.score => Some(best),
            _ => Some(Candidate {
                score,
                endpoint: endpoint.id,
            }),
        }
    }

    /// Draws the zone that a request prefers, weighted by the zone shares. `None` if site failover
    /// is off.
    fn choose_preferred_zone(&mut self) -> Option<ZoneId> {
        if self.zone_shares.is_empty() {
            return None;
        }
        let mut remaining = self.rng.f64();
        self.zone_shares
            .iter()
            .find(|zone| {
                remaining -= zone.share;
                remaining < 0.0
            })
            .map(|zone| zone.zone)
    }

    /// Score of an endpoint by its expected wait; lower is better. `None` if it is not eligible
    /// now.
    fn score(&self, selection: &Selection, endpoint: &Endpoint) -> Option<f64> {
        let request = selection.request;
        if !self.has_capacity(&selection.capacity, endpoint) || !self.may_send(request, endpoint) {
            return None;
        }
        let zone_penalty = self.zone_penalty(selection, endpoint)?;
        let latency_ratio = if self.fleet.latency > 0.0 {
            let ratio = endpoint.latency / self.fleet.latency;
            ratio.clamp(*LATENCY_RATIO_BOUNDS.start(), *LATENCY_RATIO_BOUNDS.end())
        } else {
            1.0
        };
        let earlier_attempts = request.attempts.iter();
        let repeats = earlier_attempts
            .filter(|attempt| attempt.endpoint == endpoint.id)
            .count() as f64;
        let load = (endpoint.in_flight + 1.0) * latency_ratio / endpoint.weight;
        let penalty = 1.0 + FAILURE_PENALTY * endpoint.failure_share;
        let score = load * penalty + REPEAT_PENALTY * repeats;
        let jitter = mix_bits(selection.salt ^ endpoint.id.0) as f64 / u64::MAX as f64;
        let score = score * (1.0 + SCORE_JITTER * jitter + zone_penalty);
        let is_probation_attempt = endpoint.is_on_probation && request.attempts.is_empty();
        Some(
            score
                * if is_probation_attempt {
                    PROBATION_FACTOR
                } else {
                    1.0
                },
        )
    }

    /// Whether an endpoint is healthy and below its limit. If no endpoint is healthy, every
    /// endpoint in service gets one attempt at a time.
    fn has_capacity(&self, inputs: &CapacityInputs, endpoint: &Endpoint) -> bool {
        if !inputs.is_any_healthy {
            return endpoint.in_flight < 1.0;
        }
        let limit = (endpoint.limit * inputs.limit_share).floor().max(1.0);
        endpoint.in_flight < limit && self.is_healthy(endpoint)
    }

    /// Relative increase of the score by the endpoint's zone. With site failover on, zones other
    /// than the preferred one are used only if that is at capacity, and only if they accept
    /// overflow; otherwise `None`.
    fn zone_penalty(&self, selection: &Selection, endpoint: &Endpoint) -> Option<f64> {
        let Some(preferred_zone) = selection.preferred_zone else {
            let is_other_zone = endpoint.zone != self.settings.zone;
            let penalty = f64::from(u8::from(is_other_zone)) * REMOTE_ZONE_PENALTY;
            return Some(penalty * selection.capacity.limit_share);
        };
        if preferred_zone == endpoint.zone {
            return Some(0.0);
        }
        let rejects_overflow = self
            .zone_shares
            .iter()
            .any(|zone| zone.zone == endpoint.zone && !zone.accepts_overflow);
        (!rejects_overflow).then_some(NON_PREFERRED_ZONE_PENALTY)
    }
}
