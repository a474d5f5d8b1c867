//! Read-only views of the engine's state.

use super::DecisionEngine;
use crate::api::{
    CustomerId, EndpointConcurrency, Plan, PlanId, QuotaStatus, TimeDelta, Timestamp,
};
use crate::window::{QuotaWindow, WindowPosition};

impl DecisionEngine {
    /// Attempts in flight at each endpoint in service, and this gateway's share of its concurrency
    /// limit.
    pub fn endpoint_concurrency(&self) -> impl Iterator<Item = EndpointConcurrency> + '_ {
        let limit_share = self.limit_share();
        self.endpoints
            .in_service()
            .map(move |endpoint| EndpointConcurrency {
                endpoint: endpoint.id,
                in_flight: endpoint.in_flight,
                limit: endpoint.limit * limit_share,
            })
    }

    /// A customer's usage of its quota, or of its concurrency limit if the plan has no rate, as
    /// known to this gateway. Does not call the counter.
    pub fn quota_status(&self, now: Timestamp, customer: CustomerId, plan: PlanId) -> QuotaStatus {
        let plan = &self.settings.plans[plan.0];
        if plan.rate <= 0.0 {
            return self.concurrency_status(customer, plan);
        }
        let window = QuotaWindow::for_plan(plan);
        let position = WindowPosition::at(now, customer, window.length);
        let known = self
            .customers
            .get(&customer)
            .filter(|known| known.quota_counter.index == position.index);
        let available = known.map_or(window.allowance, |known| {
            self.available_units(customer, known.quota_counter.known_total())
        });
        QuotaStatus {
            limit: window.allowance,
            remaining: available.clamp(0.0, plan.burst),
            resets_in: position.remaining,
        }
    }

    fn concurrency_status(&self, customer: CustomerId, plan: &Plan) -> QuotaStatus {
        let held_slots = self
            .customers
            .get(&customer)
            .map_or(0.0, |customer| customer.held_slots);
        QuotaStatus {
            limit: plan.max_concurrency,
            remaining: (plan.max_concurrency - held_slots).max(0.0),
            resets_in: TimeDelta::ZERO,
        }
    }
}
