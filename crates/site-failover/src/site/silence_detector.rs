//! Detects that a site does not respond, from the time that attempts have been in flight without any response.

use crate::EndpointId;
use chalkdeck_time::{TimeDelta, Timestamp};
use std::collections::BTreeSet;

/// A silence of more than this many average latencies exceeds the threshold.
const SILENCE_THRESHOLD_IN_LATENCIES: f64 = 4.0;
/// The lowest silence threshold.
const MIN_SILENCE_THRESHOLD: TimeDelta = TimeDelta::from_millis(300);
/// The highest silence threshold.
const MAX_SILENCE_THRESHOLD: TimeDelta = TimeDelta::from_secs(1);
/// Unanswered attempts that are needed at least to judge a site.
const MIN_ATTEMPTS: u32 = 3;
/// Endpoints with unanswered attempts that are needed at least to judge a site.
const MIN_ENDPOINTS: usize = 2;
/// Weight of the newest answer in the average latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.1;

/// The attempts and responses of one site, as seen from this gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct SilenceDetector {
    in_flight: u64,
    last_response: Option<Timestamp>,
    /// Since when attempts have been in flight without any response.
    waiting_since: Option<Timestamp>,
    /// Attempts since the last response.
    attempts: u32,
    /// Endpoints that were attempted since the last response.
    attempted_endpoints: BTreeSet<EndpointId>,
    /// Moving average; 0 before the first answer.
    average_latency_micros: f64,
}

impl SilenceDetector {
    pub(super) fn record_attempt_sent(&mut self, now: Timestamp, endpoint: EndpointId) {
        self.in_flight += 1;
        self.attempted_endpoints.insert(endpoint);
        self.attempts += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// Records the end of an attempt, with or without a response.
    pub(super) fn record_attempt_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a response of an endpoint: an answer or a rejection.
    pub(super) fn record_response(&mut self, now: Timestamp) {
        self.last_response = Some(now);
        self.waiting_since = (self.in_flight > 0).then_some(now);
        self.attempted_endpoints.clear();
        self.attempts = 0;
    }

    pub(super) fn record_latency(&mut self, latency: TimeDelta) {
        let weight = if self.average_latency_micros == 0.0 {
            1.0
        } else {
            LATENCY_SAMPLE_WEIGHT
        };
        self.average_latency_micros +=
            weight * (latency.as_micros() as f64 - self.average_latency_micros);
    }

    /// Whether there was a response at that time or later.
    pub(super) fn has_responded_since(&self, at: Timestamp) -> bool {
        self.last_response.is_some_and(|response| response >= at)
    }

    /// How long attempts have been in flight without any response.
    pub(super) fn silence(&self, now: Timestamp) -> TimeDelta {
        self.waiting_since
            .map_or(TimeDelta::ZERO, |since| now - since)
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.waiting_since.is_some()
    }

    /// A silence of more than this is longer than usual.
    pub(super) fn silence_threshold(&self) -> TimeDelta {
        let micros = (self.average_latency_micros * SILENCE_THRESHOLD_IN_LATENCIES) as u64;
        TimeDelta::from_micros(micros).clamp(MIN_SILENCE_THRESHOLD, MAX_SILENCE_THRESHOLD)
    }

    /// Whether there were enough attempts since the last response to judge a site with `listed_endpoints` endpoints.
    pub(super) fn has_enough_attempts(&self, listed_endpoints: usize) -> bool {
        self.attempts >= MIN_ATTEMPTS
            && self.attempted_endpoints.len() >= MIN_ENDPOINTS.min(listed_endpoints.max(1))
    }
}
