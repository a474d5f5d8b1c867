//! Counts of recent calls by kind, for a dry run of a rule set before it is applied.

use crate::{Action, CallKind, CompiledRules, RuleSet};
use std::collections::BTreeMap;

/// Maximum number of kinds of calls that are counted separately for one customer in one period.
const MAX_KINDS_PER_PERIOD: usize = 256;

/// The result of applying a rule set to recent calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DryRun {
    /// The number of recent calls.
    pub calls: u64,
    /// The number of these calls that the rule set denies.
    pub denied: u64,
    /// Hits by rule id; `default` if no rule matched.
    pub by_rule: BTreeMap<String, u64>,
}

impl DryRun {
    /// Returns whether the rule set denies all recent calls of the customer.
    pub fn locks_out(&self) -> bool {
        self.calls > 0 && self.denied == self.calls
    }
}

/// Calls of one customer by kind, in the current and the previous period.
#[derive(Clone, Debug, Default)]
pub struct CallHistory {
    current: BTreeMap<CallKind, u64>,
    previous: BTreeMap<CallKind, u64>,
    /// Calls of the current period that are not counted by kind.
    other_calls: u64,
}

impl CallHistory {
    /// Counts calls of a kind. Once the period has the maximum number of kinds, calls of new kinds are counted as other calls.
    pub fn record(&mut self, kind: CallKind, count: u64) {
        if self.current.len() >= MAX_KINDS_PER_PERIOD && !self.current.contains_key(&kind) {
            self.other_calls += count;
            return;
        }
        *self.current.entry(kind).or_default() += count;
    }

    /// Starts a new period: the current counts become the previous ones, and the older counts are dropped.
    pub fn start_period(&mut self) {
        self.previous = std::mem::take(&mut self.current);
        self.other_calls = 0;
    }

    /// Returns the calls of the current period by kind.
    pub fn current(&self) -> &BTreeMap<CallKind, u64> {
        &self.current
    }

    /// Returns the calls of the previous period by kind.
    pub fn previous(&self) -> &BTreeMap<CallKind, u64> {
        &self.previous
    }

    /// Returns the number of calls of the current period that are not counted by kind.
    pub fn other_calls(&self) -> u64 {
        self.other_calls
    }

    /// Returns the calls of both periods by kind.
    pub fn calls_by_kind(&self) -> BTreeMap<CallKind, u64> {
        let mut calls = self.previous.clone();
        for (kind, count) in &self.current {
            *calls.entry(kind.clone()).or_default() += count;
        }
        calls
    }

    /// Applies a rule set to the calls of both periods.
    pub fn dry_run(&self, set: &RuleSet) -> DryRun {
        let rules = CompiledRules::new(set.clone());
        let mut result = DryRun::default();
        for (kind, count) in self.previous.iter().chain(&self.current) {
            let decision = rules.decide(&kind.as_call());
            result.calls += count;
            if decision.action == Action::Deny {
                result.denied += count;
            }
            let rule = rules.rule_id(decision.rule).to_string();
            *result.by_rule.entry(rule).or_default() += count;
        }
        result
    }

    /// Returns whether both periods have no calls.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty() && self.previous.is_empty()
    }
}
