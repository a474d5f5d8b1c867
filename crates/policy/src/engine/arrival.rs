//! Handling of arriving requests and of their deadlines.

use super::DecisionEngine;
use crate::api::{Action, IncomingRequest, RequestId};
use crate::request::OpenRequest;
use crate::timers::TimerPurpose;

impl DecisionEngine {
    /// Handles a request that arrives: decides it, or calls the counter first.
    pub(super) fn on_request(&mut self, mut incoming: IncomingRequest) {
        let id = incoming.id;
        let class = incoming.class;
        let plan = incoming.plan;
        let customer_id = incoming.customer;
        if class.0 >= self.settings.classes.len() || plan.0 >= self.settings.plans.len() {
            self.actions.push(Action::Reject {
                request: id,
                retry_after: None,
            });
            return;
        }
        self.retry_budget.earn();
        // The timer fires two ticks before the deadline: it may be late by one, and the answer
        // takes another.
        let tick = self.settings.timer_resolution;
        let until_deadline = incoming.deadline - self.now - tick - tick;
        let timer = self.set_timer(TimerPurpose::RequestDeadline(id), until_deadline);
        let plans = &self.settings.plans;
        let customer = self.customers.get_or_insert(self.now, customer_id, plans);
        customer.open_requests += 1;
        customer.observe_request(self.now, &incoming);
        incoming.is_retry |= customer.repeats_rejection(self.now, &incoming);
        let mut request = OpenRequest::new(self.now, incoming);
        request.timers.push(timer);
        self.requests.insert(id, request);
        self.roll_windows(customer_id);
        let uses_endpoint = !self.settings.classes[class.0].is_admission_only;
        if uses_endpoint && self.is_shed(id) {
            let retry_after = self.draw_retry_after(class);
            let answer = Action::Reject {
                request: id,
                retry_after,
            };
            return self.finish(id, Some(answer));
        }
        if self.settings.plans[plan.0].rate > 0.0 {
            self.admit_by_quota(id);
        } else {
            self.admit_by_concurrency(id);
        }
    }

    /// Answers a request that has no answer at its deadline.
    pub(super) fn on_request_deadline(&mut self, id: RequestId) {
        let is_unanswered = self
            .requests
            .get(&id)
            .is_some_and(|request| !request.is_done && !request.is_streaming);
        if is_unanswered {
            self.reject_or_fail(id);
        }
    }
}
