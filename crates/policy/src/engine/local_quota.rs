//! Token buckets that decide without the counter: the local share of a quota, and this gateway's
//! share of a hard ceiling.

use super::DecisionEngine;
use crate::api::{CustomerId, PlanId};
use crate::token_bucket::TokenBucket;

impl DecisionEngine {
    /// Takes units from this gateway's share of what a hard ceiling allows above the quota. Returns
    /// true if the plan has no ceiling.
    ///
    /// Requests that the window does not admit draw on this share: those without a reply of the
    /// counter, and those beyond the window's allowance. The windows stay within the quota, so all
    /// gateways together keep the ceiling even if single ones have a wrong view of the total.
    /// Trade-off: a gateway that carries all traffic of a customer still has only an even share.
    pub(super) fn try_take_ceiling(
        &mut self,
        customer: CustomerId,
        plan: PlanId,
        units: f64,
    ) -> bool {
        let plan = &self.settings.plans[plan.0];
        if plan.ceiling_rate <= 0.0 {
            return true;
        }
        let Some(customer) = self.customers.get_mut(&customer) else {
            return true;
        };
        let bucket = &mut customer.ceiling_bucket;
        bucket.rate = (plan.ceiling_rate - plan.rate).max(0.0) / customer.gateways;
        bucket.capacity = (plan.ceiling_burst - plan.burst).max(0.0) / customer.gateways;
        bucket.try_take(self.now, units)
    }

    /// Takes units from the local bucket. It starts with this gateway's share of the units that
    /// were last known to be available, and refills at its share of the customer's rate. Its
    /// capacity is at least one request; otherwise customers with few units and many gateways would
    /// get nothing for seconds.
    pub(super) fn try_take_local(
        &mut self,
        customer: CustomerId,
        plan: PlanId,
        units: f64,
    ) -> bool {
        let now = self.now;
        let max_request_units = self.settings.max_request_units;
        let plan = &self.settings.plans[plan.0];
        let Some(customer) = self.customers.get_mut(&customer) else {
            return false;
        };
        let carried_debt = customer.carried_local_debt(now, plan);
        let counter = &customer.quota_counter;
        let available = counter.available(now, counter.known_total(), plan).max(0.0);
        let share = customer.quota_share();
        let capacity = (plan.burst * share).max(max_request_units);
        let level = (available * share).max(max_request_units);
        let bucket = customer.local_bucket.get_or_insert(TokenBucket {
            level: level.min(capacity - carried_debt),
            capacity,
            rate: plan.rate * share,
            refilled_at: now,
        });
        let is_taken = bucket.try_take(now, units);
        if is_taken {
            customer.quota_counter.unposted += units;
        }
        is_taken
    }
}
