//! The counter's deterministic state machine, without I/O: the same increments in the same order give the same totals, the
//! same records of callers and the same snapshot.
//!
//! Timestamps are relative to the Unix epoch. The state's time never goes backwards.

mod callers;
mod names;

pub(crate) use callers::{AcknowledgedIncrement, CallerRecord, CallerTable};
pub(crate) use names::{NameEntry, NameTable};

use callers::Lookup;
use chalkdeck_time::{TimeDelta, Timestamp};

/// Upper bounds of the state's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of names; a name takes about 80 bytes.
    pub names: usize,
    /// Maximum number of callers that are remembered for deduplication.
    pub callers: usize,
    /// Maximum number of increments that are remembered of each caller; an increment takes 24 bytes.
    pub increments_per_caller: usize,
    /// How long an increment is remembered. If it arrives again later than that, it is rejected.
    pub horizon: TimeDelta,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            names: 2_000_000,
            callers: 1_024,
            increments_per_caller: 16_384,
            horizon: TimeDelta::from_secs(30),
        }
    }
}

/// Id of a name: a hash that all gateways compute in the same way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameId(pub u64);

/// Id of a caller: its incarnation, which grows with each restart of the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

impl CallerId {
    /// The id of callers that are not remembered. Their increments are not deduplicated.
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
    /// Amount to add; may be negative. An amount of 0 reads the total.
    pub amount: f64,
    /// How long after its first increment the name expires.
    pub lifetime: TimeDelta,
    /// The caller that sent it.
    pub caller: CallerId,
    /// Sequence number among the increments of the caller.
    pub number: u64,
}

/// Why an increment was not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The maximum number of names is reached.
    TooManyNames,
    /// The number is so old that it is no longer known whether the increment was counted.
    TooOld,
    /// The caller has been forgotten and must use a new incarnation.
    ForgottenCaller,
    /// The amount or the resulting total is not finite.
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

/// State of one partition of the counter.
#[derive(Clone, Debug, Default)]
pub struct CounterState {
    limits: Limits,
    pub(crate) time: Timestamp,
    pub(crate) position: u64,
    pub(crate) names: NameTable,
    pub(crate) callers: CallerTable,
}

impl CounterState {
    /// Creates an empty state.
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

    /// Latest time that was passed to [`CounterState::apply`].
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

    /// Returns the total of a name that has not expired.
    pub fn total(&self, name: NameId) -> Option<f64> {
        self.names.total(name, self.time)
    }

    /// Returns all names that have not expired, sorted by id.
    pub fn totals(&self) -> Vec<NameTotal> {
        self.names.totals(self.time)
    }

    /// Returns the later of the state's time and `now`, so that time does not go backwards when the clock does.
    pub fn monotonic_time(&self, now: Timestamp) -> Timestamp {
        self.time.max(now)
    }

    /// Checks whether an increment may be written to the log.
    ///
    /// [`CounterState::apply`] counts an increment that passes, even if other increments are applied in between. A repeated
    /// increment passes too; it gets its first total again.
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
        let exceeds_name_limit =
            self.names.len() >= self.limits.names && !self.names.contains(increment.name);
        // An expired name does not count: it will be removed when the increment is applied.
        if exceeds_name_limit && !self.names.has_expired(self.time) {
            return Err(Rejection::TooManyNames);
        }
        Ok(())
    }

    /// Counts an increment that passed [`CounterState::check`] and returns the total after it. A repeated increment is not
    /// counted again; its first total is returned.
    pub fn apply(&mut self, time: Timestamp, increment: &Increment) -> f64 {
        self.time = self.monotonic_time(time);
        let index = match self.callers.find(increment.caller, increment.number) {
            Lookup::Acknowledged { total } => return total,
            Lookup::NotRemembered { index } => index,
        };
        self.position += 1;
        self.names.remove_expired(self.time);
        let total = self.names.increment(increment, self.time);
        if increment.caller.is_anonymous() {
            return total;
        }
        let acknowledged = AcknowledgedIncrement {
            number: increment.number,
            total,
            counted_at: self.time,
        };
        self.callers
            .remember(increment.caller, index, acknowledged, &self.limits);
        total
    }
}

#[cfg(test)]
mod tests;
