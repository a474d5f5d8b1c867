//! Consensus on commands: the core of a library, driven by messages, ticks and a storage.
//!
//! Each configuration has a log of its own. It ends with a command that names the next configuration, whose log begins with the
//! state that the last one left: so logs stay short, and a replica that lost its disk comes back as a new member. The library's own
//! stop signs are not used: of version 0.2.4, one that a new leader has to pass on is counted twice by a follower that has it, and
//! is never decided.

use crate::ids::ReplicaId;
use crate::protocol::wire;
use crate::storage::{Entry, Storage, StorageChange};
use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};

/// Ticks without a sign of the leader after which another is elected.
const ELECTION_TICKS: u64 = 5;
/// Ticks after which messages that were not answered are sent again.
const RESEND_TICKS: u64 = 10;
/// Messages that the library holds back at the most until they are taken.
const MESSAGE_BUFFER: usize = 10_000;

enum Core {
    /// One replica decides alone.
    Single,
    Replicated(Box<OmniPaxos<Entry, Storage>>),
}

/// The consensus of one configuration, as one replica takes part in it.
pub struct Consensus {
    core: Core,
    storage: Storage,
    /// The number of decided entries that were taken.
    taken: usize,
    outgoing: Vec<Message<Entry>>,
}

/// A message of the consensus to another replica.
pub struct ConsensusMessage {
    /// The replica that it is for.
    pub to: ReplicaId,
    /// Its bytes.
    pub body: Vec<u8>,
}

/// Why a configuration does not begin.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum ConsensusError {
    /// A number of replicas that cannot agree.
    #[error("expected one, three or five replicas, found {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::count),
        help("with two the loss of either stops both; more than five cost more than they add")
    )]
    ReplicaCount(usize),
    /// Rejected by the library.
    #[error("configuration: {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::configuration),
        help("see the addresses and slots of the replicas' settings")
    )]
    Library(String),
}

/// Whether so many replicas can agree.
pub fn is_valid_replica_count(count: usize) -> bool {
    matches!(count, 1 | 3 | 5)
}

impl Consensus {
    /// Takes part in the configuration in the storage.
    ///
    /// # Errors
    /// See [`ConsensusError`].
    pub fn begin(storage: Storage) -> Result<Consensus, ConsensusError> {
        let member_count = storage.state().configuration.members.len();
        let core = match member_count {
            1 => Core::Single,
            count if is_valid_replica_count(count) => {
                Core::Replicated(Box::new(begin_replicated(&storage)?))
            }
            count => return Err(ConsensusError::ReplicaCount(count)),
        };
        Ok(Consensus {
            core,
            storage,
            taken: 0,
            outgoing: Vec::new(),
        })
    }

    /// Proposes a command for the log. It may be lost on its way to the leader.
    pub fn propose(&mut self, command: &wire::Command) {
        let entry = Entry::new(command);
        match &mut self.core {
            Core::Single => {
                let decided = self.storage.state().decided() + 1;
                self.storage.change(StorageChange::Append(vec![entry]));
                self.storage.change(StorageChange::Decide(decided));
            }
            Core::Replicated(core) => {
                // Fails only behind a stop sign, and there is none.
                let _ = core.append(entry);
            }
        }
    }

    /// Takes the body of another replica's message in; what cannot be read is dropped.
    pub fn receive(&mut self, body: &[u8]) {
        let Core::Replicated(core) = &mut self.core else {
            return;
        };
        if let Ok(message) = postcard::from_bytes(body) {
            core.handle_incoming(message);
        }
    }

    /// Time passes.
    pub fn tick(&mut self) {
        if let Core::Replicated(core) = &mut self.core {
            core.tick();
        }
    }

    /// A connection to a replica was established again: messages before may be lost.
    pub fn reconnected(&mut self, replica: ReplicaId) {
        if let Core::Replicated(core) = &mut self.core {
            core.reconnected(replica.0);
        }
    }

    /// Takes the messages that are to be sent. They may leave once the storage's changes are on the disk.
    pub fn take_messages(&mut self) -> Vec<ConsensusMessage> {
        let Core::Replicated(core) = &mut self.core else {
            return Vec::new();
        };
        core.take_outgoing_messages(&mut self.outgoing);
        let messages = self.outgoing.drain(..);
        messages
            .map(|message| ConsensusMessage {
                to: ReplicaId(message.get_receiver()),
                body: postcard::to_stdvec(&message).unwrap_or_default(),
            })
            .collect()
    }

    /// Takes the commands that were decided since the last call.
    pub fn take_decided(&mut self) -> Vec<wire::Command> {
        match &self.core {
            Core::Single => {
                let state = self.storage.state();
                let entries = state.decided_since(self.taken);
                self.taken = state.decided();
                entries.iter().map(Entry::command).collect()
            }
            Core::Replicated(core) => {
                let decided = core.get_decided_idx();
                if decided <= self.taken {
                    return Vec::new();
                }
                let entries = core.read_decided_suffix(self.taken).unwrap_or_default();
                self.taken = decided;
                entries.into_iter().filter_map(command_of).collect()
            }
        }
    }

    /// The leader, as far as it is known here.
    pub fn leader(&self) -> Option<ReplicaId> {
        match &self.core {
            Core::Single => Some(self.storage.state().configuration.own),
            Core::Replicated(core) => core.get_current_leader().map(|(id, _)| ReplicaId(id)),
        }
    }
}

fn begin_replicated(storage: &Storage) -> Result<OmniPaxos<Entry, Storage>, ConsensusError> {
    let (cluster, server) = {
        let state = storage.state();
        let configuration = &state.configuration;
        let cluster = ClusterConfig {
            configuration_id: configuration.number,
            nodes: configuration.members.iter().map(|m| m.id.0).collect(),
            flexible_quorum: None,
        };
        let server = ServerConfig {
            pid: configuration.own.0,
            election_tick_timeout: ELECTION_TICKS,
            resend_message_tick_timeout: RESEND_TICKS,
            buffer_size: MESSAGE_BUFFER,
            ..ServerConfig::default()
        };
        (cluster, server)
    };
    cluster
        .build_for_server(server, storage.clone())
        .map_err(|error| ConsensusError::Library(error.to_string()))
}

/// The command of a decided entry.
fn command_of(entry: LogEntry<Entry>) -> Option<wire::Command> {
    match entry {
        LogEntry::Decided(entry) => Some(entry.command()),
        LogEntry::StopSign(..)
        | LogEntry::Undecided(_)
        | LogEntry::Trimmed(_)
        | LogEntry::Snapshotted(_) => None,
    }
}
