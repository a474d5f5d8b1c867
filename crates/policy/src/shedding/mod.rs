//! Load shedding before the endpoints: requests are rejected at random as answers are late, those
//! of little weight first.

pub(crate) mod overload;

use crate::api::{SheddingThreshold, Timestamp};
use crate::smoothing::{as_fraction, decayed_share, smooth, SAMPLE_WEIGHT, SHARED_SAMPLE_WEIGHT};

/// The least accept rate, so that recovery is noticed.
const MIN_ACCEPT_RATE: f64 = 0.05;
/// What a late answer leaves of the accept rate, where many are late.
const DECREASE_FACTOR: f64 = 0.85;
/// Share of late answers from which on each one takes its full part off: a late one now and then is
/// the work's own time.
const FULL_DECREASE_LATE_SHARE: f64 = 0.05;
/// What an answer that is not late adds at the least.
const MIN_INCREASE: f64 = 0.01;
/// What one adds after a long time without any, the more the fewer were late: few answers must not
/// keep requests out after the cause has gone.
const IDLE_INCREASE: f64 = 1.6;
/// The power by which requests of other than the usual weight are accepted less, or more.
const WEIGHT_POWER: i32 = 2;

/// What the gateway sheds.
#[derive(Debug)]
pub(crate) struct LoadShedder {
    /// Part of the requests of usual weight that the endpoints can take.
    pub(crate) accept_rate: f64,
    /// Smoothed priority weight of all requests.
    mean_weight: f64,
    /// Smoothed share of attempts that indicate congestion.
    late_share: f64,
    /// When the last attempt ended.
    last_result_at: Timestamp,
    /// One order of requests over all gateways; none: sites are not watched, and the accept rate
    /// decides.
    pub(crate) threshold: Option<SheddingThreshold>,
}

impl LoadShedder {
    /// A shedder that accepts everything.
    pub(crate) fn new() -> LoadShedder {
        LoadShedder {
            accept_rate: 1.0,
            mean_weight: 0.0,
            late_share: 0.0,
            last_result_at: Timestamp::ZERO,
            threshold: None,
        }
    }

    /// Takes the priority weight of a request into the usual one.
    pub(crate) fn observe_weight(&mut self, weight: f64) {
        smooth(&mut self.mean_weight, SHARED_SAMPLE_WEIGHT, weight);
    }

    /// The chance that a request of that weight is accepted.
    pub(crate) fn accept_probability(&self, weight: f64) -> f64 {
        let exponent = if weight > 0.0 {
            (self.mean_weight / weight).powi(WEIGHT_POWER)
        } else {
            f64::MAX
        };
        self.accept_rate.powf(exponent)
    }

    /// Takes the end of an attempt, which indicates congestion or does not.
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
