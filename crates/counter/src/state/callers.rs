//! Deduplication of increments: which increments of each caller were counted, and with which totals they were acknowledged.

use super::{CallerId, Limits, Rejection};
use chalkdeck_time::Timestamp;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// An increment that was counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AcknowledgedIncrement {
    /// Sequence number of the increment.
    pub(crate) number: u64,
    /// Total after the increment.
    pub(crate) total: f64,
    /// When the increment was counted.
    pub(crate) counted_at: Timestamp,
}

/// What is remembered of a caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct CallerRecord {
    /// When the last increment of the caller was counted.
    pub(crate) last_used: Timestamp,
    /// Highest number that was forgotten. Increments up to it that are not in `acknowledged` are rejected as too old.
    pub(crate) forgotten_up_to: u64,
    /// Remembered increments, by ascending number.
    pub(crate) acknowledged: VecDeque<AcknowledgedIncrement>,
}

/// Result of looking up an increment.
pub(crate) enum Lookup {
    /// The increment was counted and acknowledged.
    Acknowledged {
        /// Total after the increment.
        total: f64,
    },
    /// The increment is not remembered.
    NotRemembered {
        /// Index at which to insert it in [`CallerRecord::acknowledged`].
        index: usize,
    },
}

impl CallerRecord {
    fn find(&self, number: u64) -> Lookup {
        let found = match self.acknowledged.back() {
            None => Err(0),
            // Fast path: numbers usually ascend.
            Some(last) if last.number < number => Err(self.acknowledged.len()),
            Some(_) => self
                .acknowledged
                .binary_search_by_key(&number, |entry| entry.number),
        };
        match found {
            Ok(index) => Lookup::Acknowledged {
                total: self.acknowledged[index].total,
            },
            Err(index) => Lookup::NotRemembered { index },
        }
    }

    fn remember(&mut self, index: usize, entry: AcknowledgedIncrement, limits: &Limits) {
        self.last_used = self.last_used.max(entry.counted_at);
        self.acknowledged.insert(index, entry);
        while self.has_surplus(entry.counted_at, limits) {
            let Some(dropped) = self.acknowledged.pop_front() else {
                break;
            };
            self.forgotten_up_to = self.forgotten_up_to.max(dropped.number);
        }
    }

    /// Whether the increment with the lowest number exceeds the limits and has to be forgotten.
    fn has_surplus(&self, now: Timestamp, limits: &Limits) -> bool {
        let is_past_horizon =
            |entry: &AcknowledgedIncrement| entry.counted_at + limits.horizon < now;
        self.acknowledged.len() > limits.increments_per_caller
            || self.acknowledged.front().is_some_and(is_past_horizon)
    }
}

/// All callers that are remembered.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerTable {
    records: FxHashMap<CallerId, CallerRecord>,
    /// Highest caller id that was forgotten. Callers up to it that have no record are treated as forgotten.
    pub(crate) forgotten_up_to: CallerId,
}

impl CallerTable {
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether an increment was counted before; an error if that is no longer known.
    pub(crate) fn is_repeated(&self, caller: CallerId, number: u64) -> Result<bool, Rejection> {
        let Some(record) = self.records.get(&caller) else {
            if caller <= self.forgotten_up_to {
                return Err(Rejection::ForgottenCaller);
            }
            return Ok(false);
        };
        if let Lookup::Acknowledged { .. } = record.find(number) {
            return Ok(true);
        }
        if number <= record.forgotten_up_to {
            return Err(Rejection::TooOld);
        }
        Ok(false)
    }

    /// Looks up an increment.
    pub(crate) fn find(&self, caller: CallerId, number: u64) -> Lookup {
        match self.records.get(&caller) {
            Some(record) => record.find(number),
            None => Lookup::NotRemembered { index: 0 },
        }
    }

    /// Remembers an increment at the index that [`CallerTable::find`] returned.
    pub(crate) fn remember(
        &mut self,
        caller: CallerId,
        index: usize,
        entry: AcknowledgedIncrement,
        limits: &Limits,
    ) {
        if let Some(record) = self.records.get_mut(&caller) {
            record.remember(index, entry, limits);
            return;
        }
        if self.records.len() >= limits.callers {
            self.forget_least_recently_used();
        }
        let record = self.records.entry(caller).or_default();
        record.remember(index, entry, limits);
    }

    /// Forgets the least recently used caller. Late increments of it are still recognized, because caller ids only grow.
    fn forget_least_recently_used(&mut self) {
        let records = self.records.iter();
        let oldest = records
            .map(|(&caller, record)| (record.last_used, caller))
            .min();
        if let Some((_, caller)) = oldest {
            self.records.remove(&caller);
            self.forgotten_up_to = self.forgotten_up_to.max(caller);
        }
    }

    /// Returns all records, sorted by caller.
    pub(crate) fn sorted_records(&self) -> Vec<(CallerId, &CallerRecord)> {
        let mut records: Vec<(CallerId, &CallerRecord)> = self
            .records
            .iter()
            .map(|(&caller, record)| (caller, record))
            .collect();
        records.sort_unstable_by_key(|record| record.0);
        records
    }

    /// Returns the record of a caller, created if missing, to restore it from a snapshot. A snapshot may contain a caller in
    /// several parts.
    pub(crate) fn restore(&mut self, caller: CallerId) -> &mut CallerRecord {
        self.records.entry(caller).or_default()
    }
}
