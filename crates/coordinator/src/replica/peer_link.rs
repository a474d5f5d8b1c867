//! Order of the messages between two replicas: the consensus core rests on each being delivered once, after all before it.
//!
//! Messages of one *run* are numbered from 1. Over a network that loses, repeats and reorders messages, one that stays missing ends
//! the run: the receiver asks for another, and both sides tell the core that the connection was established again.

use crate::protocol::PeerMessage;
use chalkdeck_time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Messages that are held back until an earlier one is received.
const MAX_EARLY: usize = 256;
/// How long an earlier message is waited for.
const MAX_GAP: TimeDelta = TimeDelta::from_millis(60);

/// One replica's end of the link to another.
#[derive(Debug, Default)]
pub(super) struct PeerLink {
    /// The run that is sent (0: none yet), and its last number.
    sent_run: u64,
    sent_number: u64,
    /// The run that is received, and its next number.
    received_run: u64,
    next_number: u64,
    early: BTreeMap<u64, PeerMessage>,
    /// Since when an earlier message is missing.
    gap_since: Option<Timestamp>,
}

/// The outcome of a message that was received.
#[derive(Debug, Default)]
pub(super) struct Delivery {
    /// Bodies for the consensus core, in order.
    pub(super) bodies: Vec<Vec<u8>>,
    /// Another run began: messages before may be lost.
    pub(super) is_new_run: bool,
    /// The sender is asked to begin another run in the place of this one.
    pub(super) run_to_reset: Option<u64>,
}

impl PeerLink {
    /// Numbers a message that is sent. `first_run`: the first run of this start of the replica.
    pub(super) fn number(&mut self, first_run: u64, message: &mut PeerMessage) {
        if self.sent_run == 0 {
            self.sent_run = first_run;
        }
        self.sent_number += 1;
        message.run = self.sent_run;
        message.number = self.sent_number;
    }

    /// The receiver misses a message of a run; returns whether that is the present one, which is then over.
    pub(super) fn reset(&mut self, run: u64) -> bool {
        let is_present = run == self.sent_run && run != 0;
        if is_present {
            // Never one that was used: runs of one start grow, and those of two starts are far from each other.
            self.sent_run = self.sent_run.wrapping_add(1).max(1);
            self.sent_number = 0;
        }
        is_present
    }

    /// Takes a message in.
    pub(super) fn receive(&mut self, message: PeerMessage, now: Timestamp) -> Delivery {
        let mut delivery = Delivery::default();
        if message.run != self.received_run {
            if message.number != 1 {
                delivery.run_to_reset = Some(message.run);
                return delivery;
            }
            self.begin_run(message.run);
            delivery.is_new_run = true;
        }
        if message.number < self.next_number {
            return delivery;
        }
        if message.number > self.next_number {
            self.hold_back(message, now);
            return delivery;
        }
        self.deliver(message, &mut delivery);
        while let Some(next) = self.early.remove(&self.next_number) {
            self.deliver(next, &mut delivery);
        }
        self.gap_since = (!self.early.is_empty()).then_some(now);
        delivery
    }

    fn begin_run(&mut self, run: u64) {
        self.received_run = run;
        self.next_number = 1;
        self.gap_since = None;
        self.early.clear();
    }

    fn hold_back(&mut self, message: PeerMessage, now: Timestamp) {
        self.gap_since.get_or_insert(now);
        if self.early.len() < MAX_EARLY {
            self.early.insert(message.number, message);
        }
    }

    fn deliver(&mut self, message: PeerMessage, delivery: &mut Delivery) {
        self.next_number += 1;
        delivery.bodies.push(message.body);
    }

    /// The run that is to be begun anew, as a message has been missing for too long.
    pub(super) fn overdue_run(&mut self, now: Timestamp) -> Option<u64> {
        let is_overdue = self.gap_since.is_some_and(|since| now >= since + MAX_GAP);
        if !is_overdue {
            return None;
        }
        self.gap_since = Some(now);
        Some(self.received_run)
    }
}

#[cfg(test)]
mod tests;
