//! Heavy hitters: tracks the customers with the most recent traffic in bounded memory, and gives them dedicated queues.

use crate::request::CustomerId;
use crate::round_robin::Placement;
use crate::settings::Settings;
use chalkdeck_time::{TimeDelta, Timestamp};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A customer with more than this fraction of the recent traffic gets a dedicated queue.
const HEAVY_FRACTION: f64 = 0.002;
/// A customer needs more recent units than this for a dedicated queue.
const MIN_HEAVY_UNITS: f64 = 8.0;
/// A customer needs more recent units than this to stay tracked.
const MIN_TRACKED_UNITS: f64 = 1.0;
/// The number of tracked customers per dedicated queue.
const TRACKED_PER_QUEUE: usize = 2;
/// Recorded traffic is divided by this when the seed changes.
const TRAFFIC_DECAY_DIVISOR: f64 = 4.0;
/// The reseed interval is divided by this while no further customer can be tracked.
const FULL_TABLE_RESEED_DIVISOR: u64 = 10;
/// Multiplier of the seed generator (the golden ratio in 64 bits).
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The customers with heavy traffic, and the hash seed that distributes all others over the shared queues.
pub(crate) struct HeavyHitters {
    dedicated_queues: usize,
    /// Recent units of the tracked customers: those with dedicated queues and candidates for one.
    recent_units: FxHashMap<CustomerId, f64>,
    /// The customers with dedicated queues, with the indices of the queues.
    dedicated: FxHashMap<CustomerId, usize>,
    free_queues: Vec<usize>,
    total_recent_units: f64,
    seed: u64,
    reseed_interval: TimeDelta,
    reseeded_at: Timestamp,
}

impl HeavyHitters {
    pub(crate) fn new(settings: &Settings) -> HeavyHitters {
        HeavyHitters {
            dedicated_queues: settings.dedicated_queues,
            recent_units: FxHashMap::default(),
            dedicated: FxHashMap::default(),
            free_queues: (0..settings.dedicated_queues).rev().collect(),
            total_recent_units: 0.0,
            seed: settings.seed,
            reseed_interval: settings.reseed_interval,
            reseeded_at: Timestamp::ZERO,
        }
    }

    /// Records a request and returns the placement of its customer.
    pub(crate) fn record_and_place(
        &mut self,
        now: Timestamp,
        customer: CustomerId,
        units: f64,
    ) -> Placement {
        if now - self.reseeded_at >= self.current_reseed_interval() {
            self.reseed(now);
        }
        self.record(customer, units);
        if let Some(&index) = self.dedicated.get(&customer) {
            return Placement::Dedicated { index };
        }
        if self.is_heavy(customer) {
            if let Some(index) = self.free_queues.pop() {
                self.dedicated.insert(customer, index);
                return Placement::Dedicated { index };
            }
        }
        let hash = xxh3_64_with_seed(&customer.0.to_le_bytes(), self.seed) >> 32;
        Placement::Shared { hash }
    }

    fn max_tracked(&self) -> usize {
        self.dedicated_queues * TRACKED_PER_QUEUE
    }

    fn current_reseed_interval(&self) -> TimeDelta {
        if self.recent_units.len() < self.max_tracked() {
            return self.reseed_interval;
        }
        TimeDelta::from_micros(self.reseed_interval.as_micros() / FULL_TABLE_RESEED_DIVISOR)
    }

    fn record(&mut self, customer: CustomerId, units: f64) {
        self.total_recent_units += units;
        if let Some(recent_units) = self.recent_units.get_mut(&customer) {
            *recent_units += units;
        } else if self.recent_units.len() < self.max_tracked() {
            self.recent_units.insert(customer, units);
        }
    }

    fn is_heavy(&self, customer: CustomerId) -> bool {
        let threshold = (HEAVY_FRACTION * self.total_recent_units).max(MIN_HEAVY_UNITS);
        self.recent_units
            .get(&customer)
            .is_some_and(|units| *units > threshold)
    }

    /// Decays the recorded traffic, frees the dedicated queues of customers that are no longer tracked, and changes the seed that
    /// distributes the others.
    fn reseed(&mut self, now: Timestamp) {
        self.reseeded_at = now;
        self.seed = self.seed.wrapping_mul(SEED_FACTOR).wrapping_add(1);
        self.total_recent_units /= TRAFFIC_DECAY_DIVISOR;
        let threshold = (HEAVY_FRACTION * self.total_recent_units).max(MIN_TRACKED_UNITS);
        self.recent_units.retain(|_, units| {
            *units /= TRAFFIC_DECAY_DIVISOR;
            *units > threshold
        });
        self.free_untracked_queues();
    }

    fn free_untracked_queues(&mut self) {
        let mut untracked: Vec<CustomerId> = self
            .dedicated
            .keys()
            .filter(|customer| !self.recent_units.contains_key(customer))
            .copied()
            .collect();
        // The order of the free queues must not depend on the iteration order of the map.
        untracked.sort_unstable();
        for customer in untracked {
            self.free_queues.extend(self.dedicated.remove(&customer));
        }
    }
}
