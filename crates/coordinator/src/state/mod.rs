//! The replicated state. It does no I/O and reads no clocks: the same commands in the same order give the same state and responses.
//! A command that is retried under the same caller and number is applied once and gets the same response.

mod contracts;
mod deduplication;
mod elections;
mod membership;
mod proposals;
mod reads;
mod reports;
mod rules;
mod sessions;
mod site_overrides;
mod snapshot;
mod version_use;
mod watch;

pub use elections::{HIT_TOTALS_ELECTION, REGISTRAR_ELECTION, SITE_OVERRIDES_ELECTION};
pub use rules::{rule_set_error, rule_set_from_wire};
pub use snapshot::SnapshotError;

use crate::ids::{CommandNumber, ReplicaId};
use crate::protocol::{
    wire, AdmittedContract, CommandKind, CommandResponse, DepartedGateway, Election, ResponseCode,
    SiteOverride,
};
use crate::session::ServiceVersion;
use chalkdeck_access::{CallHistory, HitTotals};
use chalkdeck_contract::VersionsInUse;
use chalkdeck_leader_election::SessionId;
use deduplication::CallerRecords;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The protocol version of this program: it determines which commands it can apply.
pub const PROTOCOL_VERSION: u32 = 2;
/// The protocol version from which new callers are distinguished from evicted ones.
const NEW_CALLERS_PROTOCOL_VERSION: u32 = 2;
/// Length of a period of recent calls, in milliseconds of the agreed time.
const RECENT_CALLS_PERIOD_MS: u64 = 120_000;

/// The replicated state.
#[derive(Clone, Debug, Default)]
pub struct ReplicatedState {
    /// The number of applied commands, which is the log index of the last one.
    pub index: u64,
    /// The version of the watched state: incremented with each change that sessions watch.
    pub version: u64,
    /// The agreed time in milliseconds: a logical clock that the leader advances with commands.
    pub time_ms: u64,
    /// The id of the cluster that the state belongs to.
    pub cluster: u64,
    /// The number of the configuration.
    pub configuration: u32,
    members: BTreeMap<ReplicaId, wire::Member>,
    last_session: SessionId,
    sessions: BTreeMap<SessionId, wire::Session>,
    /// Gateways whose sessions have expired and that have not returned.
    departed: BTreeMap<String, DepartedGateway>,
    elections: BTreeMap<String, Election>,
    /// Rule sets by customer.
    rules: BTreeMap<String, wire::CustomerRules>,
    /// The number of rules in all sets.
    rule_count: usize,
    /// The latest removals of rule sets, with the versions of the state at which they happened.
    removed_rules: VecDeque<wire::RemovedRules>,
    /// Removals up to this version of the state were evicted from `removed_rules`.
    removed_before: u64,
    contracts: BTreeMap<ServiceVersion, AdmittedContract>,
    /// Contract versions in use, by service.
    versions_in_use: BTreeMap<String, VersionsInUse>,
    /// Incremented with each change to the data that judgements of contract proposals depend on.
    contract_revision: u64,
    last_proposal: u64,
    proposals: BTreeMap<u64, wire::Proposal>,
    verdicts: BTreeMap<u64, wire::Verdict>,
    site_overrides: BTreeMap<String, SiteOverride>,
    /// Hits of rules, by customer.
    hits: BTreeMap<String, HitTotals>,
    /// Incarnations of gateways that have ended and whose hits are not folded yet.
    ended_incarnations: BTreeSet<u64>,
    /// Recent calls by customer, and the agreed time at which their current period began.
    recent_calls: BTreeMap<String, CallHistory>,
    recent_period_start_ms: u64,
    callers: CallerRecords,
}

/// The response to a command that was applied and returns no data.
fn done() -> CommandResponse {
    CommandResponse::default()
}

/// The response to a command that changed nothing.
fn rejected(code: ResponseCode, reason: impl Into<String>) -> CommandResponse {
    CommandResponse {
        code: code as i32,
        reason: reason.into(),
        ..CommandResponse::default()
    }
}

impl ReplicatedState {
    /// Applies the next command of the log.
    pub fn apply(&mut self, command: &wire::Command) -> CommandResponse {
        self.index += 1;
        // 0: a replica's own command. It is not deduplicated, as no caller waits for a recorded response.
        if command.caller == 0 {
            return self.apply_once(command);
        }
        if self.supported_protocol_version() >= NEW_CALLERS_PROTOCOL_VERSION {
            self.callers.begin_distinguishing_new_callers(self.version);
        }
        let number = CommandNumber(command.number);
        if let Some(response) =
            self.callers
                .recorded_response(command.caller, number, command.begun_version)
        {
            return response;
        }
        let response = self.apply_once(command);
        self.callers
            .record(command.caller, number, &response, self.index, self.version);
        response
    }

    fn apply_once(&mut self, command: &wire::Command) -> CommandResponse {
        let mut response = match &command.kind {
            Some(kind) => self.apply_kind(kind, command.caller),
            None => rejected(
                ResponseCode::Unknown,
                "this keeper does not know the command",
            ),
        };
        response.version = self.version;
        response
    }

    fn apply_kind(&mut self, kind: &CommandKind, caller: u64) -> CommandResponse {
        match kind {
            CommandKind::OpenSession(open) => self.open_session(open),
            CommandKind::RenewSessions(renew) => self.renew_sessions(renew),
            CommandKind::CloseSession(close) => self.close_session(SessionId(close.session)),
            CommandKind::ExpireSession(expiry) => self.expire_session(expiry),
            CommandKind::ReleaseElection(release) => self.release_election(release),
            CommandKind::MoveElection(request) => self.request_move(request),
            CommandKind::AdvanceTime(advance) => self.advance_time(advance.time_ms),
            CommandKind::EnsureElection(ensure) => self.ensure_election(&ensure.election),
            CommandKind::Propose(propose) => self.add_proposal(propose, caller),
            CommandKind::JudgeProposal(judgement) => self.judge_proposal(judgement),
            CommandKind::RetireVersion(retire) => self.retire_version(retire),
            CommandKind::Subscribe(subscribe) => self.subscribe(subscribe),
            CommandKind::Report(report) => self.apply_report(report),
            CommandKind::OverrideSite(request) => self.override_site(request),
            CommandKind::PublishOverrides(publish) => self.publish_site_overrides(publish),
            CommandKind::FoldHits(fold) => self.fold_hits(fold.token),
            // Replicas handle the end of a configuration before they apply it; see `Replica::apply_decided`.
            CommandKind::NextConfiguration(_) => done(),
            CommandKind::AnnounceVersion(announcement) => self.announce_version(announcement),
        }
    }

    /// Increments the version for a change that sessions watch, and returns it.
    fn increment_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    /// Advances the agreed time; it never goes backwards.
    fn advance_time(&mut self, time_ms: u64) -> CommandResponse {
        self.time_ms = self.time_ms.max(time_ms);
        if self.time_ms >= self.recent_period_start_ms + RECENT_CALLS_PERIOD_MS {
            self.start_recent_period();
        }
        done()
    }

    /// Drops calls that are no longer recent, and rule sets that have become redundant.
    fn start_recent_period(&mut self) {
        self.recent_period_start_ms = self.time_ms;
        self.recent_calls
            .values_mut()
            .for_each(CallHistory::start_period);
        self.recent_calls.retain(|_, recent| !recent.is_empty());
        let customers: Vec<String> = self.rules.keys().cloned().collect();
        for customer in &customers {
            self.remove_if_redundant(customer);
        }
    }
}
