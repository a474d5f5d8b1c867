//! Calls to the counter: sampling, circuit breakers, and the adds.

use super::DecisionEngine;
use crate::api::{Action, CustomerId, TimeDelta};
use crate::counter::calls::{counter_key, CounterAdd, CounterCall, CounterPurpose};
use crate::window::{QuotaWindow, CONCURRENCY_EPOCH};

/// Maximum time to live of a counter; gateways don't read older ones.
const MAX_COUNTER_TTL: TimeDelta = TimeDelta::from_secs(60);

impl DecisionEngine {
    /// Whether the counter is unavailable for this customer, so that the local bucket decides.
    pub(crate) fn is_counter_unavailable(&self, customer: CustomerId) -> bool {
        let is_own_breaker_open = self
            .customers
            .get(&customer)
            .is_some_and(|customer| customer.breaker.is_open());
        !self.settings.use_counter || self.counter.breaker.is_open() || is_own_breaker_open
    }

    /// Draws whether a request calls the counter, with the sample rate to the power of `exponent`
    /// as probability. If so, returns the number of requests that it represents, including itself.
    /// While the breaker is open, every request is sampled, as it may be the probe.
    pub(crate) fn draw_sample(&mut self, exponent: f64) -> Option<f64> {
        let probability = if self.counter.breaker.is_open() {
            1.0
        } else {
            self.counter.sampler.sample_probability(exponent)
        };
        (self.rng.f64() < probability).then_some(1.0 / probability)
    }

    /// Returns whether the circuit breakers allow a call for the customer, and if so records the
    /// call with them.
    pub(crate) fn try_reserve_call(&mut self, customer: CustomerId) -> bool {
        let Some(customer) = self.customers.get_mut(&customer) else {
            return false;
        };
        let is_allowed = self.settings.use_counter
            && self.counter.breaker.allows_call(self.now)
            && customer.breaker.allows_call(self.now);
        if is_allowed {
            self.counter.breaker.record_call();
            customer.breaker.record_call();
        }
        is_allowed
    }

    /// Sends one add: the request's units, those of similar requests that are not sampled, and the
    /// unposted units.
    pub(crate) fn add_to_counter(&mut self, add: CounterAdd) {
        let Some(customer) = self.customers.get_mut(&add.customer) else {
            return;
        };
        let counter = customer.counter_mut(add.purpose);
        let window_index = counter.index;
        let posted_late = counter.unposted;
        if add.units + posted_late == 0.0 && add.request.is_none() {
            return;
        }
        counter.begin_posting(posted_late);
        let length = match add.purpose {
            CounterPurpose::Quota => {
                QuotaWindow::for_plan(&self.settings.plans[customer.plan.0]).length
            }
            CounterPurpose::Concurrency => CONCURRENCY_EPOCH,
        };
        let is_probing = self.counter.breaker.is_probing() || customer.breaker.is_probing();
        let key = counter_key(add.customer, add.purpose, window_index);
        let amount = add.units + add.unsampled_units + posted_late;
        let call = CounterCall {
            sent_at: self.now,
            purpose: add.purpose,
            customer: add.customer,
            window_index,
            request: add.request,
            amount,
            posted_late,
            unsampled_units: add.unsampled_units,
            is_probe: add.request.is_some() && is_probing,
        };
        self.counter.calls.push(key, call);
        if let Some(request) = add.request.and_then(|id| self.requests.get_mut(&id)) {
            request.counter_calls += 1;
        }
        self.actions.push(Action::AddToCounter {
            key,
            amount,
            time_to_live: (length + length).min(MAX_COUNTER_TTL),
        });
    }

    /// Posts a customer's unposted units; negative ones are refunded.
    pub(crate) fn post_unposted(&mut self, customer: CustomerId, purpose: CounterPurpose) {
        self.add_to_counter(CounterAdd {
            purpose,
            customer,
            request: None,
            units: 0.0,
            unsampled_units: 0.0,
        });
    }
}
