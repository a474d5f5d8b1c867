//! The agreement: a library's core, driven by messages, ticks and a store. No consensus of our own.
//!
//! Each configuration has a log of its own. It ends with a command that names the next one, and what it left is what the next one
//! begins with: so logs stay short, and a keeper that lost its disk comes back as a new member. The library's own stop signs are not
//! used: of 0.2.4, one that a new leader has to pass on is counted twice by a follower that holds it, and is never decided.

use crate::store::{Entry, Shelf};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use prost::Message as _;

/// Ticks without a leader's sign after which another is looked for, and after which messages go again.
const ELECTION: u64 = 5;
const RESEND: u64 = 10;

enum Core {
    /// One keeper agrees with itself.
    One,
    Many(Box<OmniPaxos<Entry, Shelf>>),
}

/// The agreement of one configuration, as one keeper takes part in it.
pub struct Agreement {
    core: Core,
    shelf: Shelf,
    /// Entries that were handed over.
    taken: usize,
    out: Vec<Message<Entry>>,
}

/// Why a configuration does not begin.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum AgreeError {
    /// A number of keepers that cannot agree.
    #[error("expected one, three or five keepers, found {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::count),
        help("with two the loss of either stops both; more than five cost more than they add")
    )]
    Count(usize),
    /// Refused by the library.
    #[error("configuration: {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::configuration),
        help("see the addresses and slots of the keepers' settings")
    )]
    Library(String),
}

impl Agreement {
    /// Takes part in the configuration that the shelf holds.
    pub fn begin(shelf: Shelf) -> Result<Agreement, AgreeError> {
        let configuration = shelf.0.borrow().kept().configuration.clone();
        let nodes: Vec<u64> = configuration.members.iter().map(|m| m.0).collect();
        let core = match nodes.len() {
            1 => Core::One,
            3 | 5 => {
                let cluster = ClusterConfig {
                    configuration_id: configuration.number,
                    nodes,
                    flexible_quorum: None,
                };
                let server = ServerConfig {
                    pid: configuration.own,
                    election_tick_timeout: ELECTION,
                    resend_message_tick_timeout: RESEND,
                    buffer_size: 10_000,
                    ..ServerConfig::default()
                };
                let built = cluster.build_for_server(server, shelf.clone());
                Core::Many(Box::new(
                    built.map_err(|e| AgreeError::Library(e.to_string()))?,
                ))
            }
            other => return Err(AgreeError::Count(other)),
        };
        Ok(Agreement {
            core,
            shelf,
            taken: 0,
            out: Vec::new(),
        })
    }

    /// Puts a command before the others. It may be lost on its way to the leader.
    pub fn propose(&mut self, command: &wire::Command) {
        let entry = Entry(command.encode_to_vec());
        match &mut self.core {
            Core::One => {
                let mut store = self.shelf.0.borrow_mut();
                let decided = store.kept().decided() + 1;
                store.put(crate::store::Op::Append(vec![entry]));
                store.put(crate::store::Op::Decided(decided));
            }
            // Refused only behind a stop sign, and there is none.
            Core::Many(core) => drop(core.append(entry)),
        }
    }

    /// A message of another keeper came.
    pub fn heard(&mut self, bytes: &[u8]) {
        let (Core::Many(core), Ok(message)) = (&mut self.core, postcard::from_bytes(bytes)) else {
            return;
        };
        core.handle_incoming(message);
    }
    /// Time passes.
    pub fn tick(&mut self) {
        if let Core::Many(core) = &mut self.core {
            core.tick();
        }
    }
    /// A connection to a keeper stands again: what went before may be lost.
    pub fn reconnected(&mut self, pid: u64) {
        if let Core::Many(core) = &mut self.core {
            core.reconnected(pid);
        }
    }

    /// Messages to go out, by keeper. They may leave once the store's changes are on the disk.
    pub fn messages(&mut self) -> Vec<(u64, Vec<u8>)> {
        let Core::Many(core) = &mut self.core else {
            return Vec::new();
        };
        core.take_outgoing_messages(&mut self.out);
        let bytes = |m: Message<Entry>| {
            (
                m.get_receiver(),
                postcard::to_stdvec(&m).unwrap_or_default(),
            )
        };
        self.out.drain(..).map(bytes).collect()
    }

    /// What was agreed on since the last call.
    pub fn decided(&mut self) -> Vec<wire::Command> {
        match &self.core {
            Core::One => {
                let store = self.shelf.0.borrow();
                let out = store.kept().since(self.taken);
                self.taken = store.kept().decided();
                out.iter().map(Entry::command).collect()
            }
            Core::Many(core) => {
                let decided = core.get_decided_idx();
                if decided <= self.taken {
                    return Vec::new();
                }
                let list = core.read_decided_suffix(self.taken).unwrap_or_default();
                self.taken = decided;
                list.into_iter().filter_map(of_log).collect()
            }
        }
    }

    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<u64> {
        match &self.core {
            Core::One => Some(self.shelf.0.borrow().kept().configuration.own),
            Core::Many(core) => core.get_current_leader().map(|(pid, _)| pid),
        }
    }
}

fn of_log(entry: LogEntry<Entry>) -> Option<wire::Command> {
    match entry {
        LogEntry::Decided(entry) => Some(entry.command()),
        LogEntry::StopSign(..)
        | LogEntry::Undecided(_)
        | LogEntry::Trimmed(_)
        | LogEntry::Snapshotted(_) => None,
    }
}
