//! Customers' access rules: admitted by the registrar, and in force once every gateway with a session goes by them.

use super::{rejected, ReplicatedState};
use crate::protocol::{wire, CommandResponse, ResponseCode};
use chalkdeck_access::{Action, Rule, RuleSet, StalePolicy, MAX_CUSTOMERS, MAX_STORED_RULES};
use wire::access_rule::Action as WireAction;
use wire::rule_set::Stale as WireStale;

/// Versions of a set whose behaviour without a session is remembered.
const MAX_HISTORY: usize = 16;
/// Removals that are remembered, so that a gateway that lags behind them needs only what has changed.
const MAX_REMOVED: usize = 1_024;

/// A rule set as decisions take it; `None`: its default, its behaviour without a session or a rule's action is not given.
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

/// What is wrong with a rule set, in one line; `None`: nothing.
pub fn rule_set_error(set: &wire::RuleSet) -> Option<String> {
    let Some(rule_set) = rule_set_from_wire(set) else {
        return Some(
            "otherwise, stale and each rule's action: expected one of each to be given".into(),
        );
    };
    rule_set.check().err().map(|error| error.to_string())
}

/// The versions that a rule set was admitted with.
pub(super) struct AdmittedRules {
    /// The set's own version.
    pub(super) set_version: u64,
    /// The state's version.
    pub(super) changed: u64,
}

impl ReplicatedState {
    /// Whether there is room for a set beside the others.
    pub(super) fn check_room_for_rules(&self, set: &wire::RuleSet) -> Result<(), CommandResponse> {
        let known = self.rules.get(&set.customer);
        let before = known.and_then(|rules| rules.set.as_ref());
        let replaced = before.map_or(0, |set| set.rules.len());
        let rule_count = self.rule_count - replaced + set.rules.len();
        if rule_count > MAX_STORED_RULES {
            let reason =
                format!("there would be {rule_count} rules, of {MAX_STORED_RULES} at most");
            return Err(rejected(ResponseCode::Full, reason));
        }
        if before.is_none() && self.rules.len() >= MAX_CUSTOMERS {
            let reason = format!("{MAX_CUSTOMERS} customers have sets");
            return Err(rejected(ResponseCode::Full, reason));
        }
        Ok(())
    }

    /// Puts a set in its customer's place, under the next version.
    pub(super) fn admit_rules(&mut self, set: &wire::RuleSet) -> AdmittedRules {
        let changed = self.next_version();
        let rules = self.rules.entry(set.customer.clone()).or_default();
        let replaced = rules.set.as_ref().map_or(0, |set| set.rules.len());
        let set_version = rules.history.last().map_or(0, |last| last.version) + 1;
        self.rule_count = self.rule_count - replaced + set.rules.len();
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
        if rules.history.len() > MAX_HISTORY {
            rules.history.remove(0);
        }
        AdmittedRules {
            set_version,
            changed,
        }
    }

    /// How far a customer's set is in force. It is once every session goes by it; departed gateways that may go by an earlier set
    /// are named, as nothing is known of them.
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
                && keeps_earlier_set(rules, departed.applied_version)
        });
        Some(wire::InForce {
            in_force: missing.is_empty(),
            unknown: unknown.map(|departed| departed.gateway.clone()).collect(),
            missing,
            version: set.version,
        })
    }

    /// Removes a set that allows everything, as no set does. Only once it is in force: until then gateways have to hear of it.
    pub(super) fn remove_if_needless(&mut self, customer: &str) {
        let is_needless = self.rules.get(customer).is_some_and(allows_everything);
        let is_everywhere = self
            .in_force(customer)
            .is_some_and(|state| state.in_force && state.unknown.is_empty());
        if !is_needless || !is_everywhere {
            return;
        }
        let changed = self.next_version();
        self.rules.remove(customer);
        self.removed_rules.push_back(wire::RemovedRules {
            customer: customer.to_string(),
            changed,
        });
        while self.removed_rules.len() > MAX_REMOVED {
            if let Some(oldest) = self.removed_rules.pop_front() {
                self.removed_before = oldest.changed;
            }
        }
    }
}

/// Whether a gateway without a session, which last acknowledged this version of the state, goes on by an earlier set.
fn keeps_earlier_set(rules: &wire::CustomerRules, acknowledged: u64) -> bool {
    let last = rules
        .history
        .iter()
        .rev()
        .find(|version| version.changed <= acknowledged);
    last.is_none_or(|version| version.stale() != WireStale::Deny)
}

fn allows_everything(rules: &wire::CustomerRules) -> bool {
    rules.set.as_ref().is_some_and(|set| {
        set.rules.is_empty()
            && set.otherwise() == WireAction::Allow
            && set.stale() == WireStale::Keep
    })
}
