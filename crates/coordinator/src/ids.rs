//! Ids of replicas, their places and those who wait for them.

use serde::{Deserialize, Serialize};

/// The id of a replica within the consensus; never used again once a replica has lost its disk.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReplicaId(pub u64);

/// The place of a replica in the list of addresses, from 1. A replica that replaces another has its slot, under another id.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Slot(pub u32);

impl Slot {
    /// The slot of that number, if it is one of so many replicas.
    pub fn checked(number: u32, replica_count: usize) -> Option<Slot> {
        let is_valid = (1..=replica_count).contains(&(number as usize));
        is_valid.then_some(Slot(number))
    }

    /// The place in the list of addresses, from 0.
    pub fn index(self) -> usize {
        self.0 as usize - 1
    }
}

/// The stream that waits for a response, as chosen by the transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequesterId(pub u64);

/// The number of a command among those of its sender, from 1; a command that is sent again keeps it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommandNumber(pub u64);
