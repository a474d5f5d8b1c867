//! Calls to the counter: their keys, their amounts, and those in flight.

use crate::api::{CounterKey, CustomerId, RequestId, Timestamp};
use crate::hash::mix_bits;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// What a counter counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CounterPurpose {
    /// Units of a customer in one window of its quota.
    Quota,
    /// Concurrency slots of a customer in one epoch.
    Concurrency,
}

/// An add to be sent to the counter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CounterAdd {
    pub(crate) purpose: CounterPurpose,
    pub(crate) customer: CustomerId,
    /// The request that waits for the reply; `None` if the call only posts unposted units.
    pub(crate) request: Option<RequestId>,
    /// Units (or slots) of the request.
    pub(crate) units: f64,
    /// Units added on behalf of similar requests that are not sampled.
    pub(crate) unsampled_units: f64,
}

/// One call in flight.
#[derive(Debug)]
pub(crate) struct CounterCall {
    pub(crate) sent_at: Timestamp,
    pub(crate) purpose: CounterPurpose,
    pub(crate) customer: CustomerId,
    /// Index of the window or epoch that the counter belongs to.
    pub(crate) window_index: u64,
    pub(crate) request: Option<RequestId>,
    /// The whole amount of the add.
    pub(crate) amount: f64,
    /// The part of the amount that was used before this call and not posted yet.
    pub(crate) posted_late: f64,
    /// The part of the amount added on behalf of requests that are not sampled.
    pub(crate) unsampled_units: f64,
    /// Whether it is the half-open probe of a circuit breaker.
    pub(crate) is_probe: bool,
}

/// Calls in flight. Replies for one key arrive in the order of the calls.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls(FxHashMap<CounterKey, VecDeque<CounterCall>>);

impl PendingCalls {
    /// Adds a call that is sent.
    pub(crate) fn push(&mut self, key: CounterKey, call: CounterCall) {
        self.0.entry(key).or_default().push_back(call);
    }

    /// Removes and returns the oldest call for a key.
    pub(crate) fn pop(&mut self, key: CounterKey) -> Option<CounterCall> {
        let calls = self.0.get_mut(&key)?;
        let call = calls.pop_front();
        if calls.is_empty() {
            self.0.remove(&key);
        }
        call
    }
}

/// The key of a customer's counter for one window. Every gateway computes the same key.
pub(crate) fn counter_key(
    customer: CustomerId,
    purpose: CounterPurpose,
    window_index: u64,
) -> CounterKey {
    let purpose_bit = u64::from(purpose == CounterPurpose::Concurrency);
    CounterKey(mix_bits(mix_bits(customer.0) ^ mix_bits(window_index << 1 | purpose_bit)) >> 1)
}
