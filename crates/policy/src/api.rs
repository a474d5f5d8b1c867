//! The interface of the decision module: what a gateway is told and what it may do.
//!
//! Nothing here decides. Ids carry no meaning beyond equality and order.

use std::ops::{Add, Sub};

/// A point in time or a span, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The span scaled by `k` (never below zero).
    pub fn times(self, k: f64) -> Micros {
        Micros((self.0 as f64 * k).max(0.0) as u64)
    }
}
impl Add for Micros {
    type Output = Micros;
    fn add(self, o: Micros) -> Micros {
        Micros(self.0.saturating_add(o.0))
    }
}
impl Sub for Micros {
    type Output = Micros;
    /// Stops at zero.
    fn sub(self, o: Micros) -> Micros {
        Micros(self.0.saturating_sub(o.0))
    }
}

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
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Carries a key; the servers of one group drop a repeat within the window.
    Keyed,
    /// Must not run twice.
    Unsafe,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
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
    pub aim: Micros,
    /// How long a client waits, all tries together.
    pub deadline: Micros,
    /// What a request is worth.
    pub worth: f64,
    /// The part of the worth that an answer after the aim earns.
    pub late_worth: f64,
    /// Whether it may run again.
    pub effect: Effect,
    /// Who drops repeats, where keyed.
    pub group: Group,
    /// How long they drop them, where keyed.
    pub window: Micros,
    /// The answer comes as a stream.
    pub stream: bool,
    /// The caller does the work itself and asks for leave only: no server is chosen.
    pub by_caller: bool,
}

/// A plan. Its quota holds for each customer over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second; 0: no quota on the rate.
    pub rate: f64,
    /// The most units the quota's store holds.
    pub burst: f64,
    /// Attempts out at once; 0: no such cap.
    pub open: f64,
    /// Multiplies the worth.
    pub price: f64,
    /// Part of the worth earned beyond the quota.
    pub over_worth: f64,
    /// Part of the worth lost by sending on beyond the quota.
    pub over_cost: f64,
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
    pub me: u32,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// The most attempts for one request.
    pub max_attempts: usize,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Clients receive a retry-after.
    pub retry_after: bool,
    /// The longest retry-after that a client follows.
    pub max_retry_after: Micros,
    /// The counter service may be called.
    pub counter: bool,
    /// A count call ends unanswered after this.
    pub count_timeout: Micros,
    /// The largest request in units.
    pub most_units: f64,
    /// List changes must be asked for.
    pub must_subscribe: bool,
    /// A connection to a server that does not stand by then has failed: an attempt reaches its server that much later at most.
    pub dial_timeout: Micros,
    /// How long past its deadline a final answer still counts.
    pub answer_slack: Micros,
    /// A server starts at no less than this part of its capacity.
    pub cold_from: f64,
    /// A server is warm after this.
    pub cold: Micros,
    /// A cold server falls over when sent this many times its present capacity,
    pub fall_multiple: f64,
    /// for this long.
    pub tip_after: Micros,
    /// The shortest gap between two calls of the module.
    pub tick: Micros,
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
    pub server: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub listed: EndpointState,
    /// Its size against the others.
    pub weight: f64,
    /// When it last started; `None`: long ago.
    pub started: Option<Micros>,
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
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Part of its cores in use.
    pub busy: Option<f64>,
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
    pub spread: u32,
    /// The client gives up then.
    pub deadline: Micros,
    /// Its units.
    pub units: f64,
    /// The client repeats a try that was refused, failed or given up (where clients say so).
    pub resent: bool,
}

/// An attempt that ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// Which of its attempts.
    pub attempt: usize,
    /// The server.
    pub server: EndpointId,
    /// How.
    pub outcome: Outcome,
    /// How long it was out.
    pub took: Micros,
    /// The request has had its final answer.
    pub ended: bool,
    /// The true units, where they are settled afterwards.
    pub settled: Option<f64>,
    /// The server's load report.
    pub report: LoadReport,
}

/// What a zone should bear, where sites are watched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneShare {
    /// The zone.
    pub zone: ZoneId,
    /// Part of the requests that go there first. Over all zones they sum to one.
    pub share: f64,
    /// Others' requests may go there where their own zone has no place.
    pub open: bool,
}

/// What is let in at all, by worth for each unit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SheddingThreshold {
    /// Worth this much or more: let in.
    pub sure: f64,
    /// Worth less than this: refused.
    pub from: f64,
    /// Part of those between that is let in.
    pub part: f64,
}

/// What a gateway is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// What zones should bear and what is let in; until the first, nothing is known of zones as wholes.
    ZoneSharesChanged(Vec<ZoneShare>, SheddingThreshold),
    /// News of the server list.
    EndpointsUpdated(UpdateScope, Vec<EndpointEntry>),
    /// A request came in.
    RequestArrived(IncomingRequest),
    /// A timer came due.
    Timer(TimerId),
    /// A streamed answer has started; the request is the client's now.
    ResponseStarted(RequestId),
    /// The client is gone.
    ClientDisconnected(RequestId),
    /// A request that was granted cost so many units in truth.
    UnitsSettled(RequestId, f64),
    /// Its body is no longer held and cannot be sent again.
    BodyDiscarded(RequestId),
    /// A probe ended.
    ProbeCompleted(EndpointId, Outcome, LoadReport),
    /// A count call ended, with the total where it was answered.
    CounterReplied(CounterKey, Outcome, f64),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
}

/// What a gateway does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt, to be given up at that time.
    SendAttempt(RequestId, EndpointId, Micros),
    /// Final answer: refused, with advice when to come back.
    Reject(RequestId, Option<Micros>),
    /// Leave is given: the caller does the work itself, and tells its end by `ClientGone`.
    Grant(RequestId),
    /// Final answer: failed.
    Fail(RequestId),
    /// Call off an attempt.
    CancelAttempt(RequestId, usize),
    /// Ask a server for its load.
    Probe(EndpointId),
    /// Add to a count that lives that long, and hear the total.
    AddToCounter(CounterKey, f64, Micros),
    /// Wake the module after this time.
    SetTimer(TimerId, Micros),
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
    pub reset: Micros,
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for SettingsError {}

impl Settings {
    /// Whether these settings make sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        let fail = |what: &str| Err(SettingsError(what.to_string()));
        let sound = |v: f64| v.is_finite() && v >= 0.0;
        if self.gateways == 0 || self.me >= self.gateways {
            return fail("gateways: expected at least one, and this one's number below it");
        }
        if self.max_attempts == 0 {
            return fail("max_attempts: expected at least 1");
        }
        if ![self.cold_from, self.fall_multiple, self.most_units]
            .into_iter()
            .all(sound)
        {
            return fail("cold_from, fall_multiple, most_units: expected numbers of 0 or more");
        }
        if !self
            .classes
            .iter()
            .all(|c| sound(c.worth) && sound(c.late_worth) && c.deadline.0 > 0)
        {
            return fail("class: expected a worth of 0 or more and a deadline above 0");
        }
        for p in &self.plans {
            let quota = [
                p.rate,
                p.burst,
                p.open,
                p.ceiling_rate,
                p.ceiling_burst,
                p.ceiling_slack,
            ];
            let worth = [p.price, p.over_worth, p.over_cost];
            if !quota.into_iter().chain(worth).all(sound) {
                return fail("plan: expected numbers of 0 or more");
            }
            if p.rate > 0.0 && p.burst <= 0.0 || p.ceiling_rate > 0.0 && p.ceiling_burst <= 0.0 {
                return fail("plan: expected a burst above 0 where there is a rate");
            }
        }
        Ok(())
    }
}
