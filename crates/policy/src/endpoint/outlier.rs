//! Outlier detection: ejects endpoints that perform worse than the others, and readmits them on
//! probation with one attempt at a time.

use super::fleet::{smooth_latency, FleetHealth};
use super::{ConnectFailures, Endpoint};
use crate::api::{Outcome, TimeDelta, Timestamp};
use crate::smoothing::{as_fraction, decayed_share, smooth, SAMPLE_WEIGHT};

/// Share of failures that ejects an endpoint: one failure after seconds without samples, otherwise
/// about four in a row.
const EJECTION_FAILURE_SHARE: f64 = 0.3;
/// An endpoint is an outlier only if its share of failures exceeds the fleet's by this factor. In
/// overload all endpoints fail, and ejections would make it worse.
const FLEET_FAILURE_MULTIPLE: f64 = 2.0;
/// Duration of the first ejection, before random jitter.
const FIRST_EJECTION_DURATION: TimeDelta = TimeDelta::from_secs(1);
/// Maximum number of times that the duration is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Time without attempts after an endpoint rejected one.
const REJECTION_BACKOFF: TimeDelta = TimeDelta::from_millis(100);

impl Endpoint {
    /// Whether its share of failures clearly exceeds the fleet's.
    pub(crate) fn is_outlier(&self, fleet: &FleetHealth) -> bool {
        self.failure_share > FLEET_FAILURE_MULTIPLE * fleet.failure_share
    }

    /// Records a failed connect, and returns whether it is the first since the endpoint last
    /// answered. A single connection may break while a request is sent; only the second failure in
    /// a row indicates a fault of the endpoint.
    pub(crate) fn observe_connect_failure(&mut self, now: Timestamp) -> bool {
        let known = self.connect_failures;
        self.connect_failures = Some(ConnectFailures {
            first: known.map_or(now, |failures| failures.first),
            last: now,
        });
        known.is_none()
    }

    /// Updates the share of failures with the end of an attempt, and returns the sample's weight.
    /// The weight grows with the time since the last sample, so that a gateway that uses an
    /// endpoint once in several seconds ejects it after one failure. Trade-off: one slow answer
    /// after a long pause ejects a healthy endpoint for a second.
    pub(crate) fn observe_result(&mut self, now: Timestamp, is_failure: bool) -> f64 {
        let weight = SAMPLE_WEIGHT.max(decayed_share(now - self.last_result_at));
        self.last_result_at = now;
        smooth(&mut self.failure_share, weight, as_fraction(is_failure));
        weight
    }

    /// Records an answer. If it is not a failure, it ends the probation, or resets the number of
    /// consecutive ejections.
    pub(crate) fn observe_answer(&mut self, micros: f64, weight: f64, is_failure: bool) {
        smooth_latency(&mut self.latency, weight, micros);
        if is_failure {
            return;
        }
        if self.is_on_probation {
            self.is_on_probation = false;
            self.failure_share = 0.0;
        } else {
            self.ejections = 0;
        }
    }

    /// Handles a failure: an endpoint that rejected the attempt gets a short backoff, an outlier is
    /// ejected for a time that is multiplied by `jitter`.
    pub(crate) fn eject_if_outlier(
        &mut self,
        now: Timestamp,
        outcome: Outcome,
        fleet: &FleetHealth,
        jitter: f64,
    ) {
        if outcome == Outcome::Rejected {
            self.ejected_until = self.ejected_until.max(now + REJECTION_BACKOFF);
            return;
        }
        let threshold = EJECTION_FAILURE_SHARE.max(FLEET_FAILURE_MULTIPLE * fleet.failure_share);
        let is_unreachable = outcome == Outcome::ConnectFailed;
        let is_failing = is_unreachable || self.failure_share > threshold;
        if now >= self.ejected_until && (is_failing || self.is_on_probation) {
            let doubling = f64::from(1 << self.ejections);
            self.ejected_until = now + FIRST_EJECTION_DURATION.mul_f64(doubling * jitter);
            self.ejections = (self.ejections + 1).min(MAX_EJECTION_DOUBLINGS);
            self.is_on_probation = true;
        }
    }
}
