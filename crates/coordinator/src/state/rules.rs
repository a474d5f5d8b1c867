//! Customers' access rules: admitted by the registrar, in force when every gateway that can act says so.

use super::{refuse, wire, Code, Shared};
use chalkdeck_access::{Action, Rule, RuleSet, StalePolicy, MAX_CUSTOMERS, MAX_STORED_RULES};
use wire::access_rule::Action as WireAction;
use wire::rule_set::Stale as WireStale;

/// Versions of a set whose behaviour without a session is remembered.
const HISTORY: usize = 16;
/// Removals that are remembered, so that a gateway behind them hears changes alone.
const REMOVED: usize = 1_024;

/// A set as the decisions take it; none: what it does or denies by default is not said.
pub fn set_of(wire: &wire::RuleSet) -> Option<RuleSet> {
    let action = |a: WireAction| match a {
        WireAction::Allow => Some(Action::Allow),
        WireAction::Deny => Some(Action::Deny),
        WireAction::Unspecified => None,
    };
    let stale = match wire.stale() {
        WireStale::Keep => StalePolicy::Keep,
        WireStale::Deny => StalePolicy::Deny,
        WireStale::Unspecified => return None,
    };
    let rule = |r: &wire::AccessRule| {
        Some(Rule {
            id: r.id.clone(),
            action: action(r.action())?,
            caller_regions: r.caller_regions.clone(),
            gateway_regions: r.gateway_regions.clone(),
            routes: r.routes.clone(),
            classes: r.classes.clone(),
        })
    };
    Some(RuleSet {
        customer: wire.customer.clone(),
        version: wire.version,
        default_action: action(wire.otherwise())?,
        stale_policy: stale,
        rules: wire.rules.iter().map(rule).collect::<Option<_>>()?,
    })
}

/// What is wrong with a set, in one line.
pub fn wrong_in(wire: &wire::RuleSet) -> Option<String> {
    match set_of(wire) {
        None => {
            Some("otherwise, stale and each rule's action: expected one of each to be given".into())
        }
        Some(set) => set.check().err().map(|e| e.to_string()),
    }
}

impl Shared {
    /// Whether there is room for a set beside the others.
    pub(super) fn has_room_for(&self, set: &wire::RuleSet) -> Result<(), wire::Answer> {
        let before = self.rules.get(&set.customer).and_then(|c| c.set.as_ref());
        let rules = self.rule_count - before.map_or(0, |s| s.rules.len()) + set.rules.len();
        if rules > MAX_STORED_RULES {
            return Err(refuse(
                Code::Full,
                format!("there would be {rules} rules, of {MAX_STORED_RULES} at most"),
            ));
        }
        if before.is_none() && self.rules.len() >= MAX_CUSTOMERS {
            return Err(refuse(
                Code::Full,
                format!("{MAX_CUSTOMERS} customers have sets"),
            ));
        }
        Ok(())
    }

    /// Puts an admitted set in its customer's place; returns its version and the state's.
    pub(super) fn put_rules(&mut self, set: &wire::RuleSet) -> (u64, u64) {
        let changed = self.bump();
        let entry = self.rules.entry(set.customer.clone()).or_default();
        let before = entry.set.as_ref().map_or(0, |s| s.rules.len());
        let version = entry.history.last().map_or(0, |h| h.version) + 1;
        self.rule_count = self.rule_count - before + set.rules.len();
        entry.set = Some(wire::RuleSet {
            version,
            ..set.clone()
        });
        entry.changed = changed;
        entry.history.push(wire::SetVersion {
            version,
            stale: set.stale,
            changed,
        });
        if entry.history.len() > HISTORY {
            entry.history.remove(0);
        }
        (version, changed)
    }

    /// How far a customer's set has come: in force once every session applies it, but for gateways that are cut off under an
    /// earlier one that is kept when stale, which are named.
    pub fn in_force(&self, customer: &str) -> Option<wire::InForce> {
        let rules = self.rules.get(customer)?;
        let (set, changed) = (rules.set.as_ref()?, rules.changed);
        let behind = self.sessions.values().filter(|s| s.applied < changed);
        let missing: Vec<String> = behind.map(|s| s.gateway.clone()).collect();
        // What a gateway that is cut off goes by: the last set that it said to apply.
        let keeps = |applied: u64| {
            let held = rules.history.iter().rev().find(|h| h.changed <= applied);
            held.is_none_or(|h| h.stale() != WireStale::Deny)
        };
        let unknown = self
            .departed
            .values()
            .filter(|d| d.applied < changed && keeps(d.applied));
        let unknown = unknown.map(|d| d.gateway.clone()).collect();
        Some(wire::InForce {
            in_force: missing.is_empty(),
            missing,
            unknown,
            version: set.version,
        })
    }

    /// A customer's set.
    pub fn rules_of(&self, customer: &str) -> Option<&wire::RuleSet> {
        self.rules.get(customer)?.set.as_ref()
    }

    /// A set without rules that allows everything takes a customer's place away.
    pub(super) fn drop_if_empty(&mut self, customer: &str) {
        let empty = |c: &wire::CustomerRules| {
            c.set.as_ref().is_some_and(|s| {
                s.rules.is_empty()
                    && s.otherwise() == WireAction::Allow
                    && s.stale() == WireStale::Keep
            })
        };
        // In force first: until then gateways have to hear of it.
        let over = self.rules.get(customer).is_some_and(empty)
            && self
                .in_force(customer)
                .is_some_and(|f| f.in_force && f.unknown.is_empty());
        if !over {
            return;
        }
        let changed = self.bump();
        self.rules.remove(customer);
        self.removed.push_back((customer.to_string(), changed));
        while self.removed.len() > REMOVED {
            self.removed_before = self
                .removed
                .pop_front()
                .map_or(self.removed_before, |(_, at)| at);
        }
    }
}
