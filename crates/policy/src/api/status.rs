//! What can be read off the engine between events.

use super::{EndpointId, TimeDelta};

/// How a customer stands with its quota, as far as this gateway knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaStatus {
    /// The most units (or concurrency slots) at once.
    pub limit: f64,
    /// What is left of them.
    pub remaining: f64,
    /// Time until all of it is there again.
    pub resets_in: TimeDelta,
}

/// Attempts in flight at one endpoint, and how many there may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointConcurrency {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Attempts of this gateway in flight there.
    pub in_flight: f64,
    /// This gateway's part of the endpoint's concurrency limit.
    pub limit: f64,
}
