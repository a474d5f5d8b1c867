//! Conversion of the state to a snapshot message and back. Equal states give equal bytes at every replica.

use super::contracts::contract_key;
use super::reports::{call_kind, rule_version};
use super::{rules, CallerRecords, ReplicatedState};
use crate::ids::ReplicaId;
use crate::protocol::{wire, StateSnapshot};
use chalkdeck_access::{CallHistory, CallKind, RuleVersion};
use chalkdeck_contract::{VersionUse, VersionsInUse};
use chalkdeck_leader_election::SessionId;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// The stored incarnation of folded hits.
const FOLDED_INCARNATION: u64 = 0;

/// Why a snapshot cannot be restored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum SnapshotError {
    /// The bytes are not a snapshot message.
    #[error("expected a state: {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::state_form),
        help("the snapshot is of another program or damaged; start this replica with an empty folder, and it joins as a new member")
    )]
    Malformed(#[from] prost::DecodeError),
    /// A rule set is malformed.
    #[error("state: the set of {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::state_set),
        help("the snapshot is of a later program: update this replica")
    )]
    RuleSet(String),
    /// A recorded response of a caller is malformed.
    #[error("state: answers of callers")]
    #[diagnostic(
        code(chalkdeck::keeper::state_answers),
        help("the snapshot is of a later program: update this replica")
    )]
    Responses,
}

