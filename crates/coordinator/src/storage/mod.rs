//! What the consensus core stores: kept in memory for the core, and gathered as changes for the log on disk, which replays to the
//! same state.
//!
//! The types that derive `Serialize` are stored in the form of `postcard`: the order of their fields and variants never changes.

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

/// One entry of the replicated log: the bytes of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry(pub Vec<u8>);

impl Entry {
    /// The entry of a command.
    pub fn new(command: &wire::Command) -> Entry {
        Entry(command.encode_to_vec())
    }

    /// The command, as every replica reads it. Bytes that cannot be read are a command that changes nothing.
    pub fn command(&self) -> wire::Command {
        wire::Command::decode(&self.0[..]).unwrap_or_default()
    }
}

/// One change of the stored state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StorageChange {
    /// Entries are appended.
    Append(Vec<Entry>),
    /// Entries replace all from an index on.
    ReplaceFrom(usize, Vec<Entry>),
    /// A ballot was promised.
    Promise(Ballot),
    /// A ballot was accepted.
    Accept(Ballot),
    /// So many entries are decided.
    Decide(usize),
    /// Another configuration begins with an empty log.
    BeginConfiguration(Configuration),
}

/// One replica of a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationMember {
    /// Its id within the consensus.
    pub id: ReplicaId,
    /// Its place in the list of addresses.
    pub slot: Slot,
    /// Of a replica that joined without a disk: by what the others tell it from an earlier one.
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
    /// This member as a message; what else the message holds is taken from `other`.
    pub fn to_wire(self, other: wire::Member) -> wire::Member {
        wire::Member {
            id: self.id.0,
            slot: self.slot.0,
            incarnation: self.incarnation,
            ..other
        }
    }
}

/// The replicas that agree with each other, and what their log begins with.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number, from 1; 0: none.
    pub number: u32,
    /// The id of this replica in it.
    pub own: ReplicaId,
    /// All replicas.
    pub members: Vec<ConfigurationMember>,
    /// The snapshot of the replicated state that the log begins with; empty: an empty state.
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

/// The storage, shared by the consensus core and the replica that drives it. What the core says may leave only once the changes are
/// on the disk.
#[derive(Clone, Debug, Default)]
pub struct Storage(Rc<RefCell<Inner>>);

impl Storage {
    /// Storage that holds what a log replayed to.
    pub fn new(state: PersistedState) -> Storage {
        Storage(Rc::new(RefCell::new(Inner {
            state,
            pending_changes: Vec::new(),
        })))
    }

    /// What is stored.
    pub fn state(&self) -> Ref<'_, PersistedState> {
        Ref::map(self.0.borrow(), |inner| &inner.state)
    }

    /// Makes a change, and gathers it for the log.
    pub fn change(&self, change: StorageChange) {
        let mut inner = self.0.borrow_mut();
        inner.state.apply(change.clone());
        inner.pending_changes.push(change);
    }

    /// Takes the changes that are not in the log yet.
    pub fn take_changes(&self) -> Vec<StorageChange> {
        std::mem::take(&mut self.0.borrow_mut().pending_changes)
    }
}
