//! The ids of requests whose clients left while an attempt may have run. It does no I/O.
//!
//! Such an id is refused for a while: clients give each request a new id, so one that comes again is the same request, and would run twice.

use bytes::Bytes;
use chalkdeck_time::{TimeDelta, Timestamp};
use rustc_hash::FxHashSet;
use std::collections::VecDeque;

/// The maximum number of ids. At it the oldest makes room.
const MAX_IDS: usize = 4_096;

/// The ids of abandoned requests.
#[derive(Debug)]
pub(crate) struct AbandonedIds {
    ids: FxHashSet<Bytes>,
    /// The ids in the order in which they expire.
    expiries: VecDeque<(Timestamp, Bytes)>,
    kept_for: TimeDelta,
}

impl AbandonedIds {
    /// `kept_for` is the time for which an attempt may go on after its client has left.
    pub(crate) fn new(kept_for: TimeDelta) -> AbandonedIds {
        AbandonedIds {
            ids: FxHashSet::default(),
            expiries: VecDeque::new(),
            kept_for,
        }
    }

    /// Adds the id of a request whose client has left.
    pub(crate) fn insert(&mut self, now: Timestamp, id: &[u8]) {
        self.remove_expired(now);
        if self.expiries.len() >= MAX_IDS {
            self.remove_first();
        }
        let id = Bytes::copy_from_slice(id);
        if self.ids.insert(id.clone()) {
            self.expiries.push_back((now + self.kept_for, id));
        }
    }

    /// Whether a request with this id was abandoned recently.
    pub(crate) fn contains(&mut self, now: Timestamp, id: &[u8]) -> bool {
        self.remove_expired(now);
        self.ids.contains(id)
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while self.expiries.front().is_some_and(|(at, _)| *at <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, id)) = self.expiries.pop_front() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
