//! Requests as the queue sees them, and what becomes of them.

use chalkdeck_time::{TimeDelta, Timestamp};

/// Id of a request, never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Id of a customer: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);

/// A request that is offered to the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Whose it is.
    pub customer: CustomerId,
    /// The customer's weight, above 0.
    pub weight: f64,
    /// Its units, above 0.
    pub units: f64,
    /// By when it must be answered.
    pub deadline: Timestamp,
    /// How long until the customer's quota has room for it, as far as is known; zero if it has.
    pub quota_reset: TimeDelta,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It goes to the decisions.
    Admit {
        /// Its id.
        id: RequestId,
    },
    /// It is rejected.
    Reject {
        /// Its id.
        id: RequestId,
        /// When a retry may succeed.
        retry_after: TimeDelta,
    },
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) request: Request,
    /// It is rejected if it still waits after this time.
    pub(crate) expires_at: Timestamp,
}
