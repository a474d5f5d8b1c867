//! Watch events: the changes since a version of the state.

use super::ReplicatedState;
use crate::pending_work::PendingWork;
use crate::protocol::{wire, AdmittedContract, WatchEvent};

impl ReplicatedState {
    /// The work that is pending for the leaders of the built-in elections.
    pub fn pending_work(&self) -> PendingWork {
        PendingWork {
            has_proposals: !self.proposals.is_empty(),
            has_unfolded_hits: !self.ended_incarnations.is_empty(),
            has_unpublished_overrides: self.site_overrides.values().any(|o| !o.published),
        }
    }

    /// The changes since the version that a gateway has. Returns the full state if the gateway has none, or if removals since
    /// then were evicted. For a gateway whose version is ahead of this replica, no changes are returned.
    pub fn events_since(&self, version: u64) -> WatchEvent {
        let whole = version == 0 || version < self.removed_before;
        let since = if whole { 0 } else { version };
        let changed_contracts = self.contracts.values().filter(|c| c.changed > since);
        let (retired, admitted): (Vec<_>, Vec<_>) = changed_contracts.partition(|c| c.retired);
        let pending = self.pending_work();
        WatchEvent {
            version: self.version,
            whole,
            rules: self.rules_changed_since(since),
            removed_rules: if whole {
                Vec::new()
            } else {
                self.rules_removed_since(since)
            },
            elections: self
                .elections
                .values()
                .filter(|election| election.changed > since)
                .cloned()
                .collect(),
            contracts: admitted.into_iter().map(without_definition).collect(),
            retired_contracts: retired.into_iter().map(retired_contract_name).collect(),
            site_overrides: self
                .site_overrides
                .values()
                .filter(|o| o.published && o.changed > since)
                .cloned()
                .collect(),
            has_proposals: pending.has_proposals,
            has_unfolded_hits: pending.has_unfolded_hits,
            has_unpublished_overrides: pending.has_unpublished_overrides,
            cluster: self.cluster,
            since,
        }
    }

    fn rules_changed_since(&self, version: u64) -> Vec<wire::RuleSet> {
        let changed = self.rules.values().filter(|rules| rules.changed > version);
        changed.filter_map(|rules| rules.set.clone()).collect()
    }

    fn rules_removed_since(&self, version: u64) -> Vec<String> {
        let removed = self.removed_rules.iter().filter(|removed| {
            removed.changed > version && !self.rules.contains_key(&removed.customer)
        });
        removed.map(|removed| removed.customer.clone()).collect()
    }
}

/// A contract without its descriptors and promises: gateways need only its service and version.
fn without_definition(admitted: &AdmittedContract) -> wire::Contract {
    wire::Contract {
        descriptors: Vec::new(),
        promises: Vec::new(),
        ..admitted.contract.clone().unwrap_or_default()
    }
}

/// The service and the version of a retired contract, separated by a space.
fn retired_contract_name(admitted: &AdmittedContract) -> String {
    let contract = without_definition(admitted);
    format!("{} {}", contract.service, contract.version)
}
