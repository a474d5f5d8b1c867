//! A gateway's copy of the replicated state.

use crate::protocol::{wire, SiteOverride, WatchEvent};
use std::collections::{BTreeMap, BTreeSet};

/// A version of a service's contract.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceVersion {
    /// The service's full name.
    pub service: String,
    /// The version's name.
    pub version: String,
}

/// A gateway's copy of the replicated state. It is kept across sessions and, in a [`crate::cache_file::CacheFile`], across
/// restarts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CachedState {
    /// The version of the state; 0 if no state was ever received.
    pub version: u64,
    /// The id of the cluster that the state belongs to.
    pub cluster: u64,
    /// Rule sets by customer.
    pub rules: BTreeMap<String, wire::RuleSet>,
    /// Admitted contract versions.
    pub contracts: BTreeSet<ServiceVersion>,
    /// Operators' site overrides, by site.
    pub site_overrides: BTreeMap<String, SiteOverride>,
}

/// The changes that a watch event has made to the cached state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateChanges {
    /// Customers whose rule set was changed or removed.
    pub rule_customers: Vec<String>,
    /// Whether contracts were admitted or retired.
    pub has_contract_changes: bool,
    /// Site overrides that are new or changed.
    pub site_overrides: Vec<SiteOverride>,
}

impl StateChanges {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        *self == StateChanges::default()
    }
}

impl CachedState {
    /// Whether changes are missing between this state and the event.
    pub fn has_gap_before(&self, event: &WatchEvent) -> bool {
        !event.whole && (event.cluster != self.cluster || event.since > self.version)
    }

    /// Applies an event. An event that is older than the state, as a lagging replica sends it, is ignored, and so is one after a
    /// gap.
    pub fn apply(&mut self, event: &WatchEvent) -> StateChanges {
        let mut changes = StateChanges::default();
        let is_older = event.cluster == self.cluster && event.version < self.version;
        if self.has_gap_before(event) || is_older {
            return changes;
        }
        self.cluster = event.cluster;
        if event.whole {
            self.remove_absent(event, &mut changes);
        }
        self.apply_rules(event, &mut changes);
        self.apply_contracts(event, &mut changes);
        self.apply_site_overrides(event, &mut changes);
        self.version = event.version;
        changes
    }

    /// Removes entries that a full-state event does not list.
    fn remove_absent(&mut self, event: &WatchEvent, changes: &mut StateChanges) {
        let customers: BTreeSet<&String> = event.rules.iter().map(|set| &set.customer).collect();
        let removed = self.rules.keys().filter(|c| !customers.contains(c));
        changes.rule_customers.extend(removed.cloned());
        self.rules
            .retain(|customer, _| customers.contains(customer));
        self.contracts.clear();
        let sites: BTreeSet<&String> = event.site_overrides.iter().map(|o| &o.site).collect();
        self.site_overrides.retain(|site, _| sites.contains(site));
    }

    fn apply_rules(&mut self, event: &WatchEvent, changes: &mut StateChanges) {
        for set in &event.rules {
            if self.rules.get(&set.customer) != Some(set) {
                self.rules.insert(set.customer.clone(), set.clone());
                changes.rule_customers.push(set.customer.clone());
            }
        }
        for customer in &event.removed_rules {
            if self.rules.remove(customer).is_some() {
                changes.rule_customers.push(customer.clone());
            }
        }
    }

    fn apply_contracts(&mut self, event: &WatchEvent, changes: &mut StateChanges) {
        for contract in &event.contracts {
            changes.has_contract_changes |= self.contracts.insert(ServiceVersion {
                service: contract.service.clone(),
                version: contract.version.clone(),
            });
        }
        // Each entry is the service and the version, separated by a space.
        for (service, version) in event
            .retired_contracts
            .iter()
            .filter_map(|name| name.split_once(' '))
        {
            changes.has_contract_changes |= self.contracts.remove(&ServiceVersion {
                service: service.to_string(),
                version: version.to_string(),
            });
        }
        changes.has_contract_changes |= event.whole;
    }

    fn apply_site_overrides(&mut self, event: &WatchEvent, changes: &mut StateChanges) {
        for site_override in &event.site_overrides {
            let known_override = self.site_overrides.get(&site_override.site);
            if known_override.is_none_or(|known| known.changed < site_override.changed) {
                self.site_overrides
                    .insert(site_override.site.clone(), site_override.clone());
                changes.site_overrides.push(site_override.clone());
            }
        }
    }

    /// The full state as one event.
    pub fn to_event(&self) -> WatchEvent {
        let contract = |admitted: &ServiceVersion| wire::Contract {
            service: admitted.service.clone(),
            version: admitted.version.clone(),
            ..wire::Contract::default()
        };
        WatchEvent {
            version: self.version,
            cluster: self.cluster,
            whole: true,
            rules: self.rules.values().cloned().collect(),
            contracts: self.contracts.iter().map(contract).collect(),
            site_overrides: self.site_overrides.values().cloned().collect(),
            ..WatchEvent::default()
        }
    }

    /// Whether an endpoint with this version of a service may serve requests: the version is admitted, or the service has no
    /// contracts at all.
    pub fn admits(&self, service: &str, version: &str) -> bool {
        let has_contracts = self.contracts.iter().any(|c| c.service == service);
        !has_contracts
            || self.contracts.contains(&ServiceVersion {
                service: service.to_string(),
                version: version.to_string(),
            })
    }
}

#[cfg(test)]
mod tests;
