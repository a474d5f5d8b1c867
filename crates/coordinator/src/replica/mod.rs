//! One replica of the replicated state machine, free of I/O: messages, commands and sessions in; messages, responses and watch
//! events out. What goes out may leave only after the record of the same turn is on the disk.
//!
//! A turn is: [`Replica::advance_clock`], any number of inputs, [`Replica::end_turn`], then [`Replica::take_outputs`].

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

/// Without a decision for so long there is no quorum. The leader moves the agreed time on more often than that.
const MAX_DECISION_GAP: TimeDelta = TimeDelta::from_millis(3_000);

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
    /// When something was last decided.
    last_decided_at: Timestamp,
    /// When the leader's maintenance was last done here.
    maintained_at: Timestamp,
    /// When others were last asked for their configuration.
    members_read_at: Timestamp,
    /// When the end of the configuration was last proposed.
    end_proposed_at: Timestamp,
    has_announced_version: bool,
    /// The position of the next record.
    position: u64,
    is_outdated: bool,
}

impl Replica {
    /// Begins with the state that its log replayed to. `position`: of the next record.
    ///
    /// # Errors
    /// A number of replicas that cannot agree, or a configuration that the consensus library rejects.
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
            failure_detector: FailureDetector::new(settings.terms),
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
            maintained_at: now,
            members_read_at: Timestamp::ZERO,
            end_proposed_at: Timestamp::ZERO,
            has_announced_version: false,
            position,
            is_outdated: false,
        };
        replica.begin()?;
        Ok(replica)
    }

    // ---- status ----

    /// The replicated state as far as this replica has applied it.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// The number of the configuration that it is in; 0: none yet.
    pub fn configuration(&self) -> u32 {
        self.storage.state().configuration.number
    }

    /// Whether it takes part in the consensus.
    pub fn is_configured(&self) -> bool {
        self.configuration() > 0 && !self.is_outdated
    }

    /// Whether its disk is older than what it took part in; it then takes part no more.
    pub fn is_outdated(&self) -> bool {
        self.is_outdated
    }

    /// The slot of the leader, as far as it is known here.
    pub fn leader(&self) -> Option<Slot> {
        let leader = self.consensus.as_ref()?.leader()?;
        self.storage.state().configuration.slot_of(leader)
    }

    /// Whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        let leader = self.consensus.as_ref().and_then(Consensus::leader);
        leader == Some(self.own_id())
    }

    /// Whether something was decided lately, so that a quorum of replicas is up.
    pub fn has_quorum(&self) -> bool {
        self.configuration() > 0 && self.now - self.last_decided_at < MAX_DECISION_GAP
    }

    fn own_id(&self) -> ReplicaId {
        self.storage.state().configuration.own
    }

    /// What is stored, for a snapshot of the log.
    pub fn persisted_state(&self) -> PersistedState {
        self.storage.state().clone()
    }

    // ---- turns ----

    /// Moves the clock on; everything else of a turn happens at that time.
    pub fn advance_clock(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
    }

    /// Does what is due. To be called at regular intervals, which are the ticks of the consensus.
    pub fn tick(&mut self) {
        if self.is_outdated {
            return;
        }
        if let Some(consensus) = &mut self.consensus {
            consensus.tick();
        }
        self.request_overdue_messages();
        self.join();
        self.retry_pending();
        self.run_maintenance();
    }

    /// Ends a turn: applies what was decided. Returns the record that has to be on the disk before any output leaves.
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

    /// Takes the outputs, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Puts outputs back that were taken and are not to be sent yet.
    pub fn put_back(&mut self, outputs: Vec<Output>) {
        let later = std::mem::replace(&mut self.outputs, outputs);
        self.outputs.extend(later);
    }
}
