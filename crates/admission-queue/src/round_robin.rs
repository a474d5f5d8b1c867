//! Weighted deficit round robin over units.

use crate::request::{QueuedRequest, RequestId};
use crate::settings::Settings;
use chalkdeck_time::Timestamp;
use std::collections::VecDeque;

/// Minimum weight of a queue, so that its deficit grows and its requests are admitted.
const MIN_WEIGHT: f64 = 1e-3;

/// The placement of a customer: which queue its requests use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// A queue of its own.
    Dedicated {
        /// Index of the dedicated queue.
        index: usize,
    },
    /// A queue that it shares with other customers.
    Shared {
        /// Hash of the customer, taken modulo the number of shared queues.
        hash: u64,
    },
}

/// Id of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueId(usize);

/// A request that left its queue.
#[derive(Debug)]
pub(crate) struct Dequeued {
    pub(crate) queue: QueueId,
    pub(crate) request: QueuedRequest,
}

/// One queue.
#[derive(Debug, Default)]
struct Queue {
    requests: VecDeque<QueuedRequest>,
    /// Total units of the waiting requests.
    units: f64,
    /// Weight of the request that was added last.
    weight: f64,
    /// Its admitted requests in flight.
    in_flight: usize,
    /// The deficit counter: units that it may still send in this round.
    deficit: f64,
    /// Whether it is in the round.
    is_active: bool,
}

/// The outcome of a queue's turn.
enum TurnOutcome {
    /// The queue sends a request.
    Send(QueuedRequest),
    /// The queue is empty and leaves the round.
    Leave,
    /// The queue's deficit is too small: it has got the quantum of the next round and waits for it.
    WaitForNextRound,
    /// The queue has too many requests in flight.
    Blocked,
}

impl Queue {
    fn take_turn(&mut self, quantum: f64, max_in_flight: usize) -> TurnOutcome {
        let Some(first) = self.requests.front() else {
            self.is_active = false;
            self.deficit = 0.0;
            return TurnOutcome::Leave;
        };
        if self.in_flight >= max_in_flight {
            return TurnOutcome::Blocked;
        }
        let units = first.request.units;
        if self.deficit < units {
            self.deficit += quantum * self.weight;
            return TurnOutcome::WaitForNextRound;
        }
        self.deficit -= units;
        match self.pop_first() {
            Some(request) => TurnOutcome::Send(request),
            None => TurnOutcome::Leave,
        }
    }

    fn pop_first(&mut self) -> Option<QueuedRequest> {
        let first = self.requests.pop_front()?;
        self.units -= first.request.units;
        Some(first)
    }

    fn pop_first_if_expired(&mut self, now: Timestamp) -> Option<QueuedRequest> {
        let first = self.requests.front()?;
        if first.expires_at >= now {
            return None;
        }
        self.pop_first()
    }

    /// The waiting units divided by the weight.
    fn weighted_units(&self) -> f64 {
        self.units / self.weight.max(MIN_WEIGHT)
    }

    fn is_busy(&self) -> bool {
        !self.requests.is_empty() || self.in_flight > 0
    }
}

/// The round robin over all queues.
#[derive(Debug)]
pub(crate) struct RoundRobin {
    /// First the dedicated queues, then the shared ones.
    queues: Vec<Queue>,
    dedicated_queues: usize,
    /// The queues in the round, the next one first. A queue that has become empty leaves at its next turn.
    round: VecDeque<usize>,
}

impl RoundRobin {
    pub(crate) fn new(settings: &Settings) -> RoundRobin {
        let dedicated_queues = settings.dedicated_queues;
        let queue_count = dedicated_queues + settings.shared_queues.max(1);
        RoundRobin {
            queues: (0..queue_count).map(|_| Queue::default()).collect(),
            dedicated_queues,
            round: VecDeque::new(),
        }
    }

    /// The queue of a placement.
    pub(crate) fn queue_of(&self, placement: Placement) -> QueueId {
        match placement {
            Placement::Dedicated { index } => QueueId(index),
            Placement::Shared { hash } => {
                let shared_queues = self.queues.len() - self.dedicated_queues;
                QueueId(self.dedicated_queues + hash as usize % shared_queues)
            }
        }
    }

