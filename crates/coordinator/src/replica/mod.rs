//! One replica of the replicated state machine, without I/O. Its inputs are messages, commands and sessions; its outputs are
//! messages, responses and watch events. Outputs may be sent only after the record of the same turn is on the disk.
//!
//! A turn consists of [`Replica::advance_clock`], any number of inputs, [`Replica::end_turn`] and [`Replica::take_outputs`].

mod apply;
mod commands;
mod maintenance;
mod membership;
mod output;
mod peer_link;
mod peers;
mod pending;
mod reads;
mod sessions;
mod settings;
mod watchers;

pub use output::Output;
pub use settings::{ReplicaSettings, StartMode};

use crate::consensus::{is_valid_replica_count, Consensus, ConsensusError};
use crate::ids::{ReplicaId, RequesterId, Slot};
use crate::state::ReplicatedState;
use crate::storage::{encode_record, PersistedState, Storage};
use chalkdeck_leader_election::FailureDetector;
use chalkdeck_time::{TimeDelta, Timestamp};
use peers::Peers;
use pending::PendingCommands;
use rustc_hash::FxHashMap;
use sessions::SessionStream;

/// Without a decided command for this long the quorum counts as lost. The leader's advances of the agreed time are more frequent.
const QUORUM_TIMEOUT: TimeDelta = TimeDelta::from_millis(3_000);

/// One replica.
pub struct Replica {
    settings: ReplicaSettings,
    start_mode: StartMode,
    storage: Storage,
    consensus: Option<Consensus>,
    state: ReplicatedState,
    failure_detector: FailureDetector,
    now: Timestamp,
    pending: PendingCommands,
    streams: FxHashMap<RequesterId, SessionStream>,
    peers: Peers,
    outputs: Vec<Output>,
    /// When a command was last decided.
    last_decided_at: Timestamp,
    /// When this replica last did the leader's maintenance.
    last_maintenance_at: Timestamp,
    /// When the configuration was last requested from the other replicas.
    configuration_requested_at: Timestamp,
    /// When the end of the configuration was last proposed.
    next_configuration_proposed_at: Timestamp,
    has_announced_version: bool,
    /// The position of the next record.
    position: u64,
    is_outdated: bool,
}

impl Replica {
    /// Creates a replica from the state that its log was replayed to. `position` is that of the next record.
    ///
    /// # Errors
    /// If the number of replicas is not supported, or the consensus library rejects the configuration.
    pub fn new(
        settings: ReplicaSettings,
        state: PersistedState,
        position: u64,
        start_mode: StartMode,
        now: Timestamp,
    ) -> Result<Replica, ConsensusError> {
        let replica_count = settings.replica_count as usize;
        if !is_valid_replica_count(replica_count) {
            return Err(ConsensusError::ReplicaCount(replica_count));
        }
        let mut replica = Replica {
            failure_detector: FailureDetector::new(settings.lease_terms),
            settings,
            start_mode,
            storage: Storage::new(state),
            consensus: None,
            state: ReplicatedState::default(),
            now,
            pending: PendingCommands::default(),
            streams: FxHashMap::default(),
            peers: Peers::default(),
            outputs: Vec::new(),
            last_decided_at: now,
            last_maintenance_at: now,
            configuration_requested_at: Timestamp::ZERO,
            next_configuration_proposed_at: Timestamp::ZERO,
            has_announced_version: false,
            position,
            is_outdated: false,
        };
        replica.start()?;
        Ok(replica)
    }

    // ---- status ----

    /// The replicated state, up to the last command that this replica has applied.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// The number of the current configuration; 0 if there is none yet.
    pub fn configuration(&self) -> u32 {
        self.storage.state().configuration.number
    }

    /// Whether this replica takes part in the consensus.
    pub fn is_configured(&self) -> bool {
        self.configuration() > 0 && !self.is_outdated
    }

    /// Whether this replica was excluded, as its disk is an older copy or its member was replaced. It no longer takes part in the
    /// consensus.
    pub fn is_outdated(&self) -> bool {
        self.is_outdated
    }

    /// The slot of the leader, if this replica knows it.
    pub fn leader(&self) -> Option<Slot> {
        let leader = self.consensus.as_ref()?.leader()?;
        self.storage.state().configuration.slot_of(leader)
    }

    /// Whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        let leader = self.consensus.as_ref().and_then(Consensus::leader);
        leader == Some(self.own_id())
    }

    /// Whether a command was decided recently, which shows that a quorum of replicas is up.
    pub fn has_quorum(&self) -> bool {
        self.configuration() > 0 && self.now - self.last_decided_at < QUORUM_TIMEOUT
    }

    fn own_id(&self) -> ReplicaId {
        self.storage.state().configuration.own
    }

    /// A copy of the stored state, for a snapshot of the log.
    pub fn persisted_state(&self) -> PersistedState {
        self.storage.state().clone()
    }

    // ---- turns ----

    /// Advances the clock. All inputs of a turn are handled at this time.
    pub fn advance_clock(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
    }

    /// Does all work that is due. Must be called at regular intervals, which are the ticks of the consensus.
    pub fn tick(&mut self) {
        if self.is_outdated {
            return;
        }
        if let Some(consensus) = &mut self.consensus {
            consensus.tick();
        }
        self.request_overdue_runs();
        self.request_membership();
        self.retry_pending();
        self.run_maintenance();
    }

    /// Ends a turn: applies decided commands. Returns the record that must be on the disk before any output is sent.
    pub fn end_turn(&mut self) -> Option<Vec<u8>> {
        self.propose_renewals();
        self.apply_decided();
        self.notify_watchers();
        self.compact_log();
        self.send_consensus_messages();
        let changes = self.storage.take_changes();
        if changes.is_empty() {
            return None;
        }
        let record = encode_record(self.position, &changes);
        self.position += changes.len() as u64;
        Some(record)
    }

    /// Takes the outputs in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Puts taken outputs that are not to be sent yet back in front of the others.
    pub fn requeue_outputs(&mut self, outputs: Vec<Output>) {
        let newer_outputs = std::mem::replace(&mut self.outputs, outputs);
        self.outputs.extend(newer_outputs);
    }
}
