//! Messages to and from the other replicas.

use super::peer_link::PeerLink;
use super::{Output, Replica};
use crate::consensus::ConsensusMessage;
use crate::ids::ReplicaId;
use crate::protocol::PeerMessage;
use crate::state::PROTOCOL_VERSION;
use chalkdeck_time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Spreads incarnations over all bits, so that the first runs of two starts differ.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bits of a run's number below the epoch.
const EPOCH_SHIFT: u32 = 20;

/// Links to the other replicas, and when each was last heard.
#[derive(Debug, Default)]
pub(super) struct Peers {
    links: BTreeMap<ReplicaId, PeerLink>,
    last_heard: BTreeMap<ReplicaId, Timestamp>,
}

impl Peers {
    /// Begins all links anew, as those of another configuration.
    pub(super) fn clear_links(&mut self) {
        self.links.clear();
    }

    fn heard(&mut self, id: ReplicaId, now: Timestamp) {
        self.last_heard.insert(id, now);
    }

    pub(super) fn was_heard_within(&self, id: ReplicaId, span: TimeDelta, now: Timestamp) -> bool {
        self.last_heard.get(&id).is_some_and(|at| now < *at + span)
    }

    fn link(&mut self, id: ReplicaId) -> &mut PeerLink {
        self.links.entry(id).or_default()
    }

    /// Runs in which a message is overdue, with their senders.
    fn overdue_runs(&mut self, now: Timestamp) -> Vec<(ReplicaId, u64)> {
        let links = self.links.iter_mut();
        links
            .filter_map(|(id, link)| Some((*id, link.overdue_run(now)?)))
            .collect()
    }
}

impl Replica {
    /// Takes another replica's message in.
    pub fn receive_from_peer(&mut self, message: &PeerMessage) {
        let from = ReplicaId(message.from);
        // From a disk that is older than what was decided: its promises are forgotten, so nothing that it says counts.
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
        self.peers.heard(from, self.now);
        if message.reset_run != 0 {
            self.receive_reset(from, message.reset_run);
        } else {
            self.receive_in_order(from, message);
        }
    }

    /// The other replica misses a message of a run.
    fn receive_reset(&mut self, from: ReplicaId, run: u64) {
        let Some(consensus) = &mut self.consensus else {
            return;
        };
        if self.peers.link(from).reset(run) {
            consensus.reconnected(from);
        }
    }

    fn receive_in_order(&mut self, from: ReplicaId, message: &PeerMessage) {
        let Some(consensus) = &mut self.consensus else {
            return;
        };
        let delivery = self.peers.link(from).receive(message.clone(), self.now);
        if delivery.is_new_run {
            consensus.reconnected(from);
        }
        for body in &delivery.bodies {
            consensus.receive(body);
        }
        if let Some(run) = delivery.run_to_reset {
            self.request_reset(from, run);
        }
    }

    /// Asks another replica to begin its run of messages anew.
    fn request_reset(&mut self, to: ReplicaId, run: u64) {
        let message = PeerMessage {
            reset_run: run,
            ..self.message_to(to)
        };
        let slot = self.storage.state().configuration.slot_of(to);
        if let Some(slot) = slot {
            self.outputs.push(Output::Peer(slot, Box::new(message)));
        }
    }

    /// Asks for runs anew in which a message is overdue.
    pub(super) fn request_overdue_messages(&mut self) {
        for (id, run) in self.peers.overdue_runs(self.now) {
            self.request_reset(id, run);
        }
    }

    /// Sends the messages of the consensus.
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
            ..self.message_to(message.to)
        };
        let first_run = self.settings.incarnation.wrapping_mul(SEED_MULTIPLIER)
            ^ (self.settings.epoch << EPOCH_SHIFT);
        self.peers.link(message.to).number(first_run, &mut envelope);
        self.outputs.push(Output::Peer(slot, Box::new(envelope)));
    }

    /// A message to another replica without a body.
    fn message_to(&self, to: ReplicaId) -> PeerMessage {
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
