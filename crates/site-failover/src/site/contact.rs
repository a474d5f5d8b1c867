//! When a site was last heard, and for how long attempts there have been without an answer.

use crate::EndpointId;
use chalkdeck_time::{TimeDelta, Timestamp};
use std::collections::BTreeSet;

/// A silence of so many usual latencies is out of the ordinary.
const PATIENCE_IN_LATENCIES: f64 = 4.0;
/// The least silence that is out of the ordinary.
const MIN_PATIENCE: TimeDelta = TimeDelta::from_millis(300);
/// A silence of this length always is.
const MAX_PATIENCE: TimeDelta = TimeDelta::from_secs(1);
/// Attempts without an answer that a verdict needs at least.
const MIN_ATTEMPTS: u32 = 3;
/// Endpoints that were tried without an answer that a verdict needs at least.
const MIN_ENDPOINTS: usize = 2;
/// Weight of the newest answer in the usual latency.
const LATENCY_SMOOTHING: f64 = 0.1;

/// The gateway's contact with one site.
#[derive(Clone, Debug, Default)]
pub(super) struct Contact {
    in_flight: u64,
    last_answer: Option<Timestamp>,
    /// Since when attempts have been in flight without any answer.
    waiting_since: Option<Timestamp>,
    /// Attempts since the last answer, and the endpoints that they went to.
    attempts: u32,
    attempted: BTreeSet<EndpointId>,
    /// Moving average in microseconds; 0 before the first answer.
    usual_latency: f64,
}

impl Contact {
    pub(super) fn record_sent(&mut self, now: Timestamp, endpoint: EndpointId) {
        self.in_flight += 1;
        self.attempted.insert(endpoint);
        self.attempts += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// An attempt ended, with or without an answer.
    pub(super) fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// An endpoint gave a sign of life.
    pub(super) fn record_sign_of_life(&mut self, now: Timestamp) {
        self.last_answer = Some(now);
        self.waiting_since = (self.in_flight > 0).then_some(now);
        self.attempted.clear();
        self.attempts = 0;
    }

    pub(super) fn record_latency(&mut self, latency: TimeDelta) {
        let weight = if self.usual_latency == 0.0 {
            1.0
        } else {
            LATENCY_SMOOTHING
        };
        self.usual_latency += weight * (latency.as_micros() as f64 - self.usual_latency);
    }

    /// Whether there was an answer at that time or after it.
    pub(super) fn is_heard_since(&self, at: Timestamp) -> bool {
        self.last_answer.is_some_and(|answer| answer >= at)
    }

    /// For how long attempts have been in flight without any answer.
    pub(super) fn quiet(&self, now: Timestamp) -> TimeDelta {
        self.waiting_since
            .map_or(TimeDelta::ZERO, |since| now - since)
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.waiting_since.is_some()
    }

    /// A longer silence than this is out of the ordinary.
    pub(super) fn patience(&self) -> TimeDelta {
        let micros = (self.usual_latency * PATIENCE_IN_LATENCIES) as u64;
        TimeDelta::from_micros(micros).clamp(MIN_PATIENCE, MAX_PATIENCE)
    }

    /// Whether enough was tried since the last answer for a verdict about a site of `listed` endpoints.
    pub(super) fn is_tried_enough(&self, listed: usize) -> bool {
        self.attempts >= MIN_ATTEMPTS && self.attempted.len() >= MIN_ENDPOINTS.min(listed.max(1))
    }
}
