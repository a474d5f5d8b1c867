//! A node's own clock.

use super::S;
use chalkdeck_time::Timestamp;
use fastrand::Rng;

/// A clock with a start and a rate of its own. Steps of the date do not exist, as nobody reads it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    offset: u64,
    /// By how many millionths it is fast.
    drift_ppm: i64,
}

impl Clock {
    /// A clock within the drift of the lease terms.
    pub(super) fn random(rng: &mut Rng) -> Clock {
        Clock {
            offset: rng.u64(S..1_000 * S),
            drift_ppm: rng.i64(-9_900..=9_900),
        }
    }

    /// What it shows at a true time.
    pub(super) fn at(&self, real: u64) -> Timestamp {
        let drift = real as i128 * i128::from(self.drift_ppm) / 1_000_000;
        let shown = i128::from(self.offset) + i128::from(real) + drift;
        Timestamp::from_micros(shown as u64)
    }
}
