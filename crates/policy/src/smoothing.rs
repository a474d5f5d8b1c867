//! Exponential smoothing of measured figures.

use crate::api::TimeDelta;

/// Weight of the newest sample in smoothed figures.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of the newest sample in figures that all requests or all endpoints share, which see more
/// samples.
pub(crate) const SHARED_SAMPLE_WEIGHT: f64 = SAMPLE_WEIGHT / 3.0;
/// Seconds over which the rate of sent units is averaged, and in which older evidence loses its
/// weight.
pub(crate) const AVERAGING_SECONDS: f64 = 2.0;

/// How much of the evidence is newer than this span, by exponential decay: 0 just after a sample,
/// toward 1 long after it.
pub(crate) fn decayed_share(since_last_sample: TimeDelta) -> f64 {
    1.0 - (-since_last_sample.as_secs_f64() / AVERAGING_SECONDS).exp()
}

/// Moves a smoothed figure to a sample by a weight between 0 and 1.
pub(crate) fn smooth(average: &mut f64, weight: f64, sample: f64) {
    *average += weight * (sample - *average);
}

/// The number that stands for a yes or no in a smoothed share.
pub(crate) fn as_fraction(happened: bool) -> f64 {
    f64::from(u8::from(happened))
}
