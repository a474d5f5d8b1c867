//! An open request and its attempts.

use crate::api::{
    Class, EndpointId, Idempotency, IncomingRequest, KeyScope, Settings, TimerId, Timestamp,
};

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    /// The endpoint's registration when the attempt was sent.
    pub(crate) registration: u64,
    pub(crate) sent_at: Timestamp,
    pub(crate) is_in_flight: bool,
    pub(crate) may_have_run: bool,
    /// Number of quick answers of its endpoint when the attempt was sent.
    pub(crate) quick_answers_before: u64,
}

/// Units that a request added to the count of a window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CountedUnits {
    pub(crate) window_index: u64,
    pub(crate) units: f64,
}

/// A request with state in the engine: unanswered, or with attempts or counter calls in flight.
#[derive(Debug, Default)]
pub(crate) struct OpenRequest {
    pub(crate) incoming: IncomingRequest,
    pub(crate) arrived_at: Timestamp,
    pub(crate) attempts: Vec<Attempt>,
    /// Counted units, refunded if no attempt is sent.
    pub(crate) counted: Option<CountedUnits>,
    /// Whether it holds one of the customer's concurrency slots.
    pub(crate) holds_slot: bool,
    /// Number of its counter calls in flight.
    pub(crate) counter_calls: u32,
    /// Its timers: that of its deadline, and one for the straggler check of each attempt.
    pub(crate) timers: Vec<TimerId>,
    /// When it began to wait for an endpoint, while it waits.
    pub(crate) pending_since: Option<Timestamp>,
    /// Its response has started, or it was granted, so it cannot be retried.
    pub(crate) is_streaming: bool,
    /// Its body is no longer buffered, so only the first attempt could send it.
    pub(crate) is_body_discarded: bool,
    /// It has its final answer.
    pub(crate) is_done: bool,
}

impl OpenRequest {
    /// Creates the state of a request that arrives now.
    pub(crate) fn new(now: Timestamp, incoming: IncomingRequest) -> OpenRequest {
        OpenRequest {
            incoming,
            arrived_at: now,
            ..OpenRequest::default()
        }
    }

    /// Its class.
    pub(crate) fn class<'a>(&self, settings: &'a Settings) -> &'a Class {
        &settings.classes[self.incoming.class.0]
    }

    /// Its class's priority weight times its plan's multiplier.
    pub(crate) fn priority_weight(&self, settings: &Settings) -> f64 {
        let plan = &settings.plans[self.incoming.plan.0];
        self.class(settings).priority_weight * plan.priority_multiplier
    }

    /// Whether any of its attempts is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }

    /// Attempts that may have run or may still run.
    pub(crate) fn attempts_that_may_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight || attempt.may_have_run)
    }

    /// Whether a retry by the client is safe, so that the request can be rejected instead of
    /// failed.
    pub(crate) fn is_safe_to_reject(&self, class: &Class) -> bool {
        let may_have_run = self.attempts_that_may_run().next().is_some();
        let is_retry_harmless = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => !may_have_run || class.key_scope == KeyScope::All,
            Idempotency::NonIdempotent => !may_have_run,
        };
        !self.is_streaming && is_retry_harmless
    }
}
