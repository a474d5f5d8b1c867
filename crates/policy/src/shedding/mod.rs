//! Load shedding: when answers are late, requests are rejected at random, those of low priority
//! weight first.

pub(crate) mod overload;

use crate::api::{SheddingThreshold, Timestamp};
use crate::smoothing::{as_fraction, decayed_share, smooth, SAMPLE_WEIGHT, SHARED_SAMPLE_WEIGHT};

/// Minimum accept rate, so that recovery is detected.
const MIN_ACCEPT_RATE: f64 = 0.05;
/// Factor that a late answer applies to the accept rate when many are late.
const DECREASE_FACTOR: f64 = 0.85;
/// Share of late answers from which each one applies the full decrease. Below it, a late answer may
/// only reflect a request's own processing time.
const FULL_DECREASE_LATE_SHARE: f64 = 0.05;
/// Minimum increase of the accept rate for an answer that is not late.
const MIN_INCREASE: f64 = 0.01;
/// Increase for one answer that is not late after a long time without any, scaled down by the share
/// of late answers. Without it, a gateway with few answers would keep shedding after the cause has
/// gone.
const IDLE_INCREASE: f64 = 1.6;
/// Exponent of the ratio of the mean weight to a request's weight.
const WEIGHT_RATIO_EXPONENT: i32 = 2;

/// State of load shedding.
#[derive(Debug)]
pub(crate) struct LoadShedder {
    /// Fraction of the requests of mean weight that the endpoints can handle.
    pub(crate) accept_rate: f64,
    /// Smoothed priority weight of all requests.
    mean_weight: f64,
    /// Smoothed share of attempts that indicate congestion.
    late_share: f64,
    /// When the last attempt ended.
    last_result_at: Timestamp,
    /// Threshold that all gateways share; `None` if site failover is off, and the accept rate
    /// decides.
    pub(crate) threshold: Option<SheddingThreshold>,
}

impl LoadShedder {
    /// Creates a shedder that accepts every request.
    pub(crate) fn new() -> LoadShedder {
        LoadShedder {
            accept_rate: 1.0,
            mean_weight: 0.0,
            late_share: 0.0,
            last_result_at: Timestamp::ZERO,
            threshold: None,
        }
    }

    /// Adds the priority weight of a request to the mean.
    pub(crate) fn observe_weight(&mut self, weight: f64) {
        smooth(&mut self.mean_weight, SHARED_SAMPLE_WEIGHT, weight);
    }

    /// Probability that a request of this weight is accepted.
    pub(crate) fn accept_probability(&self, weight: f64) -> f64 {
        let exponent = if weight > 0.0 {
            (self.mean_weight / weight).powi(WEIGHT_RATIO_EXPONENT)
        } else {
            f64::MAX
        };
        self.accept_rate.powf(exponent)
    }

    /// Updates the accept rate with the end of an attempt.
    pub(crate) fn observe_result(&mut self, now: Timestamp, is_congested: bool) {
        let idle_share = decayed_share(now - self.last_result_at);
        self.last_result_at = now;
        let weight = if is_congested {
            SAMPLE_WEIGHT
        } else {
            SAMPLE_WEIGHT.max(idle_share)
        };
        smooth(&mut self.late_share, weight, as_fraction(is_congested));
        let severity = (self.late_share / FULL_DECREASE_LATE_SHARE).min(1.0);
        let changed = if is_congested {
            self.accept_rate * (1.0 - (1.0 - DECREASE_FACTOR) * severity)
        } else {
            self.accept_rate + MIN_INCREASE.max(IDLE_INCREASE * idle_share * (1.0 - severity))
        };
        self.accept_rate = changed.clamp(MIN_ACCEPT_RATE, 1.0);
    }
}
