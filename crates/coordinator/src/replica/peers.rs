//! Messages to and from the other replicas.

use super::peer_link::PeerLink;
use super::{Output, Replica};
use crate::consensus::ConsensusMessage;
use crate::ids::ReplicaId;
use crate::protocol::PeerMessage;
use crate::state::PROTOCOL_VERSION;
use chalkdeck_time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Multiplier that spreads incarnations over all bits, so that the first runs of two incarnations are far apart.
const INCARNATION_HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of low bits of a run that are left for the runs of one epoch.
const RUN_EPOCH_SHIFT: u32 = 20;

/// Links to the other replicas, and when a message of each was last received.
#[derive(Debug, Default)]
pub(super) struct Peers {
    links: BTreeMap<ReplicaId, PeerLink>,
    last_message_at: BTreeMap<ReplicaId, Timestamp>,
}

impl Peers {
    /// Resets all links, for a new configuration.
    pub(super) fn clear_links(&mut self) {
        self.links.clear();
    }

    fn record_message(&mut self, id: ReplicaId, now: Timestamp) {
        self.last_message_at.insert(id, now);
    }

    /// Whether a message of a replica was received within the last `span`.
    pub(super) fn has_sent_message_within(
        &self,
        id: ReplicaId,
        span: TimeDelta,
        now: Timestamp,
    ) -> bool {
        self.last_message_at
            .get(&id)
            .is_some_and(|at| now < *at + span)
    }

    fn link(&mut self, id: ReplicaId) -> &mut PeerLink {
        self.links.entry(id).or_default()
    }

    /// Runs with an overdue message, with their senders.
    fn overdue_runs(&mut self, now: Timestamp) -> Vec<(ReplicaId, u64)> {
        let links = self.links.iter_mut();
        links
            .filter_map(|(id, link)| Some((*id, link.overdue_run(now)?)))
            .collect()
    }
}

impl Replica {
    /// Handles another replica's message.
    pub fn receive_from_peer(&mut self, message: &PeerMessage) {
        let from = ReplicaId(message.from);
        // A smaller epoch than the decided one: the sender runs on an older copy of its disk, which lacks promises that it made, so its
        // messages are ignored.
        let known_epoch = self.state.member(from).map_or(0, |m| m.epoch);
        if message.epoch < known_epoch {
            return;
        }
        let configuration = self.configuration();
        if message.configuration != configuration || message.to != self.own_id().0 {
            if message.configuration > configuration {
                self.catch_up(message);
            }
            return;
        }
        self.peers.record_message(from, self.now);
        if message.reset_run != 0 {
            self.receive_reset(from, message.reset_run);
        } else {
            self.receive_in_order(from, message);
        }
    }

    /// Handles another replica's request for a new run.
    fn receive_reset(&mut self, from: ReplicaId, run: u64) {
        let Some(consensus) = &mut self.consensus else {
            return;
        };
        if self.peers.link(from).reset(run) {
            consensus.on_reconnected(from);
        }
    }

    fn receive_in_order(&mut self, from: ReplicaId, message: &PeerMessage) {
        let Some(consensus) = &mut self.consensus else {
            return;
        };
        let delivery = self.peers.link(from).receive(message.clone(), self.now);
        if delivery.is_new_run {
            consensus.on_reconnected(from);
        }
        for body in &delivery.bodies {
            consensus.receive(body);
        }
        if let Some(run) = delivery.run_to_reset {
            self.request_reset(from, run);
        }
    }

    /// Asks another replica to start a new run in place of `run`.
    fn request_reset(&mut self, to: ReplicaId, run: u64) {
        let message = PeerMessage {
            reset_run: run,
            ..self.envelope_to(to)
        };
        let slot = self.storage.state().configuration.slot_of(to);
        if let Some(slot) = slot {
            self.outputs.push(Output::Peer(slot, Box::new(message)));
        }
    }

    /// Requests a new run for each run with an overdue message.
    pub(super) fn request_overdue_runs(&mut self) {
        for (id, run) in self.peers.overdue_runs(self.now) {
            self.request_reset(id, run);
        }
    }

    /// Sends the outgoing consensus messages.
    pub(super) fn send_consensus_messages(&mut self) {
        let Some(consensus) = &mut self.consensus else {
            return;
        };
        for message in consensus.take_messages() {
            self.send_consensus_message(message);
        }
    }

    fn send_consensus_message(&mut self, message: ConsensusMessage) {
        let slot = self.storage.state().configuration.slot_of(message.to);
        let Some(slot) = slot.filter(|_| !self.is_outdated) else {
            return;
        };
        let mut envelope = PeerMessage {
            body: message.body,
            ..self.envelope_to(message.to)
        };
        let first_run = self
            .settings
            .incarnation
            .wrapping_mul(INCARNATION_HASH_MULTIPLIER)
            ^ (self.settings.epoch << RUN_EPOCH_SHIFT);
        self.peers
            .link(message.to)
            .assign_number(first_run, &mut envelope);
        self.outputs.push(Output::Peer(slot, Box::new(envelope)));
    }

    /// An envelope to another replica, without a body.
    fn envelope_to(&self, to: ReplicaId) -> PeerMessage {
        PeerMessage {
            configuration: self.configuration(),
            from: self.own_id().0,
            to: to.0,
            slot: self.settings.slot.0,
            incarnation: self.settings.incarnation,
            protocol_version: PROTOCOL_VERSION,
            epoch: self.settings.epoch,
            ..PeerMessage::default()
        }
    }
}
