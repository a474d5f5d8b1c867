//! Membership: how a replica joins a configuration, moves to the next one, and replaces a member that lost its disk.

use super::{Output, Replica, StartMode};
use crate::consensus::{Consensus, ConsensusError};
use crate::ids::{ReplicaId, Slot};
use crate::protocol::{wire, CommandKind, PeerMessage, ReadKind, ReadRequest, ReadResponse};
use crate::state::ReplicatedState;
use crate::storage::{Configuration, ConfigurationMember, StorageChange};
use chalkdeck_time::TimeDelta;

/// How often a replica without a configuration requests one.
const JOIN_RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(1_000);
/// How often a replica that missed the end of its configuration requests the next one.
const CATCH_UP_RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(250);
/// How often the end of the configuration is proposed until it is decided.
const NEXT_CONFIGURATION_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// A member is replaced only if no message of it was received for this long.
const MIN_SILENCE_BEFORE_REPLACEMENT: TimeDelta = TimeDelta::from_millis(3_000);
/// The id of a replacement is a multiple of this plus its slot; slots are always below it.
const IDS_PER_CONFIGURATION: u64 = 16;

impl Replica {
    // ---- start ----

    /// Starts in the stored configuration, or creates the first one in bootstrap mode.
    pub(super) fn start(&mut self) -> Result<(), ConsensusError> {
        let stored = self.storage.state().configuration.clone();
        if stored.number == 0 {
            if self.start_mode != StartMode::Bootstrap {
                return Ok(());
            }
            self.enter(self.first_configuration())?;
        } else {
            self.consensus = Some(Consensus::start(self.storage.clone())?);
            self.state = initial_state(&stored);
        }
        self.apply_decided();
        let renewals = self.state.sessions().map(super::apply::last_renewal);
        self.failure_detector.reset(renewals, self.now);
        Ok(())
    }

    fn first_configuration(&self) -> Configuration {
        let slots = 1..=self.settings.replica_count;
        let member = |slot: u32| ConfigurationMember {
            id: ReplicaId(u64::from(slot)),
            slot: Slot(slot),
            incarnation: 0,
        };
        Configuration {
            number: 1,
            own: ReplicaId(u64::from(self.settings.slot.0)),
            members: slots.map(member).collect(),
            base: Vec::new(),
        }
    }

    /// Enters a configuration with an empty log and the final state of the previous one. Pending commands are proposed again in it.
    fn enter(&mut self, configuration: Configuration) -> Result<(), ConsensusError> {
        let state = initial_state(&configuration);
        self.storage
            .change(StorageChange::BeginConfiguration(configuration));
        self.peers.clear_links();
        self.consensus = Some(Consensus::start(self.storage.clone())?);
        self.state = state;
        for session in self.state.sessions() {
            self.failure_detector
                .record_renewal(super::apply::last_renewal(session), self.now);
        }
        self.has_announced_version = false;
        Ok(())
    }

    /// Enters a configuration. Logs a failure; the replica then does not take part in the consensus.
    fn enter_or_log_error(&mut self, configuration: Configuration) {
        let number = configuration.number;
        match self.enter(configuration) {
            Ok(()) => tracing::info!(configuration = number, "configuration entered"),
            Err(error) => {
                tracing::error!(configuration = number, %error, "configuration not entered");
            }
        }
    }

    // ---- joining and catching up ----

    /// Requests a place in the configuration if this replica has none, at most once per [`JOIN_RETRY_INTERVAL`].
    pub(super) fn request_membership(&mut self) {
        if self.configuration() > 0
            || self.now < self.configuration_requested_at + JOIN_RETRY_INTERVAL
        {
            return;
        }
        self.request_configuration(self.settings.slot);
    }

    /// Handles a message of a later configuration: this replica missed the end of its own configuration and requests the later one.
    /// It keeps its id there, as its disk is intact.
    pub(super) fn catch_up(&mut self, message: &PeerMessage) {
        let is_for_this_replica = message.to == self.own_id().0;
        let is_due = self.now >= self.configuration_requested_at + CATCH_UP_RETRY_INTERVAL;
        if self.configuration() > 0 && is_due && is_for_this_replica {
            self.request_configuration(Slot(0));
        }
    }

    /// Requests the configuration from all other replicas. `requested_slot` is the slot in which this replica asks to become a member;
    /// 0 if it does not.
    fn request_configuration(&mut self, requested_slot: Slot) {
        self.configuration_requested_at = self.now;
        let request = ReadRequest {
            kind: ReadKind::Members as i32,
            slot: requested_slot.0,
            incarnation: self.settings.incarnation,
            configuration: self.configuration(),
            ..ReadRequest::default()
        };
        let own_slot = self.settings.slot;
        let slots = (1..=self.settings.replica_count).map(Slot);
        let others = slots.filter(|slot| *slot != own_slot);
        self.outputs
            .extend(others.map(|slot| Output::ReadMembers(slot, request.clone())));
    }

