//! Endpoints as one gateway knows them.

pub(crate) mod fleet;
pub(crate) mod outlier;
pub(crate) mod table;

use crate::api::{CellId, EndpointEntry, EndpointId, EndpointState, TimeDelta, Timestamp, ZoneId};
use crate::token_bucket::TokenBucket;

/// Attempts in flight at one endpoint where learning starts, scaled to the gateway's share.
pub(crate) const INITIAL_LIMIT: f64 = 2.0;
/// The least concurrency limit, so that an endpoint's recovery is noticed.
const MIN_LIMIT: f64 = 0.1;
/// What an answer that indicates congestion leaves of the limit: it gives way fast.
const LIMIT_DECREASE: f64 = 0.7;
/// What a quick answer adds to a limit that is in use: it comes back slowly.
const LIMIT_INCREASE: f64 = 0.03;
/// A weight for endpoints that have none.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Level and capacity of the bucket of a slow start, in units.
const SLOW_START_CAPACITY: f64 = 1.0;

/// The first and the last of the connects that failed since an endpoint answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectFailures {
    pub(crate) first: Timestamp,
    pub(crate) last: Timestamp,
}

/// State of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) weight: f64,
    /// It takes new attempts.
    pub(crate) is_in_service: bool,
    /// Attempts of this gateway in flight.
    pub(crate) in_flight: f64,
    /// Smoothed time to answer in microseconds; 0: not known.
    pub(crate) latency: f64,
    /// Learnt concurrency limit, before it is scaled to the gateway's share.
    pub(crate) limit: f64,
    /// Smoothed share of attempts that failed or were late.
    pub(crate) failure_share: f64,
    /// When the last attempt there ended.
    pub(crate) last_result_at: Timestamp,
    /// Outlier detection: no attempts until then.
    pub(crate) ejected_until: Timestamp,
    /// Ejections in a row, which double the time, up to the most.
    pub(crate) ejections: u32,
    /// It was ejected and has not answered well since: one attempt at a time.
    pub(crate) is_on_probation: bool,
    /// Number of its quick answers.
    pub(crate) quick_answers: u64,
    pub(crate) connect_failures: Option<ConnectFailures>,
    /// Since when it is in slow start; none: it is warm.
    pub(crate) slow_start_since: Option<Timestamp>,
    /// Units that may go there while it is in slow start.
    pub(crate) slow_start_bucket: TokenBucket,
}

impl Endpoint {
    /// An endpoint of which nothing is known.
    pub(crate) fn new(id: EndpointId) -> Endpoint {
        Endpoint {
            id,
            limit: INITIAL_LIMIT,
            ..Endpoint::default()
        }
    }

    /// Whether outlier detection allows attempts now.
    pub(crate) fn is_healthy(&self, now: Timestamp) -> bool {
        now >= self.ejected_until && (!self.is_on_probation || self.in_flight < 1.0)
    }

    /// Whether it is in slow start and has no room now.
    pub(crate) fn is_limited_by_slow_start(&self) -> bool {
        self.slow_start_since.is_some() && self.slow_start_bucket.level <= 0.0
    }

    /// Whether the attempt that just ended there was the last that the limit allows.
    pub(crate) fn was_at_limit(&self, limit_share: f64) -> bool {
        self.in_flight + 1.0 >= (self.limit * limit_share).floor()
    }

    /// Lowers the concurrency limit.
    pub(crate) fn decrease_limit(&mut self) {
        self.limit = (self.limit * LIMIT_DECREASE).max(MIN_LIMIT);
    }

    /// Raises the concurrency limit.
    pub(crate) fn increase_limit(&mut self) {
        self.limit += LIMIT_INCREASE;
    }

    /// Begins a slow start with so many units in its bucket; negative: a debt that is filled up
    /// first.
    pub(crate) fn begin_slow_start(&mut self, now: Timestamp, since: Timestamp, level: f64) {
        self.slow_start_since = Some(since);
        self.slow_start_bucket = TokenBucket {
            level,
            capacity: SLOW_START_CAPACITY,
            rate: 0.0,
            refilled_at: now,
        };
    }

    /// Whether a line of the list tells of a start that is not known yet.
    pub(crate) fn is_restarted_by(&self, started_at: Timestamp) -> bool {
        self.slow_start_since.is_none_or(|known| known < started_at)
    }

    /// Forgets all but the attempts in flight.
    pub(crate) fn reset(&mut self) {
        *self = Endpoint {
            in_flight: self.in_flight,
            ..Endpoint::new(self.id)
        };
    }

    /// Takes over what the list tells, but for its start.
    pub(crate) fn apply_entry(&mut self, entry: &EndpointEntry) {
        self.zone = entry.zone;
        self.cell = entry.cell;
        self.weight = if entry.weight > 0.0 {
            entry.weight
        } else {
            DEFAULT_WEIGHT
        };
        self.is_in_service = entry.state == EndpointState::InService;
    }

    /// Takes its connect failures, and tells whether they lasted for longer than a span.
    pub(crate) fn clear_connect_failures(&mut self, max_duration: TimeDelta) -> bool {
        self.connect_failures
            .take()
            .is_some_and(|failures| failures.last - failures.first > max_duration)
    }
}
