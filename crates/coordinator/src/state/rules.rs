//! Customers' access rules. The registrar admits a rule set; it is in force once every gateway with a session applies it.

use super::{rejected, ReplicatedState};
use crate::protocol::{wire, CommandResponse, ResponseCode};
use chalkdeck_access::{Action, Rule, RuleSet, StalePolicy, MAX_CUSTOMERS, MAX_STORED_RULES};
use wire::access_rule::Action as WireAction;
use wire::rule_set::Stale as WireStale;

/// Maximum number of versions of a customer's rule set whose behaviour without a session is stored.
const MAX_SET_VERSIONS: usize = 16;
/// Maximum number of stored removals. A gateway that lags behind by no more than these is sent changes instead of the full state.
const MAX_REMOVED_SETS: usize = 1_024;

/// Converts a rule set for decisions; `None` if its default action, its behaviour without a session or a rule's action is
/// unspecified.
pub fn rule_set_from_wire(set: &wire::RuleSet) -> Option<RuleSet> {
    let stale_policy = match set.stale() {
        WireStale::Keep => StalePolicy::Keep,
        WireStale::Deny => StalePolicy::Deny,
        WireStale::Unspecified => return None,
    };
    Some(RuleSet {
        customer: set.customer.clone(),
        version: set.version,
        default_action: action_from_wire(set.otherwise())?,
        stale_policy,
        rules: set
            .rules
            .iter()
            .map(rule_from_wire)
            .collect::<Option<_>>()?,
    })
}

fn rule_from_wire(rule: &wire::AccessRule) -> Option<Rule> {
    Some(Rule {
        id: rule.id.clone(),
        action: action_from_wire(rule.action())?,
        caller_regions: rule.caller_regions.clone(),
        gateway_regions: rule.gateway_regions.clone(),
        routes: rule.routes.clone(),
        classes: rule.classes.clone(),
    })
}

fn action_from_wire(action: WireAction) -> Option<Action> {
    match action {
        WireAction::Allow => Some(Action::Allow),
        WireAction::Deny => Some(Action::Deny),
        WireAction::Unspecified => None,
    }
}

/// Describes the first error of a rule set in one line; `None` if the set is valid.
pub fn rule_set_error(set: &wire::RuleSet) -> Option<String> {
    let Some(rule_set) = rule_set_from_wire(set) else {
        return Some(
            "otherwise, stale and each rule's action: expected one of each to be given".into(),
        );
    };
    rule_set.check().err().map(|error| error.to_string())
}

/// The versions under which a rule set was admitted.
pub(super) struct AdmittedRules {
    /// The version of the set.
    pub(super) set_version: u64,
    /// The version of the state.
    pub(super) changed: u64,
}

impl ReplicatedState {
    /// Checks that a set can be stored beside the others within the limits.
    pub(super) fn check_rule_capacity(&self, set: &wire::RuleSet) -> Result<(), CommandResponse> {
        let known = self.rules.get(&set.customer);
        let previous = known.and_then(|rules| rules.set.as_ref());
        let replaced_rule_count = previous.map_or(0, |set| set.rules.len());
        let rule_count = self.rule_count - replaced_rule_count + set.rules.len();
        if rule_count > MAX_STORED_RULES {
            let reason =
                format!("there would be {rule_count} rules, of {MAX_STORED_RULES} at most");
            return Err(rejected(ResponseCode::Full, reason));
        }
        if previous.is_none() && self.rules.len() >= MAX_CUSTOMERS {
            let reason = format!("{MAX_CUSTOMERS} customers have sets");
            return Err(rejected(ResponseCode::Full, reason));
        }
        Ok(())
    }

    /// Stores a set as its customer's next version, in place of the previous one.
    pub(super) fn admit_rules(&mut self, set: &wire::RuleSet) -> AdmittedRules {
        let changed = self.increment_version();
        let rules = self.rules.entry(set.customer.clone()).or_default();
        let replaced_rule_count = rules.set.as_ref().map_or(0, |set| set.rules.len());
        let set_version = rules.history.last().map_or(0, |last| last.version) + 1;
        self.rule_count = self.rule_count - replaced_rule_count + set.rules.len();
        rules.set = Some(wire::RuleSet {
            version: set_version,
            ..set.clone()
        });
        rules.changed = changed;
        rules.history.push(wire::SetVersion {
            version: set_version,
            stale: set.stale,
            changed,
        });
        if rules.history.len() > MAX_SET_VERSIONS {
            rules.history.remove(0);
        }
        AdmittedRules {
            set_version,
            changed,
        }
    }

    /// Whether a customer's set is in force, which it is once every session has acknowledged it. Departed gateways that may still
    /// apply an earlier set are listed as `unknown`.
    pub fn in_force(&self, customer: &str) -> Option<wire::InForce> {
        let rules = self.rules.get(customer)?;
        let set = rules.set.as_ref()?;
        let behind = self
            .sessions
            .values()
            .filter(|session| session.applied_version < rules.changed);
        let missing: Vec<String> = behind.map(|session| session.gateway.clone()).collect();
        let unknown = self.departed.values().filter(|departed| {
            departed.applied_version < rules.changed
                && applies_earlier_set(rules, departed.applied_version)
        });
        Some(wire::InForce {
            in_force: missing.is_empty(),
            unknown: unknown.map(|departed| departed.gateway.clone()).collect(),
            missing,
            version: set.version,
        })
    }

    /// Removes a set that allows every call, which is equivalent to having no set. It is removed only once it is in force, as until
    /// then gateways have to be sent it.
    pub(super) fn remove_if_redundant(&mut self, customer: &str) {
        let is_redundant = self.rules.get(customer).is_some_and(allows_everything);
        let is_in_force_everywhere = self
            .in_force(customer)
            .is_some_and(|state| state.in_force && state.unknown.is_empty());
        if !is_redundant || !is_in_force_everywhere {
            return;
        }
        let changed = self.increment_version();
        self.rules.remove(customer);
        self.removed_rules.push_back(wire::RemovedRules {
            customer: customer.to_string(),
            changed,
        });
        while self.removed_rules.len() > MAX_REMOVED_SETS {
            if let Some(oldest) = self.removed_rules.pop_front() {
                self.removed_before = oldest.changed;
            }
        }
    }
}

/// Whether a gateway that last acknowledged this version of the state continues to apply an earlier set without a session.
fn applies_earlier_set(rules: &wire::CustomerRules, acknowledged_version: u64) -> bool {
    let last = rules
        .history
        .iter()
        .rev()
        .find(|version| version.changed <= acknowledged_version);
    last.is_none_or(|version| version.stale() != WireStale::Deny)
}

fn allows_everything(rules: &wire::CustomerRules) -> bool {
    rules.set.as_ref().is_some_and(|set| {
        set.rules.is_empty()
            && set.otherwise() == WireAction::Allow
            && set.stale() == WireStale::Keep
    })
}
