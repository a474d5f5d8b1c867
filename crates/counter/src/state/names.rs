//! Totals by name, with expiry.

use super::{Increment, NameId, NameTotal};
use chalkdeck_time::Timestamp;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// Expired names that one increment removes at most, so that no increment pays for many.
const REMOVALS_PER_INCREMENT: usize = 4;

/// Total of one name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct NameEntry {
    pub(crate) total: f64,
    pub(crate) expires_at: Timestamp,
}

/// When a name expires; ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Timestamp,
    name: NameId,
}

/// All names.
#[derive(Clone, Debug, Default)]
pub(crate) struct NameTable {
    entries: FxHashMap<NameId, NameEntry>,
    expiries: BTreeSet<Expiry>,
}

impl NameTable {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn contains(&self, name: NameId) -> bool {
        self.entries.contains_key(&name)
    }

    /// The total of a name that has not expired at `now`.
    pub(crate) fn total(&self, name: NameId, now: Timestamp) -> Option<f64> {
        let entry = self.entries.get(&name)?;
        (entry.expires_at > now).then_some(entry.total)
    }

    /// All names that have not expired at `now`, sorted by id.
    pub(crate) fn totals(&self, now: Timestamp) -> Vec<NameTotal> {
        let live = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.expires_at > now);
        let mut totals: Vec<NameTotal> = live
            .map(|(&name, entry)| NameTotal {
                name,
                total: entry.total,
                expires_at: entry.expires_at,
            })
            .collect();
        totals.sort_unstable_by_key(|total| total.name);
        totals
    }

    /// All names, expired ones included, sorted by id.
    pub(crate) fn sorted_entries(&self) -> Vec<(NameId, NameEntry)> {
        let mut entries: Vec<(NameId, NameEntry)> = self
            .entries
            .iter()
            .map(|(&name, &entry)| (name, entry))
            .collect();
        entries.sort_unstable_by_key(|entry| entry.0);
        entries
    }

    /// Puts a name of a snapshot back.
    pub(crate) fn restore(&mut self, name: NameId, entry: NameEntry) {
        let at = entry.expires_at;
        self.entries.insert(name, entry);
        self.expiries.insert(Expiry { at, name });
    }

    /// Whether any name has expired at `now`.
    pub(crate) fn has_expired(&self, now: Timestamp) -> bool {
        self.expiries.first().is_some_and(|first| first.at <= now)
    }

    /// Removes some of the names that have expired at `now`.
    pub(crate) fn remove_expired(&mut self, now: Timestamp) {
        for _ in 0..REMOVALS_PER_INCREMENT {
            if !self.has_expired(now) {
                return;
            }
            if let Some(expiry) = self.expiries.pop_first() {
                self.entries.remove(&expiry.name);
            }
        }
    }

    /// Adds to a name, which starts at zero if it is new or has expired, and returns its total.
    pub(crate) fn increment(&mut self, increment: &Increment, now: Timestamp) -> f64 {
        let name = increment.name;
        let entry = self.entries.entry(name).or_insert(NameEntry {
            total: 0.0,
            expires_at: Timestamp::ZERO,
        });
        if entry.expires_at <= now {
            let previous = entry.expires_at;
            let at = now + increment.lifetime;
            *entry = NameEntry {
                total: 0.0,
                expires_at: at,
            };
            self.expiries.remove(&Expiry { at: previous, name });
            self.expiries.insert(Expiry { at, name });
        }
        // The increments of a batch are checked before any of them is counted, so their sum may leave the range.
        entry.total = (entry.total + increment.amount).clamp(f64::MIN, f64::MAX);
        entry.total
    }
}
