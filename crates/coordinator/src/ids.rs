//! Ids of replicas, of their slots, and of the requests that they answer.

use serde::{Deserialize, Serialize};

/// The id of a replica within the consensus. The id of a replica that lost its disk is never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReplicaId(pub u64);

/// The position of a replica in the address list, from 1. A replacement takes over the slot of the replica that it replaces,
/// under another id.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Slot(pub u32);

impl Slot {
    /// The slot of that number, if it is within the list of `replica_count` addresses.
    pub fn from_number(number: u32, replica_count: usize) -> Option<Slot> {
        let is_valid = (1..=replica_count).contains(&(number as usize));
        is_valid.then_some(Slot(number))
    }

    /// The index in the address list, from 0.
    pub fn index(self) -> usize {
        self.0 as usize - 1
    }
}

/// The stream or call that waits for a response, numbered by the transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequesterId(pub u64);

/// The sequence number of a command of one caller, from 1; a retried command keeps its number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommandNumber(pub u64);
