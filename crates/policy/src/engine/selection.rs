//! Selection of an endpoint: the allowed one with the least expected wait.

use super::subset::MAX_CANDIDATES;
use super::DecisionEngine;
use crate::api::{EndpointId, RequestId, ZoneId};
use crate::endpoint::Endpoint;
use crate::hash::mix_bits;
use crate::request::OpenRequest;

/// Attempts that a gateway with fractional limits may have in flight, whatever the limits: some
/// requests come at the same moment.
const MIN_IN_FLIGHT_FRACTIONAL: f64 = 2.0;
/// The same where limits are whole attempts.
const MIN_IN_FLIGHT: f64 = 1.0;
/// Bounds of an endpoint's latency against the fleet's in its score.
const LATENCY_RATIO: std::ops::RangeInclusive<f64> = 0.7..=2.0;
/// How much a share of failures of one worsens the score.
const FAILURE_PENALTY: f64 = 3.0;
/// What each earlier attempt of the request at the endpoint adds to the score.
const REPEAT_PENALTY: f64 = 4.0;
/// Part of the score that is random, so that gateways differ.
const SCORE_JITTER: f64 = 0.1;
/// Part that another zone than the gateway's adds where sites are not watched, scaled by the
/// gateway's limit share.
const REMOTE_ZONE_PENALTY: f64 = 0.05;
/// Part that an endpoint outside the drawn zone adds where sites are watched.
const NON_PREFERRED_ZONE_PENALTY: f64 = 4.0;
/// Factor for an endpoint on trial: it is preferred, or one that failed would never get the attempt
/// that ends its trial.
const PROBATION_FACTOR: f64 = 0.3;

/// What one selection compares endpoints by.
struct Selection<'a> {
    request: &'a OpenRequest,
    /// This gateway's share of the endpoints' limits.
    limit_share: f64,
    /// Some endpoint in service is healthy.
    is_any_healthy: bool,
    /// Random number of this selection.
    salt: u64,
    /// Where the request goes first; none: sites are not watched.
    preferred_zone: Option<ZoneId>,
}

/// The best endpoint until now.
#[derive(Clone, Copy)]
struct Candidate {
    score: f64,
    endpoint: EndpointId,
}

impl DecisionEngine {
    /// The allowed endpoint with the least expected wait, outside the own subset only if that has
    /// none; none if the request has to wait.
    pub(super) fn select_endpoint(&mut self, id: RequestId) -> Option<EndpointId> {
        self.advance_slow_starts();
        let salt = self.rng.u64(..);
        let preferred_zone = self.choose_preferred_zone();
        let subset_size = self.subset_size();
        let limit_share = self.limit_share();
        let subset_limit = self.subset_limit(subset_size);
        let request = self.requests.get(&id)?;
        let is_any_healthy = subset_limit > 0.0 || self.is_any_healthy();
        if self.is_at_subset_limit(subset_limit) {
            return None;
        }
        if self.is_overloaded() && self.overload.is_spent() {
            return None;
        }
        let selection = Selection {
            request,
            limit_share,
            is_any_healthy,
            salt,
            preferred_zone,
        };
        let best = self
            .best_of_random(&selection, subset_size)
            .or_else(|| self.best_of_all(&selection, subset_size));
        best.map(|candidate| candidate.endpoint)
    }

    fn is_any_healthy(&self) -> bool {
        self.endpoints
            .iter()
            .any(|endpoint| endpoint.is_in_service && self.is_healthy(endpoint))
    }

    /// Whether as much is in flight as the subset's limits allow. Single limits may be below one
    /// attempt (many gateways): then all in flight stays within their sum.
    fn is_at_subset_limit(&self, subset_limit: f64) -> bool {
        let min_in_flight = if self.are_limits_fractional() {
            MIN_IN_FLIGHT_FRACTIONAL
        } else {
            MIN_IN_FLIGHT
        };
        subset_limit > 0.0 && self.endpoints.in_flight >= subset_limit.max(min_in_flight)
    }

    /// The best of some endpoints drawn from a large subset: the best of many is hardly better, and
    /// comparing all costs more the larger the fleet is. None: the subset is small, or none of
    /// those drawn will do.
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

    /// The best of the subset, or the first outside it that will do.
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

    /// The zone that a request goes to first, drawn by what each should bear; none: sites are not
    /// watched.
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

    /// The expected wait at an endpoint against others; none: it may not be used now.
    fn score(&self, selection: &Selection, endpoint: &Endpoint) -> Option<f64> {
        let request = selection.request;
        if !self.has_room(selection, endpoint) || !self.may_send(request, endpoint) {
            return None;
        }
        let zone_penalty = self.zone_penalty(selection, endpoint)?;
        let latency_ratio = if self.fleet.latency > 0.0 {
            let ratio = endpoint.latency / self.fleet.latency;
            ratio.clamp(*LATENCY_RATIO.start(), *LATENCY_RATIO.end())
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
        let is_probation = endpoint.is_on_probation && request.attempts.is_empty();
        Some(score * if is_probation { PROBATION_FACTOR } else { 1.0 })
    }

    /// Whether an endpoint is healthy and below its limit. With nothing healthy left, one attempt
    /// at a time goes to whatever is in service.
    fn has_room(&self, selection: &Selection, endpoint: &Endpoint) -> bool {
        if !selection.is_any_healthy {
            return endpoint.in_flight < 1.0;
        }
        let limit = (endpoint.limit * selection.limit_share).floor().max(1.0);
        endpoint.in_flight < limit && self.is_healthy(endpoint)
    }

    /// What the endpoint's zone adds to its score. Where sites are watched, others than the drawn
    /// one are used only if that has no room, and never one that is closed: then none.
    fn zone_penalty(&self, selection: &Selection, endpoint: &Endpoint) -> Option<f64> {
        let Some(preferred_zone) = selection.preferred_zone else {
            let is_other_zone = endpoint.zone != self.settings.zone;
            let penalty = f64::from(u8::from(is_other_zone)) * REMOTE_ZONE_PENALTY;
            return Some(penalty * selection.limit_share);
        };
        if preferred_zone == endpoint.zone {
            return Some(0.0);
        }
        let is_closed = self
            .zone_shares
            .iter()
            .any(|zone| zone.zone == endpoint.zone && !zone.accepts_overflow);
        (!is_closed).then_some(NON_PREFERRED_ZONE_PENALTY)
    }
}
