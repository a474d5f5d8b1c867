//! Outlier detection: endpoints that do worse than the others rest, and come back by one attempt.

use super::fleet::{smooth_latency, FleetHealth};
use super::{ConnectFailures, Endpoint};
use crate::api::{Outcome, TimeDelta, Timestamp};
use crate::smoothing::{as_fraction, decayed_share, smooth, SAMPLE_WEIGHT};

/// Share of failures that ejects: one after seconds without evidence, else about four in a row.
const EJECTION_FAILURE_SHARE: f64 = 0.3;
/// An endpoint is an outlier only with this many times the failures of all: in overload all fail,
/// and ejections would make it worse.
const FLEET_FAILURE_MULTIPLE: f64 = 2.0;
/// How long the first ejection lasts, before it is spread by chance.
const FIRST_EJECTION: TimeDelta = TimeDelta::from_secs(1);
/// Ejections in a row that double the time.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// How long an endpoint that rejected an attempt gets no other.
const REJECTION_BACKOFF: TimeDelta = TimeDelta::from_millis(100);

impl Endpoint {
    /// Whether it fails clearly more than the fleet.
    pub(crate) fn is_outlier(&self, fleet: &FleetHealth) -> bool {
        self.failure_share > FLEET_FAILURE_MULTIPLE * fleet.failure_share
    }

    /// Takes a failed connect. Returns whether it is the first: one connection may break while a
    /// request goes out, the second in a row indicates trouble with the endpoint.
    pub(crate) fn observe_connect_failure(&mut self, now: Timestamp) -> bool {
        let known = self.connect_failures;
        self.connect_failures = Some(ConnectFailures {
            first: known.map_or(now, |failures| failures.first),
            last: now,
        });
        known.is_none()
    }

    /// Takes the end of an attempt into the share of failures, and returns the weight that it had:
    /// the longer ago the last evidence, the more the newest counts, so that a gateway which sees
    /// an endpoint once in seconds ejects it at once. Trade-off: one slow answer after a long pause
    /// costs a healthy endpoint a second.
    pub(crate) fn observe_result(&mut self, now: Timestamp, is_failure: bool) -> f64 {
        let weight = SAMPLE_WEIGHT.max(decayed_share(now - self.last_result_at));
        self.last_result_at = now;
        smooth(&mut self.failure_share, weight, as_fraction(is_failure));
        weight
    }

    /// Takes an answer; one that is no failure ends a trial, or the row of ejections.
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

    /// Takes a failure: an endpoint without room rests shortly, one out of line is ejected, for a
    /// time that is multiplied by the jitter factor.
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
            self.ejected_until = now + FIRST_EJECTION.mul_f64(doubling * jitter);
            self.ejections = (self.ejections + 1).min(MAX_EJECTION_DOUBLINGS);
            self.is_on_probation = true;
        }
    }
}
