//! Access rules of customers by region. The crate does no I/O.
//!
//! A customer's [`RuleSet`] is validated and compiled once. Each call of the customer is decided when it arrives. Hits are counted
//! for each rule, and the counts of several gateways can be merged without counting a hit twice.
#![forbid(unsafe_code)]

mod call;
mod call_history;
mod compiled_rules;
mod decision_cache;
mod hit_counter;
mod hit_totals;
mod region_table;
mod route_index;
mod rule_set;
mod rule_store;

pub use call::{Call, CallKind, Decision, RuleIndex};
pub use call_history::{CallHistory, DryRun};
pub use compiled_rules::CompiledRules;
pub use hit_counter::{RuleHitCounter, RuleHits};
pub use hit_totals::{HitCounts, HitTotals, RuleVersion};
pub use region_table::{RegionError, RegionTable};
pub use rule_set::{
    Action, Rule, RuleSet, RuleSetError, StalePolicy, MAX_RULES_PER_SET, MAX_TEXT_BYTES,
    MAX_VALUES_PER_FIELD,
};
pub use rule_store::{RuleStore, SessionState, Verdict, MAX_CUSTOMERS, MAX_STORED_RULES};

/// Reported in place of a rule id when no rule matched and the default action of the set decided.
pub(crate) const DEFAULT_RULE_ID: &str = "default";
/// Reported in place of a rule id when the session had expired and the set denies calls in that case.
pub(crate) const STALE_RULE_ID: &str = "stale";
