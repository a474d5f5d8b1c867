//! What the core is told.

use chalkdeck_time::{TimeDelta, Timestamp};

/// A site: a zone with its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub u32);

/// A back-end server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// One line of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The site that it stands in.
    pub site: SiteId,
    /// Whether it takes new work.
    pub in_service: bool,
    /// Its size relative to the other endpoints; 0 or less counts as 1.
    pub weight: f64,
    /// When it last started; `None` means long ago.
    pub started: Option<Timestamp>,
}

/// How an attempt ended, as evidence about its endpoint and site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvidence {
    /// The endpoint answered, with a result or with an error of its own.
    Answered,
    /// The endpoint rejected the attempt without processing it.
    Rejected,
    /// There was no answer within the attempt's time.
    TimedOut,
    /// No connection could be made, or it broke.
    Unreachable,
    /// The gateway cancelled the attempt before its time was over. This is evidence of nothing.
    Cancelled,
}

/// An attempt that ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub evidence: AttemptEvidence,
    /// Time from its start to its end.
    pub latency: TimeDelta,
    /// The latency objective of its request.
    pub objective: TimeDelta,
    /// Units of work of its request.
    pub units: f64,
}

/// The attempts in flight at one endpoint, and their limit there.
#[derive(Clone, Copy, Debug)]
pub struct EndpointConcurrency {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Attempts in flight.
    pub in_flight: f64,
    /// The most that may be in flight.
    pub limit: f64,
}

/// What a client got in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The answer of an endpoint.
    Served,
    /// A rejection or a failure that the gateway itself answered.
    Rejected,
}

/// A request that has its final answer.
#[derive(Clone, Copy, Debug)]
pub struct CompletedRequest {
    /// What the client got.
    pub answer: FinalAnswer,
    /// Time from the request's arrival to its final answer.
    pub latency: TimeDelta,
    /// The latency objective of the request.
    pub objective: TimeDelta,
}

/// An operator's override of a site's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteOverride {
    /// Nothing new goes to the site; its part goes to the others at once.
    Drain,
    /// The same, for a site in trouble: it stays out whatever it answers.
    HoldOut,
    /// The site may come back, along the recovery ramp.
    Restore,
}

/// What happened.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The complete endpoint list was read.
    EndpointsListed(&'a [EndpointEntry]),
    /// A request came in.
    RequestOffered {
        /// Its value divided by its units.
        value_per_unit: f64,
        /// Its units of work.
        units: f64,
    },
    /// An attempt was sent to this endpoint.
    AttemptSent(EndpointId),
    /// An attempt ended.
    AttemptEnded(EndedAttempt),
    /// Attempts in flight and their limits, at each endpoint that has any.
    ConcurrencyReported(&'a [EndpointConcurrency]),
    /// A request has its final answer.
    RequestCompleted(CompletedRequest),
    /// The shared counter answered.
    CounterAnswered,
    /// The shared counter failed to answer.
    CounterFailed,
    /// An operator set an override.
    OverrideSet {
        /// The site that it is for.
        site: SiteId,
        /// The override.
        site_override: SiteOverride,
    },
}
