//! Customers' access rules by region, free of I/O: a customer's [`RuleSet`] is checked and compiled once, and decides each of its
//! calls once, when the call arrives. Matches are counted for each rule and can be merged over gateways without counting twice.
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
    Action, Rule, RuleSet, RuleSetError, StalePolicy, MAX_RULES, MAX_TEXT_BYTES, MAX_VALUES,
};
pub use rule_store::{RuleStore, SessionState, Verdict, MAX_CUSTOMERS, MAX_STORED_RULES};

/// Stands for a rule's id where no rule matched and the set's default decided.
pub(crate) const DEFAULT_RULE: &str = "default";
/// Stands for a rule's id where the session had expired and the set denies calls then.
pub(crate) const STALE_RULE: &str = "stale";
