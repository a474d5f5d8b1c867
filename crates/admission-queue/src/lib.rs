//! The door: between the fronts and the decisions, without I/O. It lets requests through in fair turns over studios, holds
//! some for a short while, and refuses at once what could not be served in time, with an honest time to come back.
//!
//! Deficit round robin (Shreedhar and Varghese, 1995) over units. Studios with much traffic have queues of their own; all
//! others share hashed queues with a seed that changes (McKenney's stochastic fairness queueing, 1990), so memory is bounded
//! whatever the number of ids. Times are microseconds.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod heavy;
mod queues;

use heavy::Heavy;
use queues::Queues;
use rustc_hash::FxHashMap;

/// What the door may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Requests that may be with the decisions at once.
    pub inside: usize,
    /// Requests that pass in one turn, so that a flood meets the queues and not the loop.
    pub each_turn: usize,
    /// Requests that may wait, in all and in one queue.
    pub waiting: usize,
    /// See `waiting`.
    pub queue: usize,
    /// The longest wait, and the part of what is left of its time that a request may wait.
    pub longest: u64,
    /// See `longest`.
    pub part: f64,
    /// Queues of studios with much traffic, and hashed ones for the others.
    pub own: usize,
    /// See `own`.
    pub hashed: usize,
    /// Units that a queue of weight 1 may send in one round.
    pub quantum: f64,
    /// How often the hashed queues are drawn anew.
    pub reseed: u64,
    /// Part of a come-back time that is added by chance.
    pub spread: f64,
    /// Seeds all chance.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            inside: 16_384,
            each_turn: 256,
            waiting: 8_192,
            queue: 1_024,
            longest: 100_000,
            part: 0.1,
            own: 256,
            hashed: 256,
            quantum: 4.0,
            reseed: 10_000_000,
            spread: 0.5,
            seed: 1,
        }
    }
}

/// A request at the door.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// Its id, never used twice.
    pub id: u64,
    /// Whose it is.
    pub studio: u64,
    /// The studio's weight, above 0.
    pub weight: f64,
    /// Its units, above 0.
    pub units: f64,
    /// By when it must be answered.
    pub deadline: u64,
    /// How long until the studio's quota has room for it again, as far as is known; 0: it has.
    pub refill: u64,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It goes to the decisions.
    Pass(u64),
    /// It is refused, and may come back after that time.
    Refuse {
        /// Its id.
        id: u64,
        /// In microseconds.
        back: u64,
    },
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub(crate) offer: Offer,
    pub(crate) until: u64,
}

/// The door of one gateway. Same calls, same verdicts.
pub struct Door {
    set: Settings,
    rng: fastrand::Rng,
    queues: Queues,
    heavy: Heavy,
    /// Requests with the decisions, by the queue they came through.
    inside: FxHashMap<u64, usize>,
    /// Requests that wait, by their queue.
    held: FxHashMap<u64, usize>,
    /// Passed a second of late, in units, and the time and units since it was last brought up to date.
    rate: f64,
    since: u64,
    passed: f64,
}

/// Time over which the rate is seen.
const RATE_SPAN: u64 = 200_000;

