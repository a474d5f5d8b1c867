//! Admission by a customer's quota: a request's units are added to the shared count of the window
//! before the request is sent.

use super::DecisionEngine;
use crate::api::{CustomerId, RequestId};
use crate::counter::calls::{CounterAdd, CounterPurpose};
use crate::request::CountedUnits;
use crate::window::{QuotaWindow, WindowPosition, CONCURRENCY_EPOCH};

/// Factor on the exponent of the sample rate for retries. They were rejected a moment ago, so they
/// get the lowest sample rate.
pub(super) const RETRY_EXPONENT: f64 = 3.0;
/// Minimum available units for which a refund is posted at once. Fewer units are of no use to other
/// requests, so the refund is posted with the next call.
const MIN_USABLE_UNITS: f64 = 1.0;

/// The counter's total for a request, or why there is none.
#[derive(Clone, Copy, Debug)]
pub(super) enum CounterResult {
    /// The total over all gateways, including this request.
    Total(f64),
    /// The same, of a window that ended before the reply arrived.
    PreviousWindowTotal(f64),
    /// The request was not sampled, so the last total decides.
    NotSampled,
    /// The counter cannot be called, or the call failed.
    Unavailable,
}

impl DecisionEngine {
    /// Advances a customer's counts to the current window and epoch.
    pub(super) fn roll_windows(&mut self, id: CustomerId) {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(&id) else {
            return;
        };
        let plan = &self.settings.plans[customer.plan.0];
        let length = if plan.rate > 0.0 {
            QuotaWindow::for_plan(plan).length
        } else {
            CONCURRENCY_EPOCH
        };
        customer.roll_quota_window(now, WindowPosition::at(now, id, length).index, plan);
        customer.roll_concurrency_epoch(WindowPosition::at(now, id, CONCURRENCY_EPOCH).index);
    }

    /// Units available in a customer's quota at a given total of its shared count.
    pub(super) fn available_units(&self, customer: CustomerId, total: f64) -> f64 {
        let Some(customer) = self.customers.get(&customer) else {
            return 0.0;
        };
        let plan = &self.settings.plans[customer.plan.0];
        customer.quota_counter.available(self.now, total, plan)
    }

    /// Calls the counter for a request if it is sampled, otherwise decides the request without a
    /// call.
    pub(super) fn admit_by_quota(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let customer = request.incoming.customer;
        let units = request.incoming.units;
        let is_retry = request.incoming.is_retry;
        let weighted_units = request.priority_weight(&self.settings) * units;
        self.counter.sampler.observe_weighted_units(weighted_units);
        let total = self.customers[&customer].quota_counter.known_total();
        let is_known_exhausted = self.available_units(customer, total) < units && total > 0.0;
        if is_known_exhausted && !self.counter.breaker.is_open() {
            // A call would only confirm that the quota is exhausted.
            return self.reject_or_fail(id);
        }
        let retry_factor = if is_retry { RETRY_EXPONENT } else { 1.0 };
        let exponent = self.counter.sampler.exponent(weighted_units) * retry_factor;
        match self.draw_sample(exponent) {
            Some(represented) if self.try_reserve_call(customer) => {
                // After a recent total, retries that are not sampled are counted as well, so a
                // sampled retry represents only itself.
                let counts_only_itself = is_retry && self.has_recent_total(customer);
                let represented = if counts_only_itself { 1.0 } else { represented };
                self.add_to_counter(CounterAdd {
                    purpose: CounterPurpose::Quota,
                    customer,
                    request: Some(id),
                    units,
                    unsampled_units: self.unsampled_units(customer, units, represented),
                });
            }
            Some(_) => self.decide_by_quota(id, CounterResult::Unavailable),
            None => self.decide_by_quota(id, CounterResult::NotSampled),
        }
    }

    /// Units that a sampled request adds on behalf of similar requests that are not sampled. The
    /// whole add is limited to a burst.
    fn unsampled_units(&self, customer: CustomerId, units: f64, represented: f64) -> f64 {
        let burst = self.settings.plans[self.customers[&customer].plan.0].burst;
        ((represented - 1.0) * units).min(burst - units).max(0.0)
    }

    /// Decides a request by the result of its counter call.
    pub(super) fn decide(&mut self, id: RequestId, purpose: CounterPurpose, result: CounterResult) {
        match purpose {
            CounterPurpose::Quota => self.decide_by_quota(id, result),
            CounterPurpose::Concurrency => self.decide_by_concurrency(id, result),
        }
    }

