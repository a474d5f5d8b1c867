//! Ordered delivery of the messages between two replicas: the consensus library relies on each message being delivered exactly once
//! and in order.
//!
//! Messages of one *run* are numbered from 1. The network may lose, duplicate and reorder messages. If a message stays missing, the
//! receiver requests a new run, and both sides report a re-established connection to the library.

use crate::protocol::PeerMessage;
use chalkdeck_time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Maximum number of buffered messages that wait for an earlier one.
const MAX_OUT_OF_ORDER_MESSAGES: usize = 256;
/// How long a message may be missing before a new run is requested.
const GAP_TIMEOUT: TimeDelta = TimeDelta::from_millis(60);

/// One replica's end of the link to another.
#[derive(Debug, Default)]
pub(super) struct PeerLink {
    /// The run of sent messages (0 if none was sent yet), and the number of its last message.
    sent_run: u64,
    sent_number: u64,
    /// The run of received messages, and the number of the next message to deliver.
    received_run: u64,
    next_number: u64,
    /// Received messages that wait for an earlier one, by number.
    out_of_order: BTreeMap<u64, PeerMessage>,
    /// When the delivery became blocked by a missing message, or when a new run was last requested for it.
    gap_since: Option<Timestamp>,
}

/// The result of receiving a message.
#[derive(Debug, Default)]
pub(super) struct Delivery {
    /// Bodies for the consensus library, in order.
    pub(super) bodies: Vec<Vec<u8>>,
    /// Whether a new run began, so that messages of the previous one may be lost.
    pub(super) is_new_run: bool,
    /// The run that the sender is to be asked to replace by a new one.
    pub(super) run_to_reset: Option<u64>,
}

impl PeerLink {
    /// Assigns a run and a number to a message that is sent. `first_run` is the first run after this start of the replica.
    pub(super) fn assign_number(&mut self, first_run: u64, message: &mut PeerMessage) {
        if self.sent_run == 0 {
            self.sent_run = first_run;
        }
        self.sent_number += 1;
        message.run = self.sent_run;
        message.number = self.sent_number;
    }

    /// Handles the receiver's request for a new run in place of `run`. Returns whether that is the current run, which then ends.
    pub(super) fn reset(&mut self, run: u64) -> bool {
        let is_current = run == self.sent_run && run != 0;
        if is_current {
            // Not used before: run numbers of one start increase, and those of two starts are far apart.
            self.sent_run = self.sent_run.wrapping_add(1).max(1);
            self.sent_number = 0;
        }
        is_current
    }

    /// Receives a message, and delivers it and its successors if no earlier message is missing.
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
            self.buffer_out_of_order(message, now);
            return delivery;
        }
        self.deliver(message, &mut delivery);
        while let Some(next) = self.out_of_order.remove(&self.next_number) {
            self.deliver(next, &mut delivery);
        }
        self.gap_since = (!self.out_of_order.is_empty()).then_some(now);
        delivery
    }

    fn begin_run(&mut self, run: u64) {
        self.received_run = run;
        self.next_number = 1;
        self.gap_since = None;
        self.out_of_order.clear();
    }

    fn buffer_out_of_order(&mut self, message: PeerMessage, now: Timestamp) {
        self.gap_since.get_or_insert(now);
        if self.out_of_order.len() < MAX_OUT_OF_ORDER_MESSAGES {
            self.out_of_order.insert(message.number, message);
        }
    }

    fn deliver(&mut self, message: PeerMessage, delivery: &mut Delivery) {
        self.next_number += 1;
        delivery.bodies.push(message.body);
    }

    /// The current run of received messages if a message of it has been missing for too long, so that a new run is to be requested.
    pub(super) fn overdue_run(&mut self, now: Timestamp) -> Option<u64> {
        let is_overdue = self
            .gap_since
            .is_some_and(|since| now >= since + GAP_TIMEOUT);
        if !is_overdue {
            return None;
        }
        self.gap_since = Some(now);
        Some(self.received_run)
    }
}

#[cfg(test)]
mod tests;
