//! Reads of the state by operators, tools and the leaders of elections.

use super::{rules, ReplicatedState};
use crate::protocol::{wire, ReadKind, ReadRequest, ReadResponse};
use chalkdeck_access::DryRun;
use chalkdeck_contract::{VersionUse, VersionsInUse};

impl ReplicatedState {
    /// Answers a read. A contract version without a call for `unused_after_ms` counts as unused.
    pub fn read(&self, request: &ReadRequest, unused_after_ms: u64) -> ReadResponse {
        let mut response = ReadResponse {
            version: self.version,
            time_ms: self.time_ms,
            configuration: self.configuration,
            members: self.members.values().copied().collect(),
            unused_after_ms,
            contract_revision: self.contract_revision,
            ..ReadResponse::default()
        };
        match request.kind() {
            ReadKind::Status => self.read_status(&mut response),
            ReadKind::Proposals => self.read_next_proposal(&mut response),
            ReadKind::Verdict => self.read_verdict(request, &mut response),
            ReadKind::Hits => response.hits = self.hit_lines(&request.customer),
            ReadKind::Try => {
                response.dry_run = request
                    .rule_set
                    .as_ref()
                    .and_then(|s| self.dry_run_rules(s))
            }
            ReadKind::Spoken => {
                response.versions_in_use = self.read_versions_in_use(&request.service)
            }
            ReadKind::Rules => response.rules = self.read_rules(&request.customer),
            ReadKind::Members => {}
        }
        response
    }

    fn read_status(&self, response: &mut ReadResponse) {
        response.sessions = self.sessions.values().cloned().collect();
        response.elections = self.elections.values().cloned().collect();
        response.departed = self.departed.values().cloned().collect();
        for (service, in_use) in &self.versions_in_use {
            let returned = in_use.called_after_retirement().into_iter();
            response
                .returned_versions
                .extend(returned.map(|version| format!("{service} {version}")));
        }
    }

    /// The next proposal for the registrar, with the data that its judgement is based on.
    fn read_next_proposal(&self, response: &mut ReadResponse) {
        let Some(next) = self.proposals.values().next() else {
            return;
        };
        response.proposals = vec![next.clone()];
        match &next.proposed {
            Some(wire::proposal::Proposed::Contract(contract)) => {
                let contracts_of_service = self
                    .contracts
                    .iter()
                    .filter(|(key, _)| key.service == contract.service);
                response.contracts = contracts_of_service
                    .map(|(_, admitted)| admitted.clone())
                    .collect();
                response.versions_in_use = self.read_versions_in_use(&contract.service);
            }
            Some(wire::proposal::Proposed::Rules(set)) => {
                response.dry_run = self.dry_run_rules(set)
            }
            None => {}
        }
    }

    fn read_verdict(&self, request: &ReadRequest, response: &mut ReadResponse) {
        response.verdict = self.verdicts.get(&request.proposal).cloned();
        let customer = response
            .verdict
            .as_ref()
            .map_or(&request.customer, |verdict| &verdict.customer);
        response.in_force = self.in_force(customer);
        let proposal = self.proposals.get(&request.proposal).cloned();
        response.proposals = proposal.into_iter().collect();
    }

    /// Evaluates a rule set against its customer's recent calls; `None` if the set is malformed.
    fn dry_run_rules(&self, set: &wire::RuleSet) -> Option<wire::DryRun> {
        let rule_set = rules::rule_set_from_wire(set)?;
        let recent = self.recent_calls.get(&set.customer);
        let dry_run = recent.map(|recent| recent.dry_run(&rule_set));
        Some(dry_run_to_wire(&dry_run.unwrap_or_default()))
    }

    /// The versions in use of a service, or of all services if `service` is empty.
    fn read_versions_in_use(&self, service: &str) -> Vec<wire::VersionInUse> {
        let matching = self
            .versions_in_use
            .iter()
            .filter(|(name, _)| service.is_empty() || *name == service);
        matching
            .flat_map(|(name, in_use)| versions_to_wire(name, in_use))
            .collect()
    }

    /// The rule set of a customer, or those of all customers if `customer` is empty.
    fn read_rules(&self, customer: &str) -> Vec<wire::RuleSet> {
        let sets = self.rules.values().filter_map(|rules| rules.set.as_ref());
        sets.filter(|set| customer.is_empty() || set.customer == customer)
            .cloned()
            .collect()
    }
}

fn versions_to_wire(service: &str, in_use: &VersionsInUse) -> Vec<wire::VersionInUse> {
    let use_to_wire = |(customer, version_use): (&String, &VersionUse)| wire::VersionUse {
        customer: customer.clone(),
        declared: version_use.is_declared,
        calls: version_use.calls,
        last_ms: version_use.last_call_ms.unwrap_or(0),
        repeats_ms: version_use.longest_retry_ms.unwrap_or(0),
    };
    let versions = in_use.uses.iter();
    versions
        .map(|(version, uses)| wire::VersionInUse {
            service: service.to_string(),
            version: version.clone(),
            uses: uses.iter().map(use_to_wire).collect(),
            retired_ms: in_use.retired.get(version).copied().unwrap_or(0),
        })
        .collect()
}

fn dry_run_to_wire(dry_run: &DryRun) -> wire::DryRun {
    let line = |(rule, count): (&String, &u64)| wire::HitLine {
        rule: rule.clone(),
        count: *count,
        ..wire::HitLine::default()
    };
    wire::DryRun {
        calls: dry_run.calls,
        denied: dry_run.denied,
        locks_out: dry_run.locks_out(),
        by_rule: dry_run.by_rule.iter().map(line).collect(),
    }
}
