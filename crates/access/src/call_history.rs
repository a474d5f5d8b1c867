//! The kinds of calls that arrived recently, so that a rule set can be tried on them before it is applied.

use crate::{Action, CallKind, CompiledRules, RuleSet};
use std::collections::BTreeMap;

/// The most kinds of calls of one customer that are told apart in one period.
const MAX_KINDS: usize = 256;

/// What a rule set would have done to the recent calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DryRun {
    /// The recent calls.
    pub calls: u64,
    /// How many of them would have been denied.
    pub denied: u64,
    /// Hits by rule id; `default` for none.
    pub by_rule: BTreeMap<String, u64>,
}

impl DryRun {
    /// Whether all of the customer's recent calls would have been denied.
    pub fn locks_out(&self) -> bool {
        self.calls > 0 && self.denied == self.calls
    }
}

/// Calls of one customer by their kinds, over the present period and the one before.
#[derive(Clone, Debug, Default)]
pub struct CallHistory {
    current: BTreeMap<CallKind, u64>,
    previous: BTreeMap<CallKind, u64>,
    other_calls: u64,
}

impl CallHistory {
    /// Counts calls of a kind. Where the period has too many kinds, calls of further ones are counted as other calls.
    pub fn record(&mut self, kind: CallKind, count: u64) {
        if self.current.len() >= MAX_KINDS && !self.current.contains_key(&kind) {
            self.other_calls += count;
            return;
        }
        *self.current.entry(kind).or_default() += count;
    }

    /// Begins a new period and forgets the one before the last.
    pub fn start_period(&mut self) {
        self.previous = std::mem::take(&mut self.current);
        self.other_calls = 0;
    }

    /// Calls of the present period by kind.
    pub fn current(&self) -> &BTreeMap<CallKind, u64> {
        &self.current
    }

    /// Calls of the period before by kind.
    pub fn previous(&self) -> &BTreeMap<CallKind, u64> {
        &self.previous
    }

    /// Calls of the present period whose kinds are not told apart.
    pub fn other_calls(&self) -> u64 {
        self.other_calls
    }

    /// Calls of both periods by kind.
    pub fn calls_by_kind(&self) -> BTreeMap<CallKind, u64> {
        let mut calls = self.previous.clone();
        for (kind, count) in &self.current {
            *calls.entry(kind.clone()).or_default() += count;
        }
        calls
    }

    /// What a rule set would have done to the calls of both periods.
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

    /// Whether there were no calls in both periods.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty() && self.previous.is_empty()
    }
}