impl ReplicatedState {
    /// Encodes the state.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.to_snapshot().encode_to_vec()
    }

    /// Restores a state from its encoding.
    ///
    /// # Errors
    /// See [`SnapshotError`].
    pub fn from_bytes(bytes: &[u8]) -> Result<ReplicatedState, SnapshotError> {
        ReplicatedState::from_snapshot(&StateSnapshot::decode(bytes)?)
    }

    /// Converts the state to a message.
    pub fn to_snapshot(&self) -> StateSnapshot {
        StateSnapshot {
            index: self.index,
            version: self.version,
            time_ms: self.time_ms,
            last_session: self.last_session.0,
            last_proposal: self.last_proposal,
            sessions: self.sessions.values().cloned().collect(),
            elections: self.elections.values().cloned().collect(),
            rules: self.rules.values().cloned().collect(),
            departed: self.departed.values().cloned().collect(),
            contracts: self.contracts.values().cloned().collect(),
            versions_in_use: self.versions_to_wire(),
            proposals: self.proposals.values().cloned().collect(),
            verdicts: self.verdicts.values().cloned().collect(),
            site_overrides: self.site_overrides.values().cloned().collect(),
            hits: self.hits_to_wire(),
            recent_calls: self.recent_calls_to_wire(),
            callers: self.callers.to_wire(),
            removed_rules: self.removed_rules.iter().cloned().collect(),
            removed_before: self.removed_before,
            configuration: self.configuration,
            members: self.members.values().copied().collect(),
            contract_revision: self.contract_revision,
            recent_span_start_ms: self.recent_period_start_ms,
            forgotten_at: self.callers.forgotten_at(),
            evicted_callers: self.callers.evicted_to_wire(),
            cluster: self.cluster,
        }
    }

    /// Restores the state from a message.
    ///
    /// # Errors
    /// See [`SnapshotError`].
    pub fn from_snapshot(snapshot: &StateSnapshot) -> Result<ReplicatedState, SnapshotError> {
        check_rule_sets(&snapshot.rules)?;
        let callers = CallerRecords::from_wire(
            &snapshot.callers,
            snapshot.forgotten_at,
            snapshot.evicted_callers,
        )
        .ok_or(SnapshotError::Responses)?;
        let mut state = ReplicatedState {
            index: snapshot.index,
            version: snapshot.version,
            time_ms: snapshot.time_ms,
            cluster: snapshot.cluster,
            configuration: snapshot.configuration,
            members: by_key(&snapshot.members, |member| ReplicaId(member.id)),
            last_session: SessionId(snapshot.last_session),
            sessions: by_key(&snapshot.sessions, |session| SessionId(session.id)),
            departed: by_key(&snapshot.departed, |departed| departed.gateway.clone()),
            elections: by_key(&snapshot.elections, |election| election.name.clone()),
            rules: by_key(&snapshot.rules, customer_of),
            rule_count: snapshot.rules.iter().map(count_rules).sum(),
            removed_rules: snapshot.removed_rules.iter().cloned().collect(),
            removed_before: snapshot.removed_before,
            contracts: by_key(&snapshot.contracts, |admitted| {
                contract_key(&admitted.contract.clone().unwrap_or_default())
            }),
            contract_revision: snapshot.contract_revision,
            last_proposal: snapshot.last_proposal,
            proposals: by_key(&snapshot.proposals, |proposal| proposal.id),
            verdicts: by_key(&snapshot.verdicts, |verdict| verdict.proposal),
            site_overrides: by_key(&snapshot.site_overrides, |o| o.site.clone()),
            recent_period_start_ms: snapshot.recent_span_start_ms,
            callers,
            ..ReplicatedState::default()
        };
        state.restore_recent_calls(&snapshot.recent_calls);
        state.restore_versions(&snapshot.versions_in_use);
        state.restore_hits(&snapshot.hits);
        Ok(state)
    }

    // ---- recent calls ----

    fn recent_calls_to_wire(&self) -> Vec<wire::RecentCalls> {
        let recent_calls = self.recent_calls.iter();
        recent_calls
            .map(|(customer, recent)| wire::RecentCalls {
                customer: customer.clone(),
                current: recent.current().iter().map(calls_to_wire).collect(),
                previous: recent.previous().iter().map(calls_to_wire).collect(),
            })
            .collect()
    }

    fn restore_recent_calls(&mut self, list: &[wire::RecentCalls]) {
        for stored in list {
            let mut recent = CallHistory::default();
            for calls in &stored.previous {
                recent.record(call_kind(calls), calls.count);
            }
            recent.start_period();
            for calls in &stored.current {
                recent.record(call_kind(calls), calls.count);
            }
            self.recent_calls.insert(stored.customer.clone(), recent);
        }
    }

    // ---- versions in use ----

    fn versions_to_wire(&self) -> Vec<wire::VersionInUse> {
        let services = self.versions_in_use.iter();
        services
            .flat_map(|(service, in_use)| service_versions_to_wire(service, in_use))
            .collect()
    }

    fn restore_versions(&mut self, list: &[wire::VersionInUse]) {
        for version in list {
            let in_use = self
                .versions_in_use
                .entry(version.service.clone())
                .or_default();
            restore_version(in_use, version);
        }
    }

    // ---- hits ----

    fn hits_to_wire(&self) -> Vec<wire::IncarnationHits> {
        let mut lines: BTreeMap<u64, Vec<wire::HitLine>> = BTreeMap::new();
        for (customer, totals) in &self.hits {
            let line = |(key, count): (&RuleVersion, &u64)| wire::HitLine {
                customer: customer.clone(),
                version: key.version,
                rule: key.rule.clone(),
                count: *count,
            };
            let folded = lines.entry(FOLDED_INCARNATION).or_default();
            folded.extend(totals.folded.iter().map(line));
            for (incarnation, counts) in &totals.by_incarnation {
                let reported = lines.entry(*incarnation).or_default();
                reported.extend(counts.iter().map(line));
            }
        }
        for ended in &self.ended_incarnations {
            lines.entry(*ended).or_default();
        }
        lines
            .into_iter()
            .map(|(incarnation, lines)| wire::IncarnationHits {
                incarnation,
                lines,
                ended: self.ended_incarnations.contains(&incarnation),
            })
            .collect()
    }

    fn restore_hits(&mut self, list: &[wire::IncarnationHits]) {
        for hits in list {
            if hits.ended {
                self.ended_incarnations.insert(hits.incarnation);
            }
            for line in &hits.lines {
                self.restore_hit_line(hits.incarnation, line);
            }
        }
    }

    fn restore_hit_line(&mut self, incarnation: u64, line: &wire::HitLine) {
        let totals = self.hits.entry(line.customer.clone()).or_default();
        if incarnation == FOLDED_INCARNATION {
            totals.folded.insert(rule_version(line), line.count);
        } else {
            totals.record(incarnation, rule_version(line), line.count);
        }
    }
}

