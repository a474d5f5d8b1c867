//! Load shedding by priority: requests with the lowest priority weight per unit are shed first. This weight follows from the
//! settings and the request alone, so all gateways shed in the same order. The threshold of a gateway follows from its recently
//! offered load.

use chalkdeck_time::Timestamp;
use std::collections::BTreeMap;

/// Histogram buckets for each doubling of the weight per unit; weights within one bucket count as equal.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// The bucket of requests without priority weight.
const MIN_BUCKET: i32 = -64;
/// The bucket of the requests with the highest weight per unit.
const MAX_BUCKET: i32 = 128;
/// Time constant, in seconds, of the exponential decay of recorded units.
const DECAY_TIME_CONSTANT_SECONDS: f64 = 10.0;
/// A bucket with fewer units than this is removed.
const MIN_UNITS: f64 = 1e-3;

/// Which requests are admitted: all whose weight per unit reaches a limit, and a fraction of those in the bucket below the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SheddingThreshold {
    /// Requests with this priority weight per unit or more are admitted.
    pub admit_above: f64,
    /// Requests with less than this priority weight per unit are shed.
    pub reject_below: f64,
    /// The fraction of the requests between the two weights that is admitted.
    pub admit_fraction: f64,
}

impl SheddingThreshold {
    /// The threshold that admits every request.
    pub const ADMIT_ALL: SheddingThreshold = SheddingThreshold {
        admit_above: 0.0,
        reject_below: 0.0,
        admit_fraction: 1.0,
    };

    /// The fraction of the requests with that priority weight per unit that is admitted, 0 to 1.
    pub fn admitted_fraction(&self, weight_per_unit: f64) -> f64 {
        if weight_per_unit >= self.admit_above {
            1.0
        } else if weight_per_unit >= self.reject_below {
            self.admit_fraction
        } else {
            0.0
        }
    }
}

/// A histogram of the recently offered units by priority weight per unit.
#[derive(Clone, Debug, Default)]
pub struct OfferedLoadHistogram {
    units_by_bucket: BTreeMap<i32, f64>,
    decayed_at: Timestamp,
}

impl OfferedLoadHistogram {
    /// Records offered units with this priority weight per unit.
    pub fn record(&mut self, weight_per_unit: f64, units: f64) {
        let bucket = bucket_of(weight_per_unit);
        *self.units_by_bucket.entry(bucket).or_default() += units.max(0.0);
    }

    /// Decays the recorded units by the time since the last call.
    pub fn decay(&mut self, now: Timestamp) {
        let elapsed = (now - self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let factor = (-elapsed / DECAY_TIME_CONSTANT_SECONDS).exp();
        self.units_by_bucket.retain(|_, units| {
            *units *= factor;
            *units > MIN_UNITS
        });
    }

    /// The threshold that admits the fraction `admission_level` of the offered units, those with the highest weight per unit first.
    pub fn threshold(&self, admission_level: f64) -> SheddingThreshold {
        let offered: f64 = self.units_by_bucket.values().sum();
        if admission_level >= 1.0 || offered <= 0.0 {
            return SheddingThreshold::ADMIT_ALL;
        }
        let mut remaining = offered * admission_level.max(0.0);
        for (&bucket, &units) in self.units_by_bucket.iter().rev() {
            if units >= remaining {
                return SheddingThreshold {
                    admit_above: lower_bound(bucket + 1),
                    reject_below: lower_bound(bucket),
                    admit_fraction: remaining / units,
                };
            }
            remaining -= units;
        }
        SheddingThreshold::ADMIT_ALL
    }
}

fn bucket_of(weight_per_unit: f64) -> i32 {
    if weight_per_unit <= 0.0 {
        return MIN_BUCKET;
    }
    let bucket = (weight_per_unit.log2() * BUCKETS_PER_DOUBLING).round() as i32;
    bucket.clamp(MIN_BUCKET, MAX_BUCKET)
}

/// The lowest weight per unit in the bucket.
fn lower_bound(bucket: i32) -> f64 {
    if bucket == MIN_BUCKET {
        return 0.0;
    }
    ((f64::from(bucket) - 0.5) / BUCKETS_PER_DOUBLING).exp2()
}
