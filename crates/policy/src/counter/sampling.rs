//! Sampling: the part of the requests that calls the counter, so that our own calls don't overload
//! it.

use crate::api::{TimeDelta, Timestamp};
use crate::smoothing::{smooth, SAMPLE_WEIGHT, SHARED_SAMPLE_WEIGHT};

/// At first, and when a probe was answered, as many requests call as all requests of this many
/// gateways: more at once may overload a counter that just recovered.
const INITIAL_CALLING_GATEWAYS: f64 = 30.0;
/// The least sample rate, so that recovery is noticed.
const MIN_SAMPLE_RATE: f64 = 0.05;
/// Queueing time at the counter, as part of a call's time-out, that leaves the rate as it is.
const NEUTRAL_QUEUEING_FRACTION: f64 = 0.12;
/// What no queueing adds to the rate, as part of it, and twice the neutral queueing takes off.
const RATE_STEP: f64 = 0.2;
/// The most that one answer, late or failed, takes off the rate, as what it leaves.
const MIN_RATE_FACTOR: f64 = 0.5;
/// The most that one quick answer multiplies the rate with, for the requests since the last one.
const MAX_RATE_FACTOR: f64 = 4.0;
/// How much less than usual an answer counts that is slower than the base latency.
const SLOWER_ANSWER_DIVISOR: f64 = 100.0;
/// Shortest time-out that queueing is measured by, in seconds; against a division by zero.
const MIN_NEUTRAL_QUEUEING_SECONDS: f64 = 1e-9;
/// The largest exponent that a request of little value gets.
const MAX_EXPONENT: f64 = 100.0;

/// The sample rate and what it is learnt from.
#[derive(Debug)]
pub(crate) struct CounterSampler {
    /// Part of the requests of usual value that call the counter.
    rate: f64,
    /// Smoothed value (priority weight times units) of the requests with a quota.
    mean_value: f64,
    /// Seconds that the counter takes without a queue; `None`: it has not answered yet.
    base_latency: Option<f64>,
    /// When the rate was last reduced.
    reduced_at: Timestamp,
}

impl CounterSampler {
    /// A sampler at the start of one of so many gateways.
    pub(crate) fn new(gateways: u32) -> CounterSampler {
        CounterSampler {
            rate: initial_rate(gateways),
            mean_value: 0.0,
            base_latency: None,
            reduced_at: Timestamp::ZERO,
        }
    }

    /// Whether a request with a quota was seen yet.
    pub(crate) fn has_seen_value(&self) -> bool {
        self.mean_value > 0.0
    }

    /// Takes the value of a request with a quota into the usual value.
    pub(crate) fn observe_value(&mut self, value: f64) {
        let weight = if self.has_seen_value() {
            SHARED_SAMPLE_WEIGHT
        } else {
            1.0
        };
        smooth(&mut self.mean_value, weight, value);
    }

    /// The power of the sample rate for a request of that value: those worth most for a call are
    /// sampled first, as a call costs the same for all.
    pub(crate) fn exponent(&self, value: f64) -> f64 {
        (self.mean_value / value.max(f64::MIN_POSITIVE)).min(MAX_EXPONENT)
    }

    /// The chance that a request calls the counter.
    pub(crate) fn sample_probability(&self, exponent: f64) -> f64 {
        self.rate.powf(exponent)
    }

    /// A probe was answered: the rate starts again.
    pub(crate) fn restart(&mut self, gateways: u32) {
        self.rate = initial_rate(gateways);
    }

    /// Learns from the latency of a call that was answered. A queue that builds up at the counter
    /// reduces the rate before calls fail. A quick answer counts for the requests that did not call,
    /// too.
    pub(crate) fn observe_latency(
        &mut self,
        now: Timestamp,
        latency: TimeDelta,
        timeout: TimeDelta,
    ) {
        let latency = latency.as_secs_f64();
        let Some(base_latency) = &mut self.base_latency else {
            self.base_latency = Some(latency);
            // A quick first answer met no queue, whatever is usual. A slow one may have taken the
            // usual time, so it reduces nothing.
            if latency < neutral_queueing_seconds(timeout) {
                self.adjust_rate(now, latency, timeout);
            }
            return;
        };
        let queueing = latency - *base_latency;
        *base_latency += if queueing < 0.0 {
            queueing
        } else {
            // Slower answers move it little: it follows the fastest ones.
            queueing * SAMPLE_WEIGHT / SLOWER_ANSWER_DIVISOR
        };
        self.adjust_rate(now, queueing, timeout);
    }

    /// A call failed: it counts as if it had taken the time-out. It says nothing of what the counter
    /// usually takes: with the time-out taken for that, further failures would look like quick
    /// answers.
    pub(crate) fn observe_failure(&mut self, now: Timestamp, timeout: TimeDelta) {
        let queueing = timeout.as_secs_f64() - self.base_latency.unwrap_or(0.0);
        self.adjust_rate(now, queueing, timeout);
    }

    /// Raises the rate where calls do not queue, and reduces it where they do, once for calls that
    /// were in flight together. `queueing`: in seconds.
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

/// Queueing that leaves the rate as it is, in seconds.
fn neutral_queueing_seconds(timeout: TimeDelta) -> f64 {
    (timeout.as_secs_f64() * NEUTRAL_QUEUEING_FRACTION).max(MIN_NEUTRAL_QUEUEING_SECONDS)
}

fn initial_rate(gateways: u32) -> f64 {
    (INITIAL_CALLING_GATEWAYS / f64::from(gateways)).min(1.0)
}
