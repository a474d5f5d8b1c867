//! Decisions of one rule set about the calls that it saw lately.

use crate::{Call, CallKind, Decision};
use rustc_hash::{FxHashMap, FxHasher};
use std::hash::{Hash, Hasher};

/// Decisions that are kept. A full cache is cleared, which bounds its memory at the price of deciding the calls anew.
const MAX_ENTRIES: usize = 4_096;

/// What the cache knows of a call.
pub(crate) enum Lookup {
    /// The decision about an equal call.
    Hit(Decision),
    /// Nothing; the decision may be stored under this key.
    Miss(CacheKey),
    /// Another call has the same key, so that the decision cannot be stored.
    Collision,
}

/// The hash of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CacheKey(u64);

/// Decisions by the hashes of their calls.
#[derive(Debug, Default)]
pub(crate) struct DecisionCache {
    entries: FxHashMap<CacheKey, Entry>,
}

#[derive(Debug)]
struct Entry {
    // Boxed to keep the table small: most look-ups compare one entry only.
    kind: Box<CallKind>,
    decision: Decision,
}

impl DecisionCache {
    /// Finds the decision about an equal call. The whole call is compared, not only its hash.
    pub(crate) fn lookup(&self, call: &Call) -> Lookup {
        let key = key_of(call);
        match self.entries.get(&key) {
            Some(entry) if entry.kind.as_call() == *call => Lookup::Hit(entry.decision),
            Some(_) => Lookup::Collision,
            None => Lookup::Miss(key),
        }
    }

    /// Stores a decision under the key that [`DecisionCache::lookup`] gave.
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
