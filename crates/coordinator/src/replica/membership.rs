//! Configurations: how a replica comes to one, how it goes on to the next, and how it replaces one that lost its disk.

use super::{Output, Replica, StartMode};
use crate::consensus::{Consensus, ConsensusError};
use crate::ids::{ReplicaId, Slot};
use crate::protocol::{wire, CommandKind, PeerMessage, ReadKind, ReadRequest, ReadResponse};
use crate::state::ReplicatedState;
use crate::storage::{Configuration, ConfigurationMember, StorageChange};
use chalkdeck_time::TimeDelta;

/// How often a replica without a configuration asks for one.
const JOIN_INTERVAL: TimeDelta = TimeDelta::from_millis(1_000);
/// How often a replica that has missed the end of its configuration asks for the next one.
const CATCH_UP_INTERVAL: TimeDelta = TimeDelta::from_millis(250);
/// How often the end of a configuration is proposed.
const END_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// A replica is replaced only if it was not heard for so long.
const MIN_SILENCE: TimeDelta = TimeDelta::from_millis(3_000);
/// Ids of replacements are multiples of this plus the slot; more slots than this do not exist.
const IDS_PER_CONFIGURATION: u64 = 16;

impl Replica {
    // ---- beginning ----

    /// Takes part in the stored configuration, or creates the first one if it is told to bootstrap.
    pub(super) fn begin(&mut self) -> Result<(), ConsensusError> {
        let stored = self.storage.state().configuration.clone();
        if stored.number == 0 {
            if self.start_mode != StartMode::Bootstrap {
                return Ok(());
            }
            self.enter(self.first_configuration())?;
        } else {
            self.consensus = Some(Consensus::begin(self.storage.clone())?);
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

    /// Enters a configuration with an empty log and the state that the last one left.
    fn enter(&mut self, configuration: Configuration) -> Result<(), ConsensusError> {
        let state = initial_state(&configuration);
        self.storage
            .change(StorageChange::BeginConfiguration(configuration));
        self.peers.clear_links();
        self.consensus = Some(Consensus::begin(self.storage.clone())?);
        self.state = state;
        for session in self.state.sessions() {
            self.failure_detector
                .record_renewal(super::apply::last_renewal(session), self.now);
        }
        self.has_announced_version = false;
        Ok(())
    }

    /// Enters a configuration; pending commands are proposed again in it. A failure is logged: the replica then takes no part.
    fn enter_or_log(&mut self, configuration: Configuration) {
        let number = configuration.number;
        match self.enter(configuration) {
            Ok(()) => tracing::info!(configuration = number, "configuration entered"),
            Err(error) => {
                tracing::error!(configuration = number, %error, "configuration not entered");
            }
        }
    }

    // ---- joining and catching up ----

    /// Asks for a configuration if there is none.
    pub(super) fn join(&mut self) {
        if self.configuration() > 0 || self.now < self.members_read_at + JOIN_INTERVAL {
            return;
        }
        self.read_members(self.settings.slot);
    }

    /// Another replica is in a later configuration: this one has missed the end of its own. It goes on there with the same id, as
    /// its disk is whole.
    pub(super) fn catch_up(&mut self, message: &PeerMessage) {
        let is_own = message.to == self.own_id().0;
        let is_due = self.now >= self.members_read_at + CATCH_UP_INTERVAL;
        if self.configuration() > 0 && is_due && is_own {
            self.read_members(Slot(0));
        }
    }

    /// Asks all others for their configuration. `requested_slot`: where a place is wanted; 0: none is.
    fn read_members(&mut self, requested_slot: Slot) {
        self.members_read_at = self.now;
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

    /// Takes in which configuration another replica is in.
    pub fn receive_members(&mut self, response: &ReadResponse) {
        if response.configuration <= self.configuration() {
            return;
        }
        let Some(own) = response.members.iter().find(|m| self.is_own_place(m)) else {
            return;
        };
        // Members are sent to by their slots.
        if !self.are_slots_valid(&response.members) {
            tracing::warn!(
                configuration = response.configuration,
                "configuration ignored: a member has no slot of the replica list"
            );
            return;
        }
        // A configuration after the first begins with a state.
        if response.configuration > 1 && response.base.is_empty() {
            return;
        }
        let members = response.members.iter();
        self.enter_or_log(Configuration {
            number: response.configuration,
            own: ReplicaId(own.id),
            members: members.map(ConfigurationMember::from).collect(),
            base: response.base.clone(),
        });
    }

    fn are_slots_valid(&self, members: &[wire::Member]) -> bool {
        let replica_count = self.settings.replica_count as usize;
        let mut slots = members.iter().map(|member| member.slot);
        slots.all(|slot| Slot::checked(slot, replica_count).is_some())
    }

    /// Whether a member of a later configuration is this replica.
    fn is_own_place(&self, member: &wire::Member) -> bool {
        let is_known = if self.configuration() == 0 {
            member.incarnation == self.settings.incarnation
        } else {
            member.id == self.own_id().0
        };
        member.slot == self.settings.slot.0 && is_known
    }

    // ---- the next configuration ----

    /// A replica asks for the place of one in the same slot that lost its disk.
    pub(super) fn membership_requested(&mut self, slot: Slot, incarnation: u64) {
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
        let is_silent = !self
            .peers
            .was_heard_within(member.id, MIN_SILENCE, self.now);
        if member.incarnation == incarnation || !is_silent || member.id == own {
            return;
        }
        // Never used before, as it grows with the configurations.
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
        self.propose_end(number, &members);
    }

    /// Proposes the end of this configuration, and the next one.
    fn propose_end(&mut self, next_number: u32, members: &[ConfigurationMember]) {
        if self.now < self.end_proposed_at + END_INTERVAL {
            return;
        }
        self.end_proposed_at = self.now;
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

    /// Enters the configuration that the decided end of this one names, with the state of this replica.
    pub(super) fn enter_next_configuration(&mut self, next: Configuration) {
        let slot = self.settings.slot;
        let own = self.own_id();
        let place = next.members.iter().find(|m| m.slot == slot);
        if place.is_some_and(|member| member.id == own) {
            let base = self.state.to_bytes();
            return self.enter_or_log(Configuration { own, base, ..next });
        }
        // This replica lost its disk once, and is back with it.
        tracing::error!(
            slot = slot.0,
            "this replica's place was given to a new member: empty its folder to join again"
        );
        self.consensus = None;
        self.is_outdated = true;
    }

    /// Ends a configuration whose log has grown, so that another one begins with the state.
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
            return self.enter_or_log(Configuration {
                number,
                own,
                members,
                base,
            });
        }
        if is_leader {
            self.propose_end(number, &members);
        }
    }
}

/// The state that a configuration begins with, with its members.
fn initial_state(configuration: &Configuration) -> ReplicatedState {
    let mut state = ReplicatedState::from_bytes(&configuration.base).unwrap_or_default();
    let member = |member: &ConfigurationMember| {
        let before = state.member(member.id).copied().unwrap_or_default();
        member.to_wire(before)
    };
    let members: Vec<wire::Member> = configuration.members.iter().map(member).collect();
    state.begin_configuration(configuration.number, members);
    state
}
