//! Consensus on commands, on top of the OmniPaxos library, which is driven by messages, ticks and a storage.
//!
//! Each configuration has its own log. The log ends with a command that names the next configuration, whose log begins with the
//! final state of the previous one. This keeps logs short, and lets a replica that lost its disk rejoin as a new member. The
//! library's own stop signs are not used: in version 0.2.4, a follower that already has a stop sign counts it twice when a new leader
//! forwards it, and the stop sign is never decided.

mod heartbeat_pace;

use crate::ids::ReplicaId;
use crate::protocol::wire;
use crate::storage::{Entry, Storage, StorageChange};
use heartbeat_pace::HeartbeatPace;
use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};

/// The library's ticks in a heartbeat round. A new leader is elected after a round without a heartbeat of the leader.
const ELECTION_TIMEOUT_TICKS: u64 = 5;
/// Ticks after which unanswered messages are resent.
const RESEND_TIMEOUT_TICKS: u64 = 10;
/// Maximum number of outgoing messages that the library buffers until they are taken.
const MESSAGE_BUFFER_SIZE: usize = 10_000;

enum Core {
    /// A configuration of one replica, which decides without messages.
    Single,
    Replicated(Box<OmniPaxos<Entry, Storage>>),
}

/// One replica's part in the consensus of one configuration.
pub struct Consensus {
    core: Core,
    pace: HeartbeatPace,
    storage: Storage,
    /// The number of decided entries that were returned by [`Consensus::take_decided`].
    taken_count: usize,
    outgoing: Vec<Message<Entry>>,
}

/// A consensus message to another replica.
pub struct ConsensusMessage {
    /// The receiving replica.
    pub to: ReplicaId,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// Why the consensus of a configuration cannot start.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum ConsensusError {
    /// An unsupported number of replicas.
    #[error("expected one, three or five replicas, found {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::count),
        help("with two the loss of either stops both; more than five cost more than they add")
    )]
    ReplicaCount(usize),
    /// The library rejected the configuration.
    #[error("configuration: {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::configuration),
        help("see the addresses and slots of the replicas' settings")
    )]
    Library(String),
}

/// Whether a configuration may have this number of replicas.
pub fn is_valid_replica_count(count: usize) -> bool {
    matches!(count, 1 | 3 | 5)
}

impl Consensus {
    /// Starts the consensus of the stored configuration.
    ///
    /// # Errors
    /// See [`ConsensusError`].
    pub fn start(storage: Storage) -> Result<Consensus, ConsensusError> {
        let member_count = storage.state().configuration.members.len();
        let core = match member_count {
            1 => Core::Single,
            count if is_valid_replica_count(count) => {
                Core::Replicated(Box::new(start_replicated(&storage)?))
            }
            count => return Err(ConsensusError::ReplicaCount(count)),
        };
        Ok(Consensus {
            core,
            pace: HeartbeatPace::new(ELECTION_TIMEOUT_TICKS, member_count),
            storage,
            taken_count: 0,
            outgoing: Vec::new(),
        })
    }

    /// Proposes a command for the log. The command may be lost on its way to the leader.
    pub fn propose(&mut self, command: &wire::Command) {
        let entry = Entry::new(command);
        match &mut self.core {
            Core::Single => {
                let decided = self.storage.state().decided() + 1;
                self.storage.change(StorageChange::Append(vec![entry]));
                self.storage.change(StorageChange::Decide(decided));
            }
            Core::Replicated(core) => {
                // Fails only after a stop sign, and none is ever appended.
                let _ = core.append(entry);
            }
        }
    }

    /// Handles the body of another replica's message; a malformed body is dropped.
    pub fn receive(&mut self, body: &[u8]) {
        let Core::Replicated(core) = &mut self.core else {
            return;
        };
        if let Ok(message) = postcard::from_bytes(body) {
            self.pace.on_received(&message);
            core.handle_incoming(message);
        }
    }

    /// Counts a tick, and advances the library's clock as the response times of the other replicas allow.
    pub fn tick(&mut self) {
        let Core::Replicated(core) = &mut self.core else {
            return;
        };
        if self.pace.tick() {
            core.tick();
        }
    }

    /// Handles a re-established connection to a replica: earlier messages may be lost.
    pub fn on_reconnected(&mut self, replica: ReplicaId) {
        if let Core::Replicated(core) = &mut self.core {
            core.reconnected(replica.0);
        }
    }

    /// Takes the outgoing messages. They may be sent only once the storage's changes are on the disk.
    pub fn take_messages(&mut self) -> Vec<ConsensusMessage> {
        let Core::Replicated(core) = &mut self.core else {
            return Vec::new();
        };
        core.take_outgoing_messages(&mut self.outgoing);
        for message in &self.outgoing {
            self.pace.on_sent(message);
        }
        let messages = self.outgoing.drain(..);
        messages
            .map(|message| ConsensusMessage {
                to: ReplicaId(message.get_receiver()),
                body: postcard::to_stdvec(&message).unwrap_or_default(),
            })
            .collect()
    }

    /// Takes the commands decided since the last call.
    pub fn take_decided(&mut self) -> Vec<wire::Command> {
        match &self.core {
            Core::Single => {
                let state = self.storage.state();
                let entries = state.decided_since(self.taken_count);
                self.taken_count = state.decided();
                entries.iter().map(Entry::command).collect()
            }
            Core::Replicated(core) => {
                let decided = core.get_decided_idx();
                if decided <= self.taken_count {
                    return Vec::new();
                }
                let entries = core
                    .read_decided_suffix(self.taken_count)
                    .unwrap_or_default();
                self.taken_count = decided;
                entries.into_iter().filter_map(decided_command).collect()
            }
        }
    }

    /// The leader, if this replica knows it.
    pub fn leader(&self) -> Option<ReplicaId> {
        match &self.core {
            Core::Single => Some(self.storage.state().configuration.own),
            Core::Replicated(core) => core.get_current_leader().map(|(id, _)| ReplicaId(id)),
        }
    }
}

fn start_replicated(storage: &Storage) -> Result<OmniPaxos<Entry, Storage>, ConsensusError> {
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
            election_tick_timeout: ELECTION_TIMEOUT_TICKS,
            resend_message_tick_timeout: RESEND_TIMEOUT_TICKS,
            buffer_size: MESSAGE_BUFFER_SIZE,
            ..ServerConfig::default()
        };
        (cluster, server)
    };
    cluster
        .build_for_server(server, storage.clone())
        .map_err(|error| ConsensusError::Library(error.to_string()))
}

/// The command of an entry, if the entry is decided.
fn decided_command(entry: LogEntry<Entry>) -> Option<wire::Command> {
    match entry {
        LogEntry::Decided(entry) => Some(entry.command()),
        LogEntry::StopSign(..)
        | LogEntry::Undecided(_)
        | LogEntry::Trimmed(_)
        | LogEntry::Snapshotted(_) => None,
    }
}
