//! Hits of rules: cumulative for each incarnation of a gateway, merged by the larger, so that a report that comes twice, late or out
//! of order never counts twice.

use crate::set::RuleSet;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

type Rules = BTreeMap<(u64, String), u64>;

/// A cumulative count that a gateway tells.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Told {
    /// The customer.
    pub customer: String,
    /// The version of its set.
    pub version: u64,
    /// The rule's id; `default` and `stale` stand for what is no rule.
    pub rule: String,
    /// Hits since the gateway's start.
    pub count: u64,
}

/// What decided a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    /// The rule at that place.
    Rule(u32),
    /// No rule matched.
    Default,
    /// The session had lapsed.
    Stale,
}

/// Counts of the set that a customer has now.
#[derive(Clone, Debug, Default)]
struct Counts {
    version: u64,
    rules: Vec<u64>,
    default: u64,
    stale: u64,
    moved: bool,
}

/// One gateway incarnation's own counts.
#[derive(Clone, Debug, Default)]
pub struct Hits {
    counts: FxHashMap<String, Counts>,
    /// Customers whose counts moved since the last report.
    moved: Vec<String>,
    /// Counts of sets that were replaced, until a report with them is known to have come.
    ended: Vec<Told>,
    /// How many of them the last report had.
    ended_told: usize,
}

impl Hits {
    /// A customer has this set from here on; what an earlier one counted is ended and kept. `ids`: of the earlier one's rules.
    pub(crate) fn begin(&mut self, set: &RuleSet, earlier: Option<&RuleSet>) {
        if let Some(earlier) = earlier {
            self.end(earlier);
        }
        let counts = Counts {
            version: set.version,
            rules: vec![0; set.rules.len()],
            ..Counts::default()
        };
        self.counts.insert(set.customer.clone(), counts);
    }
    /// A customer has no set any more.
    pub(crate) fn end(&mut self, set: &RuleSet) {
        let Some(counts) = self.counts.remove(&set.customer) else {
            return;
        };
        self.moved.retain(|c| *c != set.customer);
        self.ended.extend(counts.told(set));
    }
    /// A call was decided.
    pub(crate) fn hit(&mut self, customer: &str, by: By) {
        let Some(counts) = self.counts.get_mut(customer) else {
            return;
        };
        match by {
            By::Rule(place) => counts.rules[place as usize] += 1,
            By::Default => counts.default += 1,
            By::Stale => counts.stale += 1,
        }
        if !std::mem::replace(&mut counts.moved, true) {
            self.moved.push(customer.to_string());
        }
    }
    /// What moved since the last report, of at most so many customers, as cumulative counts.
    pub(crate) fn report<'a>(
        &mut self,
        most: usize,
        set_of: impl Fn(&str) -> Option<&'a RuleSet>,
    ) -> Vec<Told> {
        self.ended_told = self.ended.len();
        let mut out = self.ended.clone();
        let take = self.moved.len().min(most);
        for customer in self.moved.drain(..take) {
            if let (Some(counts), Some(set)) = (self.counts.get_mut(&customer), set_of(&customer)) {
                counts.moved = false;
                out.extend(counts.told(set));
            }
        }
        out
    }
    /// The last report is known to have come.
    pub fn report_came(&mut self) {
        self.ended.drain(..std::mem::take(&mut self.ended_told));
    }
    /// Reports may have been lost: the next ones tell all that is not 0.
    pub fn report_all(&mut self) {
        self.ended_told = 0;
        for (customer, counts) in &mut self.counts {
            if counts.sum() > 0 && !std::mem::replace(&mut counts.moved, true) {
                self.moved.push(customer.clone());
            }
        }
        self.moved.sort_unstable();
    }
    /// Whether there is something to report.
    pub fn has_moved(&self) -> bool {
        !self.moved.is_empty() || !self.ended.is_empty()
    }
}

impl Counts {
    fn sum(&self) -> u64 {
        self.rules.iter().sum::<u64>() + self.default + self.stale
    }
    fn told(&self, set: &RuleSet) -> Vec<Told> {
        let rules = set
            .rules
            .iter()
            .map(|r| r.id.as_str())
            .zip(self.rules.iter().copied());
        let all = rules
            .chain([("default", self.default), ("stale", self.stale)])
            .filter(|(_, n)| *n > 0);
        let told = |(rule, count): (&str, u64)| Told {
            customer: set.customer.clone(),
            version: self.version,
            rule: rule.to_string(),
            count,
        };
        all.map(told).collect()
    }
}

/// Counts of one customer over the fleet: what incarnations that are over left, and what each that may still report has told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Of incarnations that were folded.
    pub folded: Rules,
    /// By incarnation.
    pub told: BTreeMap<u64, Rules>,
}

impl Totals {
    /// An incarnation told a cumulative count. A smaller one than was told is an older report, and changes nothing.
    pub fn tell(&mut self, incarnation: u64, version: u64, rule: &str, count: u64) {
        let own = self.told.entry(incarnation).or_default();
        let held = own.entry((version, rule.to_string())).or_default();
        *held = (*held).max(count);
    }
    /// An incarnation will report no more: its counts go to those that are folded.
    pub fn fold(&mut self, incarnation: u64) {
        for (key, count) in self.told.remove(&incarnation).unwrap_or_default() {
            *self.folded.entry(key).or_default() += count;
        }
    }
    /// Joins the oldest versions' folded counts into version 0, and those of version 0 into one line, so that at most so many
    /// lines are kept.
    pub fn bound(&mut self, most: usize) {
        const EARLIER: &str = "earlier";
        while self.folded.len() > most.max(1) {
            let versioned = self.folded.keys().find(|(version, _)| *version > 0);
            let key = versioned
                .or_else(|| self.folded.keys().find(|(_, rule)| rule != EARLIER))
                .cloned();
            let Some(key) = key else { return };
            let count = self.folded.remove(&key).unwrap_or(0);
            let rule = if key.0 > 0 {
                key.1
            } else {
                EARLIER.to_string()
            };
            *self.folded.entry((0, rule)).or_default() += count;
        }
    }
    /// The fleet's count of a rule.
    pub fn count(&self, version: u64, rule: &str) -> u64 {
        let key = (version, rule.to_string());
        let told = self.told.values().filter_map(|r| r.get(&key)).sum::<u64>();
        told + self.folded.get(&key).copied().unwrap_or(0)
    }
    /// All rules with their counts, by version and id.
    pub fn all(&self) -> Rules {
        let mut all = self.folded.clone();
        for (key, count) in self.told.values().flatten() {
            *all.entry(key.clone()).or_default() += count;
        }
        all
    }
}
