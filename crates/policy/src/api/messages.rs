//! Events that the engine takes, and actions that it gives.

use super::{
    CellId, ClassId, CounterKey, CustomerId, EndpointId, PlanId, RequestId, TimeDelta, TimerId,
    Timestamp, ZoneId,
};

/// Whether an endpoint takes new attempts, by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It does.
    InService,
    /// It finishes those it has.
    Draining,
    /// It is gone.
    Removed,
}

/// One line of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: EndpointState,
    /// Its capacity against the others.
    pub weight: f64,
    /// When it last started; `None`: long ago.
    pub started_at: Option<Timestamp>,
}

/// What the entries of an update stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Only entries that changed.
    Incremental,
    /// The complete list.
    Complete,
    /// The list or the subscription failed; the earlier list stays in force.
    Unavailable,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Rejected before it ran.
    Rejected,
    /// No answer in time; may have run.
    Timeout,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent
        )
    }
}

/// What an endpoint reported of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it handles.
    pub in_flight: Option<f64>,
    /// Requests that wait there.
    pub queued: Option<f64>,
    /// Part of its cores in use.
    pub utilization: Option<f64>,
}

/// A request as it arrives.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its customer's plan.
    pub plan: PlanId,
    /// Its customer.
    pub customer: CustomerId,
    /// Number of gateways that this customer's requests come through.
    pub customer_gateways: u32,
    /// When the client gives up.
    pub deadline: Timestamp,
    /// Its units.
    pub units: f64,
    /// The client retries a request that was rejected, failed or timed out (where clients say so).
    pub is_retry: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub attempt: usize,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it was in flight.
    pub elapsed: TimeDelta,
    /// The request has had its final answer.
    pub is_request_finished: bool,
    /// The true units of the request, where they are known only now.
    pub settled_units: Option<f64>,
    /// What the endpoint reported of its load.
    pub load_report: LoadReport,
}

/// The part of the load that a zone should bear, where sites are watched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneShare {
    /// The zone.
    pub zone: ZoneId,
    /// Part of the requests that go there first. Over all zones they sum to one.
    pub share: f64,
    /// Requests of other zones may go there where those have no room.
    pub accepts_overflow: bool,
}

/// What is admitted at all, by priority weight for each unit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SheddingThreshold {
    /// This much or more is admitted.
    pub admit_above: f64,
    /// Less than this is rejected.
    pub reject_below: f64,
    /// The part of those between that is admitted.
    pub admit_fraction: f64,
}

/// What the engine takes.
#[derive(Clone, Debug)]
pub enum Event {
    /// What zones should bear and what is admitted; before the first one, sites are not watched.
    ZoneSharesChanged {
        /// Every zone.
        shares: Vec<ZoneShare>,
        /// What is admitted at all.
        threshold: SheddingThreshold,
    },
    /// The endpoint list changed.
    EndpointsUpdated {
        /// What the entries stand for.
        scope: UpdateScope,
        /// The lines of the list.
        entries: Vec<EndpointEntry>,
    },
    /// A request arrived.
    RequestArrived(IncomingRequest),
    /// A timer fired.
    Timer(TimerId),
    /// The response has started, so nothing can be sent again.
    ResponseStarted(RequestId),
    /// The client disconnected, or the caller of a granted request is done.
    ClientDisconnected(RequestId),
    /// The true units of a granted request are known.
    UnitsSettled {
        /// The granted request.
        request: RequestId,
        /// Its true units.
        units: f64,
    },
    /// The request's body is no longer kept and cannot be sent again.
    BodyDiscarded(RequestId),
    /// A probe ended.
    ProbeCompleted {
        /// The probed endpoint.
        endpoint: EndpointId,
        /// How the probe ended.
        outcome: Outcome,
        /// What the endpoint said of its load.
        load_report: LoadReport,
    },
    /// A counter call ended. Answers for one key come in the order of its calls.
    CounterReplied {
        /// The counter that was added to.
        key: CounterKey,
        /// How the call ended.
        outcome: Outcome,
        /// The total after the add; meaningful with [`Outcome::Ok`] only.
        total: f64,
    },
    /// An attempt ended.
    AttemptEnded(AttemptResult),
}

/// What the engine wants done. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    SendAttempt {
        /// The request.
        request: RequestId,
        /// Where it goes.
        endpoint: EndpointId,
        /// When the attempt is given up.
        deadline: Timestamp,
    },
    /// Final answer: rejected; a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client may retry.
        retry_after: Option<TimeDelta>,
    },
    /// Final answer of an admission-only request: admitted. Its end is
    /// [`Event::ClientDisconnected`].
    Grant(RequestId),
    /// Final answer: failed; it may have run.
    Fail(RequestId),
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Which of its attempts, from 0.
        attempt: usize,
    },
    /// Ask an endpoint for its load.
    Probe(EndpointId),
    /// Add to a counter and get its total.
    AddToCounter {
        /// The counter.
        key: CounterKey,
        /// What is added; may be negative.
        amount: f64,
        /// How long the counter lives from its first add.
        time_to_live: TimeDelta,
    },
    /// Raise [`Event::Timer`] later.
    SetTimer {
        /// The timer to raise.
        timer: TimerId,
        /// How long from now.
        after: TimeDelta,
    },
    /// Subscribe to updates of the endpoint list.
    Subscribe,
    /// Fetch the complete endpoint list.
    FetchEndpoints,
}
