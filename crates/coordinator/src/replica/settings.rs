//! Settings of a replica.

use crate::ids::Slot;
use chalkdeck_leader_election::LeaseTerms;

/// How a replica starts whose folder is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// With all others, for the first time. Only an operator can know that: the folder looks the same where the disk was lost.
    Bootstrap,
    /// As a new member in its slot.
    Join,
}

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Its place in the list of addresses.
    pub slot: Slot,
    /// The number of replicas.
    pub replica_count: u32,
    /// Terms of the sessions' leases.
    pub terms: LeaseTerms,
    /// An election is moved away from a leader with a session at most this often, in milliseconds of the agreed time.
    pub min_move_interval_ms: u64,
    /// A contract version counts as unused after so long without a call, in milliseconds of the agreed time.
    pub unused_after_ms: u64,
    /// Entries after which the log ends, and another begins with a snapshot.
    pub max_log_entries: usize,
    /// Elections beside the built-in ones.
    pub elections: Vec<String>,
    /// By what this start of the replica is told from others.
    pub incarnation: u64,
    /// The number of starts on its disk.
    pub epoch: u64,
}
