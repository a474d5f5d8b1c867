//! Messages of one keeper to another in their order, each once: the agreement's core rests on that. Over a network that loses, repeats
//! and mixes up, what is missing ends the run, and both sides tell the core that a connection was made anew.

use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use std::collections::BTreeMap;

/// Messages that wait for an earlier one.
const MOST_EARLY: usize = 256;
/// How long an earlier one is waited for, in microseconds.
const GAP: u64 = 60_000;

/// One keeper's side of the link with one other.
#[derive(Debug, Default)]
pub(super) struct Link {
    /// The run that goes out, and its last number.
    run: u64,
    sent: u64,
    /// The run that comes in, and the next number.
    heard: u64,
    next: u64,
    early: BTreeMap<u64, wire::Between>,
    /// Since when an earlier one is missing.
    gap: Option<u64>,
}

/// What came of a message.
#[derive(Debug, Default)]
pub(super) struct Came {
    /// Bodies for the core, in order.
    pub(super) bodies: Vec<Vec<u8>>,
    /// A run began or ended: what went before may be lost.
    pub(super) anew: bool,
    /// The other side is to begin another run.
    pub(super) ask: Option<u64>,
}

impl Link {
    /// Stamps a message that goes out. `seed`: differs in each life.
    pub(super) fn stamp(&mut self, seed: u64, between: &mut wire::Between) {
        if self.run == 0 {
            self.run = seed;
        }
        self.sent += 1;
        (between.run, between.number) = (self.run, self.sent);
    }

    /// The other side misses something of a run; whether it is the one that goes out.
    pub(super) fn reset(&mut self, run: u64) -> bool {
        let own = run == self.run && run != 0;
        if own {
            // Never one that was used: lives differ by their seed, runs within one by their number.
            self.run = self.run.wrapping_add(1).max(1);
            self.sent = 0;
        }
        own
    }

    /// A message came.
    pub(super) fn came(&mut self, between: wire::Between, now: u64) -> Came {
        let mut came = Came::default();
        if between.run != self.heard {
            if between.number != 1 {
                came.ask = Some(between.run);
                return came;
            }
            (self.heard, self.next, self.gap, came.anew) = (between.run, 1, None, true);
            self.early.clear();
        }
        if between.number < self.next {
            return came;
        }
        if between.number > self.next {
            self.gap.get_or_insert(now);
            if self.early.len() < MOST_EARLY {
                self.early.insert(between.number, between);
            }
            return came;
        }
        self.next += 1;
        came.bodies.push(between.body);
        while let Some(next) = self.early.remove(&self.next) {
            self.next += 1;
            came.bodies.push(next.body);
        }
        self.gap = self.early.keys().next().map(|_| now);
        came
    }

    /// The run that has to begin anew, as what is missing did not come.
    pub(super) fn missing(&mut self, now: u64) -> Option<u64> {
        let over = self.gap.is_some_and(|since| now >= since + GAP);
        if !over {
            return None;
        }
        self.gap = Some(now);
        Some(self.heard)
    }
}

#[cfg(test)]
mod tests;
