//! Stragglers: attempts that are late while their endpoint answers others quickly.

use super::DecisionEngine;
use crate::api::{Action, RequestId, TimeDelta};
use crate::request::Attempt;

/// Number of quick answers of an endpoint, after an attempt was sent there, that make the attempt a
/// straggler.
const STRAGGLER_QUICK_ANSWERS: u64 = 3;
/// Time before the check, as a multiple of the endpoint's mean latency.
const CHECK_LATENCY_MULTIPLE: f64 = 6.0;
/// Minimum time before the check, as a fraction of the latency objective.
const MIN_OBJECTIVE_FRACTION: f64 = 0.35;

/// Time after which an attempt is checked; `mean_latency` is its endpoint's, in microseconds.
pub(super) fn straggler_check_after(mean_latency: f64, objective: TimeDelta) -> TimeDelta {
    let by_latency = TimeDelta::from_micros((mean_latency * CHECK_LATENCY_MULTIPLE) as u64);
    by_latency.max(objective.mul_f64(MIN_OBJECTIVE_FRACTION))
}

impl DecisionEngine {
    /// Whether the attempt's endpoint has answered others quickly since it was sent.
    pub(super) fn is_straggler(&self, attempt: &Attempt) -> bool {
        self.endpoints
            .get(attempt.endpoint)
            .is_some_and(|endpoint| {
                endpoint.quick_answers >= attempt.quick_answers_before + STRAGGLER_QUICK_ANSWERS
            })
    }

    /// Cancels an attempt that is a straggler, so that the request is retried. This guards against
    /// connections that stall while their endpoints work, and does nothing if all answers are late.
    /// Trade-off: a long request among short ones is started twice.
    pub(super) fn cancel_if_straggler(&mut self, id: RequestId, attempt: usize) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.is_done || request.is_streaming {
            return;
        }
        let is_late_alone = request
            .attempts
            .get(attempt)
            .is_some_and(|attempt| attempt.is_in_flight && self.is_straggler(attempt));
        let may_retry =
            request.attempts.len() < self.settings.max_attempts && self.retry_budget.has_retry();
        if is_late_alone && may_retry && self.settings.allow_cancel {
            self.actions.push(Action::CancelAttempt {
                request: id,
                attempt,
            });
        }
    }
}
