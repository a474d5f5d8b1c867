//! Handling of attempts that end: statistics of the endpoint and the fleet, and the next step of
//! the request.

use super::DecisionEngine;
use crate::api::{AttemptResult, EndpointId, Outcome, TimeDelta, Timestamp};
use crate::endpoint::Endpoint;
use crate::request::Attempt;

/// An answer indicates congestion if its latency plus a margin exceeds this fraction of the latency
/// objective.
const LATE_OBJECTIVE_FRACTION: f64 = 0.85;
/// That margin, as a multiple of the endpoint's mean latency.
const LATENCY_MARGIN_MULTIPLE: u64 = 2;
/// An answer within this fraction of the latency objective is quick.
const QUICK_OBJECTIVE_FRACTION: f64 = 0.25;
/// Connects that fail for longer than this, with no answer in between, indicate that the endpoint
/// restarted.
const MIN_RESTART_DOWNTIME: TimeDelta = TimeDelta::from_millis(700);
/// Minimum of the random factor on the duration of an ejection.
const MIN_EJECTION_JITTER: f64 = 0.75;
/// Range of that factor.
const EJECTION_JITTER_SPREAD: f64 = 0.5;

/// How an attempt ended, as evidence about its endpoint.
struct AttemptEvidence {
    endpoint: EndpointId,
    outcome: Outcome,
    elapsed: TimeDelta,
    /// The class's latency objective.
    objective: TimeDelta,
    /// Whether only this attempt was late, while its endpoint answered others quickly.
    is_straggler: bool,
}

impl AttemptEvidence {
    /// Whether it is no evidence about the endpoint, as the attempt was a straggler that was
    /// cancelled or timed out.
    fn is_inconclusive(&self) -> bool {
        self.is_straggler && matches!(self.outcome, Outcome::Cancelled | Outcome::Timeout)
    }

    /// Whether the endpoint has too many attempts in flight. Trade-off: a short stall of the
    /// endpoint is also taken for congestion.
    fn is_congested(&self, endpoint: &Endpoint) -> bool {
        let latency_margin =
            TimeDelta::from_micros(LATENCY_MARGIN_MULTIPLE * endpoint.latency as u64);
        let is_late = matches!(self.outcome, Outcome::Ok | Outcome::Cancelled)
            && self.elapsed + latency_margin > self.objective.mul_f64(LATE_OBJECTIVE_FRACTION);
        let is_at_capacity = matches!(self.outcome, Outcome::Rejected | Outcome::Timeout);
        !self.is_inconclusive() && (is_late || is_at_capacity)
    }

    /// Whether the endpoint answered quickly, and so could handle more attempts in parallel.
    fn is_quick_answer(&self) -> bool {
        let threshold = self.objective.mul_f64(QUICK_OBJECTIVE_FRACTION);
        self.outcome == Outcome::Ok && self.elapsed < threshold
    }

    /// Whether the attempt failed or missed the latency objective.
    fn is_failed_or_late(&self) -> bool {
        let is_error = !matches!(
            self.outcome,
            Outcome::Ok | Outcome::Cancelled | Outcome::NeverSent
        );
        is_error || self.elapsed > self.objective
    }
}

impl DecisionEngine {
    /// Handles the end of an attempt: the request is complete, is retried, or is rejected or
    /// failed.
    pub(super) fn on_attempt_ended(&mut self, result: &AttemptResult) {
        let Some(attempt) = self.close_attempt(result) else {
            return;
        };
        let id = result.request;
        let outcome = result.outcome;
        let request = &self.requests[&id];
        let objective = request.class(&self.settings).latency_objective;
        let is_answered = request.is_done;
        let is_within_objective = self.now < request.arrived_at + objective;
        self.record_evidence(&AttemptEvidence {
            endpoint: result.endpoint,
            outcome,
            elapsed: result.elapsed,
            objective,
            is_straggler: outcome != Outcome::Ok && self.is_straggler(&attempt),
        });
        if is_answered {
            self.cancel_timers_of(id);
            self.remove_if_finished(id);
        } else if is_within_objective && self.may_retry(id) && self.retry_budget.has_retry() {
            self.retry_budget.spend();
            self.dispatch(id);
        } else if !self.requests[&id].is_in_flight() {
            self.reject_or_fail(id);
        }
        if !self.pending.is_empty() {
            self.send_pending();
        }
    }