fn by_key<K: Ord, T: Clone>(list: &[T], key: impl Fn(&T) -> K) -> BTreeMap<K, T> {
    list.iter().map(|item| (key(item), item.clone())).collect()
}

fn check_rule_sets(list: &[wire::CustomerRules]) -> Result<(), SnapshotError> {
    let sets = list.iter().filter_map(|rules| rules.set.as_ref());
    for set in sets {
        if rules::rule_set_from_wire(set).is_none() {
            return Err(SnapshotError::RuleSet(set.customer.clone()));
        }
    }
    Ok(())
}

fn customer_of(rules: &wire::CustomerRules) -> String {
    let set = rules.set.as_ref();
    set.map_or_else(String::new, |set| set.customer.clone())
}

fn count_rules(rules: &wire::CustomerRules) -> usize {
    rules.set.as_ref().map_or(0, |set| set.rules.len())
}

/// The customer is left empty, as the enclosing message names it.
fn calls_to_wire((kind, count): (&CallKind, &u64)) -> wire::CallCount {
    wire::CallCount {
        customer: String::new(),
        caller_region: kind.caller_region.clone(),
        gateway_region: kind.gateway_region.clone(),
        path: kind.path.clone(),
        class: kind.class.clone(),
        count: *count,
    }
}

/// Stores an optional time: 0 stands for `None`, other times are stored plus 1.
fn optional_to_wire(time_ms: Option<u64>) -> u64 {
    time_ms.map_or(0, |time| time + 1)
}

/// The inverse of [`optional_to_wire`].
fn optional_from_wire(time_ms: u64) -> Option<u64> {
    time_ms.checked_sub(1)
}

fn service_versions_to_wire(service: &str, in_use: &VersionsInUse) -> Vec<wire::VersionInUse> {
    let names: BTreeSet<&String> = in_use.uses.keys().chain(in_use.retired.keys()).collect();
    let use_to_wire = |(customer, version_use): (&String, &VersionUse)| wire::VersionUse {
        customer: customer.clone(),
        declared: version_use.is_declared,
        calls: version_use.calls,
        last_ms: optional_to_wire(version_use.last_call_ms),
        repeats_ms: version_use.longest_retry_ms.unwrap_or(0),
    };
    let version_to_wire = |name: &String| {
        let uses = in_use.uses.get(name).into_iter().flatten();
        wire::VersionInUse {
            service: service.to_string(),
            version: name.clone(),
            uses: uses.map(use_to_wire).collect(),
            retired_ms: optional_to_wire(in_use.retired.get(name).copied()),
        }
    };
    names.into_iter().map(version_to_wire).collect()
}

fn restore_version(in_use: &mut VersionsInUse, version: &wire::VersionInUse) {
    if let Some(retired_ms) = optional_from_wire(version.retired_ms) {
        in_use.retired.insert(version.version.clone(), retired_ms);
    }
    if version.uses.is_empty() {
        return;
    }
    let uses = in_use.uses.entry(version.version.clone()).or_default();
    for stored in &version.uses {
        let version_use = VersionUse {
            is_declared: stored.declared,
            calls: stored.calls,
            last_call_ms: optional_from_wire(stored.last_ms),
            longest_retry_ms: Some(stored.repeats_ms).filter(|repeats| *repeats > 0),
        };
        uses.insert(stored.customer.clone(), version_use);
    }
}
