//! All rule sets that a gateway has, and what they decide about its calls.

use crate::hit_counter::{MatchedBy, RuleHitCounter, RuleHits};
use crate::{Action, Call, CompiledRules, RuleSet, StalePolicy, STALE_RULE};
use rustc_hash::FxHashMap;

/// The most rules of all sets together.
pub const MAX_STORED_RULES: usize = 200_000;
/// The most customers that have a set.
pub const MAX_CUSTOMERS: usize = 10_000;

/// Whether the gateway has a session with the replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionState {
    /// It has: the sets are up to date.
    Live,
    /// Its session has expired: the sets may be outdated.
    Expired,
}

impl SessionState {
    /// `Live` if `is_live`, else `Expired`.
    pub fn new(is_live: bool) -> SessionState {
        if is_live {
            SessionState::Live
        } else {
            SessionState::Expired
        }
    }
}

/// What is decided about a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is admitted.
    Admitted,
    /// It is answered as not permitted.
    Denied {
        /// The id of the rule that denies it.
        rule: String,
        /// The version of the set that the rule belongs to.
        version: u64,
        /// Not a rule denies it but the set's [`StalePolicy`], as the gateway's session has expired.
        is_stale: bool,
    },
}

/// A verdict and what it rests on.
struct Evaluation {
    matched_by: MatchedBy,
    verdict: Verdict,
}

/// Rule sets by customer, with their hit counts.
#[derive(Debug, Default)]
pub struct RuleStore {
    sets: FxHashMap<String, CompiledRules>,
    rule_count: usize,
    hits: RuleHitCounter,
}

impl RuleStore {
    /// Puts a set in the place of its customer's earlier one and returns true. Returns false, and changes nothing, if the present
    /// set has this version or a later one or if there is no room for the set.
    pub fn insert(&mut self, set: RuleSet) -> bool {
        let present = self.sets.get(&set.customer);
        if present.is_some_and(|present| present.set().version >= set.version) {
            return false;
        }
        let replaced = present.map_or(0, |present| present.set().rules.len());
        let rule_count = self.rule_count - replaced + set.rules.len();
        let is_store_full = present.is_none() && self.sets.len() >= MAX_CUSTOMERS;
        if rule_count > MAX_STORED_RULES || is_store_full {
            return false;
        }
        self.rule_count = rule_count;
        self.hits.start_set(&set, present.map(CompiledRules::set));
        self.sets
            .insert(set.customer.clone(), CompiledRules::new(set));
        true
    }

    /// Removes a customer's set, if it has one.
    pub fn remove(&mut self, customer: &str) {
        if let Some(removed) = self.sets.remove(customer) {
            self.rule_count -= removed.set().rules.len();
            self.hits.end_set(removed.set());
        }
    }

    /// A customer's set.
    pub fn get(&self, customer: &str) -> Option<&CompiledRules> {
        self.sets.get(customer)
    }

    /// The customers that have a set, in no order.
    pub fn customers(&self) -> impl Iterator<Item = &str> {
        self.sets.keys().map(String::as_str)
    }

    /// The number of rules of all sets.
    pub fn rule_count(&self) -> usize {
        self.rule_count
    }

    /// Decides a call that arrives, and counts the hit.
    pub fn decide(&mut self, customer: &str, call: &Call, session: SessionState) -> Verdict {
        let Some(evaluation) = self.evaluate(customer, call, session) else {
            return Verdict::Admitted;
        };
        self.hits.record(customer, evaluation.matched_by);
        evaluation.verdict
    }

    /// Decides again about a call that is under way, such as a stream whose set has changed or whose session has expired. This is
    /// not counted as a hit.
    pub fn recheck(&self, customer: &str, call: &Call, session: SessionState) -> Verdict {
        self.evaluate(customer, call, session)
            .map_or(Verdict::Admitted, |evaluation| evaluation.verdict)
    }

    /// `None` if the customer has no set.
    fn evaluate(&self, customer: &str, call: &Call, session: SessionState) -> Option<Evaluation> {
        let rules = self.sets.get(customer)?;
        let version = rules.set().version;
        if session == SessionState::Expired && rules.stale_policy() == StalePolicy::Deny {
            return Some(Evaluation {
                matched_by: MatchedBy::Stale,
                verdict: Verdict::Denied {
                    rule: STALE_RULE.into(),
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

    /// The cumulative counts that changed since the last report, of at most `max_customers` customers.
    pub fn report_hits(&mut self, max_customers: usize) -> Vec<RuleHits> {
        let RuleStore { sets, hits, .. } = self;
        hits.report(max_customers, |customer| {
            sets.get(customer).map(CompiledRules::set)
        })
    }

    /// The counter of this gateway's hits.
    pub fn hits(&mut self) -> &mut RuleHitCounter {
        &mut self.hits
    }
}
