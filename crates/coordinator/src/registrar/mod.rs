//! How the registrar judges a proposal, from a read of it and of what the judgement rests on; free of I/O.

mod contract_version;

pub use contract_version::{contract_version, ContractError};

use crate::protocol::{wire, AdmittedContract, ReadResponse};
use crate::state::rule_set_error;
use chalkdeck_contract::{
    find_incompatibilities, CompatibilityLevel, ServiceVersion, SubscriberBounds, VersionUser,
    VersionsInUse,
};
use chalkdeck_leader_election::FencingToken;

/// The version that calls without one count under. Until the service has an admitted version nothing is promised of it.
pub const UNVERSIONED: &str = "unversioned";
/// Customers that are named in one reason.
const MAX_NAMED_CUSTOMERS: usize = 5;

/// Judges the proposal that was read, if there is one.
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

/// Why a rule set is not admitted. `tried`: what it would have decided about the customer's recent calls.
fn rule_set_reasons(set: &wire::RuleSet, force: bool, tried: Option<&wire::DryRun>) -> Vec<String> {
    let mut reasons: Vec<String> = rule_set_error(set).into_iter().collect();
    if let Some(tried) = tried.filter(|tried| tried.locks_out && !force) {
        reasons.push(format!("all {} calls of the last minutes would be denied: say so explicitly (--force), or see `rules check`", tried.calls));
    }
    reasons
}

/// Why a contract is not admitted: what it would break of each version in use.
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
        reasons.extend(check.reasons_of_version(&version, &users));
    }
    reasons
}

/// Contracts that are not retired, the oldest first.
fn admitted_by_age(list: &[AdmittedContract]) -> Vec<&AdmittedContract> {
    let mut admitted: Vec<&AdmittedContract> = list.iter().filter(|a| !a.retired).collect();
    admitted.sort_by_key(|admitted| admitted.admitted_ms);
    admitted
}

/// A proposed contract, and what it is checked against.
struct ContractCheck<'a> {
    contract: &'a wire::Contract,
    proposed: ServiceVersion,
    admitted: Vec<&'a AdmittedContract>,
    in_use: VersionsInUse,
    time_ms: u64,
}

impl ContractCheck<'_> {
    /// The contract that users of a version rely on. Those without a version rely on the first that was admitted.
    fn contract_in_use(&self, version: &str) -> Option<&wire::Contract> {
        let mut contracts = self.admitted.iter().map(|a| a.contract.as_ref());
        if version == UNVERSIONED {
            return contracts.next().flatten();
        }
        contracts.flatten().find(|c| c.version == version)
    }

    /// What the proposed contract would break for the users of one version.
    fn reasons_of_version(&self, version: &str, users: &[VersionUser]) -> Vec<String> {
        let names = describe_users(users, self.time_ms);
        let Some(old) = self.contract_in_use(version) else {
            return self
                .reason_of_unknown(version, &names)
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
        find_incompatibilities(&old, &self.proposed, self.level(), bounds)
            .into_iter()
            .map(|broken| {
                let help = broken.rule.help();
                format!("{broken}; version {version} is spoken by {names}; {help}")
            })
            .collect()
    }

    /// A version that is in use and was never admitted. If none was, nothing is promised to anybody yet.
    fn reason_of_unknown(&self, version: &str, names: &str) -> Option<String> {
        let is_proposed = version == self.contract.version;
        if version == UNVERSIONED || self.admitted.is_empty() || is_proposed {
            return None;
        }
        Some(format!(
            "version {version} is spoken by {names} and not known: propose it first, or retire it"
        ))
    }

    fn level(&self) -> CompatibilityLevel {
        if self.contract.json {
            CompatibilityLevel::WireAndJson
        } else {
            CompatibilityLevel::Wire
        }
    }
}

/// Versions in use, as they were read.
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

/// The users of a version for people.
fn describe_users(users: &[VersionUser], now_ms: u64) -> String {
    let named = users.iter().take(MAX_NAMED_CUSTOMERS);
    let names: Vec<String> = named.map(|user| describe_user(user, now_ms)).collect();
    let names = names.join(", ");
    let more = users.len().saturating_sub(MAX_NAMED_CUSTOMERS);
    if more > 0 {
        format!("{names} and {more} more")
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
