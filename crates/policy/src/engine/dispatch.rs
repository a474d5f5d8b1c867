//! Sends attempts, or keeps requests pending until an endpoint is free.

use super::stragglers::straggler_check_after;
use super::DecisionEngine;
use crate::api::{Action, EndpointId, Idempotency, KeyScope, RequestId, TimeDelta, Timestamp};
use crate::request::{Attempt, OpenRequest};
use crate::timers::TimerPurpose;

/// Fraction of the latency objective that an attempt with an early timeout leaves for a retry, and
/// the minimum fraction that it gets itself.
const RETRY_OBJECTIVE_FRACTION: f64 = 0.3;

/// Timeouts of an attempt that is sent now.
struct AttemptTimeouts {
    /// When it times out.
    times_out_at: Timestamp,
    /// Time after which it is checked for being a straggler; `None` if it is not checked.
    straggler_check: Option<TimeDelta>,
}

impl DecisionEngine {
    /// Sends the next attempt, or keeps the request pending until an endpoint is free.
    pub(super) fn dispatch(&mut self, id: RequestId) {
        match self.select_endpoint(id) {
            Some(endpoint) => self.send(id, endpoint),
            None => self.keep_pending(id),
        }
    }

    /// Sends an attempt to an endpoint.
    pub(super) fn send(&mut self, id: RequestId, endpoint_id: EndpointId) {
        let now = self.now;
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let units = request.incoming.units;
        let timeouts = self.attempt_timeouts(request, endpoint_id);
        let (quick_answers_before, registration) =
            self.endpoints.get(endpoint_id).map_or((0, 0), |endpoint| {
                (endpoint.quick_answers, endpoint.registration)
            });
        let attempt = self.record_attempt(
            id,
            Attempt {
                endpoint: endpoint_id,
                registration,
                sent_at: now,
                is_in_flight: true,
                may_have_run: false,
                quick_answers_before,
            },
        );
        self.send_rate.record(now, units);
        if let Some(endpoint) = self.endpoints.get_mut(endpoint_id) {
            endpoint.in_flight += 1.0;
            endpoint.slow_start_bucket.level -= units;
            self.endpoints.in_flight += 1.0;
        }
        self.actions.push(Action::SendAttempt {
            request: id,
            endpoint: endpoint_id,
            deadline: timeouts.times_out_at,
        });
        if let Some(after) = timeouts.straggler_check {
            let request = id;
            let timer = self.set_timer(TimerPurpose::StragglerCheck { request, attempt }, after);
            if let Some(request) = self.requests.get_mut(&id) {
                request.timers.push(timer);
            }
        }
    }

    /// Records an attempt that is sent, and returns its index.
    fn record_attempt(&mut self, id: RequestId, attempt: Attempt) -> usize {
        let Some(request) = self.requests.get_mut(&id) else {
            return 0;
        };
        request.attempts.push(attempt);
        request.pending_since = None;
        request.counted = None;
        request.attempts.len() - 1
    }

    fn attempt_timeouts(&self, request: &OpenRequest, endpoint: EndpointId) -> AttemptTimeouts {
        let now = self.now;
        let class = request.class(&self.settings);
        let objective = class.latency_objective;
        let early_deadline = request.arrived_at + objective.mul_f64(1.0 - RETRY_OBJECTIVE_FRACTION);
        let is_early_enough = early_deadline > now + objective.mul_f64(RETRY_OBJECTIVE_FRACTION);
        let times_out_at = if self.may_time_out_early(request, endpoint) && is_early_enough {
            early_deadline
        } else {
            request.incoming.deadline
        };
        let mean_latency = self
            .endpoints
            .get(endpoint)
            .map_or(0.0, |endpoint| endpoint.latency);
        let check_after = straggler_check_after(mean_latency, objective);
        let is_checked = class.idempotency == Idempotency::Idempotent
            && !class.is_streaming
            && now + check_after < early_deadline;
        AttemptTimeouts {
            times_out_at: times_out_at.min(request.incoming.deadline),
            straggler_check: is_checked.then_some(check_after),
        }
    }

    /// Whether an attempt may time out early enough for a retry to meet the latency objective. This
    /// guards against endpoints that stop responding, so it applies only to endpoints on probation
    /// or outliers, and only while the fleet is healthy. Early timeouts in general would run work
    /// twice, which drives a fleet at capacity into congestion. Trade-off: the first request at
    /// each endpoint that stops responding waits for its deadline.
    fn may_time_out_early(&self, request: &OpenRequest, endpoint: EndpointId) -> bool {
        let class = request.class(&self.settings);
        let is_repeatable_anywhere = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => class.key_scope == KeyScope::All,
            Idempotency::NonIdempotent => false,
        };
        let is_suspect = self
            .endpoints
            .get(endpoint)
            .is_some_and(|endpoint| endpoint.is_on_probation || endpoint.is_outlier(&self.fleet));
        is_repeatable_anywhere
            && !class.is_streaming
            && request.attempts.len() + 1 < self.settings.max_attempts
            && self.fleet.is_healthy()
            && is_suspect
    }
}
