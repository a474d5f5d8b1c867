//! Admission by a plan's concurrency limit: each request holds a slot until it has ended, counted
//! over all gateways.

use super::quota::{CounterResult, RETRY_EXPONENT};
use super::DecisionEngine;
use crate::api::{Action, CustomerId, Plan, PlanId, RequestId};
use crate::counter::calls::{CounterAdd, CounterPurpose};
use crate::token_bucket::TokenBucket;
use crate::window::UNITS_TOLERANCE;

/// Fraction of a plan's slots that requests admitted without a reply of the counter may use. The
/// rest is left for counted requests, and for bursts.
const UNCOUNTED_SLOTS_FRACTION: f64 = 0.5;
/// Minimum time that a slot is assumed to be held, in microseconds.
const MIN_HOLD_MICROS: f64 = 1.0;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

impl DecisionEngine {
    /// Calls the counter for a slot if the request is sampled, otherwise decides the request
    /// without a call.
    pub(super) fn admit_by_concurrency(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let customer = request.incoming.customer;
        // A slot takes two calls, so if requests with a quota also call the counter, slots get the
        // lowest sample rate.
        let exponent = if self.counter.sampler.has_seen_request() {
            RETRY_EXPONENT
        } else {
            1.0
        };
        if self.settings.plans[request.incoming.plan.0].max_concurrency <= 0.0 {
            self.admit(id);
        } else if self.draw_sample(exponent).is_some() && self.try_reserve_call(customer) {
            self.add_to_counter(CounterAdd {
                purpose: CounterPurpose::Concurrency,
                customer,
                request: Some(id),
                units: 1.0,
                unsampled_units: 0.0,
            });
        } else {
            self.decide_by_concurrency(id, CounterResult::Unavailable);
        }
    }

    /// Decides a request by the total of slots in use, or by this gateway's share of the slots.
    pub(super) fn decide_by_concurrency(&mut self, id: RequestId, result: CounterResult) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let customer = request.incoming.customer;
        let plan = request.incoming.plan;
        let is_retry = request.incoming.is_retry;
        let is_done = request.is_done;
        if !self.customers.contains_key(&customer) {
            return;
        }
        let has_slot = match result {
            CounterResult::Total(total) => total <= self.settings.plans[plan.0].max_concurrency,
            _ if is_retry && !self.is_counter_unavailable(customer) => false,
            _ => self.has_uncounted_slot(customer, plan),
        };
        if has_slot && !is_done {
            self.admit(id);
        } else {
            self.reject_or_fail(id);
        }
        self.release_surplus_slots(customer);
    }

    fn has_uncounted_slot(&mut self, customer_id: CustomerId, plan: PlanId) -> bool {
        let customer = &self.customers[&customer_id];
        let max_concurrency = self.settings.plans[plan.0].max_concurrency;
        if max_concurrency >= customer.gateways {
            customer.held_slots < (max_concurrency / customer.gateways).floor()
        } else {
            self.try_start_uncounted(customer_id)
        }
    }

    /// Limits the start rate if a gateway's share is below one slot. At the current latency, all
    /// gateways together use a fraction of the slots, instead of one slot each. The bucket starts
    /// full, for customers with few requests per gateway. Trade-off: a customer with many requests
    /// through many gateways exceeds its slots at first.
    fn try_start_uncounted(&mut self, customer: CustomerId) -> bool {
        let now = self.now;
        let hold_seconds = self.fleet.latency.max(MIN_HOLD_MICROS) / MICROS_PER_SECOND;
        let Some(customer) = self.customers.get_mut(&customer) else {
            return false;
        };
        let plan: &Plan = &self.settings.plans[customer.plan.0];
        let rate =
            UNCOUNTED_SLOTS_FRACTION * plan.max_concurrency / customer.gateways / hold_seconds;
        let bucket = customer.slot_bucket.get_or_insert(TokenBucket {
            level: 1.0,
            capacity: 1.0,
            rate,
            refilled_at: now,
        });
        bucket.rate = rate;
        bucket.try_take(now, 1.0)
    }

    /// Subtracts from the shared count the slots that this gateway has added and no longer uses.
    pub(super) fn release_surplus_slots(&mut self, customer_id: CustomerId) {
        self.roll_windows(customer_id);
        let Some(customer) = self.customers.get_mut(&customer_id) else {
            return;
        };
        let counter = &mut customer.concurrency_counter;
        let surplus = counter.posted + counter.posting + counter.unposted - customer.held_slots;
        if surplus > UNITS_TOLERANCE && !self.counter.breaker.is_open() {
            counter.unposted -= surplus;
            self.post_unposted(customer_id, CounterPurpose::Concurrency);
        }
    }

    /// Admits a request: sends it to an endpoint, or grants it to the caller that does the work.
    fn admit(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let has_limit = self.settings.plans[request.incoming.plan.0].max_concurrency > 0.0;
        if has_limit {
            request.holds_slot = true;
            if let Some(customer) = self.customers.get_mut(&request.incoming.customer) {
                customer.held_slots += 1.0;
            }
        }
        if self.settings.classes[request.incoming.class.0].is_admission_only {
            // The request keeps its counted units and its slot, and no longer has a deadline.
            request.is_streaming = true;
            request.counted = None;
            self.actions.push(Action::Grant(id));
            return;
        }
        self.dispatch(id);
    }
}