    fn decide_by_quota(&mut self, id: RequestId, result: CounterResult) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.is_done {
            return;
        }
        let customer = request.incoming.customer;
        let units = request.incoming.units;
        let is_within_quota =
            self.is_within_quota(id, result) && self.try_take_carried(customer, units);
        if matches!(
            result,
            CounterResult::Total(_) | CounterResult::PreviousWindowTotal(_)
        ) {
            if let Some(customer) = self.customers.get_mut(&customer) {
                customer.over_quota_at = (!is_within_quota).then_some(self.now);
            }
        }
        if is_within_quota {
            self.admit_by_concurrency(id);
        } else {
            self.reject_or_fail(id);
        }
    }

    /// Takes units from what a customer whose state was dropped has left of its quota.
    fn try_take_carried(&mut self, customer: CustomerId, units: f64) -> bool {
        let Some(customer) = self.customers.get_mut(&customer) else {
            return true;
        };
        let plan = &self.settings.plans[customer.plan.0];
        customer.try_take_carried(self.now, units, plan)
    }

    fn is_within_quota(&mut self, id: RequestId, result: CounterResult) -> bool {
        let request = &self.requests[&id].incoming;
        let customer = request.customer;
        let units = request.units;
        let is_retry = request.is_retry;
        let plan = request.plan;
        match result {
            CounterResult::Total(total) | CounterResult::PreviousWindowTotal(total) => {
                // The bucket of the current window has been charged for a total of the previous
                // one, and compared with that total it would be charged twice.
                let compared_total = match result {
                    CounterResult::PreviousWindowTotal(_) => {
                        self.customers[&customer].quota_counter.known_total()
                    }
                    _ => total,
                };
                // The quota is exhausted. Units that the counter lost are part of the total, so
                // under a ceiling they are paid off before any request is admitted.
                if self.available_units(customer, compared_total) < 0.0 {
                    return false;
                }
                let allowance = QuotaWindow::for_plan(&self.settings.plans[plan.0]).allowance;
                let units_beyond_window = if total <= allowance { 0.0 } else { units };
                self.try_take_ceiling(customer, plan, units_beyond_window)
            }
            // A retry was rejected a moment ago by some gateway, so it is admitted only by a recent
            // total.
            _ if is_retry && !self.is_counter_unavailable(customer) => {
                self.has_recent_capacity(customer, units)
                    && self.try_take_ceiling(customer, plan, units)
                    && self.count_later(id)
            }
            CounterResult::NotSampled if !self.is_counter_unavailable(customer) => {
                let was_over_quota = self.customers[&customer].was_over_quota(self.now);
                !was_over_quota && self.try_take_ceiling(customer, plan, units)
            }
            CounterResult::NotSampled | CounterResult::Unavailable => {
                self.try_take_ceiling(customer, plan, units)
                    && self.try_take_local(customer, plan, units)
            }
        }
    }

    /// Whether the customer's last total is as recent as the reply to a call could be.
    fn has_recent_total(&self, customer: CustomerId) -> bool {
        let counter = &self.customers[&customer].quota_counter;
        counter.is_total_recent(self.now, self.settings.counter_timeout)
    }

    /// Whether a recent total leaves enough units for a request, so that no call is needed.
    fn has_recent_capacity(&self, customer: CustomerId, units: f64) -> bool {
        let total = self.customers[&customer].quota_counter.known_total();
        self.has_recent_total(customer) && self.available_units(customer, total) >= units
    }

    /// Counts a request that is admitted without a call. Its units are posted with the next call.
    /// Always returns true.
    fn count_later(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return true;
        };
        let units = request.incoming.units;
        if let Some(customer) = self.customers.get_mut(&request.incoming.customer) {
            customer.quota_counter.unposted += units;
            let window_index = customer.quota_counter.index;
            request.counted = Some(CountedUnits {
                window_index,
                units,
            });
        }
        true
    }

    /// Refunds the units that a request which was never sent added to a window's count.
    pub(super) fn refund(&mut self, customer_id: CustomerId, counted: CountedUnits) {
        self.roll_windows(customer_id);
        let Some(customer) = self.customers.get_mut(&customer_id) else {
            return;
        };
        if customer.quota_counter.index != counted.window_index {
            return;
        }
        customer.quota_counter.unposted -= counted.units;
        let total = customer.quota_counter.known_total();
        let is_usable = self.available_units(customer_id, total) >= MIN_USABLE_UNITS;
        if is_usable && !self.counter.breaker.is_open() {
            self.post_unposted(customer_id, CounterPurpose::Quota);
        }
    }

    /// Records the actual units of a granted request. The difference from the reserved units is
    /// posted with the next call.
    pub(super) fn settle_units(&mut self, id: RequestId, units: f64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.is_streaming || request.is_done {
            return;
        }
        let customer = request.incoming.customer;
        let units = units.clamp(0.0, self.settings.max_request_units);
        let difference = units - request.incoming.units;
        request.incoming.units = units;
        self.roll_windows(customer);
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.quota_counter.unposted += difference;
        }
    }
}
