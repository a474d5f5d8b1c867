//! The longest of the recent samples of a duration.

use crate::TimeDelta;

/// With each sample, the remembered maximum is divided by this.
const DECAY_DIVISOR: u64 = 2;

/// The longest of the recent samples, which decays with each further one: a single short sample does not hide longer ones before it,
/// and a few of them do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecentMaximum(TimeDelta);

impl RecentMaximum {
    /// Adds a sample.
    pub fn observe(&mut self, sample: TimeDelta) {
        let decayed = TimeDelta::from_micros(self.0.as_micros() / DECAY_DIVISOR);
        self.0 = sample.max(decayed);
    }

    /// The maximum; zero before the first sample.
    pub fn get(&self) -> TimeDelta {
        self.0
    }
}
