//! Settings of a replica.

use crate::ids::Slot;
use chalkdeck_leader_election::LeaseTerms;

/// How a replica with an empty folder starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// As one of the initial replicas of a new cluster. Only an operator can know this, as the folder is also empty after a lost
    /// disk.
    Bootstrap,
    /// As a new member that replaces the previous one in its slot.
    Join,
}

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Its position in the address list.
    pub slot: Slot,
    /// The number of replicas.
    pub replica_count: u32,
    /// Duration and assumed clock drift of the sessions' leases.
    pub lease_terms: LeaseTerms,
    /// Minimum interval between two moves of an election for load balancing, in milliseconds of the agreed time.
    pub min_move_interval_ms: u64,
    /// Time without a call after which a contract version counts as unused, in milliseconds of the agreed time.
    pub unused_after_ms: u64,
    /// Maximum number of log entries; after that the next configuration begins, with a snapshot and an empty log.
    pub max_log_entries: usize,
    /// Names of elections in addition to the built-in ones.
    pub elections: Vec<String>,
    /// Identifies this start of the replica, or its disk while it has no configuration.
    pub incarnation: u64,
    /// The number of starts on its disk, including this one.
    pub epoch: u64,
}
