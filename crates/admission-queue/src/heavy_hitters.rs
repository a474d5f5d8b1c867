//! Which customers have queues of their own: those with the most recent traffic, in bounded memory.

use crate::request::CustomerId;
use crate::round_robin::Placement;
use crate::settings::Settings;
use chalkdeck_time::{TimeDelta, Timestamp};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A customer with more than this fraction of the recent traffic gets a queue of its own.
const HEAVY_FRACTION: f64 = 0.002;
/// Units below which no customer gets a queue of its own.
const MIN_HEAVY_UNITS: f64 = 8.0;
/// Units below which a customer is no longer followed.
const MIN_FOLLOWED_UNITS: f64 = 1.0;
/// Customers that are followed, for each queue of its own.
const FOLLOWED_PER_QUEUE: usize = 2;
/// Old traffic is divided by this when the seed changes.
const FADING: f64 = 4.0;
/// The interval between two seeds is divided by this while no further customer can be followed.
const CROWDED_DIVISOR: u64 = 10;
/// Factor of the generator of seeds (the golden ratio in 64 bits).
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Customers with much traffic, and the seed that distributes all others.
pub(crate) struct HeavyHitters {
    dedicated_queues: usize,
    /// Recent units of the customers that are followed: those with queues of their own and some that may get one.
    recent_units: FxHashMap<CustomerId, f64>,
    /// Customers with queues of their own.
    dedicated: FxHashMap<CustomerId, usize>,
    free_queues: Vec<usize>,
    all_recent_units: f64,
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
            all_recent_units: 0.0,
            seed: settings.seed,
            reseed_interval: settings.reseed_interval,
            reseeded_at: Timestamp::ZERO,
        }
    }

    /// Takes note of a request and returns the queue of its customer.
    pub(crate) fn place(&mut self, now: Timestamp, customer: CustomerId, units: f64) -> Placement {
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

    fn max_followed(&self) -> usize {
        self.dedicated_queues * FOLLOWED_PER_QUEUE
    }

    fn current_reseed_interval(&self) -> TimeDelta {
        if self.recent_units.len() < self.max_followed() {
            return self.reseed_interval;
        }
        TimeDelta::from_micros(self.reseed_interval.as_micros() / CROWDED_DIVISOR)
    }

    fn record(&mut self, customer: CustomerId, units: f64) {
        self.all_recent_units += units;
        if let Some(recent_units) = self.recent_units.get_mut(&customer) {
            *recent_units += units;
        } else if self.recent_units.len() < self.max_followed() {
            self.recent_units.insert(customer, units);
        }
    }

    fn is_heavy(&self, customer: CustomerId) -> bool {
        let threshold = (HEAVY_FRACTION * self.all_recent_units).max(MIN_HEAVY_UNITS);
        self.recent_units
            .get(&customer)
            .is_some_and(|units| *units > threshold)
    }

    /// Fades old traffic, frees the queues of customers whose traffic has become little, and distributes the others anew.
    fn reseed(&mut self, now: Timestamp) {
        self.reseeded_at = now;
        self.seed = self.seed.wrapping_mul(SEED_FACTOR).wrapping_add(1);
        self.all_recent_units /= FADING;
        let threshold = (HEAVY_FRACTION * self.all_recent_units).max(MIN_FOLLOWED_UNITS);
        self.recent_units.retain(|_, units| {
            *units /= FADING;
            *units > threshold
        });
        self.free_unused_queues();
    }

    fn free_unused_queues(&mut self) {
        let mut unused: Vec<CustomerId> = self
            .dedicated
            .keys()
            .filter(|customer| !self.recent_units.contains_key(customer))
            .copied()
            .collect();
        // The order of the free queues must not depend on that of the map.
        unused.sort_unstable();
        for customer in unused {
            self.free_queues.extend(self.dedicated.remove(&customer));
        }
    }
}