impl Door {
    /// A door with nobody at it.
    pub fn new(set: Settings) -> Door {
        Door {
            rng: fastrand::Rng::with_seed(set.seed),
            queues: Queues::new(set.own, set.hashed),
            heavy: Heavy::new(set.own, set.seed, set.reseed),
            set,
            inside: FxHashMap::default(),
            held: FxHashMap::default(),
            rate: 0.0,
            since: 0,
            passed: 0.0,
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.held.len()
    }
    /// Requests with the decisions.
    pub fn inside(&self) -> usize {
        self.inside.len()
    }
    /// Bytes that its maps and queues hold at the most, whatever comes.
    pub fn most_bytes(&self) -> usize {
        let waiter = std::mem::size_of::<Waiter>() + 48;
        self.set.waiting * 2 * waiter
            + self.set.inside * 64
            + (self.set.own + self.set.hashed) * 256
    }

    /// Takes a request in; it waits for the next `turn`, or is refused at once.
    pub fn offer(&mut self, now: u64, offer: Offer) -> Option<Verdict> {
        self.seen(now);
        let place = self.heavy.place(now, offer.studio, offer.units);
        let patience = (offer.deadline.saturating_sub(now) as f64 * self.set.part) as u64;
        let longest = patience.min(self.set.longest);
        let queue = self.queues.at(place);
        let full = queue.waiting.len() >= self.set.queue;
        let wait = self.wait_in(place);
        if full || wait > longest as f64 {
            return Some(self.refuse(wait, offer));
        }
        let waiter = Waiter {
            offer,
            until: now.saturating_add(longest),
        };
        self.queues.push(place, waiter);
        self.held.insert(offer.id, place);
        if self.held.len() <= self.set.waiting {
            return None;
        }
        // The longest queue pays for a door that is full.
        let longest = self.queues.longest();
        let last = self.queues.pop_last(longest)?;
        self.held.remove(&last.offer.id);
        let wait = self.wait_in(longest);
        Some(self.refuse(wait, last.offer))
    }

    /// Lets a turn's requests through, and refuses those that waited too long.
    pub fn turn(&mut self, now: u64, out: &mut Vec<Verdict>) {
        self.seen(now);
        let mut passes = 0;
        while passes < self.set.each_turn && self.inside.len() < self.set.inside {
            let most = self.most_of_one();
            let Some(next) = self.queues.next(self.set.quantum, most) else {
                break;
            };
            let Waiter { offer, until } = next.waiter;
            self.held.remove(&offer.id);
            if until < now {
                let wait = self.wait_in(next.place);
                out.push(self.refuse(wait, offer));
                continue;
            }
            self.inside.insert(offer.id, next.place);
            self.queues.at(next.place).inside += 1;
            self.passed += offer.units;
            passes += 1;
            out.push(Verdict::Pass(offer.id));
        }
        for late in self.queues.late(now) {
            self.held.remove(&late.waiter.offer.id);
            let wait = self.wait_in(late.place);
            out.push(self.refuse(wait, late.waiter.offer));
        }
    }

    /// When `turn` is wanted, though nothing else happens; none: nobody waits.
    pub fn next_wake(&self, now: u64) -> Option<u64> {
        if self.held.is_empty() {
            return None;
        }
        let blocked = self.inside.len() >= self.set.inside;
        Some(if blocked {
            now + self.set.longest / 10
        } else {
            now
        })
    }

    /// A request that passed has its final answer.
    pub fn ended(&mut self, id: u64) {
        if let Some(place) = self.inside.remove(&id) {
            self.queues.at(place).inside -= 1;
        }
    }

    /// A waiting request is no longer wanted; whether it waited.
    pub fn gone(&mut self, id: u64) -> bool {
        let Some(place) = self.held.remove(&id) else {
            return false;
        };
        self.queues.remove(place, id);
        true
    }

    /// While more than half of the room is taken no queue may have more than twice its share of it inside. Guards
    /// against a studio whose calls are all slow.
    fn most_of_one(&self) -> usize {
        if self.inside.len() * 2 <= self.set.inside {
            return usize::MAX;
        }
        (self.set.inside * 2 / (self.queues.busy() + 1)).max(1)
    }

    /// How long a request that comes last in a queue waits, by the rate seen and the queue's part of it.
    fn wait_in(&mut self, place: usize) -> f64 {
        let busy = self.queues.weights();
        let queue = self.queues.at(place);
        let (ahead, weight) = (queue.units, queue.weight.max(1e-9));
        if ahead <= 0.0 || self.rate <= 0.0 {
            return 0.0;
        }
        ahead / (self.rate * weight / busy.max(weight)) * 1e6
    }

    /// Never before the studio's quota has room and the queue ahead is gone; spread, so that those who return do not meet.
    fn refuse(&mut self, wait: f64, offer: Offer) -> Verdict {
        let back = wait
            .max(offer.refill as f64)
            .max(self.set.longest as f64 / 4.0);
        let spread = 1.0 + self.set.spread * self.rng.f64();
        Verdict::Refuse {
            id: offer.id,
            back: (back * spread) as u64,
        }
    }

    fn seen(&mut self, now: u64) {
        let gone = now.saturating_sub(self.since);
        if gone < RATE_SPAN {
            return;
        }
        let of_late = self.passed / (gone as f64 / 1e6);
        self.rate = if self.rate == 0.0 {
            of_late
        } else {
            0.5 * (self.rate + of_late)
        };
        (self.since, self.passed) = (now, 0.0);
    }
}
