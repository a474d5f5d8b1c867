//! Exponential moving averages.

use crate::api::TimeDelta;

/// Weight of the newest sample in a moving average.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of the newest sample in averages over all requests or all endpoints, which get more
/// samples.
pub(crate) const SHARED_SAMPLE_WEIGHT: f64 = SAMPLE_WEIGHT / 3.0;
/// Time constant, in seconds, of the send rate and of the decay of older samples.
pub(crate) const AVERAGING_SECONDS: f64 = 2.0;

/// Fraction of the older samples' weight that has decayed since the last sample: 0 just after it,
/// approaching 1 with time.
pub(crate) fn decayed_share(since_last_sample: TimeDelta) -> f64 {
    1.0 - (-since_last_sample.as_secs_f64() / AVERAGING_SECONDS).exp()
}

/// Updates a moving average with a sample, whose weight is between 0 and 1.
pub(crate) fn smooth(average: &mut f64, weight: f64, sample: f64) {
    *average += weight * (sample - *average);
}

/// The sample of a smoothed share: 1 if the event happened, otherwise 0.
pub(crate) fn as_fraction(happened: bool) -> f64 {
    f64::from(u8::from(happened))
}
