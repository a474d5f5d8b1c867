//! What decides where the counter doesn't: the local bucket, and this gateway's share of a hard
//! ceiling.

use super::DecisionEngine;
use crate::api::{CustomerId, PlanId};
use crate::token_bucket::TokenBucket;

impl DecisionEngine {
    /// Takes units from this gateway's share of what a hard ceiling allows above the quota; true
    /// without a ceiling.
    ///
    /// Everything draws on it that the plain window does not admit: requests without an answer of
    /// the counter, and those beyond the window's allowance. Plain windows stay within the quota,
    /// so the sum over all gateways keeps the ceiling whatever single ones believe. Trade-off: a
    /// gateway that has all the traffic of a customer has only its even share.
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

    /// Takes units from the local bucket: this gateway's share of the customer's rate, from its
    /// share of what was last known to be available. It holds one request at the least: customers
    /// with few units for many gateways would get nothing for seconds from a smaller one.
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
        let window = &customer.window;
        let available = window.available(now, window.known_total(), plan).max(0.0);
        let share = customer.quota_share();
        let bucket = customer.local_bucket.get_or_insert(TokenBucket {
            level: (available * share).max(max_request_units),
            capacity: (plan.burst * share).max(max_request_units),
            rate: plan.rate * share,
            refilled_at: now,
        });
        let is_taken = bucket.try_take(now, units);
        if is_taken {
            customer.window.unposted += units;
        }
        is_taken
    }
}
