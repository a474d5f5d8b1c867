//! The recent throughput in admitted units per second.

use chalkdeck_time::{TimeDelta, Timestamp};

/// Minimum time over which the throughput is measured.
const MEASUREMENT_INTERVAL: TimeDelta = TimeDelta::from_millis(200);
/// Weight of the newest measurement in the moving average.
const NEWEST_WEIGHT: f64 = 0.5;

/// A moving average of the admitted units per second.
#[derive(Debug, Default)]
pub(crate) struct Throughput {
    units_per_second: f64,
    measured_since: Timestamp,
    /// Units admitted since `measured_since`.
    units: f64,
}

impl Throughput {
    /// Records admitted units.
    pub(crate) fn record(&mut self, units: f64) {
        self.units += units;
    }

    /// Completes the current measurement if it has lasted for the measurement interval.
    pub(crate) fn update(&mut self, now: Timestamp) {
        let elapsed = now - self.measured_since;
        if elapsed < MEASUREMENT_INTERVAL {
            return;
        }
        let measured = self.units / elapsed.as_secs_f64();
        self.units_per_second = if self.units_per_second == 0.0 {
            measured
        } else {
            NEWEST_WEIGHT * (self.units_per_second + measured)
        };
        self.measured_since = now;
        self.units = 0.0;
    }

    /// The moving average; 0 before the first measurement.
    pub(crate) fn units_per_second(&self) -> f64 {
        self.units_per_second
    }
}
