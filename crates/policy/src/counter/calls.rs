//! Calls to the counter: keys, what is added, and the calls whose answers are still to come.

use crate::api::{CounterKey, CustomerId, RequestId, Timestamp};
use crate::hash::mix_bits;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// What a counter counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CounterPurpose {
    /// Units of a customer in one window of its quota.
    Quota,
    /// Attempts of a customer in flight, in one epoch.
    Concurrency,
}

/// An add that is to be made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CounterAdd {
    pub(crate) purpose: CounterPurpose,
    pub(crate) customer: CustomerId,
    /// The request that waits for the answer; none: unposted units only.
    pub(crate) request: Option<RequestId>,
    /// Units (or slots) of the request.
    pub(crate) units: f64,
    /// Units that stand for the requests like this one that are not sampled.
    pub(crate) unsampled_units: f64,
}

/// One call whose answer is still to come.
#[derive(Debug)]
pub(crate) struct CounterCall {
    pub(crate) sent_at: Timestamp,
    pub(crate) purpose: CounterPurpose,
    pub(crate) customer: CustomerId,
    /// The window or epoch of the counter.
    pub(crate) window: u64,
    pub(crate) request: Option<RequestId>,
    /// All that was added.
    pub(crate) amount: f64,
    /// The part of the amount that was used earlier and not posted until now.
    pub(crate) posted_late: f64,
    /// The part of the amount that stands for requests that are not sampled.
    pub(crate) unsampled_units: f64,
    /// It is the half-open probe of a circuit breaker.
    pub(crate) is_probe: bool,
}

/// Calls without an answer. Answers for one key come in the order of its calls.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls(FxHashMap<CounterKey, VecDeque<CounterCall>>);

impl PendingCalls {
    /// Keeps a call until its answer comes.
    pub(crate) fn push(&mut self, key: CounterKey, call: CounterCall) {
        self.0.entry(key).or_default().push_back(call);
    }

    /// The oldest call for a key; none if none is known.
    pub(crate) fn pop(&mut self, key: CounterKey) -> Option<CounterCall> {
        let calls = self.0.get_mut(&key)?;
        let call = calls.pop_front();
        if calls.is_empty() {
            self.0.remove(&key);
        }
        call
    }
}

/// The key of a customer's counter for one window, equal at every gateway.
pub(crate) fn counter_key(
    customer: CustomerId,
    purpose: CounterPurpose,
    window: u64,
) -> CounterKey {
    let purpose_bit = u64::from(purpose == CounterPurpose::Concurrency);
    CounterKey(mix_bits(mix_bits(customer.0) ^ mix_bits(window << 1 | purpose_bit)) >> 1)
}
