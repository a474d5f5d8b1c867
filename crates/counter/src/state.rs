//! The counter's state machine, without I/O: the same increments in the same order give the same totals, the same memory of
//! callers and the same snapshot.
//!
//! Points in time count from the Unix epoch and never go back.

mod callers;
mod names;

pub(crate) use callers::{Acknowledged, CallerRecord, CallerTable};
pub(crate) use names::{NameEntry, NameTable};

use callers::Lookup;
use chalkdeck_time::{TimeDelta, Timestamp};

/// Upper bounds of what the state remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Names at once; a name takes about 80 bytes.
    pub names: usize,
    /// Callers that are remembered for deduplication.
    pub callers: usize,
    /// Increments that are remembered of each caller, 24 bytes each.
    pub remembered: usize,
    /// How long an increment is remembered. One that arrives again later is rejected.
    pub horizon: TimeDelta,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            names: 2_000_000,
            callers: 1_024,
            remembered: 16_384,
            horizon: TimeDelta::from_secs(30),
        }
    }
}

/// Id of a counted name: a hash that all gateways agree on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameId(pub u64);

/// Incarnation of a caller, which is greater than that of any earlier life of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

impl CallerId {
    /// A caller that is not remembered: its increments count as often as they arrive.
    pub const ANONYMOUS: CallerId = CallerId(0);

    /// Whether increments of this caller are not deduplicated.
    pub fn is_anonymous(self) -> bool {
        self == CallerId::ANONYMOUS
    }
}

/// One increment of a name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Increment {
    /// The name.
    pub name: NameId,
    /// What is added; a negative amount is subtracted, and 0 reads the total.
    pub amount: f64,
    /// How long the name is retained after its first increment.
    pub lifetime: TimeDelta,
    /// Who sent it.
    pub caller: CallerId,
    /// Its sequence number among those of the caller.
    pub number: u64,
}

/// Why an increment was not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The maximum number of names is reached.
    TooManyNames,
    /// It may have been counted before; that is no longer remembered.
    TooOld,
    /// The caller has been forgotten and must use a new incarnation.
    ForgottenCaller,
    /// The amount, or the total that it would give, is not a finite number.
    NotFinite,
}

/// A name with its total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NameTotal {
    /// The name.
    pub name: NameId,
    /// Sum of its increments.
    pub total: f64,
    /// When the name expires.
    pub expires_at: Timestamp,
}

/// All totals of one part of the counter.
#[derive(Clone, Debug, Default)]
pub struct CounterState {
    limits: Limits,
    pub(crate) time: Timestamp,
    pub(crate) position: u64,
    pub(crate) names: NameTable,
    pub(crate) callers: CallerTable,
}

impl CounterState {
    /// A state without names and callers.
    pub fn new(limits: Limits) -> CounterState {
        CounterState {
            limits,
            ..CounterState::default()
        }
    }

    /// Number of increments that were counted.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// The latest time that was passed in.
    pub fn time(&self) -> Timestamp {
        self.time
    }

    /// Number of names in memory; some of them may have expired.
    pub fn name_count(&self) -> usize {
        self.names.len()
    }

    /// Number of callers that are remembered.
    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }

    /// The total of a name that has not expired.
    pub fn total(&self, name: NameId) -> Option<f64> {
        self.names.total(name, self.time)
    }

    /// All names that have not expired, sorted by their ids.
    pub fn totals(&self) -> Vec<NameTotal> {
        self.names.totals(self.time)
    }

    /// The later of the state's own time and `now`: a clock that went back stands still.
    pub fn clock(&self, now: Timestamp) -> Timestamp {
        self.time.max(now)
    }

    /// Whether an increment may be written to the log.
    ///
    /// What passes here is counted by [`CounterState::apply`] whatever is applied in between. A repeated increment passes
    /// too and gets its first total there.
    pub fn check(&self, increment: &Increment) -> Result<(), Rejection> {
        let total = self.total(increment.name).unwrap_or(0.0) + increment.amount;
        if !increment.amount.is_finite() || !total.is_finite() {
            return Err(Rejection::NotFinite);
        }
        if !increment.caller.is_anonymous()
            && self
                .callers
                .is_repeated(increment.caller, increment.number)?
        {
            return Ok(());
        }
        let needs_room =
            self.names.len() >= self.limits.names && !self.names.contains(increment.name);
        // The first name to expire may make room.
        if needs_room && !self.names.has_expired(self.time) {
            return Err(Rejection::TooManyNames);
        }
        Ok(())
    }

    /// Counts an increment that passed [`CounterState::check`] and returns its total. A repeated one is counted once and
    /// gets the total of the first time.
    pub fn apply(&mut self, time: Timestamp, increment: &Increment) -> f64 {
        self.time = self.clock(time);
        let index = match self.callers.find(increment.caller, increment.number) {
            Lookup::Acknowledged { total } => return total,
            Lookup::Unknown { index } => index,
        };
        self.position += 1;
        self.names.remove_expired(self.time);
        let total = self.names.increment(increment, self.time);
        if increment.caller.is_anonymous() {
            return total;
        }
        let acknowledged = Acknowledged {
            number: increment.number,
            total,
            at: self.time,
        };
        self.callers
            .remember(increment.caller, index, acknowledged, &self.limits);
        total
    }
}

#[cfg(test)]
mod tests;