    /// Handles the configuration of another replica, and enters it if it is later than this replica's own and has this replica as a
    /// member.
    pub fn receive_members(&mut self, response: &ReadResponse) {
        if response.configuration <= self.configuration() {
            return;
        }
        let Some(own) = response.members.iter().find(|m| self.is_this_replica(m)) else {
            return;
        };
        // Messages to members are addressed by slot, so each slot must be in the address list.
        if !self.are_slots_valid(&response.members) {
            tracing::warn!(
                configuration = response.configuration,
                "configuration ignored: a member has no slot of the replica list"
            );
            return;
        }
        // Each configuration after the first begins with a state.
        if response.configuration > 1 && response.base.is_empty() {
            return;
        }
        let members = response.members.iter();
        self.enter_or_log_error(Configuration {
            number: response.configuration,
            own: ReplicaId(own.id),
            members: members.map(ConfigurationMember::from).collect(),
            base: response.base.clone(),
        });
    }

    fn are_slots_valid(&self, members: &[wire::Member]) -> bool {
        let replica_count = self.settings.replica_count as usize;
        let mut slots = members.iter().map(|member| member.slot);
        slots.all(|slot| Slot::from_number(slot, replica_count).is_some())
    }

    /// Whether a member of a later configuration is this replica: by incarnation if this one has no configuration, else by id.
    fn is_this_replica(&self, member: &wire::Member) -> bool {
        let has_own_identity = if self.configuration() == 0 {
            member.incarnation == self.settings.incarnation
        } else {
            member.id == self.own_id().0
        };
        member.slot == self.settings.slot.0 && has_own_identity
    }

    // ---- the next configuration ----

    /// Handles the request of a replica with an empty disk to replace the member in its slot.
    pub(super) fn handle_membership_request(&mut self, slot: Slot, incarnation: u64) {
        let (number, own, mut members) = {
            let stored = self.storage.state();
            let configuration = &stored.configuration;
            (
                configuration.number + 1,
                configuration.own,
                configuration.members.clone(),
            )
        };
        let Some(member) = members.iter_mut().find(|m| m.slot == slot) else {
            return;
        };
        let is_silent = !self.peers.has_sent_message_within(
            member.id,
            MIN_SILENCE_BEFORE_REPLACEMENT,
            self.now,
        );
        if member.incarnation == incarnation || !is_silent || member.id == own {
            return;
        }
        // Unique, as it contains the number of the configuration.
        let id = u64::from(number) * IDS_PER_CONFIGURATION + u64::from(slot.0);
        *member = ConfigurationMember {
            id: ReplicaId(id),
            slot,
            incarnation,
        };
        tracing::warn!(
            slot = slot.0,
            "replica without its disk joins as a new member"
        );
        self.propose_next_configuration(number, &members);
    }

    /// Proposes the command that ends this configuration and begins the next one.
    fn propose_next_configuration(&mut self, next_number: u32, members: &[ConfigurationMember]) {
        if self.now < self.next_configuration_proposed_at + NEXT_CONFIGURATION_INTERVAL {
            return;
        }
        self.next_configuration_proposed_at = self.now;
        let members = members.iter().map(|m| m.to_wire(wire::Member::default()));
        let next = wire::NextConfiguration {
            configuration: next_number,
            members: members.collect(),
        };
        let command = wire::Command {
            kind: Some(CommandKind::NextConfiguration(next)),
            ..wire::Command::default()
        };
        if let Some(consensus) = &mut self.consensus {
            consensus.propose(&command);
        }
    }

    /// Enters the next configuration that was decided, with the state of this replica.
    pub(super) fn enter_next_configuration(&mut self, next: Configuration) {
        let slot = self.settings.slot;
        let own = self.own_id();
        let own_member = next.members.iter().find(|m| m.slot == slot);
        if own_member.is_some_and(|member| member.id == own) {
            let base = self.state.to_bytes();
            return self.enter_or_log_error(Configuration { own, base, ..next });
        }
        // The member was replaced after a replica in this slot started without its disk; now the original disk is back.
        tracing::error!(
            slot = slot.0,
            "this replica's place was given to a new member: empty its folder to join again"
        );
        self.consensus = None;
        self.is_outdated = true;
    }

    /// Ends a configuration whose log has exceeded its maximum length; the next one begins with a snapshot of the state.
    pub(super) fn compact_log(&mut self) {
        let is_leader = self.is_leader();
        let (number, own, members) = {
            let stored = self.storage.state();
            if stored.len() <= self.settings.max_log_entries {
                return;
            }
            let configuration = &stored.configuration;
            (
                configuration.number + 1,
                configuration.own,
                configuration.members.clone(),
            )
        };
        if members.len() == 1 {
            let base = self.state.to_bytes();
            return self.enter_or_log_error(Configuration {
                number,
                own,
                members,
                base,
            });
        }
        if is_leader {
            self.propose_next_configuration(number, &members);
        }
    }
}

/// The state at the beginning of a configuration, with the configuration's members.
fn initial_state(configuration: &Configuration) -> ReplicatedState {
    let mut state = ReplicatedState::from_bytes(&configuration.base).unwrap_or_default();
    let member = |member: &ConfigurationMember| {
        let stored_member = state.member(member.id).copied().unwrap_or_default();
        member.to_wire(stored_member)
    };
    let members: Vec<wire::Member> = configuration.members.iter().map(member).collect();
    state.begin_configuration(configuration.number, members);
    state
}
