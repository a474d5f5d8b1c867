//! Queues in turns: deficit round robin over units, with weights.

use crate::Waiter;
use std::collections::VecDeque;

/// One queue.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pub(crate) waiting: VecDeque<Waiter>,
    /// Units that wait.
    pub(crate) units: f64,
    /// Of the last request.
    pub(crate) weight: f64,
    /// Its requests with the decisions.
    pub(crate) inside: usize,
    deficit: f64,
    /// It stands in the round.
    active: bool,
}

/// All queues. Places from `own` on are hashed ones, taken modulo their number.
#[derive(Debug)]
pub(crate) struct Queues {
    queues: Vec<Queue>,
    own: usize,
    round: VecDeque<usize>,
}

/// A waiting request with its queue.
#[derive(Debug)]
pub(crate) struct Placed {
    pub(crate) place: usize,
    pub(crate) waiter: Waiter,
}

impl Queues {
    pub(crate) fn new(own: usize, hashed: usize) -> Queues {
        let queues = (0..own + hashed.max(1)).map(|_| Queue::default()).collect();
        Queues {
            queues,
            own,
            round: VecDeque::new(),
        }
    }

    fn index(&self, place: usize) -> usize {
        if place < self.own {
            place
        } else {
            self.own + (place - self.own) % (self.queues.len() - self.own)
        }
    }

    pub(crate) fn at(&mut self, place: usize) -> &mut Queue {
        let index = self.index(place);
        &mut self.queues[index]
    }

    pub(crate) fn push(&mut self, place: usize, waiter: Waiter) {
        let index = self.index(place);
        let queue = &mut self.queues[index];
        queue.units += waiter.offer.units;
        queue.weight = waiter.offer.weight.max(1e-3);
        queue.waiting.push_back(waiter);
        if !std::mem::replace(&mut queue.active, true) {
            self.round.push_back(index);
        }
    }

    /// The next in turn, of queues with fewer than `most` inside.
    pub(crate) fn next(&mut self, quantum: f64, most: usize) -> Option<Placed> {
        // Each step lets one go, ends a queue's turn or finds it blocked; a whole round of blocked ones is the end.
        let mut blocked = 0;
        while let Some(&place) = self.round.front() {
            let queue = &mut self.queues[place];
            let Some(first) = queue.waiting.front().copied() else {
                (queue.active, queue.deficit) = (false, 0.0);
                self.round.pop_front();
                continue;
            };
            if queue.inside >= most {
                blocked += 1;
                if blocked > self.round.len() {
                    return None;
                }
                self.round.rotate_left(1);
                continue;
            }
            if queue.deficit < first.offer.units {
                queue.deficit += quantum * queue.weight;
                self.round.rotate_left(1);
                continue;
            }
            queue.deficit -= first.offer.units;
            queue.units -= first.offer.units;
            queue.waiting.pop_front();
            return Some(Placed {
                place,
                waiter: first,
            });
        }
        None
    }

    /// Those at the front of their queues that waited too long; behind them later ones wait.
    pub(crate) fn late(&mut self, now: u64) -> Vec<Placed> {
        let mut out = Vec::new();
        for &place in &self.round {
            let queue = &mut self.queues[place];
            while let Some(first) = queue.waiting.front().copied().filter(|w| w.until < now) {
                queue.units -= first.offer.units;
                queue.waiting.pop_front();
                out.push(Placed {
                    place,
                    waiter: first,
                });
            }
        }
        out
    }

    /// The queue with the most units waiting for its weight.
    pub(crate) fn longest(&self) -> usize {
        let length = |p: &usize| self.queues[*p].units / self.queues[*p].weight.max(1e-3);
        self.round
            .iter()
            .copied()
            .max_by(|a, b| length(a).total_cmp(&length(b)))
            .unwrap_or(0)
    }

    pub(crate) fn pop_last(&mut self, place: usize) -> Option<Waiter> {
        let queue = &mut self.queues[place];
        let last = queue.waiting.pop_back()?;
        queue.units -= last.offer.units;
        Some(last)
    }

    pub(crate) fn remove(&mut self, place: usize, id: u64) {
        let queue = self.at(place);
        if let Some(i) = queue.waiting.iter().position(|w| w.offer.id == id) {
            queue.units -= queue.waiting[i].offer.units;
            queue.waiting.remove(i);
        }
    }

    /// Queues with somebody waiting or inside.
    pub(crate) fn busy(&self) -> usize {
        self.queues
            .iter()
            .filter(|q| !q.waiting.is_empty() || q.inside > 0)
            .count()
    }

    /// The weights of the queues in the round.
    pub(crate) fn weights(&self) -> f64 {
        self.round.iter().map(|p| self.queues[*p].weight).sum()
    }
}
