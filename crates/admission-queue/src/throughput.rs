//! Recent rate of admitted units.

use chalkdeck_time::{TimeDelta, Timestamp};

/// Time over which the rate is measured.
const MEASUREMENT_INTERVAL: TimeDelta = TimeDelta::from_millis(200);
/// Weight of the newest measurement in the average.
const NEWEST_WEIGHT: f64 = 0.5;

/// Average of the units that were admitted in a second.
#[derive(Debug, Default)]
pub(crate) struct Throughput {
    units_per_second: f64,
    measured_since: Timestamp,
    /// Units that were admitted since then.
    units: f64,
}

impl Throughput {
    /// Counts admitted units.
    pub(crate) fn record(&mut self, units: f64) {
        self.units += units;
    }

    /// Ends a measurement if it took long enough.
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

    /// The average; 0 before the first measurement.
    pub(crate) fn units_per_second(&self) -> f64 {
        self.units_per_second
    }
}
