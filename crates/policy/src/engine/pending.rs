//! Handling of requests that wait for an endpoint.

use super::DecisionEngine;
use crate::api::{RequestId, TimeDelta};
use crate::request::OpenRequest;
use crate::timers::TimerPurpose;
use std::cmp::Reverse;

/// Maximum wait for an endpoint, as a fraction of the latency objective. After a longer wait the
/// answer would miss the objective.
const MAX_WAIT_OBJECTIVE_FRACTION: f64 = 0.3;
/// Interval at which pending requests are tried.
const PENDING_POLL_INTERVAL: TimeDelta = TimeDelta::from_millis(10);
/// Factor that converts a priority weight, or a priority weight per unit, into an integer sort key.
const SORT_KEY_SCALE: f64 = 1e6;

/// A request that waits for an endpoint, in the order in which they are tried.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    sort_key: Reverse<u64>,
    id: RequestId,
    is_overdue: bool,
}

impl DecisionEngine {
    /// Keeps a request pending until an endpoint is free.
    pub(super) fn keep_pending(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            if request.pending_since.is_none() {
                request.pending_since = Some(self.now);
                self.pending.push(id);
            }
        }
        self.set_pending_timer();
    }

    fn set_pending_timer(&mut self) {
        if !self.pending.is_empty() && !self.pending.is_timer_set {
            self.pending.is_timer_set = true;
            self.set_timer(TimerPurpose::PendingRequests, PENDING_POLL_INTERVAL);
        }
    }

    /// Tries all pending requests in descending order of their sort keys, and rejects those that
    /// have waited too long.
    pub(super) fn send_pending(&mut self) {
        let taken = self.pending.take_all().into_iter();
        let mut waiting: Vec<Waiting> = taken.filter_map(|id| self.waiting(id)).collect();
        waiting.sort_unstable();
        // While no endpoint can take any request, the others are not compared with each endpoint.
        let mut is_exhausted = false;
        for Waiting { id, is_overdue, .. } in waiting {
            let selected = if is_exhausted {
                self.skip_selection();
                None
            } else {
                self.select_endpoint(id)
            };
            if let Some(endpoint) = selected {
                self.send(id, endpoint);
            } else if is_overdue {
                self.reject_or_fail(id);
                is_exhausted = false;
            } else {
                self.pending.push(id);
                is_exhausted = is_exhausted || self.is_capacity_exhausted();
            }
        }
        self.set_pending_timer();
    }

    /// A request as it waits now; `None` if it does not wait any more.
    fn waiting(&self, id: RequestId) -> Option<Waiting> {
        let request = self.requests.get(&id)?;
        let waits = !request.is_done && request.pending_since.is_some();
        waits.then(|| Waiting {
            sort_key: Reverse(self.sort_key(request)),
            id,
            is_overdue: self.has_waited_too_long(request),
        })
    }

    /// Sort key of a request: its priority weight, divided by its units if site failover is on.
    fn sort_key(&self, request: &OpenRequest) -> u64 {
        let divisor = if self.shedder.threshold.is_some() {
            request.incoming.units
        } else {
            1.0
        };
        (request.priority_weight(&self.settings) / divisor * SORT_KEY_SCALE) as u64
    }

    fn has_waited_too_long(&self, request: &OpenRequest) -> bool {
        let objective = request.class(&self.settings).latency_objective;
        let max_wait = objective.mul_f64(MAX_WAIT_OBJECTIVE_FRACTION);
        request
            .pending_since
            .is_some_and(|since| self.now >= since + max_wait)
    }
}
