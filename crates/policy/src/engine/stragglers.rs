//! Stragglers: attempts that are late alone, while their endpoint answers others quickly.

use super::DecisionEngine;
use crate::api::{Action, RequestId, TimeDelta};
use crate::request::Attempt;

/// Quick answers of an endpoint since an attempt was sent there that prove that the attempt alone
/// is late.
const QUICK_ANSWERS_TO_PROVE: u64 = 3;
/// How many times its usual time the endpoint is given before the check.
const LATENCY_MULTIPLE: f64 = 6.0;
/// The least time before the check, as part of the latency objective.
const MIN_OBJECTIVE_FRACTION: f64 = 0.35;

/// After what time an attempt is checked, by its endpoint's usual latency in microseconds.
pub(super) fn straggler_check_after(mean_latency: f64, objective: TimeDelta) -> TimeDelta {
    let by_latency = TimeDelta::from_micros((mean_latency * LATENCY_MULTIPLE) as u64);
    by_latency.max(objective.mul_f64(MIN_OBJECTIVE_FRACTION))
}

impl DecisionEngine {
    /// Whether an attempt is late alone: its endpoint has answered others quickly since it was
    /// sent.
    pub(super) fn is_straggler(&self, attempt: &Attempt) -> bool {
        self.endpoints
            .get(attempt.endpoint)
            .is_some_and(|endpoint| {
                endpoint.quick_answers >= attempt.quick_answers_before + QUICK_ANSWERS_TO_PROVE
            })
    }

    /// Cancels an attempt that is a straggler, so that the request is sent again. This guards
    /// against connections that fall silent while their endpoints work, and never acts where all
    /// answers are late. Trade-off: one long piece of work among short ones is begun twice.
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
