//! Divides the memory that the platform grants among all that grows with what peers do. It does no I/O.
//!
//! The parts, the process at rest and what its allocator keeps add up to the grant. See "Memory" in `docs/resp-gateway.md`.

use crate::config::ResourceLimits;
use crate::memory_budget::REPLY_OVERRUN_FRACTION;

const BYTES_PER_MB: f64 = 1e6;
/// The resident memory of a process without connections and customers: its program, and what it allocates at its start.
const PROCESS_BYTES: f64 = 7_500_000.0;
/// What an open connection takes besides its buffers, in the event loop and in the component that owns it.
const CONNECTION_BYTES: f64 = 2_000.0;
/// The least fraction of the grant that is divided, however small the grant is.
const MIN_DIVIDED_FRACTION: f64 = 0.25;

/// The fractions of what is divided. What they leave is for the allocator: free memory between the blocks that are in use.
const SESSIONS_FRACTION: f64 = 0.5 / (1.0 + REPLY_OVERRUN_FRACTION);
const CUSTOMERS_FRACTION: f64 = 0.125;
const PARTIAL_REPLIES_FRACTION: f64 = 0.1;
const DISCOVERY_FRACTION: f64 = 0.1;
const COUNTER_CALLS_FRACTION: f64 = 0.04;
const READS_FRACTION: f64 = 0.025;

/// The fraction of the grant that the value of one reply may take.
const REPLY_VALUE_FRACTION: f64 = 1.0 / 64.0;

/// What a customer without an open request takes, with its part of the table and the record of its quota that is left of it.
pub(crate) const CUSTOMER_BYTES: usize = 1_280;
/// What a call to the counter without a reply takes, with its part of the send buffer.
const COUNTER_CALL_BYTES: f64 = 256.0;
/// The most that is read in one turn of the event loop, whatever is granted.
const MAX_READ_BYTES_PER_TURN: f64 = 1_048_576.0;

/// The bounds of one gateway. Those without another unit are in bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemoryPlan {
    /// Client sessions: received bytes, open requests with their customers, and replies that are not larger than expected.
    pub(crate) sessions: usize,
    /// The number of customers without an open request.
    pub(crate) max_customers: usize,
    /// The value of one reply of an endpoint.
    pub(crate) reply_value: usize,
    /// The buffers of all incomplete replies of endpoints.
    pub(crate) partial_replies: usize,
    /// Responses of discovery that are not parsed yet.
    pub(crate) discovery: usize,
    /// The number of calls to the counter without a reply.
    pub(crate) max_counter_calls: usize,
    /// What is read from all connections in one turn of the event loop.
    pub(crate) reads_per_turn: usize,
}

impl MemoryPlan {
    /// The plan of a gateway to which these resources are granted.
    pub(crate) fn new(limits: &ResourceLimits) -> MemoryPlan {
        let granted = limits.memory_mb * BYTES_PER_MB;
        let fixed = PROCESS_BYTES + CONNECTION_BYTES * limits.sockets as f64;
        let divided = (granted - fixed).max(granted * MIN_DIVIDED_FRACTION);
        let part = |fraction: f64| divided * fraction;
        MemoryPlan {
            sessions: part(SESSIONS_FRACTION) as usize,
            max_customers: (part(CUSTOMERS_FRACTION) / CUSTOMER_BYTES as f64) as usize,
            reply_value: (granted * REPLY_VALUE_FRACTION) as usize,
            partial_replies: part(PARTIAL_REPLIES_FRACTION) as usize,
            discovery: part(DISCOVERY_FRACTION) as usize,
            max_counter_calls: (part(COUNTER_CALLS_FRACTION) / COUNTER_CALL_BYTES) as usize,
            reads_per_turn: part(READS_FRACTION).min(MAX_READ_BYTES_PER_TURN) as usize,
        }
    }
}

#[cfg(test)]
mod tests;
