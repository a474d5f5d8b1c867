//! The interface of the decision module: what a gateway is told and what it may do.
//!
//! Nothing here decides. Ids carry no meaning beyond equality and order.

pub use chalkdeck_time::{TimeDelta, Timestamp};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}
id!(/// One try of a client.
    RequestId, u64);
id!(/// A customer, whose quota all gateways share.
    CustomerId, u64);
id!(/// A server of the back end; every gateway knows it by the same number.
    EndpointId, u64);
id!(/// A place in `Settings::classes`.
    ClassId, usize);
id!(/// A place in `Settings::plans`.
    PlanId, usize);
id!(/// A zone, numbered as the gateway was told.
    ZoneId, u32);
id!(/// A group of servers that share which keys they have seen.
    CellId, u64);
id!(/// A number kept by the counter service.
    CounterKey, u64);
id!(/// A timer, chosen by the module.
    TimerId, u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// Carries a key; the servers of one group drop a repeat within the window.
    Keyed,
    /// Must not run twice.
    NonIdempotent,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_objective: TimeDelta,
    /// How long a client waits, all tries together.
    pub deadline: TimeDelta,
    /// What a request is worth.
    pub priority_weight: f64,
    /// The part of the worth that an answer after the aim earns.
    pub late_priority_weight: f64,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// Who drops repeats, where keyed.
    pub key_scope: KeyScope,
    /// How long they drop them, where keyed.
    pub key_window: TimeDelta,
    /// The answer comes as a stream.
    pub is_streaming: bool,
    /// The caller does the work itself and asks for leave only: no server is chosen.
    pub admission_only: bool,
}

/// A plan. Its quota holds for each customer over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second; 0: no quota on the rate.
    pub rate: f64,
    /// The most units the quota's store holds.
    pub burst: f64,
    /// Attempts out at once; 0: no such cap.
    pub max_concurrency: f64,
    /// Multiplies the worth.
    pub priority_multiplier: f64,
    /// Part of the worth earned beyond the quota.
    pub over_quota_weight: f64,
    /// Part of the worth lost by sending on beyond the quota.
    pub over_quota_cost: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// The most units the ceiling's store holds.
    pub ceiling_burst: f64,
    /// How far that store may fall below nothing.
    pub ceiling_slack: f64,
}

/// What a gateway is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// This gateway's number among them.
    pub gateway_index: u32,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// The most attempts for one request.
    pub max_attempts: usize,
    /// Two attempts of one request may be out together.
    pub allow_hedging: bool,
    /// Attempts may be called off.
    pub allow_cancel: bool,
    /// Servers may be probed.
    pub allow_probes: bool,
    /// Clients receive a retry-after.
    pub send_retry_after: bool,
    /// The longest retry-after that a client follows.
    pub max_retry_after: TimeDelta,
    /// The counter service may be called.
    pub use_counter: bool,
    /// A count call ends unanswered after this.
    pub counter_timeout: TimeDelta,
    /// The largest request in units.
    pub max_request_units: f64,
    /// List changes must be asked for.
    pub requires_subscription: bool,
    /// A connection to a server that does not stand by then has failed: an attempt reaches its server that much later at most.
    pub dial_timeout: TimeDelta,
    /// How long past its deadline a final answer still counts.
    pub answer_slack: TimeDelta,
    /// A server starts at no less than this part of its capacity.
    pub slow_start_min_capacity: f64,
    /// A server is warm after this.
    pub slow_start_duration: TimeDelta,
    /// A cold server falls over when sent this many times its present capacity,
    pub overload_multiple: f64,
    /// for this long.
    pub overload_duration: TimeDelta,
    /// The shortest gap between two calls of the module.
    pub timer_resolution: TimeDelta,
}

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
    /// What zones should bear and what is let in; until the first, nothing is known of zones as wholes.
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

/// How a customer stands with its quota, as far as it is known here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaStatus {
    /// The most units (or places) at once.
    pub limit: f64,
    /// What is left of them.
    pub remaining: f64,
    /// When all of it is there again.
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

/// Settings that make no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// No gateways, or an index that is not below their number.
    #[error("gateways: expected at least one, and this one's number below it")]
    Gateways,
    /// No attempt is allowed.
    #[error("max_attempts: expected at least 1")]
    MaxAttempts,
    /// A number about slow start or request sizes is negative or not finite. The text has the names of the settings files.
    #[error("cold_from, fall_multiple, most_units: expected numbers of 0 or more")]
    Capacity,
    /// A class with a weight that is negative or not finite, or without a deadline.
    #[error("class: expected a worth of 0 or more and a deadline above 0")]
    Class,
    /// A plan with a number that is negative or not finite.
    #[error("plan: expected numbers of 0 or more")]
    Plan,
    /// A plan with a rate but no burst.
    #[error("plan: expected a burst above 0 where there is a rate")]
    Burst,
}

/// Whether a number may stand for an amount: finite and not negative.
fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

impl Class {
    fn check(&self) -> Result<(), SettingsError> {
        let has_sound_weights =
            is_amount(self.priority_weight) && is_amount(self.late_priority_weight);
        if has_sound_weights && self.deadline > TimeDelta::ZERO {
            Ok(())
        } else {
            Err(SettingsError::Class)
        }
    }
}

impl Plan {
    fn check(&self) -> Result<(), SettingsError> {
        let amounts = [
            self.rate,
            self.burst,
            self.max_concurrency,
            self.ceiling_rate,
            self.ceiling_burst,
            self.ceiling_slack,
            self.priority_multiplier,
            self.over_quota_weight,
            self.over_quota_cost,
        ];
        if !amounts.into_iter().all(is_amount) {
            return Err(SettingsError::Plan);
        }
        let quota_lacks_burst = self.rate > 0.0 && self.burst <= 0.0;
        let ceiling_lacks_burst = self.ceiling_rate > 0.0 && self.ceiling_burst <= 0.0;
        if quota_lacks_burst || ceiling_lacks_burst {
            return Err(SettingsError::Burst);
        }
        Ok(())
    }
}

impl Settings {
    /// Whether these settings make sense; the first that does not is the error.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.gateways == 0 || self.gateway_index >= self.gateways {
            return Err(SettingsError::Gateways);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::MaxAttempts);
        }
        let amounts = [
            self.slow_start_min_capacity,
            self.overload_multiple,
            self.max_request_units,
        ];
        if !amounts.into_iter().all(is_amount) {
            return Err(SettingsError::Capacity);
        }
        self.classes.iter().try_for_each(Class::check)?;
        self.plans.iter().try_for_each(Plan::check)
    }
}
