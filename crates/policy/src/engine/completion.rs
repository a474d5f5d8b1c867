//! Completion of a request: its final answer, and removal of its state.

use super::DecisionEngine;
use crate::api::{Action, RequestId, TimeDelta};
use crate::customer::Rejection;
use crate::request::OpenRequest;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

impl DecisionEngine {
    /// Rejects a request, with a retry-after if settings allow it. Fails it instead if a retry by
    /// the client is not safe.
    pub(super) fn reject_or_fail(&mut self, id: RequestId) {
        let Some(class) = self.requests.get(&id).map(|request| request.incoming.class) else {
            return;
        };
        let load_retry_after = self.draw_retry_after(class);
        let request = &self.requests[&id];
        let answer = if request.is_safe_to_reject(&self.settings.classes[class.0]) {
            Action::Reject {
                request: id,
                retry_after: self.quota_retry_after(request, load_retry_after),
            }
        } else {
            Action::Fail(id)
        };
        let rejection = Rejection {
            class,
            units: request.incoming.units,
            at: self.now,
        };
        if let Some(customer) = self.customers.get_mut(&request.incoming.customer) {
            customer.last_rejection = Some(rejection);
        }
        self.finish(id, Some(answer));
    }

    /// Retry-after of a rejection under a quota: the time until the quota has the request's units
    /// again, but at least the retry-after for load.
    fn quota_retry_after(
        &self,
        request: &OpenRequest,
        load_retry_after: Option<TimeDelta>,
    ) -> Option<TimeDelta> {
        let plan = &self.settings.plans[request.incoming.plan.0];
        if plan.rate <= 0.0 {
            return None;
        }
        let counter = &self.customers[&request.incoming.customer].quota_counter;
        let available = counter.available(self.now, counter.known_total(), plan);
        let missing = request.incoming.units - available;
        let refill_micros = missing.max(0.0) / plan.rate * MICROS_PER_SECOND;
        let refill = TimeDelta::from_micros(refill_micros as u64);
        load_retry_after.map(|wait| wait.max(refill).min(self.settings.max_retry_after))
    }

    /// Completes a request with its final answer, or without one if its client has disconnected,
    /// and cancels its attempts in flight.
    pub(super) fn finish(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.is_done {
            request.is_done = true;
            self.actions.extend(answer);
            if self.settings.allow_cancel && !request.is_streaming {
                let attempts = request.attempts.iter().enumerate();
                let in_flight = attempts.filter(|(_, attempt)| attempt.is_in_flight);
                let cancels = in_flight.map(|(attempt, _)| Action::CancelAttempt {
                    request: id,
                    attempt,
                });
                self.actions.extend(cancels);
            }
            self.cancel_timers_of(id);
        }
        self.remove_if_finished(id);
    }

    /// Cancels the timers of a request, which has its final answer.
    pub(super) fn cancel_timers_of(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id);
        let timers = request.map(|request| std::mem::take(&mut request.timers));
        for timer in timers.into_iter().flatten() {
            self.cancel_timer(timer);
        }
    }

    /// Removes a completed request once none of its attempts is in flight, refunds its units if it
    /// was never sent, and frees its slot.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.is_done || request.is_in_flight() {
            return;
        }
        let customer_id = request.incoming.customer;
        let held_slot = std::mem::take(&mut request.holds_slot);
        let counted = request.counted.take();
        // The reply to a counter call in flight still needs the request's state.
        if request.counter_calls == 0 && self.requests.remove(&id).is_some() {
            if let Some(customer) = self.customers.get_mut(&customer_id) {
                customer.open_requests = customer.open_requests.saturating_sub(1);
            }
        }
        if let Some(counted) = counted {
            self.refund(customer_id, counted);
        }
        if held_slot {
            if let Some(customer) = self.customers.get_mut(&customer_id) {
                customer.held_slots -= 1.0;
            }
            self.release_surplus_slots(customer_id);
        }
    }
}
