//! A rule set that is compiled for fast decisions.

use crate::decision_cache::{DecisionCache, Lookup};
use crate::route_index::RouteIndex;
use crate::{Call, Decision, Rule, RuleIndex, RuleSet, StalePolicy, DEFAULT_RULE_ID};
use std::cell::RefCell;

/// A rule set with an index of its routes and a cache of its decisions.
#[derive(Debug)]
pub struct CompiledRules {
    set: RuleSet,
    routes: RouteIndex,
    cache: RefCell<DecisionCache>,
}

impl CompiledRules {
    /// Compiles a set that has passed [`RuleSet::check`].
    pub fn new(set: RuleSet) -> CompiledRules {
        CompiledRules {
            routes: RouteIndex::new(&set.rules),
            set,
            cache: RefCell::default(),
        }
    }

    /// Returns the source rule set.
    pub fn set(&self) -> &RuleSet {
        &self.set
    }

    /// Returns how calls are handled while the gateway has no valid session.
    pub fn stale_policy(&self) -> StalePolicy {
        self.set.stale_policy
    }

    /// Returns the id of the rule that decided, or `default` if no rule matched.
    pub fn rule_id(&self, rule: Option<RuleIndex>) -> &str {
        rule.and_then(|index| self.set.rules.get(index.0 as usize))
            .map_or(DEFAULT_RULE_ID, |rule| rule.id.as_str())
    }

    /// Decides a call by the first matching rule, or by the default action of the set if no rule matches.
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

    /// Decides a call without the cache.
    fn evaluate(&self, call: &Call) -> Decision {
        let first_match = |candidates: &[RuleIndex]| {
            candidates
                .iter()
                .copied()
                .find(|&index| matches_except_routes(self.rule(index), call))
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

/// Returns whether the fields of a rule other than its routes match.
fn matches_except_routes(rule: &Rule, call: &Call) -> bool {
    field_matches(&rule.caller_regions, call.caller_region)
        && field_matches(&rule.gateway_regions, call.gateway_region)
        && field_matches(&rule.classes, call.class)
}

/// Returns whether a field matches a value: it has no values, or this is one of them.
fn field_matches(values: &[String], value: &str) -> bool {
    values.is_empty() || values.iter().any(|v| v == value)
}
