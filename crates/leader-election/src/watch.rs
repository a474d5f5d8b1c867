//! A keeper's reckoning of others' sessions.

use crate::Terms;
use std::collections::HashMap;

/// When sessions were last heard of, by this keeper's own clock. What it says is a proposal only: it is agreed on under the
/// renewal that it counts from, so one that was renewed meanwhile stays.
#[derive(Clone, Debug)]
pub struct Watch {
    terms: Terms,
    /// By session: the renewal that was last applied here, and when.
    heard: HashMap<u64, (u64, u64)>,
}

impl Watch {
    /// Nothing was heard.
    pub fn new(terms: Terms) -> Watch {
        Watch {
            terms,
            heard: HashMap::new(),
        }
    }
    /// A renewal was applied here now: `renewed` is its place in the agreed log.
    pub fn applied(&mut self, session: u64, renewed: u64, now: u64) {
        self.heard.insert(session, (renewed, now));
    }
    /// A session is over.
    pub fn forget(&mut self, session: u64) {
        self.heard.remove(&session);
    }
    /// Everything that stands was heard of only now: this keeper was started, or took a state over, and does not know since when
    /// nothing came.
    pub fn begin_anew(&mut self, sessions: impl IntoIterator<Item = (u64, u64)>, now: u64) {
        self.heard = sessions
            .into_iter()
            .map(|(session, renewed)| (session, (renewed, now)))
            .collect();
    }
    /// Sessions that can no longer stand by their holders' own reckoning, with the renewal that this counts from; in order.
    pub fn lapsed(&self, now: u64) -> Vec<(u64, u64)> {
        let over = |at: u64| now.saturating_sub(at) >= self.terms.waited();
        let mut lapsed: Vec<(u64, u64)> = self
            .heard
            .iter()
            .filter(|(_, (_, at))| over(*at))
            .map(|(s, (renewed, _))| (*s, *renewed))
            .collect();
        lapsed.sort_unstable();
        lapsed
    }
    /// The next time at which one can lapse.
    pub fn next(&self) -> Option<u64> {
        self.heard
            .values()
            .map(|(_, at)| at + self.terms.waited())
            .min()
    }
    /// Sessions that are watched.
    pub fn len(&self) -> usize {
        self.heard.len()
    }
    /// Whether none is watched.
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }
}
