//! Deduplication: which increments of which callers were counted, and with which total they were acknowledged.

use super::{CallerId, Limits, Rejection};
use chalkdeck_time::Timestamp;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// An increment that was counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Acknowledged {
    /// Its sequence number.
    pub(crate) number: u64,
    /// The total after it.
    pub(crate) total: f64,
    /// When it was counted.
    pub(crate) at: Timestamp,
}

/// What is remembered of a caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct CallerRecord {
    /// When an increment of the caller was counted last.
    pub(crate) last_used: Timestamp,
    /// The highest number that was forgotten. Numbers up to it that are not in `acknowledged` are too old.
    pub(crate) forgotten_up_to: u64,
    /// Increments by ascending number.
    pub(crate) acknowledged: VecDeque<Acknowledged>,
}

/// Whether an increment is remembered.
pub(crate) enum Lookup {
    /// It was counted.
    Acknowledged {
        /// The total after it.
        total: f64,
    },
    /// It is not remembered.
    Unknown {
        /// Where it belongs among the increments of its caller.
        index: usize,
    },
}

impl CallerRecord {
    fn find(&self, number: u64) -> Lookup {
        let found = match self.acknowledged.back() {
            None => Err(0),
            // Numbers ascend as a rule, so most belong at the end.
            Some(last) if last.number < number => Err(self.acknowledged.len()),
            Some(_) => self
                .acknowledged
                .binary_search_by_key(&number, |entry| entry.number),
        };
        match found {
            Ok(index) => Lookup::Acknowledged {
                total: self.acknowledged[index].total,
            },
            Err(index) => Lookup::Unknown { index },
        }
    }

    fn remember(&mut self, index: usize, entry: Acknowledged, limits: &Limits) {
        self.last_used = self.last_used.max(entry.at);
        self.acknowledged.insert(index, entry);
        while self.has_surplus(entry.at, limits) {
            let Some(dropped) = self.acknowledged.pop_front() else {
                break;
            };
            self.forgotten_up_to = self.forgotten_up_to.max(dropped.number);
        }
    }

    /// Whether the increment with the lowest number is to be forgotten.
    fn has_surplus(&self, now: Timestamp, limits: &Limits) -> bool {
        let is_past_horizon = |entry: &Acknowledged| entry.at + limits.horizon < now;
        self.acknowledged.len() > limits.remembered
            || self.acknowledged.front().is_some_and(is_past_horizon)
    }
}

/// All callers that are remembered.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerTable {
    records: FxHashMap<CallerId, CallerRecord>,
    /// The newest caller that was forgotten. Callers up to it that have no record are forgotten too.
    pub(crate) forgotten_up_to: CallerId,
}

impl CallerTable {
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether an increment was counted before. An error says that this is no longer known.
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

    /// Looks an increment up; one of an unknown caller belongs at the beginning.
    pub(crate) fn find(&self, caller: CallerId, number: u64) -> Lookup {
        match self.records.get(&caller) {
            Some(record) => record.find(number),
            None => Lookup::Unknown { index: 0 },
        }
    }

    /// Remembers an increment at the index that [`CallerTable::find`] returned.
    pub(crate) fn remember(
        &mut self,
        caller: CallerId,
        index: usize,
        entry: Acknowledged,
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

    /// Forgets the caller that was not heard of for the longest time. A late increment of it is recognised by its
    /// incarnation, as incarnations only grow.
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

    /// All records, sorted by caller.
    pub(crate) fn sorted_records(&self) -> Vec<(CallerId, &CallerRecord)> {
        let mut records: Vec<(CallerId, &CallerRecord)> = self
            .records
            .iter()
            .map(|(&caller, record)| (caller, record))
            .collect();
        records.sort_unstable_by_key(|record| record.0);
        records
    }

    /// The record of a caller in a snapshot, which may be spread over several parts.
    pub(crate) fn restore(&mut self, caller: CallerId) -> &mut CallerRecord {
        self.records.entry(caller).or_default()
    }
}
