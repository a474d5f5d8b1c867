//! Requests to the queue and the verdicts on them.

use chalkdeck_time::{TimeDelta, Timestamp};

/// Id of a request; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Id of a customer, which is a hash of the customer's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);

/// A request to be queued.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// The customer's weight, above 0.
    pub weight: f64,
    /// Its units, above 0.
    pub units: f64,
    /// The time by which it must be answered.
    pub deadline: Timestamp,
    /// The time until the customer's quota suffices for it, as far as is known; zero if it suffices now.
    pub quota_reset: TimeDelta,
}

/// The queue's verdict on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is admitted to the decision engine.
    Admit {
        /// Its id.
        id: RequestId,
    },
    /// It is rejected.
    Reject {
        /// Its id.
        id: RequestId,
        /// The delay after which a retry may succeed.
        retry_after: TimeDelta,
    },
}

/// A request that waits in a queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) request: Request,
    /// The time after which it is rejected if it still waits.
    pub(crate) expires_at: Timestamp,
}
