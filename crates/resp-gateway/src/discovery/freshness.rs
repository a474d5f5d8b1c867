//! How current the endpoint list is, and how the calls that keep it current fare: metrics and log lines.

use chalkdeck_time::{TimeDelta, Timestamp};

/// The shortest time between two log lines about a stale list.
const STALE_LOG_INTERVAL: TimeDelta = TimeDelta::from_secs(10);

/// Metrics of the discovery client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryMetrics {
    /// The time since the agent was asked for the response that last confirmed the endpoint list; `None` before the first one.
    pub list_age: Option<TimeDelta>,
    /// Calls that wait for a response.
    pub calls_in_flight: usize,
    /// Calls that began because an earlier one had no complete response in time. The earlier one stays in flight.
    pub repeated_calls: u64,
    /// Complete responses that were received after the time-out of a call.
    pub late_responses: u64,
    /// Calls that ended with an error or with the end of their connection.
    pub failed_calls: u64,
    /// The time from request to response of the last complete response.
    pub last_response_time: TimeDelta,
}

/// Tracks the age of the endpoint list.
#[derive(Debug)]
pub(super) struct ListFreshness {
    /// A list that is older than this may no longer describe the fleet.
    max_age: TimeDelta,
    /// When the response that last confirmed the list was requested; it cannot be older than that.
    confirmed_at: Option<Timestamp>,
    /// When the list was first found to be stale since it was last current.
    stale_since: Option<Timestamp>,
    logged_at: Option<Timestamp>,
}

impl ListFreshness {
    pub(super) fn new(max_age: TimeDelta) -> ListFreshness {
        ListFreshness {
            max_age,
            confirmed_at: None,
            stale_since: None,
            logged_at: None,
        }
    }

    /// Records a valid response to a request that was sent at this time.
    pub(super) fn confirm(&mut self, requested_at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    pub(super) fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    fn is_stale(&self, now: Timestamp) -> bool {
        self.confirmed_at.is_none_or(|at| now > at + self.max_age)
    }

    /// Logs that the list has become stale, is still stale after a while, or is current again.
    pub(super) fn log_changes(&mut self, now: Timestamp, metrics: &DiscoveryMetrics) {
        if self.is_stale(now) {
            self.stale_since = self.stale_since.or(Some(now));
            self.log_stale(now, metrics);
        } else if let Some(since) = self.stale_since.take() {
            tracing::info!(
                stale_ms = (now - since).as_millis(),
                late_responses = metrics.late_responses,
                response_ms = metrics.last_response_time.as_millis(),
                "endpoint list is current again"
            );
        }
    }

    fn log_stale(&mut self, now: Timestamp, metrics: &DiscoveryMetrics) {
        if self
            .logged_at
            .is_some_and(|at| now < at + STALE_LOG_INTERVAL)
        {
            return;
        }
        self.logged_at = Some(now);
        tracing::warn!(
            list_age_ms = metrics.list_age.map(TimeDelta::as_millis),
            max_age_ms = self.max_age.as_millis(),
            calls_in_flight = metrics.calls_in_flight,
            repeated_calls = metrics.repeated_calls,
            late_responses = metrics.late_responses,
            failed_calls = metrics.failed_calls,
            response_ms = metrics.last_response_time.as_millis(),
            "endpoint list is stale: discovery has not confirmed it in time"
        );
    }
}
