//! Counts the hits of each rule at one gateway. The counts are cumulative over the gateway's incarnation, so that a report that is
//! duplicated, delayed or reordered can be merged by taking the larger count.

use crate::{RuleIndex, RuleSet, DEFAULT_RULE_ID, STALE_RULE_ID};
use rustc_hash::FxHashMap;

/// The cumulative hit count of one rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RuleHits {
    /// The customer.
    pub customer: String,
    /// The version of the customer's rule set.
    pub version: u64,
    /// The rule's id, or `default` or `stale` if no rule decided.
    pub rule: String,
    /// The number of hits since the gateway started.
    pub count: u64,
}

/// What decided a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MatchedBy {
    /// The rule that matched.
    Rule(RuleIndex),
    /// The default action of the set, because no rule matched.
    Default,
    /// The stale policy of the set, because the session had expired.
    Stale,
}

/// Hit counts of a customer's current rule set.
#[derive(Clone, Debug, Default)]
struct SetCounts {
    version: u64,
    /// Counts by the rule's position in the set.
    by_rule: Vec<u64>,
    default: u64,
    stale: u64,
    /// Whether the customer is in the list of changed customers.
    is_changed: bool,
}

/// The hit counts of one incarnation of a gateway.
#[derive(Clone, Debug, Default)]
pub struct RuleHitCounter {
    /// Counts of the current sets by customer.
    counts: FxHashMap<String, SetCounts>,
    /// Customers whose counts changed since they were last reported.
    changed_customers: Vec<String>,
    /// Final counts of replaced and removed sets, kept until a report that contains them is confirmed.
    final_counts: Vec<RuleHits>,
    /// The number of final counts in the last report.
    final_counts_in_report: usize,
}

impl RuleHitCounter {
    /// Starts counting for a set. The counts of the replaced set, if any, are kept until a report of them is confirmed.
    pub(crate) fn start_set(&mut self, set: &RuleSet, replaced: Option<&RuleSet>) {
        if let Some(replaced) = replaced {
            self.end_set(replaced);
        }
        let counts = SetCounts {
            version: set.version,
            by_rule: vec![0; set.rules.len()],
            ..SetCounts::default()
        };
        self.counts.insert(set.customer.clone(), counts);
    }

    /// Stops counting for a set. Its counts are kept until a report of them is confirmed.
    pub(crate) fn end_set(&mut self, set: &RuleSet) {
        let Some(counts) = self.counts.remove(&set.customer) else {
            return;
        };
        self.changed_customers
            .retain(|customer| *customer != set.customer);
        self.final_counts.extend(counts.to_hits(set));
    }

    /// Counts the hit of a decided call.
    pub(crate) fn record(&mut self, customer: &str, matched_by: MatchedBy) {
        let Some(counts) = self.counts.get_mut(customer) else {
            return;
        };
        match matched_by {
            MatchedBy::Rule(RuleIndex(index)) => counts.by_rule[index as usize] += 1,
            MatchedBy::Default => counts.default += 1,
            MatchedBy::Stale => counts.stale += 1,
        }
        if !counts.is_changed {
            counts.is_changed = true;
            self.changed_customers.push(customer.to_string());
        }
    }

    /// Returns the final counts that are not confirmed yet, and the changed counts of at most `max_customers` customers.
    pub(crate) fn report<'a>(
        &mut self,
        max_customers: usize,
        set_of: impl Fn(&str) -> Option<&'a RuleSet>,
    ) -> Vec<RuleHits> {
        self.final_counts_in_report = self.final_counts.len();
        let mut report = self.final_counts.clone();
        let reported_customers = self.changed_customers.len().min(max_customers);
        for customer in self.changed_customers.drain(..reported_customers) {
            let counts = self.counts.get_mut(&customer);
            if let (Some(counts), Some(set)) = (counts, set_of(&customer)) {
                counts.is_changed = false;
                report.extend(counts.to_hits(set));
            }
        }
        report
    }

    /// Records that the last report was received, so that its final counts need not be reported again.
    pub fn confirm_report(&mut self) {
        let confirmed = std::mem::take(&mut self.final_counts_in_report);
        self.final_counts.drain(..confirmed);
    }

    /// Marks all nonzero counts as changed, so that they are reported again. For use when reports may have been lost.
    pub fn mark_all_changed(&mut self) {
        self.final_counts_in_report = 0;
        for (customer, counts) in &mut self.counts {
            if counts.total() > 0 && !counts.is_changed {
                counts.is_changed = true;
                self.changed_customers.push(customer.clone());
            }
        }
        self.changed_customers.sort_unstable();
    }

    /// Returns whether there are counts to report.
    pub fn has_changes(&self) -> bool {
        !self.changed_customers.is_empty() || !self.final_counts.is_empty()
    }
}

impl SetCounts {
    fn total(&self) -> u64 {
        self.by_rule.iter().sum::<u64>() + self.default + self.stale
    }

    /// Returns the nonzero counts with the rule ids of the set that they belong to.
    fn to_hits(&self, set: &RuleSet) -> Vec<RuleHits> {
        let rule_ids = set.rules.iter().map(|rule| rule.id.as_str());
        rule_ids
            .zip(self.by_rule.iter().copied())
            .chain([(DEFAULT_RULE_ID, self.default), (STALE_RULE_ID, self.stale)])
            .filter(|(_, count)| *count > 0)
            .map(|(rule, count)| RuleHits {
                customer: set.customer.clone(),
                version: self.version,
                rule: rule.to_string(),
                count,
            })
            .collect()
    }
}
