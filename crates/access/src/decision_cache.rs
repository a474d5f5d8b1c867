//! A cache of the decisions of one rule set.

use crate::{Call, CallKind, Decision};
use rustc_hash::{FxHashMap, FxHasher};
use std::hash::{Hash, Hasher};

/// Maximum number of decisions in the cache. A full cache is cleared, which bounds its memory at the cost of evaluating the calls again.
const MAX_ENTRIES: usize = 4_096;

/// The result of a cache lookup.
pub(crate) enum Lookup {
    /// The cache has the decision about an equal call.
    Hit(Decision),
    /// The cache has no decision; one can be stored under this key.
    Miss(CacheKey),
    /// A different call has the same key, so the decision cannot be stored.
    Collision,
}

/// The hash of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CacheKey(u64);

/// Decisions by the hash of the call.
#[derive(Debug, Default)]
pub(crate) struct DecisionCache {
    entries: FxHashMap<CacheKey, Entry>,
}

#[derive(Debug)]
struct Entry {
    // Boxed to keep the table small: most lookups compare only one entry.
    kind: Box<CallKind>,
    decision: Decision,
}

impl DecisionCache {
    /// Looks up the decision about an equal call. The whole call is compared, not only its hash.
    pub(crate) fn lookup(&self, call: &Call) -> Lookup {
        let key = key_of(call);
        match self.entries.get(&key) {
            Some(entry) if entry.kind.as_call() == *call => Lookup::Hit(entry.decision),
            Some(_) => Lookup::Collision,
            None => Lookup::Miss(key),
        }
    }

    /// Stores a decision under the key that [`DecisionCache::lookup`] returned.
    pub(crate) fn insert(&mut self, key: CacheKey, call: &Call, decision: Decision) {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.clear();
        }
        let kind = Box::new(CallKind::from(call));
        self.entries.insert(key, Entry { kind, decision });
    }
}

fn key_of(call: &Call) -> CacheKey {
    let mut hasher = FxHasher::default();
    call.hash(&mut hasher);
    CacheKey(hasher.finish())
}
