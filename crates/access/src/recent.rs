//! What came of late, so that a set can be tried on it before it is applied.

use crate::compiled::{Call, Compiled};
use crate::set::{Action, RuleSet};
use std::collections::BTreeMap;

/// A kind of call that came, and how often.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Seen {
    /// The caller's region.
    pub caller: String,
    /// The gateway's.
    pub gateway: String,
    /// The path.
    pub path: String,
    /// The class.
    pub class: String,
}

/// What a set would have done to what came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WouldHit {
    /// Calls that came.
    pub calls: u64,
    /// Of these, denied.
    pub denied: u64,
    /// Hits by rule; `default` for none.
    pub by_rule: BTreeMap<String, u64>,
}

impl WouldHit {
    /// Whether everything that the customer sends would be denied.
    pub fn locks_out(&self) -> bool {
        self.calls > 0 && self.denied == self.calls
    }
}

/// Kinds of calls of one customer over the last two spans; further kinds are counted together as other ones.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    now: BTreeMap<Seen, u64>,
    before: BTreeMap<Seen, u64>,
    /// Calls of kinds beyond those that are kept.
    pub others: u64,
}

/// Kinds that are kept of one customer.
const MOST: usize = 256;

impl Recent {
    /// So many calls of a kind came.
    pub fn came(&mut self, seen: Seen, count: u64) {
        if self.now.len() >= MOST && !self.now.contains_key(&seen) {
            self.others += count;
            return;
        }
        *self.now.entry(seen).or_default() += count;
    }
    /// A span is over.
    pub fn next_span(&mut self) {
        self.before = std::mem::take(&mut self.now);
        self.others = 0;
    }
    /// Kinds of this span, and of the one before.
    pub fn now(&self) -> &BTreeMap<Seen, u64> {
        &self.now
    }
    /// See [`Recent::now`].
    pub fn before(&self) -> &BTreeMap<Seen, u64> {
        &self.before
    }
    /// Kinds of both spans with how often they came.
    pub fn kinds(&self) -> Vec<(Seen, u64)> {
        let mut all = self.before.clone();
        for (seen, count) in &self.now {
            *all.entry(seen.clone()).or_default() += count;
        }
        all.into_iter().collect()
    }
    /// What a set would do to what came.
    pub fn try_set(&self, set: &RuleSet) -> WouldHit {
        let compiled = Compiled::new(set.clone());
        let mut would = WouldHit::default();
        for (seen, count) in self.before.iter().chain(&self.now) {
            let call = Call {
                caller: &seen.caller,
                gateway: &seen.gateway,
                path: &seen.path,
                class: &seen.class,
            };
            let decision = compiled.decide(&call);
            would.calls += count;
            would.denied += if decision.action == Action::Deny {
                *count
            } else {
                0
            };
            *would
                .by_rule
                .entry(compiled.id(decision.rule).to_string())
                .or_default() += count;
        }
        would
    }
    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.now.is_empty() && self.before.is_empty()
    }
}
