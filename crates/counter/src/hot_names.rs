//! The names with the most recent increments, in bounded memory: the space-saving sketch of Metwally, Agrawal and El Abbadi
//! (2005). Its counts are halved now and then, so that old traffic fades.

use crate::state::NameId;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;

/// Names in the sketch.
const CAPACITY: usize = 1_024;
/// Names that are evicted at once. A flood of new names then rarely needs a pass over the whole sketch.
const EVICTED_AT_ONCE: usize = CAPACITY / 4;
/// Increments between two halvings of the counts.
const HALVING_INTERVAL: u64 = 1 << 18;

/// One increment in this number is recorded by [`HotNameSampler`].
pub(crate) const SAMPLING_INTERVAL: u64 = 8;

/// A name with its count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HotName {
    pub(crate) name: NameId,
    /// Recent increments, at most too many by [`HotNames::max_error`].
    pub(crate) count: u64,
}

/// The sketch. A name with more than one in `CAPACITY` of the increments is in it.
#[derive(Debug, Default)]
pub(crate) struct HotNames {
    counts: FxHashMap<NameId, u64>,
    recorded: u64,
    /// The highest count that was evicted.
    max_error: u64,
}

impl HotNames {
    /// Records an increment of a name.
    pub(crate) fn record(&mut self, name: NameId) {
        self.recorded += 1;
        if self.recorded.is_multiple_of(HALVING_INTERVAL) {
            self.halve_counts();
        }
        if let Some(count) = self.counts.get_mut(&name) {
            *count += 1;
        } else if self.counts.len() < CAPACITY {
            self.counts.insert(name, 1);
        } else {
            self.evict_and_insert(name);
        }
    }

    fn halve_counts(&mut self) {
        for count in self.counts.values_mut() {
            *count /= 2;
        }
        self.max_error /= 2;
    }

    /// A new name takes the place, and the count, of the names with the lowest counts.
    fn evict_and_insert(&mut self, name: NameId) {
        let mut counts: Vec<u64> = self.counts.values().copied().collect();
        let (_, threshold, _) = counts.select_nth_unstable(EVICTED_AT_ONCE);
        let threshold = *threshold;
        self.max_error = threshold;
        let mut evictions_left = EVICTED_AT_ONCE;
        self.counts.retain(|_, count| {
            let is_evicted = *count <= threshold && evictions_left > 0;
            evictions_left -= usize::from(is_evicted);
            !is_evicted
        });
        self.counts.insert(name, threshold + 1);
    }

    /// The names with the highest counts, highest first.
    pub(crate) fn hottest(&self, max_names: usize) -> Vec<HotName> {
        let mut names: Vec<HotName> = self
            .counts
            .iter()
            .map(|(&name, &count)| HotName { name, count })
            .collect();
        names.sort_unstable_by_key(|hot| (Reverse(hot.count), hot.name));
        names.truncate(max_names);
        names
    }

    /// How much too high a count may be.
    pub(crate) fn max_error(&self) -> u64 {
        self.max_error
    }
}

/// Records one in [`SAMPLING_INTERVAL`] increments.
#[derive(Debug, Default)]
pub(crate) struct HotNameSampler {
    hot_names: HotNames,
    seen: u64,
}

impl HotNameSampler {
    /// Takes note of an increment of a name.
    pub(crate) fn observe(&mut self, name: NameId) {
        self.seen += 1;
        if self.seen.is_multiple_of(SAMPLING_INTERVAL) {
            self.hot_names.record(name);
        }
    }

    /// What was recorded.
    pub(crate) fn hot_names(&self) -> &HotNames {
        &self.hot_names
    }
}

#[cfg(test)]
mod tests;
