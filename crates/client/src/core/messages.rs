//! Events that the core handles, actions that it requests, and the types in them.

use chalkdeck_time::{TimeDelta, Timestamp};

/// The id of a call. The caller chooses it and never reuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The position of a gateway in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GatewayId(pub usize);

/// Whether a call may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may always be retried.
    Idempotent,
    /// It may be retried while the servers deduplicate by its key. All servers that a retry can reach must do so, because a client
    /// does not choose the cell.
    Keyed {
        /// How long the servers remember a key, from the first attempt that may have run.
        key_window: TimeDelta,
    },
    /// It may be retried only if every earlier attempt is known not to have run.
    NonIdempotent,
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A server answered, possibly with an error status.
    Answered,
    /// It was rejected before it ran, so a retry is safe.
    Rejected {
        /// The delay after which a retry may succeed, if the gateway stated one.
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
    /// Its last attempt was answered.
    Answered,
    /// It was rejected.
    Rejected {
        /// The delay after which a new call may succeed, if the gateway stated one.
        retry_after: Option<TimeDelta>,
    },
    /// It never ran, so a new call is safe.
    NotSent,
    /// It failed and may have run.
    Failed,
    /// Its deadline passed.
    DeadlineExceeded {
        /// Whether an attempt may have run: one was sent that is not known to be unprocessed.
        may_have_run: bool,
    },
    /// The limit of open or pending calls is reached.
    TooManyCalls,
    /// The caller cancelled it.
    Cancelled,
}

/// An event that the core handles.
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
        /// When it must be answered at the latest.
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
    /// A call cannot be retried any more: part of its response has reached the caller, or it sent messages that are not kept.
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

/// An action that the core requests.
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
        /// The gateway to send it to.
        gateway: GatewayId,
        /// The time left until the call's deadline.
        time_left: TimeDelta,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// Its call.
        call: CallId,
        /// Its number, from 0.
        attempt: u32,
    },
    /// Report the outcome to the caller. Every call is completed exactly once.
    CompleteCall {
        /// The call.
        call: CallId,
        /// How it ended.
        outcome: Outcome,
    },
}
