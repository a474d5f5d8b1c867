//! Totals by name, and their expiry.

use super::{Increment, NameId, NameTotal};
use chalkdeck_time::Timestamp;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// Maximum number of expired names that one increment removes; bounds the time that an increment takes.
const MAX_REMOVALS_PER_INCREMENT: usize = 4;

/// Total and expiry time of one name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct NameEntry {
    pub(crate) total: f64,
    pub(crate) expires_at: Timestamp,
}

/// A name with its expiry time; ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    expires_at: Timestamp,
    name: NameId,
}

/// All names with their totals.
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

    /// Returns the total of a name that has not expired at `now`.
    pub(crate) fn total(&self, name: NameId, now: Timestamp) -> Option<f64> {
        let entry = self.entries.get(&name)?;
        (entry.expires_at > now).then_some(entry.total)
    }

    /// Returns all names that have not expired at `now`, sorted by id.
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

    /// Returns all names, including expired ones, sorted by id.
    pub(crate) fn sorted_entries(&self) -> Vec<(NameId, NameEntry)> {
        let mut entries: Vec<(NameId, NameEntry)> = self
            .entries
            .iter()
            .map(|(&name, &entry)| (name, entry))
            .collect();
        entries.sort_unstable_by_key(|entry| entry.0);
        entries
    }

    /// Inserts a name from a snapshot.
    pub(crate) fn restore(&mut self, name: NameId, entry: NameEntry) {
        let expires_at = entry.expires_at;
        self.entries.insert(name, entry);
        self.expiries.insert(Expiry { expires_at, name });
    }

    /// Whether any name has expired at `now`.
    pub(crate) fn has_expired(&self, now: Timestamp) -> bool {
        self.expiries
            .first()
            .is_some_and(|first| first.expires_at <= now)
    }

    /// Removes up to [`MAX_REMOVALS_PER_INCREMENT`] names that have expired at `now`.
    pub(crate) fn remove_expired(&mut self, now: Timestamp) {
        for _ in 0..MAX_REMOVALS_PER_INCREMENT {
            if !self.has_expired(now) {
                return;
            }
            if let Some(expiry) = self.expiries.pop_first() {
                self.entries.remove(&expiry.name);
            }
        }
    }

    /// Adds to the total of a name and returns it. A new or expired name starts at zero.
    pub(crate) fn increment(&mut self, increment: &Increment, now: Timestamp) -> f64 {
        let name = increment.name;
        let entry = self.entries.entry(name).or_insert(NameEntry {
            total: 0.0,
            expires_at: Timestamp::ZERO,
        });
        if entry.expires_at <= now {
            let previous = entry.expires_at;
            let expires_at = now + increment.lifetime;
            *entry = NameEntry {
                total: 0.0,
                expires_at,
            };
            self.expiries.remove(&Expiry {
                expires_at: previous,
                name,
            });
            self.expiries.insert(Expiry { expires_at, name });
        }
        // All increments of a batch are checked before any of them is counted, so their sum may overflow.
        entry.total = (entry.total + increment.amount).clamp(f64::MIN, f64::MAX);
        entry.total
    }
}
