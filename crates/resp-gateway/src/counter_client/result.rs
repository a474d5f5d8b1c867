//! The results of calls to the counter.

use chalkdeck::api::{CounterKey, Outcome};

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CounterResult {
    pub(crate) key: CounterKey,
    pub(crate) outcome: Outcome,
    /// The total after the increment; meaningful with `Outcome::Ok` only.
    pub(crate) total: f64,
}

impl CounterResult {
    /// The result of a call that had no reply.
    pub(super) fn without_total(key: CounterKey, outcome: Outcome) -> CounterResult {
        CounterResult {
            key,
            outcome,
            total: 0.0,
        }
    }
}
