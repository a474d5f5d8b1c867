//! Adapts the consensus library's clock to the response times of the other replicas.
//!
//! The library elects a leader in heartbeat rounds of a fixed number of its ticks, and ignores replies to earlier rounds. Replicas that
//! always reply later than that would never elect a leader. So the response times are measured over any number of rounds, and the
//! library's clock advances slowly enough that a quorum can reply within one round.

use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use omnipaxos::messages::Message;
use omnipaxos::util::NodeId;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Maximum number of rounds whose replies are recognized.
const MAX_MEASURED_ROUNDS: usize = 256;
/// Maximum number of ticks for which the library's clock stands still.
const MAX_TICKS_PER_STEP: u64 = 50;
/// With each reply, the remembered response time of a replica decreases by this fraction, unless the reply took longer.
const RESPONSE_TIME_DECAY_DIVISOR: u64 = 8;

/// A heartbeat round of this replica.
struct Round {
    number: u32,
    /// The tick at which it began.
    began_at: u64,
}

/// Decides at which ticks the library's clock advances.
pub(super) struct HeartbeatPace {
    /// The library's ticks in one round.
    ticks_per_round: u64,
    /// The number of other replicas that form a quorum with this one.
    quorum_peers: usize,
    /// The number of ticks until now.
    now: u64,
    stepped_at: u64,
    /// The last rounds, the latest last.
    rounds: VecDeque<Round>,
    /// The longest of the recent response times of each replica in ticks, which decays.
    response_times: FxHashMap<NodeId, u64>,
}

impl HeartbeatPace {
    pub(super) fn new(ticks_per_round: u64, replica_count: usize) -> HeartbeatPace {
        HeartbeatPace {
            ticks_per_round,
            quorum_peers: replica_count / 2,
            now: 0,
            stepped_at: 0,
            rounds: VecDeque::new(),
            response_times: FxHashMap::default(),
        }
    }

    /// Counts a tick. Returns whether the library's clock advances.
    pub(super) fn tick(&mut self) -> bool {
        self.now += 1;
        let is_due = self.now >= self.stepped_at + self.ticks_per_step();
        if is_due {
            self.stepped_at = self.now;
        }
        is_due
    }

    /// Observes a message to another replica.
    pub(super) fn on_sent<T: omnipaxos::storage::Entry>(&mut self, message: &Message<T>) {
        let Message::BLE(message) = message else {
            return;
        };
        let HeartbeatMsg::Request(request) = &message.msg else {
            return;
        };
        let latest = self.rounds.back().map(|round| round.number);
        if latest == Some(request.round) {
            return;
        }
        self.rounds.push_back(Round {
            number: request.round,
            began_at: self.now,
        });
        if self.rounds.len() > MAX_MEASURED_ROUNDS {
            self.rounds.pop_front();
        }
    }

    /// Observes a message from another replica.
    pub(super) fn on_received<T: omnipaxos::storage::Entry>(&mut self, message: &Message<T>) {
        let Message::BLE(message) = message else {
            return;
        };
        let HeartbeatMsg::Reply(reply) = &message.msg else {
            return;
        };
        let mut rounds = self.rounds.iter().rev();
        if let Some(round) = rounds.find(|round| round.number == reply.round) {
            let measured = self.now - round.began_at;
            let remembered = self.response_times.entry(message.from).or_default();
            let decayed = *remembered - remembered.div_ceil(RESPONSE_TIME_DECAY_DIVISOR);
            *remembered = decayed.max(measured);
        }
    }

    /// The number of ticks for each tick of the library, so that a quorum replies within a round.
    fn ticks_per_step(&self) -> u64 {
        let mut response_times: Vec<u64> = self.response_times.values().copied().collect();
        response_times.sort_unstable();
        let slowest_of_quorum = self.quorum_peers.checked_sub(1);
        let response_time = slowest_of_quorum.and_then(|index| response_times.get(index));
        // A reply at the last tick of a round may be handled only after the round has ended.
        let ticks = response_time.map_or(1, |ticks| ticks + 1);
        ticks
            .div_ceil(self.ticks_per_round)
            .clamp(1, MAX_TICKS_PER_STEP)
    }
}

#[cfg(test)]
mod tests;
