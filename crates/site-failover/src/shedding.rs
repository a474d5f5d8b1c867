//! What is shed first. The order is the same at all gateways: value per unit of work, which the settings and the request alone
//! give. How far down that order a gateway sheds follows from what was offered to it lately.

use chalkdeck_time::Timestamp;
use std::collections::BTreeMap;

/// Buckets for each doubling of the value; values within one bucket count as equal.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// The bucket of requests without value.
const MIN_BUCKET: i32 = -64;
/// The bucket of the most valuable requests.
const MAX_BUCKET: i32 = 128;
/// Time constant in seconds by which older offers lose their weight.
const DECAY_SECONDS: f64 = 10.0;
/// A bucket with fewer units than this is dropped.
const MIN_UNITS: f64 = 1e-3;

/// Which requests are admitted: those from one value on, and a part of those in the bucket below.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SheddingThreshold {
    /// Requests with this value per unit or more are admitted.
    pub admit_above: f64,
    /// Requests with less than this value per unit are shed.
    pub reject_below: f64,
    /// The part of the requests between the two that is admitted.
    pub admit_fraction: f64,
}

impl SheddingThreshold {
    /// The threshold that admits every request.
    pub const ADMIT_ALL: SheddingThreshold = SheddingThreshold {
        admit_above: 0.0,
        reject_below: 0.0,
        admit_fraction: 1.0,
    };

    /// The part of the requests with that value per unit that is admitted, 0 to 1.
    pub fn admitted(&self, value_per_unit: f64) -> f64 {
        if value_per_unit >= self.admit_above {
            1.0
        } else if value_per_unit >= self.reject_below {
            self.admit_fraction
        } else {
            0.0
        }
    }
}

/// Units of work that were offered lately, by their value.
#[derive(Clone, Debug, Default)]
pub struct OfferHistogram {
    units_by_bucket: BTreeMap<i32, f64>,
    decayed_at: Timestamp,
}

impl OfferHistogram {
    /// Adds an offer of `units` with this value per unit.
    pub fn record(&mut self, value_per_unit: f64, units: f64) {
        let bucket = bucket_of(value_per_unit);
        *self.units_by_bucket.entry(bucket).or_default() += units.max(0.0);
    }

    /// Takes weight off earlier offers for the time since the last call.
    pub fn decay(&mut self, now: Timestamp) {
        let elapsed = (now - self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let factor = (-elapsed / DECAY_SECONDS).exp();
        self.units_by_bucket.retain(|_, units| {
            *units *= factor;
            *units > MIN_UNITS
        });
    }

    /// The threshold that admits the part `admission` of the units offered, the most valuable first.
    pub fn threshold(&self, admission: f64) -> SheddingThreshold {
        let offered: f64 = self.units_by_bucket.values().sum();
        if admission >= 1.0 || offered <= 0.0 {
            return SheddingThreshold::ADMIT_ALL;
        }
        let mut remaining = offered * admission.max(0.0);
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

fn bucket_of(value_per_unit: f64) -> i32 {
    if value_per_unit <= 0.0 {
        return MIN_BUCKET;
    }
    let bucket = (value_per_unit.log2() * BUCKETS_PER_DOUBLING).round() as i32;
    bucket.clamp(MIN_BUCKET, MAX_BUCKET)
}

/// The least value per unit that belongs to the bucket.
fn lower_bound(bucket: i32) -> f64 {
    if bucket == MIN_BUCKET {
        return 0.0;
    }
    ((f64::from(bucket) - 0.5) / BUCKETS_PER_DOUBLING).exp2()
}
