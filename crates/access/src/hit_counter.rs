//! One gateway's hits by rule. The counts are cumulative over the gateway's incarnation, so that a report that arrives twice, late or
//! out of order can be merged by taking the larger count.

use crate::{RuleIndex, RuleSet, DEFAULT_RULE, STALE_RULE};
use rustc_hash::FxHashMap;

/// The cumulative count of one rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RuleHits {
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
pub(crate) enum MatchedBy {
    /// This rule.
    Rule(RuleIndex),
    /// The set's default, as no rule matched.
    Default,
    /// The set's stale policy, as the session had expired.
    Stale,
}

/// Counts of the set that a customer has now.
#[derive(Clone, Debug, Default)]
struct SetCounts {
    version: u64,
    /// By position in the set.
    rules: Vec<u64>,
    default: u64,
    stale: u64,
    /// Whether the customer is listed as changed.
    is_changed: bool,
}

/// The hits that one incarnation of a gateway counts.
#[derive(Clone, Debug, Default)]
pub struct RuleHitCounter {
    counts: FxHashMap<String, SetCounts>,
    /// Customers whose counts changed since they were last reported.
    changed: Vec<String>,
    /// Counts of replaced and removed sets, until a report with them is confirmed.
    ended: Vec<RuleHits>,
    /// How many of the ended counts were in the last report.
    ended_in_report: usize,
}

impl RuleHitCounter {
    /// Starts counting for a set that takes the place of `earlier`, whose counts are kept until they are reported.
    pub(crate) fn start_set(&mut self, set: &RuleSet, earlier: Option<&RuleSet>) {
        if let Some(earlier) = earlier {
            self.end_set(earlier);
        }
        let counts = SetCounts {
            version: set.version,
            rules: vec![0; set.rules.len()],
            ..SetCounts::default()
        };
        self.counts.insert(set.customer.clone(), counts);
    }

    /// Ends counting for a set, whose counts are kept until they are reported.
    pub(crate) fn end_set(&mut self, set: &RuleSet) {
        let Some(counts) = self.counts.remove(&set.customer) else {
            return;
        };
        self.changed.retain(|customer| *customer != set.customer);
        self.ended.extend(counts.to_hits(set));
    }

    /// Counts a decided call.
    pub(crate) fn record(&mut self, customer: &str, matched_by: MatchedBy) {
        let Some(counts) = self.counts.get_mut(customer) else {
            return;
        };
        match matched_by {
            MatchedBy::Rule(RuleIndex(index)) => counts.rules[index as usize] += 1,
            MatchedBy::Default => counts.default += 1,
            MatchedBy::Stale => counts.stale += 1,
        }
        if !counts.is_changed {
            counts.is_changed = true;
            self.changed.push(customer.to_string());
        }
    }

    /// The ended counts that are not yet confirmed, and the changed counts of at most `max_customers` customers.
    pub(crate) fn report<'a>(
        &mut self,
        max_customers: usize,
        set_of: impl Fn(&str) -> Option<&'a RuleSet>,
    ) -> Vec<RuleHits> {
        self.ended_in_report = self.ended.len();
        let mut report = self.ended.clone();
        let reported = self.changed.len().min(max_customers);
        for customer in self.changed.drain(..reported) {
            let counts = self.counts.get_mut(&customer);
            if let (Some(counts), Some(set)) = (counts, set_of(&customer)) {
                counts.is_changed = false;
                report.extend(counts.to_hits(set));
            }
        }
        report
    }

    /// The last report has arrived: its ended counts need not be reported again.
    pub fn confirm_report(&mut self) {
        let confirmed = std::mem::take(&mut self.ended_in_report);
        self.ended.drain(..confirmed);
    }

    /// Reports may have been lost: the next ones have all counts that are not zero.
    pub fn mark_all_changed(&mut self) {
        self.ended_in_report = 0;
        for (customer, counts) in &mut self.counts {
            if counts.total() > 0 && !counts.is_changed {
                counts.is_changed = true;
                self.changed.push(customer.clone());
            }
        }
        self.changed.sort_unstable();
    }

    /// Whether there is something to report.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty() || !self.ended.is_empty()
    }
}

impl SetCounts {
    fn total(&self) -> u64 {
        self.rules.iter().sum::<u64>() + self.default + self.stale
    }

    /// The counts that are not zero, for the set that they belong to.
    fn to_hits(&self, set: &RuleSet) -> Vec<RuleHits> {
        let rule_ids = set.rules.iter().map(|rule| rule.id.as_str());
        rule_ids
            .zip(self.rules.iter().copied())
            .chain([(DEFAULT_RULE, self.default), (STALE_RULE, self.stale)])
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
