//! What the core is told, and what it wants done.

use chalkdeck_time::{TimeDelta, Timestamp};

/// Id of a call; chosen by the caller, never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Place of a gateway in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GatewayId(pub usize);

/// Whether a call may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Always.
    Idempotent,
    /// Only where every server that a retry can reach deduplicates by the key of the first attempt, as a client does not
    /// choose the cell.
    Keyed {
        /// How long the servers remember a key, counted from the first attempt that may have run.
        key_window: TimeDelta,
    },
    /// Only if every earlier attempt is known not to have run.
    NonIdempotent,
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A server answered, whatever the status.
    Answered,
    /// It was rejected; a retry is harmless.
    Rejected {
        /// When a retry may succeed, if the gateway said so.
        retry_after: Option<TimeDelta>,
    },
    /// It is known not to have run.
    NotProcessed,
    /// It may have run.
    MayHaveRun,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// By the answer of its last attempt.
    Answered,
    /// It was rejected.
    Rejected {
        /// When it may be called again, if the gateway said so.
        retry_after: Option<TimeDelta>,
    },
    /// It never ran, and may be called again.
    NotSent,
    /// It may have run.
    Failed,
    /// Its deadline passed.
    DeadlineExceeded {
        /// Whether an attempt was sent that is not known to have not run.
        may_have_run: bool,
    },
    /// Too many calls are pending.
    TooManyCalls,
    /// The caller cancelled it.
    Cancelled,
}

/// What the core is told.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The list of gateways has changed.
    GatewaysListed {
        /// Its length.
        count: usize,
    },
    /// The caller started a call.
    CallStarted {
        /// Its id.
        call: CallId,
        /// Whether it may be retried.
        idempotency: Idempotency,
        /// By when it must be answered.
        deadline: Timestamp,
    },
    /// The caller cancelled a call.
    CallCancelled {
        /// Its id.
        call: CallId,
    },
    /// A connection was established.
    Connected {
        /// Its gateway.
        gateway: GatewayId,
    },
    /// A connection was lost, could not be established, or accepts no new attempts.
    Disconnected {
        /// Its gateway.
        gateway: GatewayId,
    },
    /// A call cannot be retried any more: its answer has begun to reach the caller, or what it sent cannot be sent again.
    RetryRuledOut {
        /// Its id.
        call: CallId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Its call.
        call: CallId,
        /// Its number, from 0.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// Time has passed.
    Tick,
}

/// What the core wants done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Connect to a gateway.
    Connect {
        /// The gateway.
        gateway: GatewayId,
    },
    /// Send an attempt.
    SendAttempt {
        /// Its call.
        call: CallId,
        /// Its number, from 0.
        attempt: u32,
        /// Where it goes.
        gateway: GatewayId,
        /// Time left until the call's deadline.
        time_left: TimeDelta,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// Its call.
        call: CallId,
        /// Its number, from 0.
        attempt: u32,
    },
    /// Tell the caller the outcome. Each call has one.
    CompleteCall {
        /// The call.
        call: CallId,
        /// How it ended.
        outcome: Outcome,
    },
}
