//! State of the calls to the shared counter service: circuit breaker, sampling and calls in flight.

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
    /// Opens when calls for different customers fail.
    pub(crate) breaker: CircuitBreaker,
    /// Decides which requests call the counter.
    pub(crate) sampler: CounterSampler,
    /// Calls in flight.
    pub(crate) calls: PendingCalls,
    /// The customer whose call failed last, if no call has succeeded since.
    pub(crate) last_failed_customer: Option<CustomerId>,
    /// When a call last succeeded.
    pub(crate) last_reply_at: Timestamp,
}

impl CounterState {
    /// Creates the initial state; `gateways` is the number of gateways.
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
