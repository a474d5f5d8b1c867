//! A rule set that was prepared for many calls.

use crate::decision_cache::{DecisionCache, Lookup};
use crate::route_index::RouteIndex;
use crate::{Call, Decision, Rule, RuleIndex, RuleSet, StalePolicy, DEFAULT_RULE};
use std::cell::RefCell;

/// A rule set with an index of its routes and a cache of its decisions.
#[derive(Debug)]
pub struct CompiledRules {
    set: RuleSet,
    routes: RouteIndex,
    cache: RefCell<DecisionCache>,
}

impl CompiledRules {
    /// Prepares a set that has passed [`RuleSet::check`].
    pub fn new(set: RuleSet) -> CompiledRules {
        CompiledRules {
            routes: RouteIndex::new(&set.rules),
            set,
            cache: RefCell::default(),
        }
    }

    /// The set itself.
    pub fn set(&self) -> &RuleSet {
        &self.set
    }

    /// What holds while the gateway has no session.
    pub fn stale_policy(&self) -> StalePolicy {
        self.set.stale_policy
    }

    /// The id of the rule that decided; `default` if none did.
    pub fn rule_id(&self, rule: Option<RuleIndex>) -> &str {
        rule.and_then(|index| self.set.rules.get(index.0 as usize))
            .map_or(DEFAULT_RULE, |rule| rule.id.as_str())
    }

    /// Decides a call by the first rule that matches, or else by the set's default.
    pub fn decide(&self, call: &Call) -> Decision {
        let mut cache = self.cache.borrow_mut();
        match cache.lookup(call) {
            Lookup::Hit(decision) => decision,
            Lookup::Collision => self.evaluate(call),
            Lookup::Miss(key) => {
                let decision = self.evaluate(call);
                cache.insert(key, call, decision);
                decision
            }
        }
    }

    fn evaluate(&self, call: &Call) -> Decision {
        let first_match = |candidates: &[RuleIndex]| {
            candidates
                .iter()
                .copied()
                .find(|&index| matches(self.rule(index), call))
        };
        let rule = self
            .routes
            .candidates(call.path)
            .filter_map(first_match)
            .min();
        Decision {
            action: rule.map_or(self.set.default_action, |index| self.rule(index).action),
            rule,
        }
    }

    fn rule(&self, index: RuleIndex) -> &Rule {
        &self.set.rules[index.0 as usize]
    }
}

/// Whether the rule's other fields match, its routes aside.
fn matches(rule: &Rule, call: &Call) -> bool {
    is_among(&rule.caller_regions, call.caller_region)
        && is_among(&rule.gateway_regions, call.gateway_region)
        && is_among(&rule.classes, call.class)
}

/// Whether a field without values, or with this one among them, matches.
fn is_among(values: &[String], value: &str) -> bool {
    values.is_empty() || values.iter().any(|v| v == value)
}
