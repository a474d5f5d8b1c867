//! Statistics of the fleet, which is all endpoints. Single endpoints are compared with them.

use crate::api::Timestamp;
use crate::smoothing::{
    as_fraction, smooth, AVERAGING_SECONDS, SAMPLE_WEIGHT, SHARED_SAMPLE_WEIGHT,
};

/// Share of failed or late attempts over all endpoints below which failures are attributed to
/// single endpoints.
const HEALTHY_FAILURE_SHARE: f64 = 0.15;

/// Moving averages over all endpoints.
#[derive(Debug, Default)]
pub(crate) struct FleetHealth {
    /// Latency in microseconds; 0 if not known.
    pub(crate) latency: f64,
    /// Share of attempts that failed or were late.
    pub(crate) failure_share: f64,
}

impl FleetHealth {
    /// Whether the fleet as a whole is healthy.
    pub(crate) fn is_healthy(&self) -> bool {
        self.failure_share < HEALTHY_FAILURE_SHARE
    }

    /// Records the end of an attempt.
    pub(crate) fn observe_result(&mut self, is_failure: bool) {
        let sample = as_fraction(is_failure);
        smooth(&mut self.failure_share, SHARED_SAMPLE_WEIGHT, sample);
    }

    /// Records the latency of an answer, in microseconds.
    pub(crate) fn observe_latency(&mut self, micros: f64) {
        smooth_latency(&mut self.latency, SAMPLE_WEIGHT, micros);
    }
}

/// Updates a moving average of latency with a sample. The first sample replaces the initial 0.
pub(crate) fn smooth_latency(latency: &mut f64, weight: f64, micros: f64) {
    if *latency == 0.0 {
        *latency = micros;
    } else {
        smooth(latency, weight, micros);
    }
}

/// Moving average of the rate of units that this gateway sends.
#[derive(Debug, Default)]
pub(crate) struct SendRate {
    units: f64,
    updated_at: Timestamp,
}

impl SendRate {
    /// The rate in units per second.
    pub(crate) fn per_second(&self, now: Timestamp) -> f64 {
        let elapsed = (now - self.updated_at).as_secs_f64();
        self.units / AVERAGING_SECONDS * (-elapsed / AVERAGING_SECONDS).exp()
    }

    /// Records units that are sent now.
    pub(crate) fn record(&mut self, now: Timestamp, units: f64) {
        self.units = self.per_second(now) * AVERAGING_SECONDS + units;
        self.updated_at = now;
    }
}
