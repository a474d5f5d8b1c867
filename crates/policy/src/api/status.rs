//! Read-only views of the engine's state.

use super::{EndpointId, TimeDelta};

/// A customer's quota usage as known to this gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaStatus {
    /// Maximum number of units, or of concurrency slots.
    pub limit: f64,
    /// Units or slots still available.
    pub remaining: f64,
    /// Time until the current window ends; zero for concurrency slots.
    pub resets_in: TimeDelta,
}

/// Attempts in flight at one endpoint, and their limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointConcurrency {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Attempts of this gateway in flight there.
    pub in_flight: f64,
    /// This gateway's share of the endpoint's concurrency limit.
    pub limit: f64,
}
