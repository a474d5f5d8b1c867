//! Estimates which names currently get the most increments, in bounded memory: the space-saving sketch of Metwally,
//! Agrawal and El Abbadi (2005). Counts are halved periodically, so that old traffic decays.

use crate::state::NameId;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;

/// Maximum number of names in the sketch.
const CAPACITY: usize = 1_024;
/// Number of names that are evicted together. With a flood of new names, few increments then need a pass over the whole
/// sketch.
const EVICTION_BATCH: usize = CAPACITY / 4;
/// Number of recorded increments between two halvings of the counts.
const HALVING_INTERVAL: u64 = 1 << 18;

/// [`HotNameSampler`] records one of this many increments.
pub(crate) const SAMPLING_INTERVAL: u64 = 8;

/// A name with its estimated count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HotName {
    pub(crate) name: NameId,
    /// Number of recent increments; may be too high by up to [`HotNameSketch::max_error`].
    pub(crate) count: u64,
}

/// A space-saving sketch. It retains the names that get much more than one in `CAPACITY` of the recorded increments.
#[derive(Debug, Default)]
pub(crate) struct HotNameSketch {
    counts: FxHashMap<NameId, u64>,
    recorded_increments: u64,
    /// Highest count that an evicted name may have had.
    max_error: u64,
}

impl HotNameSketch {
    /// Records an increment of a name.
    pub(crate) fn record(&mut self, name: NameId) {
        self.recorded_increments += 1;
        if self.recorded_increments.is_multiple_of(HALVING_INTERVAL) {
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

    /// Evicts the names with the lowest counts. The new name starts from the eviction threshold, because it may have been
    /// evicted with a count up to the threshold before.
    fn evict_and_insert(&mut self, name: NameId) {
        let mut counts: Vec<u64> = self.counts.values().copied().collect();
        let (_, threshold, _) = counts.select_nth_unstable(EVICTION_BATCH);
        let threshold = *threshold;
        self.max_error = threshold;
        let mut evictions_left = EVICTION_BATCH;
        self.counts.retain(|_, count| {
            let is_evicted = *count <= threshold && evictions_left > 0;
            evictions_left -= usize::from(is_evicted);
            !is_evicted
        });
        self.counts.insert(name, threshold + 1);
    }

    /// Returns the names with the highest counts, highest first.
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

    /// Upper bound of how much too high a count is.
    pub(crate) fn max_error(&self) -> u64 {
        self.max_error
    }
}

/// Records one in [`SAMPLING_INTERVAL`] increments in a sketch.
#[derive(Debug, Default)]
pub(crate) struct HotNameSampler {
    sketch: HotNameSketch,
    observed_increments: u64,
}

impl HotNameSampler {
    /// Observes an increment of a name, and records it if it is sampled.
    pub(crate) fn observe(&mut self, name: NameId) {
        self.observed_increments += 1;
        if self.observed_increments.is_multiple_of(SAMPLING_INTERVAL) {
            self.sketch.record(name);
        }
    }

    /// The sketch of the sampled increments.
    pub(crate) fn sketch(&self) -> &HotNameSketch {
        &self.sketch
    }
}

#[cfg(test)]
mod tests;
