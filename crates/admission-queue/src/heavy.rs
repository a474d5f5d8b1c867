//! Which studios have queues of their own: those with the most traffic of late, in bounded memory.

use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A studio with more than this part of the traffic since the last draw gets a queue of its own.
const PART: f64 = 0.002;

/// Heavy studios and the seed of the others.
pub(crate) struct Heavy {
    own: usize,
    /// Heat of the studios that have queues of their own, and of some that may get one. Twice `own` at the most.
    heat: FxHashMap<u64, f64>,
    places: FxHashMap<u64, usize>,
    free: Vec<usize>,
    seen: f64,
    seed: u64,
    reseed: u64,
    drawn: u64,
}

impl Heavy {
    pub(crate) fn new(own: usize, seed: u64, reseed: u64) -> Heavy {
        let (heat, places) = Default::default();
        Heavy {
            own,
            heat,
            places,
            free: (0..own).rev().collect(),
            seen: 0.0,
            seed,
            reseed,
            drawn: 0,
        }
    }

    /// The queue of a studio's request: below `own` one of its own, else a hashed one.
    pub(crate) fn place(&mut self, now: u64, studio: u64, units: f64) -> usize {
        let crowded = self.heat.len() >= self.own * 2;
        let span = if crowded {
            self.reseed / 10
        } else {
            self.reseed
        };
        if now.saturating_sub(self.drawn) >= span {
            self.draw(now);
        }
        self.seen += units;
        if let Some(heat) = self.heat.get_mut(&studio) {
            *heat += units;
        } else if self.heat.len() < self.own * 2 {
            self.heat.insert(studio, units);
        }
        if let Some(&place) = self.places.get(&studio) {
            return place;
        }
        let heavy = self
            .heat
            .get(&studio)
            .is_some_and(|h| *h > (PART * self.seen).max(8.0));
        if heavy {
            if let Some(place) = self.free.pop() {
                self.places.insert(studio, place);
                return place;
            }
        }
        self.own + (xxh3_64_with_seed(&studio.to_le_bytes(), self.seed) >> 32) as usize
    }

    /// Old heat fades, places of studios that cooled are free again, and the others meet new neighbours.
    fn draw(&mut self, now: u64) {
        (self.drawn, self.seed) = (
            now,
            self.seed
                .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                .wrapping_add(1),
        );
        self.seen /= 4.0;
        let least = PART * self.seen;
        self.heat.retain(|_, h| {
            *h /= 4.0;
            *h > least.max(1.0)
        });
        let mut cooled: Vec<u64> = self
            .places
            .keys()
            .filter(|s| !self.heat.contains_key(s))
            .copied()
            .collect();
        cooled.sort_unstable();
        for studio in cooled {
            self.free.extend(self.places.remove(&studio));
        }
    }
}
