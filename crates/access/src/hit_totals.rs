//! Hit counts of one customer's rules, summed over all gateways.

use std::collections::BTreeMap;

/// Replaces the rule id in counts that were merged over several rules.
const MERGED_RULE_ID: &str = "earlier";
/// Replaces the version in counts that were merged over several versions.
const MERGED_VERSION: u64 = 0;

/// A rule of one version of a customer's set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RuleVersion {
    /// The version of the rule set.
    pub version: u64,
    /// The rule's id, or `default` or `stale` if no rule decided.
    pub rule: String,
}

/// Hit counts by rule.
pub type HitCounts = BTreeMap<RuleVersion, u64>;

/// Hit counts of one customer: the sum over ended incarnations of gateways, and the counts of each incarnation that may still
/// report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HitTotals {
    /// The sum over ended incarnations.
    pub folded: HitCounts,
    /// The counts of each incarnation that is not folded yet.
    pub by_incarnation: BTreeMap<u64, HitCounts>,
}

impl HitTotals {
    /// Records a cumulative count that an incarnation reported. A count smaller than the recorded one comes from an older report
    /// and is ignored.
    pub fn record(&mut self, incarnation: u64, rule: RuleVersion, count: u64) {
        let counts = self.by_incarnation.entry(incarnation).or_default();
        let recorded = counts.entry(rule).or_default();
        *recorded = (*recorded).max(count);
    }

    /// Adds the counts of an ended incarnation to the folded ones.
    pub fn fold(&mut self, incarnation: u64) {
        let ended = self.by_incarnation.remove(&incarnation);
        for (rule, count) in ended.unwrap_or_default() {
            *self.folded.entry(rule).or_default() += count;
        }
    }

    /// Merges folded counts until at most `max_counts` of them remain, but at least one: first the oldest versions into one merged
    /// version, then the rules of that version into one merged rule.
    pub fn compact(&mut self, max_counts: usize) {
        while self.folded.len() > max_counts.max(1) {
            let Some(source) = self.next_to_merge() else {
                return;
            };
            let count = self.folded.remove(&source).unwrap_or(0);
            let rule = if source.version == MERGED_VERSION {
                MERGED_RULE_ID.to_string()
            } else {
                source.rule
            };
            let target = RuleVersion {
                version: MERGED_VERSION,
                rule,
            };
            *self.folded.entry(target).or_default() += count;
        }
    }

    /// Returns a count of the oldest unmerged version, or else a count of the merged version that is not in the merged rule.
    fn next_to_merge(&self) -> Option<RuleVersion> {
        let oldest = self.folded.keys().find(|key| key.version > MERGED_VERSION);
        oldest
            .or_else(|| self.folded.keys().find(|key| key.rule != MERGED_RULE_ID))
            .cloned()
    }

    /// Returns the count of a rule over all gateways.
    pub fn count(&self, rule: &RuleVersion) -> u64 {
        let counts = self.by_incarnation.values();
        let reported: u64 = counts.filter_map(|counts| counts.get(rule)).sum();
        reported + self.folded.get(rule).copied().unwrap_or(0)
    }

    /// Returns the counts of all rules over all gateways.
    pub fn all(&self) -> HitCounts {
        let mut all = self.folded.clone();
        for (rule, count) in self.by_incarnation.values().flatten() {
            *all.entry(rule.clone()).or_default() += count;
        }
        all
    }
}
