//! The local clock of a node.

use super::SECOND;
use chalkdeck_time::Timestamp;
use fastrand::Rng;

/// A clock with its own start and rate. Jumps of the wall clock are not simulated, as the tested code does not read it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    offset: u64,
    /// How fast the clock runs, in parts per million; negative if it is slow.
    drift_ppm: i64,
}

impl Clock {
    /// A clock within the drift of the lease terms.
    pub(super) fn random(rng: &mut Rng) -> Clock {
        Clock {
            offset: rng.u64(SECOND..1_000 * SECOND),
            drift_ppm: rng.i64(-9_900..=9_900),
        }
    }

    /// The reading of the clock at a simulated time.
    pub(super) fn at(&self, simulated_time: u64) -> Timestamp {
        let drift = simulated_time as i128 * i128::from(self.drift_ppm) / 1_000_000;
        let reading = i128::from(self.offset) + i128::from(simulated_time) + drift;
        Timestamp::from_micros(reading as u64)
    }
}
