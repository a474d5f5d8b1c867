//! The registrar's judgement of a proposal, based on a read of the proposal and of the data that it depends on; does no I/O.

mod contract_version;

pub use contract_version::{contract_version, ContractError};

use crate::protocol::{wire, AdmittedContract, ReadResponse};
use crate::state::rule_set_error;
use chalkdeck_contract::{
    find_incompatibilities, CompatibilityLevel, ServiceVersion, SubscriberBounds, VersionUser,
    VersionsInUse,
};
use chalkdeck_leader_election::FencingToken;

/// The version under which calls without a version are counted. Its users rely on the oldest admitted version of the service, or on
/// none if there is none.
pub const UNVERSIONED: &str = "unversioned";
/// Maximum number of customers that are named in one reason.
const MAX_NAMED_CUSTOMERS: usize = 5;

/// Judges the proposal in the response, if there is one.
pub fn judge(response: &ReadResponse, token: FencingToken) -> Option<wire::JudgeProposal> {
    let proposal = response.proposals.first()?;
    let reasons = match &proposal.proposed {
        Some(wire::proposal::Proposed::Contract(contract)) => contract_reasons(contract, response),
        Some(wire::proposal::Proposed::Rules(set)) => {
            rule_set_reasons(set, proposal.force, response.dry_run.as_ref())
        }
        None => vec!["nothing was proposed".to_string()],
    };
    Some(wire::JudgeProposal {
        token: token.0,
        proposal: proposal.id,
        admit: reasons.is_empty(),
        reasons,
        contract_revision: response.contract_revision,
    })
}

/// Reasons to reject a rule set. `dry_run` is its evaluation against the customer's recent calls.
fn rule_set_reasons(
    set: &wire::RuleSet,
    force: bool,
    dry_run: Option<&wire::DryRun>,
) -> Vec<String> {
    let mut reasons: Vec<String> = rule_set_error(set).into_iter().collect();
    if let Some(dry_run) = dry_run.filter(|dry_run| dry_run.locks_out && !force) {
        reasons.push(format!("all {} calls of the last minutes would be denied: say so explicitly (--force), or see `rules check`", dry_run.calls));
    }
    reasons
}

/// Reasons to reject a contract: its incompatibilities with each version in use.
fn contract_reasons(contract: &wire::Contract, response: &ReadResponse) -> Vec<String> {
    let proposed = match contract_version(contract) {
        Ok(version) => version,
        Err(error) => return vec![error.to_string()],
    };
    let check = ContractCheck {
        contract,
        proposed,
        admitted: admitted_by_age(&response.contracts),
        in_use: versions_in_use(response),
        time_ms: response.time_ms,
    };
    let versions = check
        .in_use
        .versions(response.time_ms, response.unused_after_ms);
    let mut reasons = Vec::new();
    for version in versions {
        let users = check
            .in_use
            .users(&version, response.time_ms, response.unused_after_ms);
        reasons.extend(check.reasons_against_version(&version, &users));
    }
    reasons
}

/// Contracts that are not retired, oldest first.
fn admitted_by_age(list: &[AdmittedContract]) -> Vec<&AdmittedContract> {
    let mut admitted: Vec<&AdmittedContract> = list.iter().filter(|a| !a.retired).collect();
    admitted.sort_by_key(|admitted| admitted.admitted_ms);
    admitted
}

/// A proposed contract and the data that it is checked against.
struct ContractCheck<'a> {
    contract: &'a wire::Contract,
    proposed: ServiceVersion,
    admitted: Vec<&'a AdmittedContract>,
    in_use: VersionsInUse,
    time_ms: u64,
}

impl ContractCheck<'_> {
    /// The contract that users of a version rely on. Users without a version rely on the one that was admitted first.
    fn contract_in_use(&self, version: &str) -> Option<&wire::Contract> {
        let mut contracts = self.admitted.iter().map(|a| a.contract.as_ref());
        if version == UNVERSIONED {
            return contracts.next().flatten();
        }
        contracts.flatten().find(|c| c.version == version)
    }

    /// Incompatibilities of the proposed contract with one version in use.
    fn reasons_against_version(&self, version: &str, users: &[VersionUser]) -> Vec<String> {
        let names = describe_users(users, self.time_ms);
        let Some(old) = self.contract_in_use(version) else {
            return self
                .unknown_version_reason(version, &names)
                .into_iter()
                .collect();
        };
        let old = match contract_version(old) {
            Ok(old) => old,
            Err(error) => {
                return vec![format!(
                    "version {version}, spoken by {names}, cannot be read: {error}"
                )]
            }
        };
        let longest_retries = users
            .iter()
            .filter_map(|user| user.version_use.longest_retry_ms);
        let bounds = SubscriberBounds {
            longest_retry_ms: longest_retries.max(),
            smallest_burst: None,
        };
        find_incompatibilities(&old, &self.proposed, self.compatibility_level(), bounds)
            .into_iter()
            .map(|incompatibility| {
                let help = incompatibility.rule.help();
                format!("{incompatibility}; version {version} is spoken by {names}; {help}")
            })
            .collect()
    }

    /// The reason to reject the contract if the version in use was never admitted. There is none if the service has no admitted
    /// version, as no user relies on a contract yet.
    fn unknown_version_reason(&self, version: &str, names: &str) -> Option<String> {
        let is_proposed = version == self.contract.version;
        if version == UNVERSIONED || self.admitted.is_empty() || is_proposed {
            return None;
        }
        Some(format!(
            "version {version} is spoken by {names} and not known: propose it first, or retire it"
        ))
    }

    fn compatibility_level(&self) -> CompatibilityLevel {
        if self.contract.json {
            CompatibilityLevel::WireAndJson
        } else {
            CompatibilityLevel::Wire
        }
    }
}

/// The versions in use from the response.
fn versions_in_use(response: &ReadResponse) -> VersionsInUse {
    let mut in_use = VersionsInUse::default();
    for version in &response.versions_in_use {
        for user in &version.uses {
            let repeats_ms = Some(user.repeats_ms).filter(|repeats| *repeats > 0);
            in_use.declare(&version.version, &user.customer, user.declared, repeats_ms);
            if user.calls > 0 {
                in_use.record_calls(&version.version, &user.customer, user.calls, user.last_ms);
            }
        }
        if version.retired_ms > 0 {
            let name = version.version.clone();
            in_use.retired.insert(name, version.retired_ms);
        }
    }
    in_use
}

/// Lists the users of a version for an error message.
fn describe_users(users: &[VersionUser], now_ms: u64) -> String {
    let named_users = users.iter().take(MAX_NAMED_CUSTOMERS);
    let names: Vec<String> = named_users
        .map(|user| describe_user(user, now_ms))
        .collect();
    let names = names.join(", ");
    let unnamed_count = users.len().saturating_sub(MAX_NAMED_CUSTOMERS);
    if unnamed_count > 0 {
        format!("{names} and {unnamed_count} more")
    } else {
        names
    }
}

fn describe_user(user: &VersionUser, now_ms: u64) -> String {
    let customer = &user.customer;
    let Some(last_ms) = user.version_use.last_call_ms else {
        return format!("{customer} (declared)");
    };
    let seconds_ago = now_ms.saturating_sub(last_ms) / 1_000;
    format!(
        "{customer} ({} calls, last {seconds_ago} s ago)",
        user.version_use.calls
    )
}