    /// Marks an attempt as ended and returns it; `None` if it is unknown or had ended before.
    fn close_attempt(&mut self, result: &AttemptResult) -> Option<Attempt> {
        let request = self.requests.get_mut(&result.request)?;
        let attempt = request.attempts.get_mut(result.attempt)?;
        if !attempt.is_in_flight || attempt.endpoint != result.endpoint {
            return None;
        }
        attempt.is_in_flight = false;
        attempt.may_have_run = !result.outcome.never_ran();
        let attempt = attempt.clone();
        let is_first_answer = result.outcome == Outcome::Ok && !request.is_done;
        request.is_done |= result.is_request_finished || result.outcome == Outcome::Ok;
        let reserved_units = request.incoming.units;
        if let Some(units) = result.settled_units.filter(|_| is_first_answer) {
            if let Some(customer) = self.customers.get_mut(&request.incoming.customer) {
                customer.quota_counter.unposted += units - reserved_units;
            }
        }
        Some(attempt)
    }

    /// Updates concurrency limits, accept rate, failure shares, latencies and ejections with the
    /// end of an attempt.
    fn record_evidence(&mut self, evidence: &AttemptEvidence) {
        let now = self.now;
        let jitter = MIN_EJECTION_JITTER + EJECTION_JITTER_SPREAD * self.rng.f64();
        let limit_share = self.limit_share();
        let is_overloaded = self.is_overloaded();
        let Some(endpoint) = self.endpoints.get_mut(evidence.endpoint) else {
            return;
        };
        endpoint.in_flight = (endpoint.in_flight - 1.0).max(0.0);
        let is_congested = evidence.is_congested(endpoint);
        if evidence.is_quick_answer() {
            endpoint.quick_answers += 1;
        }
        self.shedder.observe_result(now, is_congested);
        if is_congested {
            endpoint.decrease_limit();
        } else if evidence.is_quick_answer() && endpoint.was_at_limit(limit_share) {
            endpoint.increase_limit();
            if is_overloaded {
                self.overload.increase();
            }
        }
        let is_connect_failure = evidence.outcome == Outcome::ConnectFailed;
        let is_first_connect_failure = is_connect_failure && endpoint.observe_connect_failure(now);
        let is_failure = evidence.is_failed_or_late()
            && !evidence.is_inconclusive()
            && !is_first_connect_failure;
        self.fleet.observe_result(is_failure);
        let weight = endpoint.observe_result(now, is_failure);
        let mut has_restarted = false;
        if evidence.outcome == Outcome::Ok {
            let micros = evidence.elapsed.as_micros() as f64;
            endpoint.observe_answer(micros, weight, is_failure);
            self.fleet.observe_latency(micros);
            has_restarted = begin_slow_start_after_restart(endpoint, now);
        }
        if is_failure {
            endpoint.eject_if_outlier(now, evidence.outcome, &self.fleet, jitter);
        }
        self.endpoints.slow_start_count += usize::from(has_restarted);
        self.endpoints.in_flight = (self.endpoints.in_flight - 1.0).max(0.0);
    }
}

/// Begins a slow start of an endpoint that answers after connects to it failed for a while: it has
/// restarted before the endpoint list shows it. Returns whether a slow start began.
fn begin_slow_start_after_restart(endpoint: &mut Endpoint, now: Timestamp) -> bool {
    let was_unreachable = endpoint.clear_connect_failures(MIN_RESTART_DOWNTIME);
    if !was_unreachable || endpoint.slow_start_since.is_some() {
        return false;
    }
    endpoint.begin_slow_start(now, now, 0.0);
    true
}
