//! The events that the core handles.

use chalkdeck_time::{TimeDelta, Timestamp};

/// Id of a site, which is a zone with its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub u32);

/// Id of an endpoint, which is a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The site that it belongs to.
    pub site: SiteId,
    /// Whether it accepts new requests.
    pub is_in_service: bool,
    /// Its size relative to the other endpoints; 0 or less counts as 1.
    pub weight: f64,
    /// When it last started; `None` if that was long ago.
    pub started_at: Option<Timestamp>,
}

/// How an attempt ended, as evidence about its endpoint and site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvidence {
    /// The endpoint answered, with a result or with an error of its own.
    Answered,
    /// The endpoint rejected the attempt without processing it.
    Rejected,
    /// There was no answer within the attempt's timeout.
    TimedOut,
    /// The connection could not be established, or it broke.
    Unreachable,
    /// The gateway cancelled the attempt before its timeout. This says nothing about the endpoint.
    Cancelled,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended, as evidence about the endpoint and its site.
    pub evidence: AttemptEvidence,
    /// Time from its start to its end.
    pub latency: TimeDelta,
    /// The latency objective of its request.
    pub objective: TimeDelta,
    /// The units of its request.
    pub units: f64,
}

/// The attempts in flight at one endpoint and its concurrency limit.
#[derive(Clone, Copy, Debug)]
pub struct EndpointConcurrency {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Attempts in flight.
    pub in_flight: f64,
    /// Maximum number of attempts in flight.
    pub limit: f64,
}

/// What a client got as the final answer to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The answer of an endpoint.
    Served,
    /// A rejection or a failure that the gateway itself generated.
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
    /// The site gets no new requests; its share goes to the other sites at once.
    Drain,
    /// Like `Drain`, for a failing site: it stays out of service even if it answers.
    HoldOut,
    /// The site may return to service along the recovery ramp.
    Restore,
}

/// An event that the gateway reports to the core.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The endpoint list was read. Its entries replace all earlier ones.
    EndpointListUpdated(&'a [EndpointEntry]),
    /// A request arrived.
    RequestOffered {
        /// Its priority weight divided by its units.
        weight_per_unit: f64,
        /// Its units.
        units: f64,
    },
    /// An attempt was sent to an endpoint.
    AttemptSent(EndpointId),
    /// An attempt ended.
    AttemptEnded(EndedAttempt),
    /// The attempts in flight and the concurrency limit of each endpoint that has any.
    ConcurrencyReported(&'a [EndpointConcurrency]),
    /// A request got its final answer.
    RequestCompleted(CompletedRequest),
    /// The shared counter replied.
    CounterReplied,
    /// A call to the shared counter failed.
    CounterFailed,
    /// An operator set an override.
    OverrideSet {
        /// The site that it applies to.
        site: SiteId,
        /// The override.
        site_override: SiteOverride,
    },
}
