//! The shared counter service as one gateway knows it: what may be asked, what is in flight, what
//! was answered.

pub(crate) mod calls;
pub(crate) mod circuit_breaker;
pub(crate) mod sampling;

use crate::api::{CustomerId, Timestamp};
use calls::PendingCalls;
use circuit_breaker::CircuitBreaker;
use sampling::CounterSampler;

/// State of the calls to the counter, over all customers.
#[derive(Debug)]
pub(crate) struct CounterState {
    /// Opens when calls fail whichever customer they are for.
    pub(crate) breaker: CircuitBreaker,
    /// Which requests call the counter.
    pub(crate) sampler: CounterSampler,
    /// Calls whose answers are still to come.
    pub(crate) calls: PendingCalls,
    /// Whose call failed last, if none succeeded since.
    pub(crate) last_failed_customer: Option<CustomerId>,
    /// When the counter last answered.
    pub(crate) last_reply_at: Timestamp,
}

impl CounterState {
    /// The state at the start of one of so many gateways.
    pub(crate) fn new(gateways: u32) -> CounterState {
        CounterState {
            breaker: CircuitBreaker::default(),
            sampler: CounterSampler::new(gateways),
            calls: PendingCalls::default(),
            last_failed_customer: None,
            last_reply_at: Timestamp::ZERO,
        }
    }
}