    /// The number of requests that wait in a queue.
    pub(crate) fn len_of(&self, queue: QueueId) -> usize {
        self.queues[queue.0].requests.len()
    }

    /// The units that wait in a queue.
    pub(crate) fn units_of(&self, queue: QueueId) -> f64 {
        self.queues[queue.0].units
    }

    /// The weight of a queue.
    pub(crate) fn weight_of(&self, queue: QueueId) -> f64 {
        self.queues[queue.0].weight
    }

    /// The total weight of the queues in the round.
    pub(crate) fn active_weight(&self) -> f64 {
        let weights = self.round.iter().map(|index| self.queues[*index].weight);
        weights.sum()
    }

    /// The number of queues with requests that wait or are in flight.
    pub(crate) fn busy_queues(&self) -> usize {
        self.queues.iter().filter(|queue| queue.is_busy()).count()
    }

    pub(crate) fn push(&mut self, id: QueueId, request: QueuedRequest) {
        let queue = &mut self.queues[id.0];
        queue.units += request.request.units;
        queue.weight = request.request.weight.max(MIN_WEIGHT);
        queue.requests.push_back(request);
        if !queue.is_active {
            queue.is_active = true;
            self.round.push_back(id.0);
        }
    }

    /// Counts an admitted request of a queue as in flight.
    pub(crate) fn add_in_flight(&mut self, queue: QueueId) {
        self.queues[queue.0].in_flight += 1;
    }

    /// Counts a request of a queue as no longer in flight.
    pub(crate) fn remove_in_flight(&mut self, queue: QueueId) {
        self.queues[queue.0].in_flight -= 1;
    }

    /// Removes and returns the next request in turn, from queues with fewer than `max_in_flight` requests in flight.
    pub(crate) fn pop_next(&mut self, quantum: f64, max_in_flight: usize) -> Option<Dequeued> {
        let mut blocked = 0;
        while let Some(&index) = self.round.front() {
            match self.queues[index].take_turn(quantum, max_in_flight) {
                TurnOutcome::Send(request) => {
                    let queue = QueueId(index);
                    return Some(Dequeued { queue, request });
                }
                TurnOutcome::Leave => {
                    self.round.pop_front();
                }
                TurnOutcome::WaitForNextRound => self.round.rotate_left(1),
                TurnOutcome::Blocked => {
                    blocked += 1;
                    // Every queue of a whole round was blocked.
                    if blocked > self.round.len() {
                        return None;
                    }
                    self.round.rotate_left(1);
                }
            }
        }
        None
    }

    /// Removes expired requests from the front of each queue, up to the first one that has not expired.
    pub(crate) fn remove_expired(&mut self, now: Timestamp) -> Vec<Dequeued> {
        let mut expired = Vec::new();
        for &index in &self.round {
            let queue = &mut self.queues[index];
            while let Some(request) = queue.pop_first_if_expired(now) {
                let queue = QueueId(index);
                expired.push(Dequeued { queue, request });
            }
        }
        expired
    }

    /// The queue with the most waiting units divided by its weight.
    pub(crate) fn longest_queue(&self) -> QueueId {
        let weighted_units = |index: &usize| self.queues[*index].weighted_units();
        let longest = self
            .round
            .iter()
            .copied()
            .max_by(|left, right| weighted_units(left).total_cmp(&weighted_units(right)));
        QueueId(longest.unwrap_or(0))
    }

    /// Removes the last request of a queue.
    pub(crate) fn pop_last(&mut self, queue: QueueId) -> Option<QueuedRequest> {
        let queue = &mut self.queues[queue.0];
        let last = queue.requests.pop_back()?;
        queue.units -= last.request.units;
        Some(last)
    }

    /// Removes a request from its queue.
    pub(crate) fn remove(&mut self, queue: QueueId, id: RequestId) {
        let queue = &mut self.queues[queue.0];
        let position = queue
            .requests
            .iter()
            .position(|queued| queued.request.id == id);
        if let Some(removed) = position.and_then(|position| queue.requests.remove(position)) {
            queue.units -= removed.request.units;
        }
    }
}
