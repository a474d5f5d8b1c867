//! Sampling of the requests that call the counter, so that the gateways' calls don't overload it.

use crate::api::{TimeDelta, Timestamp};
use crate::smoothing::{smooth, SAMPLE_WEIGHT, SHARED_SAMPLE_WEIGHT};

/// Number of gateways whose requests may all call the counter at start and after a successful
/// probe. More calls at once may overload a counter that has just recovered.
const INITIAL_CALLING_GATEWAYS: f64 = 30.0;
/// Minimum sample rate, so that recovery is detected.
const MIN_SAMPLE_RATE: f64 = 0.05;
/// Queueing time at the counter that leaves the rate unchanged, as a fraction of the call timeout.
const NEUTRAL_QUEUEING_FRACTION: f64 = 0.12;
/// Relative increase of the rate without queueing, and relative decrease at twice the neutral
/// queueing.
const RATE_STEP: f64 = 0.2;
/// Minimum factor that one late or failed call applies to the rate.
const MIN_RATE_FACTOR: f64 = 0.5;
/// Maximum factor that one quick reply applies to the rate, on behalf of all requests since the
/// last one.
const MAX_RATE_FACTOR: f64 = 4.0;
/// Divisor of the sample weight of replies slower than the base latency.
const SLOWER_REPLY_WEIGHT_DIVISOR: f64 = 100.0;
/// Minimum neutral queueing, in seconds; prevents a division by zero.
const MIN_NEUTRAL_QUEUEING_SECONDS: f64 = 1e-9;
/// Maximum exponent, for requests with few weighted units.
const MAX_EXPONENT: f64 = 100.0;

/// The sample rate, and the statistics that it is derived from.
#[derive(Debug)]
pub(crate) struct CounterSampler {
    /// Fraction of the requests with the mean of weighted units that call the counter.
    rate: f64,
    /// Smoothed weighted units (units times priority weight) of the requests with a quota.
    mean_weighted_units: f64,
    /// Latency of the counter without queueing, in seconds; `None` before the first reply.
    base_latency: Option<f64>,
    /// When the rate was last reduced.
    reduced_at: Timestamp,
}

impl CounterSampler {
    /// Creates a sampler with the initial rate; `gateways` is the number of gateways.
    pub(crate) fn new(gateways: u32) -> CounterSampler {
        CounterSampler {
            rate: initial_rate(gateways),
            mean_weighted_units: 0.0,
            base_latency: None,
            reduced_at: Timestamp::ZERO,
        }
    }

    /// Whether any request with a quota has arrived.
    pub(crate) fn has_seen_request(&self) -> bool {
        self.mean_weighted_units > 0.0
    }

    /// Adds the weighted units of a request with a quota to the mean.
    pub(crate) fn observe_weighted_units(&mut self, weighted_units: f64) {
        let weight = if self.has_seen_request() {
            SHARED_SAMPLE_WEIGHT
        } else {
            1.0
        };
        smooth(&mut self.mean_weighted_units, weight, weighted_units);
    }

    /// Exponent of the sample rate for a request with these weighted units. A call costs the same
    /// for every request, so requests with many weighted units are sampled first.
    pub(crate) fn exponent(&self, weighted_units: f64) -> f64 {
        (self.mean_weighted_units / weighted_units.max(f64::MIN_POSITIVE)).min(MAX_EXPONENT)
    }

    /// Probability that a request calls the counter.
    pub(crate) fn sample_probability(&self, exponent: f64) -> f64 {
        self.rate.powf(exponent)
    }

    /// Resets the rate to the initial one, after a successful probe.
    pub(crate) fn reset_rate(&mut self, gateways: u32) {
        self.rate = initial_rate(gateways);
    }

    /// Adjusts the rate by the latency of a call that succeeded. A growing queue at the counter
    /// reduces the rate before calls fail. A quick reply also counts for the requests that did not
    /// call.
    pub(crate) fn observe_latency(
        &mut self,
        now: Timestamp,
        latency: TimeDelta,
        timeout: TimeDelta,
    ) {
        let latency = latency.as_secs_f64();
        let Some(base_latency) = &mut self.base_latency else {
            self.base_latency = Some(latency);
            // A quick first reply met no queue, whatever the base latency is. A slow one may have
            // taken just the base latency, so it does not reduce the rate.
            if latency < neutral_queueing_seconds(timeout) {
                self.adjust_rate(now, latency, timeout);
            }
            return;
        };
        let queueing = latency - *base_latency;
        *base_latency += if queueing < 0.0 {
            queueing
        } else {
            // The base latency follows the fastest replies, so slower ones change it little.
            queueing * SAMPLE_WEIGHT / SLOWER_REPLY_WEIGHT_DIVISOR
        };
        self.adjust_rate(now, queueing, timeout);
    }

    /// Adjusts the rate after a failed call, which counts as one that took the whole timeout. It
    /// does not change the base latency: with the timeout as base latency, further failures would
    /// look like quick replies.
    pub(crate) fn observe_failure(&mut self, now: Timestamp, timeout: TimeDelta) {
        let queueing = timeout.as_secs_f64() - self.base_latency.unwrap_or(0.0);
        self.adjust_rate(now, queueing, timeout);
    }

    /// Raises the rate if calls do not queue, and reduces it if they do, but only once for calls
    /// that were in flight together. `queueing` is in seconds.
    fn adjust_rate(&mut self, now: Timestamp, queueing: f64, timeout: TimeDelta) {
        let queueing_ratio = queueing.max(0.0) / neutral_queueing_seconds(timeout);
        let factor = (1.0 + RATE_STEP * (1.0 - queueing_ratio)).max(MIN_RATE_FACTOR);
        if queueing_ratio < 1.0 {
            self.rate *= factor.powf(1.0 / self.rate).min(MAX_RATE_FACTOR);
        } else if now >= self.reduced_at + timeout {
            self.rate *= factor;
            self.reduced_at = now;
        }
        self.rate = self.rate.clamp(MIN_SAMPLE_RATE, 1.0);
    }
}

/// Queueing time that leaves the rate unchanged, in seconds.
fn neutral_queueing_seconds(timeout: TimeDelta) -> f64 {
    (timeout.as_secs_f64() * NEUTRAL_QUEUEING_FRACTION).max(MIN_NEUTRAL_QUEUEING_SECONDS)
}

fn initial_rate(gateways: u32) -> f64 {
    (INITIAL_CALLING_GATEWAYS / f64::from(gateways)).min(1.0)
}
