//! Figures of a client.

use crate::core::Outcome;
use std::sync::atomic::{AtomicU64, Ordering};

/// What a client has done since its start. `calls` that ended are the sum of the ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Tries that were sent.
    pub tries: u64,
    /// Connections that came to stand.
    pub connects: u64,
    /// Ended by an answer.
    pub answered: u64,
    /// Refused, or never sent on: it may be called again.
    pub refused: u64,
    /// Failed, or out of time.
    pub failed: u64,
    /// Called off, or too many.
    pub dropped: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    tries: AtomicU64,
    connects: AtomicU64,
    answered: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    dropped: AtomicU64,
}

impl Counters {
    pub(crate) fn tried(&self) {
        self.tries.fetch_add(1, Ordering::Relaxed);
    }
    pub(crate) fn connected(&self) {
        self.connects.fetch_add(1, Ordering::Relaxed);
    }
    pub(crate) fn ended(&self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Answered => &self.answered,
            Outcome::Refused(_) | Outcome::NotSent => &self.refused,
            Outcome::Failed | Outcome::Deadline { .. } => &self.failed,
            Outcome::Full | Outcome::Cancelled => &self.dropped,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
    pub(crate) fn read(&self) -> Stats {
        let get = |c: &AtomicU64| c.load(Ordering::Relaxed);
        Stats {
            tries: get(&self.tries),
            connects: get(&self.connects),
            answered: get(&self.answered),
            refused: get(&self.refused),
            failed: get(&self.failed),
            dropped: get(&self.dropped),
        }
    }
}
