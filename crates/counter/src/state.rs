//! The counts, without I/O: the same adds in the same order give the same totals, the same memory of callers and the same
//! snapshot. Times are microseconds since the Unix epoch and never go back.

use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};

/// Expired names that one add takes out of memory, so that no add pays for many.
const SWEEP: usize = 4;

/// What is kept at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Names at once; a name is about 80 bytes.
    pub names: usize,
    /// Callers whose numbers are remembered.
    pub callers: usize,
    /// Numbers remembered of each caller, 24 bytes each.
    pub remembered: usize,
    /// How long a number is remembered, in microseconds: the horizon past which an add that arrives again is refused.
    pub horizon: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            names: 2_000_000,
            callers: 1_024,
            remembered: 16_384,
            horizon: 30_000_000,
        }
    }
}

/// One add.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Add {
    /// The name.
    pub name: u64,
    /// What is added; negative takes off, 0 reads.
    pub amount: f64,
    /// How long the name is kept after its first add, in microseconds.
    pub lifetime: u64,
    /// Whose add it is; 0: nobody's, it counts as often as it arrives.
    pub caller: u64,
    /// Its number among the caller's.
    pub number: u64,
}

/// Why an add was not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No room for a further name.
    Names,
    /// It may have been counted before; that is no longer remembered.
    TooOld,
    /// The caller has been forgotten and must take a new incarnation.
    Forgotten,
    /// The amount, or the total that it would give, is no finite number.
    NotFinite,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Name {
    pub(crate) total: f64,
    pub(crate) until: u64,
}

/// A number that was counted, and the total it heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Seen {
    pub(crate) number: u64,
    pub(crate) total: f64,
    pub(crate) at: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Caller {
    pub(crate) used: u64,
    /// Numbers up to this one that are not in `seen` are too old.
    pub(crate) floor: u64,
    /// Upwards by number.
    pub(crate) seen: VecDeque<Seen>,
}

impl Caller {
    fn find(&self, number: u64) -> Result<usize, usize> {
        match self.seen.back() {
            None => Err(0),
            Some(last) if last.number < number => Err(self.seen.len()),
            Some(_) => self.seen.binary_search_by_key(&number, |s| s.number),
        }
    }

    fn remember(&mut self, place: usize, seen: Seen, limits: &Limits) {
        self.used = self.used.max(seen.at);
        self.seen.insert(place, seen);
        let old = |s: &Seen| s.at.saturating_add(limits.horizon) < seen.at;
        while self.seen.len() > limits.remembered || self.seen.front().is_some_and(old) {
            let Some(dropped) = self.seen.pop_front() else {
                break;
            };
            self.floor = self.floor.max(dropped.number);
        }
    }
}

/// All counts of one part.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub(crate) limits: Limits,
    pub(crate) time: u64,
    pub(crate) position: u64,
    pub(crate) names: FxHashMap<u64, Name>,
    /// Names by their end.
    pub(crate) ends: BTreeSet<(u64, u64)>,
    pub(crate) callers: FxHashMap<u64, Caller>,
    /// Callers up to this incarnation that are not listed have been forgotten.
    pub(crate) forgotten: u64,
}

impl Counts {
    /// Nothing counted yet.
    pub fn new(limits: Limits) -> Counts {
        Counts {
            limits,
            ..Counts::default()
        }
    }
    /// Adds that were counted.
    pub fn position(&self) -> u64 {
        self.position
    }
    /// The latest time it was told.
    pub fn time(&self) -> u64 {
        self.time
    }
    /// Names in memory; some of them may have ended.
    pub fn names(&self) -> usize {
        self.names.len()
    }
    /// The total of a name, if it is kept and has not ended.
    pub fn total(&self, name: u64) -> Option<f64> {
        self.names
            .get(&name)
            .filter(|n| n.until > self.time)
            .map(|n| n.total)
    }
    /// All names that have not ended, with their totals and ends, by number.
    pub fn all(&self) -> Vec<Total> {
        let live = self.names.iter().filter(|(_, n)| n.until > self.time);
        let mut all: Vec<Total> = live
            .map(|(&name, n)| Total {
                name,
                total: n.total,
                until: n.until,
            })
            .collect();
        all.sort_unstable_by_key(|t| t.name);
        all
    }

