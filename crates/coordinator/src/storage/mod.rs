//! Storage of the consensus library: the state in memory, and the changes to it that are pending for the log on the disk. Replay of the
//! log restores the same state.
//!
//! The types that derive `Serialize` are stored with `postcard`: the order of their fields and variants must never change.

mod omnipaxos_storage;
mod persisted_state;

pub use persisted_state::{encode_record, PersistedState, FORMAT_VERSION};

use crate::ids::{ReplicaId, Slot};
use crate::protocol::wire;
use omnipaxos::ballot_leader_election::Ballot;
use prost::Message;
use serde::{Deserialize, Serialize};
use std::cell::{Ref, RefCell};
use std::rc::Rc;

/// One entry of the replicated log: an encoded command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry(pub Vec<u8>);

impl Entry {
    /// Encodes a command.
    pub fn new(command: &wire::Command) -> Entry {
        Entry(command.encode_to_vec())
    }

    /// Decodes the command, equally at every replica. Malformed bytes decode to a command that changes nothing.
    pub fn command(&self) -> wire::Command {
        wire::Command::decode(&self.0[..]).unwrap_or_default()
    }
}

/// One change to the stored state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StorageChange {
    /// Appends entries.
    Append(Vec<Entry>),
    /// Replaces all entries from an index on.
    ReplaceFrom(usize, Vec<Entry>),
    /// Sets the promised ballot.
    Promise(Ballot),
    /// Sets the accepted ballot.
    Accept(Ballot),
    /// Sets the number of decided entries.
    Decide(usize),
    /// Starts another configuration with an empty log.
    BeginConfiguration(Configuration),
}

/// A replica in a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationMember {
    /// Its id within the consensus.
    pub id: ReplicaId,
    /// Its position in the address list.
    pub slot: Slot,
    /// Distinguishes a replica that joined with an empty disk from earlier replicas in its slot; 0 in the first configuration.
    pub incarnation: u64,
}

impl From<&wire::Member> for ConfigurationMember {
    fn from(member: &wire::Member) -> ConfigurationMember {
        ConfigurationMember {
            id: ReplicaId(member.id),
            slot: Slot(member.slot),
            incarnation: member.incarnation,
        }
    }
}

impl ConfigurationMember {
    /// Converts the member to a message; the message's other fields are taken from `other`.
    pub fn to_wire(self, other: wire::Member) -> wire::Member {
        wire::Member {
            id: self.id.0,
            slot: self.slot.0,
            incarnation: self.incarnation,
            ..other
        }
    }
}

/// A configuration: the replicas that take part in the consensus, and the state that their log begins with.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The number of the configuration, from 1; 0 if there is none yet.
    pub number: u32,
    /// The id of this replica.
    pub own: ReplicaId,
    /// All replicas.
    pub members: Vec<ConfigurationMember>,
    /// The snapshot of the replicated state that the log begins with; no bytes stand for an empty state.
    pub base: Vec<u8>,
}

impl Configuration {
    /// The slot of a replica.
    pub fn slot_of(&self, id: ReplicaId) -> Option<Slot> {
        let member = self.members.iter().find(|member| member.id == id)?;
        Some(member.slot)
    }
}

#[derive(Debug, Default)]
struct Inner {
    state: PersistedState,
    pending_changes: Vec<StorageChange>,
}

/// The storage, shared by the consensus library and the replica that drives it. The library's messages may be sent only once the
/// changes are on the disk.
#[derive(Clone, Debug, Default)]
pub struct Storage(Rc<RefCell<Inner>>);

impl Storage {
    /// Storage with the state that a log was replayed to.
    pub fn new(state: PersistedState) -> Storage {
        Storage(Rc::new(RefCell::new(Inner {
            state,
            pending_changes: Vec::new(),
        })))
    }

    /// The stored state.
    pub fn state(&self) -> Ref<'_, PersistedState> {
        Ref::map(self.0.borrow(), |inner| &inner.state)
    }

    /// Applies a change and adds it to the changes that are pending for the log.
    pub fn change(&self, change: StorageChange) {
        let mut inner = self.0.borrow_mut();
        inner.state.apply(change.clone());
        inner.pending_changes.push(change);
    }

    /// Takes the changes that are not yet in the log.
    pub fn take_changes(&self) -> Vec<StorageChange> {
        std::mem::take(&mut self.0.borrow_mut().pending_changes)
    }
}
