//! Handling of the counter's replies: updates of the counts, circuit breakers and sample rate, and
//! the decision of the waiting request.

use super::quota::CounterResult;
use super::DecisionEngine;
use crate::api::{CounterKey, Outcome};
use crate::counter::calls::{CounterCall, CounterPurpose};
use crate::request::CountedUnits;
use crate::window::UNITS_TOLERANCE;

impl DecisionEngine {
    /// Handles the reply to the oldest call for a key.
    pub(crate) fn on_counter_reply(&mut self, key: CounterKey, outcome: Outcome, total: f64) {
        let Some(call) = self.counter.calls.pop(key) else {
            return;
        };
        if let Some(request) = call.request.and_then(|id| self.requests.get_mut(&id)) {
            request.counter_calls -= 1;
        }
        self.roll_windows(call.customer);
        if !self.customers.contains_key(&call.customer) {
            return;
        }
        let result = if outcome == Outcome::Ok {
            self.apply_total(&call, total)
        } else {
            self.apply_failed_call(&call, outcome);
            CounterResult::Unavailable
        };
        if let Some(request) = call.request {
            self.decide(request, call.purpose, result);
        }
        if call.purpose == CounterPurpose::Quota && outcome == Outcome::Ok {
            self.post_remaining_units(&call);
        }
        if let Some(request) = call.request {
            self.remove_if_finished(request);
        }
    }

    /// Updates the customer's count with a total. Returns the total that decides the request:
    /// without the units added for unsampled requests, with the own units that it does not contain.
    fn apply_total(&mut self, call: &CounterCall, total: f64) -> CounterResult {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(&call.customer) else {
            return CounterResult::Total(total);
        };
        let plan = &self.settings.plans[customer.plan.0];
        let mut deciding_total = total - call.unsampled_units;
        let counter = customer.counter_mut(call.purpose);
        let is_of_previous_window = counter.charge_previous(call.window_index, total);
        if counter.index == call.window_index {
            counter.end_posting(call.posted_late);
            let lost = counter.confirm_add(call.amount, total, call.purpose);
            counter.observe_total(now, total, plan);
            deciding_total += counter.unconfirmed();
            // Other gateways may use the units that the counter lost again, so the ceiling's bucket
            // is charged for them.
            customer.ceiling_bucket.level -= lost;
        }
        customer.breaker.record_success(call.is_probe);
        let is_share_enough_for_request =
            customer.gateways * self.settings.max_request_units <= plan.burst;
        if is_share_enough_for_request {
            customer.local_bucket = None;
        }
        self.record_counter_success(call);
        if is_of_previous_window {
            CounterResult::PreviousWindowTotal(deciding_total)
        } else {
            CounterResult::Total(deciding_total)
        }
    }

    fn record_counter_success(&mut self, call: &CounterCall) {
        let now = self.now;
        let counter = &mut self.counter;
        if call.is_probe {
            counter.sampler.reset_rate(self.settings.gateways);
        }
        let timeout = self.settings.counter_timeout;
        counter
            .sampler
            .observe_latency(now, now - call.sent_at, timeout);
        counter.last_failed_customer = None;
        counter.last_reply_at = now;
        counter.breaker.record_success(call.is_probe);
        if let Some(request) = call.request.and_then(|id| self.requests.get_mut(&id)) {
            let units = request.incoming.units + call.unsampled_units;
            let window_index = call.window_index;
            request.counted = match call.purpose {
                CounterPurpose::Quota => Some(CountedUnits {
                    window_index,
                    units,
                }),
                CounterPurpose::Concurrency => None,
            };
        }
    }

    /// Handles a failed call: its late units become unposted again if the call certainly was not
    /// counted. Then records the failure.
    fn apply_failed_call(&mut self, call: &CounterCall, outcome: Outcome) {
        if let Some(customer) = self.customers.get_mut(&call.customer) {
            let counter = customer.counter_mut(call.purpose);
            if counter.index == call.window_index {
                counter.end_posting(call.posted_late);
                if outcome.never_ran() {
                    counter.unposted += call.posted_late;
                }
            }
        }
        self.record_counter_failure(call, outcome);
    }

    /// Consecutive failures of one customer count once for the common breaker, while that
    /// customer's own breaker opens. Otherwise one busy key that exhausts its part of the counter
    /// would cut off all customers.
    fn record_counter_failure(&mut self, call: &CounterCall, outcome: Outcome) {
        let now = self.now;
        let timeout = self.settings.counter_timeout;
        let counter = &mut self.counter;
        // A call that failed with its connection is no evidence against a counter that has just
        // answered others.
        let is_connection_failure = !matches!(outcome, Outcome::Timeout | Outcome::Rejected);
        let replied_recently = now < counter.last_reply_at + timeout;
        if is_connection_failure && !call.is_probe && replied_recently {
            return;
        }
        counter.sampler.observe_failure(now, timeout);
        if counter.last_failed_customer != Some(call.customer) || call.is_probe {
            counter.breaker.record_failure(now, call.is_probe);
        }
        counter.last_failed_customer = Some(call.customer);
        if let Some(customer) = self.customers.get_mut(&call.customer) {
            customer.breaker.record_failure(now, call.is_probe);
        }
    }

    fn post_remaining_units(&mut self, call: &CounterCall) {
        let has_unposted = self
            .customers
            .get(&call.customer)
            .is_some_and(|customer| customer.quota_counter.unposted > UNITS_TOLERANCE);
        if has_unposted {
            self.post_unposted(call.customer, CounterPurpose::Quota);
        }
    }
}
