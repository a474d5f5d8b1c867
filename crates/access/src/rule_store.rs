//! The rule sets of all customers at one gateway, and the decisions about its calls.

use crate::hit_counter::{MatchedBy, RuleHitCounter, RuleHits};
use crate::{Action, Call, CompiledRules, RuleSet, StalePolicy, STALE_RULE_ID};
use rustc_hash::FxHashMap;

/// Maximum number of rules in all sets together.
pub const MAX_STORED_RULES: usize = 200_000;
/// Maximum number of customers with a rule set.
pub const MAX_CUSTOMERS: usize = 10_000;

/// Whether the gateway has a valid session with the coordinator, which replicates the rule sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionState {
    /// The session is valid, so the sets are up to date.
    Live,
    /// The session has expired, so the sets may be outdated.
    Expired,
}

impl SessionState {
    /// Returns `Live` if `is_live`, otherwise `Expired`.
    pub fn new(is_live: bool) -> SessionState {
        if is_live {
            SessionState::Live
        } else {
            SessionState::Expired
        }
    }
}

/// The final decision about a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call is admitted.
    Admitted,
    /// The call is rejected as not permitted.
    Denied {
        /// The id of the rule that denies the call; `default` or `stale` if no rule does.
        rule: String,
        /// The version of the set that the rule belongs to.
        version: u64,
        /// Whether the call is denied by the set's [`StalePolicy`] because the gateway's session has expired.
        is_stale: bool,
    },
}

/// A verdict and the reason for it.
struct Evaluation {
    matched_by: MatchedBy,
    verdict: Verdict,
}

/// Rule sets by customer, with their hit counts.
#[derive(Debug, Default)]
pub struct RuleStore {
    sets: FxHashMap<String, CompiledRules>,
    rule_count: usize,
    hit_counter: RuleHitCounter,
}

impl RuleStore {
    /// Inserts a set, replacing an earlier one of the same customer, and returns true. Returns false, and changes nothing, if the
    /// stored set has the same or a later version, or if the store has no capacity for the set.
    pub fn insert(&mut self, set: RuleSet) -> bool {
        let stored = self.sets.get(&set.customer);
        if stored.is_some_and(|stored| stored.set().version >= set.version) {
            return false;
        }
        let replaced_rules = stored.map_or(0, |stored| stored.set().rules.len());
        let rule_count = self.rule_count - replaced_rules + set.rules.len();
        let is_store_full = stored.is_none() && self.sets.len() >= MAX_CUSTOMERS;
        if rule_count > MAX_STORED_RULES || is_store_full {
            return false;
        }
        self.rule_count = rule_count;
        self.hit_counter
            .start_set(&set, stored.map(CompiledRules::set));
        self.sets
            .insert(set.customer.clone(), CompiledRules::new(set));
        true
    }

    /// Removes a customer's set, if it has one.
    pub fn remove(&mut self, customer: &str) {
        if let Some(removed) = self.sets.remove(customer) {
            self.rule_count -= removed.set().rules.len();
            self.hit_counter.end_set(removed.set());
        }
    }

    /// Returns a customer's compiled set.
    pub fn get(&self, customer: &str) -> Option<&CompiledRules> {
        self.sets.get(customer)
    }

    /// Returns the customers that have a set, in no particular order.
    pub fn customers(&self) -> impl Iterator<Item = &str> {
        self.sets.keys().map(String::as_str)
    }

    /// Returns the number of rules in all sets.
    pub fn rule_count(&self) -> usize {
        self.rule_count
    }

    /// Decides an arriving call and counts the hit.
    pub fn decide(&mut self, customer: &str, call: &Call, session: SessionState) -> Verdict {
        let Some(evaluation) = self.evaluate(customer, call, session) else {
            return Verdict::Admitted;
        };
        self.hit_counter.record(customer, evaluation.matched_by);
        evaluation.verdict
    }

    /// Decides a call in progress again without counting a hit, for example a stream when the rule set has changed or the session
    /// has expired.
    pub fn recheck(&self, customer: &str, call: &Call, session: SessionState) -> Verdict {
        self.evaluate(customer, call, session)
            .map_or(Verdict::Admitted, |evaluation| evaluation.verdict)
    }

    /// Decides a call without counting a hit. Returns `None` if the customer has no set.
    fn evaluate(&self, customer: &str, call: &Call, session: SessionState) -> Option<Evaluation> {
        let rules = self.sets.get(customer)?;
        let version = rules.set().version;
        if session == SessionState::Expired && rules.stale_policy() == StalePolicy::Deny {
            return Some(Evaluation {
                matched_by: MatchedBy::Stale,
                verdict: Verdict::Denied {
                    rule: STALE_RULE_ID.into(),
                    version,
                    is_stale: true,
                },
            });
        }
        let decision = rules.decide(call);
        let verdict = match decision.action {
            Action::Allow => Verdict::Admitted,
            Action::Deny => Verdict::Denied {
                rule: rules.rule_id(decision.rule).to_string(),
                version,
                is_stale: false,
            },
        };
        Some(Evaluation {
            matched_by: decision.rule.map_or(MatchedBy::Default, MatchedBy::Rule),
            verdict,
        })
    }

    /// Returns the cumulative counts that changed since the last report, of at most `max_customers` customers, and the final counts
    /// of replaced and removed sets that are not confirmed yet.
    pub fn report_hits(&mut self, max_customers: usize) -> Vec<RuleHits> {
        let RuleStore {
            sets, hit_counter, ..
        } = self;
        hit_counter.report(max_customers, |customer| {
            sets.get(customer).map(CompiledRules::set)
        })
    }

    /// Returns the counter of this gateway's hits, mutably.
    pub fn hit_counter_mut(&mut self) -> &mut RuleHitCounter {
        &mut self.hit_counter
    }
}
