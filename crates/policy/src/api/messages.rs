//! What a gateway is told, and what it may do.

use super::{
    CellId, ClassId, CounterKey, CustomerId, EndpointId, PlanId, RequestId, TimeDelta, TimerId,
    Timestamp, ZoneId,
};

/// Whether a server takes new work, as the list tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes work.
    InService,
    /// It finishes what it has.
    Draining,
    /// It was taken away.
    Removed,
}

/// One line of the server list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The server.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: EndpointState,
    /// Its size against the others.
    pub weight: f64,
    /// When it last started; `None`: long ago.
    pub started_at: Option<Timestamp>,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Only entries that changed.
    Incremental,
    /// The complete list.
    Complete,
    /// A call for the list or the subscription failed; the earlier list stays.
    Unavailable,
}

/// How an attempt, a probe or a count call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; may have run.
    Timeout,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
}

impl Outcome {
    /// The outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent
        )
    }
}

/// What a server said of its load, where it did.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests being handled.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Part of its cores in use.
    pub utilization: Option<f64>,
}

/// A request that came in.
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
    /// Through how many gateways this customer's requests come.
    pub customer_gateways: u32,
    /// The client gives up then.
    pub deadline: Timestamp,
    /// Its units.
    pub units: f64,
    /// The client repeats a try that was refused, failed or given up (where clients say so).
    pub is_retry: bool,
}

/// An attempt that ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// Which of its attempts.
    pub attempt: usize,
    /// The server.
    pub endpoint: EndpointId,
    /// How.
    pub outcome: Outcome,
    /// How long it was out.
    pub elapsed: TimeDelta,
    /// The request has had its final answer.
    pub request_finished: bool,
    /// The true units, where they are settled afterwards.
    pub settled_units: Option<f64>,
    /// The server's load report.
    pub load_report: LoadReport,
}

/// What a zone should bear, where sites are watched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneShare {
    /// The zone.
    pub zone: ZoneId,
    /// Part of the requests that go there first. Over all zones they sum to one.
    pub share: f64,
    /// Others' requests may go there where their own zone has no place.
    pub accepts_overflow: bool,
}

/// What is let in at all, by worth for each unit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SheddingThreshold {
    /// Worth this much or more: let in.
    pub admit_above: f64,
    /// Worth less than this: refused.
    pub reject_below: f64,
    /// Part of those between that is let in.
    pub admit_fraction: f64,
}

/// What a gateway is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// What zones should bear and what is let in; until the first, nothing is known of zones as
    /// wholes.
    ZoneSharesChanged {
        /// Every zone.
        shares: Vec<ZoneShare>,
        /// What is admitted at all.
        threshold: SheddingThreshold,
    },
    /// News of the server list.
    EndpointsUpdated {
        /// What the entries stand for.
        scope: UpdateScope,
        /// The lines of the list.
        entries: Vec<EndpointEntry>,
    },
    /// A request came in.
    RequestArrived(IncomingRequest),
    /// A timer came due.
    Timer(TimerId),
    /// A streamed answer has started; the request is the client's now.
    ResponseStarted(RequestId),
    /// The client is gone.
    ClientDisconnected(RequestId),
    /// A request that was granted cost so many units in truth.
    UnitsSettled {
        /// The granted request.
        request: RequestId,
        /// Its true units.
        units: f64,
    },
    /// Its body is no longer held and cannot be sent again.
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
    /// A count call ended, with the total where it was answered.
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

/// What a gateway does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt, to be given up at that time.
    SendAttempt {
        /// The request.
        request: RequestId,
        /// Where it goes.
        endpoint: EndpointId,
        /// When the attempt is given up.
        deadline: Timestamp,
    },
    /// Final answer: refused, with advice when to come back.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client may come back.
        retry_after: Option<TimeDelta>,
    },
    /// Leave is given: the caller does the work itself, and tells its end by `ClientGone`.
    Grant(RequestId),
    /// Final answer: failed.
    Fail(RequestId),
    /// Call off an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Which of its attempts, from 0.
        attempt: usize,
    },
    /// Ask a server for its load.
    Probe(EndpointId),
    /// Add to a count that lives that long, and hear the total.
    AddToCounter {
        /// The counter.
        key: CounterKey,
        /// What is added; may be negative.
        amount: f64,
        /// How long the counter lives from its first add.
        time_to_live: TimeDelta,
    },
    /// Wake the module after this time.
    SetTimer {
        /// The timer to raise.
        timer: TimerId,
        /// How long from now.
        after: TimeDelta,
    },
    /// Ask for changes of the server list.
    Subscribe,
    /// Ask for the whole server list.
    FetchEndpoints,
}
