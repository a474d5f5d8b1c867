//! The results of calls to the counter.

use chalkdeck::api::{CounterKey, Outcome};

/// The result of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CounterResult {
    pub(crate) key: CounterKey,
    pub(crate) outcome: Outcome,
    /// The total after the increment; meaningful only with `Outcome::Ok`.
    pub(crate) total: f64,
}

impl CounterResult {
    /// The result of a call that received no reply.
    pub(super) fn without_total(key: CounterKey, outcome: Outcome) -> CounterResult {
        CounterResult {
            key,
            outcome,
            total: 0.0,
        }
    }
}
