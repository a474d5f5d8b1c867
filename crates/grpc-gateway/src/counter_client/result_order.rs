//! Orders the results of counter calls: those of one key are returned in the order in which its calls were made.

use chalkdeck::api::{CounterKey, Outcome};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// The number of a call, counted from 1 in the order in which calls are made.
pub(super) type CallNumber = u64;

/// How a call to the counter has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CounterResult {
    pub(crate) key: CounterKey,
    pub(crate) outcome: Outcome,
    /// The total after the increment; 0 unless the outcome is `Ok`.
    pub(crate) total: f64,
}

/// The place of a call's result in the order of its key.
#[derive(Debug)]
struct ResultSlot {
    call: CallNumber,
    /// `None` while the call is open.
    result: Option<CounterResult>,
}

/// The open calls of each key in their order, with the results that wait for an earlier call.
#[derive(Debug, Default)]
pub(super) struct ResultOrder {
    slots: FxHashMap<CounterKey, VecDeque<ResultSlot>>,
}

impl ResultOrder {
    /// Adds a call that is made now.
    pub(super) fn call_started(&mut self, key: CounterKey, call: CallNumber) {
        let slot = ResultSlot { call, result: None };
        self.slots.entry(key).or_default().push_back(slot);
    }

    /// Records the result of a call. Returns the results of its key that wait for no earlier call. A second result of a call
    /// is ignored.
    pub(super) fn call_ended(
        &mut self,
        call: CallNumber,
        result: CounterResult,
    ) -> Vec<CounterResult> {
        let Some(queue) = self.slots.get_mut(&result.key) else {
            return Vec::new();
        };
        if let Some(slot) = queue.iter_mut().find(|slot| slot.call == call) {
            slot.result.get_or_insert(result);
        }
        let mut ready = Vec::new();
        while let Some(result) = queue.front().and_then(|slot| slot.result) {
            ready.push(result);
            queue.pop_front();
        }
        if queue.is_empty() {
            self.slots.remove(&result.key);
        }
        ready
    }
}

#[cfg(test)]
mod tests;
