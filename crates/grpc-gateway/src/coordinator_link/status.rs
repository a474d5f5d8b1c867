//! The status of the coordinator link, which the admin port serves as JSON under `/keepers`.
//!
//! Operators' tools read the JSON names, so a renamed field keeps its JSON name by an attribute.

use super::CoordinatorLink;
use chalkdeck_time::Timestamp;
use serde::{Deserialize, Serialize};

/// The maximum number of rule sets that a status lists.
const MAX_LISTED_RULE_SETS: usize = 1_000;

/// The status of a gateway's link to the coordinator.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct CoordinatorStatus {
    /// This gateway's name in the fleet.
    pub name: String,
    /// The address of the replica that it is connected to, or connects to next.
    #[serde(rename = "keeper")]
    pub replica: String,
    /// The id of its session; 0: it has none.
    pub session: u64,
    /// Whether the session's lease is valid by this gateway's own clock.
    #[serde(rename = "stands")]
    pub is_session_valid: bool,
    /// Whether it has a copy of the shared state; without one it admits no call.
    #[serde(rename = "knows")]
    pub has_state: bool,
    /// The version of that copy.
    pub version: u64,
    /// The elections that it leads now.
    #[serde(rename = "duties")]
    pub leaderships: Vec<LeadershipStatus>,
    /// The customers' rule sets, sorted by customer and cut after a maximum.
    #[serde(rename = "sets")]
    pub rule_sets: Vec<RuleSetStatus>,
    /// The number of rules in all sets.
    #[serde(rename = "rules")]
    pub rule_count: usize,
    /// Addresses of endpoints whose contract version was not admitted.
    pub held_back: Vec<String>,
    /// Whether no endpoint in service has an admitted contract version, so that all are used.
    #[serde(rename = "last_resort")]
    pub is_last_resort: bool,
    /// Whether the last write of the cache file failed; until a retry succeeds, no newer version is reported as applied.
    #[serde(rename = "disk_fails")]
    pub is_persist_failing: bool,
}

/// An election that a gateway leads; in JSON a pair of the election and the token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
pub struct LeadershipStatus {
    /// The name of the election.
    pub election: String,
    /// The fencing token of its lease.
    pub token: u64,
}

/// A customer's rule set; in JSON a pair of the customer and the version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
pub struct RuleSetStatus {
    /// The customer.
    pub customer: String,
    /// The version of the set.
    pub version: u64,
}

impl CoordinatorLink {
    /// The status of the link as of `now`.
    pub(super) fn status(&self, now: Timestamp) -> CoordinatorStatus {
        let session = self.agent.session();
        CoordinatorStatus {
            name: self.settings.name.clone(),
            replica: self.settings.addresses[self.agent.replica_index()].to_string(),
            session: session.id().0,
            is_session_valid: session.is_valid(now),
            has_state: self.agent.has_state(),
            version: session.state().version,
            leaderships: self.leaderships(now),
            rule_sets: self.rule_sets(),
            rule_count: self.agent.rule_store().rule_count(),
            held_back: self.held_back_addresses.clone(),
            is_last_resort: self.is_last_resort,
            is_persist_failing: self.persist_retry_at.is_some(),
        }
    }

    fn leaderships(&self, now: Timestamp) -> Vec<LeadershipStatus> {
        let session = self.agent.session();
        session
            .elections()
            .filter_map(|election| {
                let token = session.leader_token(&election.name, now)?;
                Some(LeadershipStatus {
                    election: election.name.clone(),
                    token: token.0,
                })
            })
            .collect()
    }

    fn rule_sets(&self) -> Vec<RuleSetStatus> {
        let access = self.agent.rule_store();
        let mut rule_sets: Vec<RuleSetStatus> = access
            .customers()
            .filter_map(|customer| {
                Some(RuleSetStatus {
                    customer: customer.to_string(),
                    version: access.get(customer)?.set().version,
                })
            })
            .collect();
        rule_sets.sort_unstable();
        rule_sets.truncate(MAX_LISTED_RULE_SETS);
        rule_sets
    }
}

impl From<(String, u64)> for LeadershipStatus {
    fn from((election, token): (String, u64)) -> LeadershipStatus {
        LeadershipStatus { election, token }
    }
}

impl From<LeadershipStatus> for (String, u64) {
    fn from(status: LeadershipStatus) -> (String, u64) {
        (status.election, status.token)
    }
}

impl From<(String, u64)> for RuleSetStatus {
    fn from((customer, version): (String, u64)) -> RuleSetStatus {
        RuleSetStatus { customer, version }
    }
}

impl From<RuleSetStatus> for (String, u64) {
    fn from(status: RuleSetStatus) -> (String, u64) {
        (status.customer, status.version)
    }
}
