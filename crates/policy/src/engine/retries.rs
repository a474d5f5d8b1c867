//! Eligibility of an endpoint for an attempt of a request. It is checked for every attempt,
//! including the first.

use super::DecisionEngine;
use crate::api::{Class, Idempotency, KeyScope, RequestId};
use crate::endpoint::Endpoint;
use crate::request::{Attempt, OpenRequest};

impl DecisionEngine {
    /// Whether any endpoint is eligible for another attempt of the request.
    pub(super) fn may_retry(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        self.endpoints
            .iter()
            .any(|endpoint| self.may_send(request, endpoint))
    }

    /// Whether the request may be sent to the endpoint now, by the endpoint list, the request's
    /// idempotency, the hedging setting and slow start.
    pub(super) fn may_send(&self, request: &OpenRequest, endpoint: &Endpoint) -> bool {
        let class = request.class(&self.settings);
        let is_over = request.is_done
            || request.is_streaming
            || self.now >= request.incoming.deadline
            || request.attempts.len() >= self.settings.max_attempts;
        let is_forbidden_hedge = request.is_in_flight() && !self.settings.allow_hedging;
        // A truncated body must not be taken for a complete one: the discarded part was sent with
        // the first attempt only.
        let lacks_body = request.is_body_discarded && !request.attempts.is_empty();
        if is_over
            || endpoint.is_limited_by_slow_start()
            || is_forbidden_hedge
            || lacks_body
            || !endpoint.is_in_service
        {
            return false;
        }
        let mut may_run = request.attempts_that_may_run();
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => may_run.next().is_none(),
            Idempotency::Keyed => {
                may_run.all(|attempt| self.is_deduplicated(class, attempt, endpoint))
            }
        }
    }

    /// Whether an endpoint surely remembers the idempotency key of an earlier attempt that may have
    /// run. The key window begins when that attempt is sent, and establishing a connection may
    /// delay the retry.
    fn is_deduplicated(&self, class: &Class, attempt: &Attempt, endpoint: &Endpoint) -> bool {
        let tick = self.settings.timer_resolution;
        let arrives_by = self.now + tick + tick + self.settings.dial_timeout;
        let is_in_window = arrives_by < attempt.sent_at + class.key_window;
        let Some(earlier) = self.endpoints.get(attempt.endpoint) else {
            return false;
        };
        let shares_keys = match class.key_scope {
            KeyScope::All => true,
            KeyScope::Zone => earlier.zone == endpoint.zone,
            KeyScope::Cell => earlier.cell == endpoint.cell,
        };
        let is_group_known = class.key_scope == KeyScope::All
            || self.is_group_known(attempt, earlier) && self.endpoints.is_registered(endpoint);
        is_in_window && shares_keys && is_group_known
    }

    /// Whether an earlier attempt surely reached the endpoint that it was sent to, and so its group:
    /// the list is current, and no other endpoint may have taken the address in the meantime.
    fn is_group_known(&self, attempt: &Attempt, earlier: &Endpoint) -> bool {
        self.is_list_current()
            && self.endpoints.is_registered(earlier)
            && attempt.registration == earlier.registration
    }
}
