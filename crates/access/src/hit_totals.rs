//! Hits of one customer's rules over the whole fleet.

use std::collections::BTreeMap;

/// The rule that stands for all rules whose own counts were joined.
const JOINED_RULE: &str = "earlier";
/// The version that stands for all versions whose own counts were joined.
const JOINED_VERSION: u64 = 0;

/// A rule of one version of a customer's set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RuleVersion {
    /// The version of the set.
    pub version: u64,
    /// The rule's id; `default` and `stale` stand for what is no rule.
    pub rule: String,
}

/// Counts by rule.
pub type HitCounts = BTreeMap<RuleVersion, u64>;

/// Counts of one customer over the fleet: those that ended incarnations left, and those of each incarnation that may still report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HitTotals {
    /// The sums over ended incarnations.
    pub folded: HitCounts,
    /// The counts of each incarnation of a gateway that is not yet folded.
    pub by_incarnation: BTreeMap<u64, HitCounts>,
}

impl HitTotals {
    /// Takes over a cumulative count that an incarnation reported. A smaller one than before is from an older report and changes
    /// nothing.
    pub fn record(&mut self, incarnation: u64, rule: RuleVersion, count: u64) {
        let counts = self.by_incarnation.entry(incarnation).or_default();
        let known = counts.entry(rule).or_default();
        *known = (*known).max(count);
    }

    /// Adds the counts of an incarnation that will report no more to the folded ones.
    pub fn fold(&mut self, incarnation: u64) {
        let ended = self.by_incarnation.remove(&incarnation);
        for (rule, count) in ended.unwrap_or_default() {
            *self.folded.entry(rule).or_default() += count;
        }
    }

    /// Joins folded counts until at most `max_lines` of them are left, but never fewer than one: first the oldest versions into one
    /// joined version, then the rules of that into one joined rule.
    pub fn compact(&mut self, max_lines: usize) {
        while self.folded.len() > max_lines.max(1) {
            let Some(joined) = self.next_to_join() else {
                return;
            };
            let count = self.folded.remove(&joined).unwrap_or(0);
            let rule = if joined.version == JOINED_VERSION {
                JOINED_RULE.to_string()
            } else {
                joined.rule
            };
            let target = RuleVersion {
                version: JOINED_VERSION,
                rule,
            };
            *self.folded.entry(target).or_default() += count;
        }
    }

    fn next_to_join(&self) -> Option<RuleVersion> {
        let oldest = self.folded.keys().find(|key| key.version > JOINED_VERSION);
        oldest
            .or_else(|| self.folded.keys().find(|key| key.rule != JOINED_RULE))
            .cloned()
    }

    /// The fleet's count of a rule.
    pub fn count(&self, rule: &RuleVersion) -> u64 {
        let counts = self.by_incarnation.values();
        let reported: u64 = counts.filter_map(|counts| counts.get(rule)).sum();
        reported + self.folded.get(rule).copied().unwrap_or(0)
    }

    /// The fleet's counts of all rules.
    pub fn all(&self) -> HitCounts {
        let mut all = self.folded.clone();
        for (rule, count) in self.by_incarnation.values().flatten() {
            *all.entry(rule.clone()).or_default() += count;
        }
        all
    }
}