    /// Time as the counts have it: a clock that went back is taken to stand.
    pub fn clock(&self, now: u64) -> u64 {
        self.time.max(now)
    }

    /// Whether an add may be written to the log. What passes is counted by `apply`, whatever came between; what arrived
    /// before passes too, and hears its total there.
    pub fn check(&self, add: &Add) -> Result<(), Refusal> {
        if !add.amount.is_finite()
            || !(self.total(add.name).unwrap_or(0.0) + add.amount).is_finite()
        {
            return Err(Refusal::NotFinite);
        }
        if add.caller != 0 {
            match self.callers.get(&add.caller) {
                None if add.caller <= self.forgotten => return Err(Refusal::Forgotten),
                Some(c) if c.find(add.number).is_ok() => return Ok(()),
                Some(c) if add.number <= c.floor => return Err(Refusal::TooOld),
                _ => {}
            }
        }
        let full = self.names.len() >= self.limits.names && !self.names.contains_key(&add.name);
        // The first name to end may make room.
        let room = self.ends.first().is_some_and(|e| e.0 <= self.time);
        if full && !room {
            Err(Refusal::Names)
        } else {
            Ok(())
        }
    }

    /// Counts an add that passed `check`, and returns the total it hears. One that arrived before counts once.
    pub fn apply(&mut self, time: u64, add: &Add) -> f64 {
        self.time = self.clock(time);
        let place = match self
            .callers
            .get(&add.caller)
            .map(|c| (c, c.find(add.number)))
        {
            Some((caller, Ok(place))) => return caller.seen[place].total,
            Some((_, Err(place))) => place,
            None => 0,
        };
        self.position += 1;
        self.sweep();
        let total = self.add(add);
        if add.caller == 0 {
            return total;
        }
        let seen = Seen {
            number: add.number,
            total,
            at: self.time,
        };
        if let Some(caller) = self.callers.get_mut(&add.caller) {
            caller.remember(place, seen, &self.limits);
            return total;
        }
        self.room_for_caller();
        self.callers
            .entry(add.caller)
            .or_default()
            .remember(0, seen, &self.limits);
        total
    }

    fn add(&mut self, add: &Add) -> f64 {
        let until = self.time.saturating_add(add.lifetime);
        let time = self.time;
        let name = self.names.entry(add.name).or_insert(Name {
            total: 0.0,
            until: 0,
        });
        if name.until <= time {
            self.ends.remove(&(name.until, add.name));
            self.ends.insert((until, add.name));
            *name = Name { total: 0.0, until };
        }
        // Adds of one batch are checked before any of them counts.
        name.total = (name.total + add.amount).clamp(f64::MIN, f64::MAX);
        name.total
    }

    fn sweep(&mut self) {
        for _ in 0..SWEEP {
            let Some(&(until, name)) = self.ends.first().filter(|e| e.0 <= self.time) else {
                return;
            };
            self.ends.remove(&(until, name));
            self.names.remove(&name);
        }
    }

    /// Forgets the caller that was not heard for longest, where a new one comes. An add of it that arrives again is
    /// known by its incarnation, as those only grow.
    fn room_for_caller(&mut self) {
        if self.callers.len() < self.limits.callers {
            return;
        }
        let oldest = self.callers.iter().map(|(id, c)| (c.used, *id)).min();
        if let Some((_, id)) = oldest {
            self.callers.remove(&id);
            self.forgotten = self.forgotten.max(id);
        }
    }
}

/// A name as it stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Total {
    /// The name.
    pub name: u64,
    /// Its total.
    pub total: f64,
    /// When it ends, in microseconds since the Unix epoch.
    pub until: u64,
}

#[cfg(test)]
mod tests;
