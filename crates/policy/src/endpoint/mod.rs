//! State of the endpoints at one gateway.

pub(crate) mod fleet;
pub(crate) mod outlier;
pub(crate) mod table;

use crate::api::{CellId, EndpointEntry, EndpointId, EndpointState, TimeDelta, Timestamp, ZoneId};
use crate::token_bucket::TokenBucket;
use std::net::SocketAddr;

/// Initial concurrency limit of an endpoint, before it is scaled to the gateway's share.
pub(crate) const INITIAL_LIMIT: f64 = 2.0;
/// Minimum concurrency limit, so that an endpoint's recovery is detected.
const MIN_LIMIT: f64 = 0.1;
/// Factor that an answer indicating congestion applies to the limit (multiplicative decrease).
const LIMIT_DECREASE_FACTOR: f64 = 0.7;
/// Increase of the limit for a quick answer while the limit is reached (additive increase).
const LIMIT_INCREASE: f64 = 0.03;
/// Weight of endpoints that are listed without one.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Capacity of a slow start's token bucket, in units.
const SLOW_START_CAPACITY: f64 = 1.0;

/// When the first and the last connect failed since an endpoint last answered.
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
    /// The address that it listens at, if that is not its id.
    pub(crate) address: Option<SocketAddr>,
    /// Whether the endpoint list names it, in service or draining.
    pub(crate) is_listed: bool,
    /// Changes whenever another endpoint may have listened at the address, or it has another zone
    /// or cell.
    pub(crate) registration: u64,
    /// Whether it accepts new attempts.
    pub(crate) is_in_service: bool,
    /// Attempts of this gateway in flight.
    pub(crate) in_flight: f64,
    /// Smoothed latency in microseconds; 0 if not known.
    pub(crate) latency: f64,
    /// Adaptive concurrency limit, before it is scaled to the gateway's share.
    pub(crate) limit: f64,
    /// Smoothed share of attempts that failed or were late.
    pub(crate) failure_share: f64,
    /// When the last attempt there ended.
    pub(crate) last_result_at: Timestamp,
    /// End of the current or last ejection by outlier detection.
    pub(crate) ejected_until: Timestamp,
    /// Consecutive ejections, each of which doubles the time of the next up to a maximum.
    pub(crate) ejections: u32,
    /// Whether it was ejected and has not succeeded since. It then gets one attempt at a time.
    pub(crate) is_on_probation: bool,
    /// Number of its quick answers.
    pub(crate) quick_answers: u64,
    pub(crate) connect_failures: Option<ConnectFailures>,
    /// When its slow start began; `None` if it is not in slow start.
    pub(crate) slow_start_since: Option<Timestamp>,
    /// Limits the units sent to it during slow start.
    pub(crate) slow_start_bucket: TokenBucket,
}

impl Endpoint {
    /// Creates the state of a new endpoint.
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

    /// Whether slow start allows no attempt to it now.
    pub(crate) fn is_limited_by_slow_start(&self) -> bool {
        self.slow_start_since.is_some() && self.slow_start_bucket.level <= 0.0
    }

    /// Whether the concurrency limit was reached before the attempt that has just ended.
    pub(crate) fn was_at_limit(&self, limit_share: f64) -> bool {
        self.in_flight + 1.0 >= (self.limit * limit_share).floor()
    }

    /// Lowers the concurrency limit.
    pub(crate) fn decrease_limit(&mut self) {
        self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(MIN_LIMIT);
    }

    /// Raises the concurrency limit.
    pub(crate) fn increase_limit(&mut self) {
        self.limit += LIMIT_INCREASE;
    }

    /// Begins a slow start whose bucket has the given level. A negative level is a debt that has to
    /// be refilled first.
    pub(crate) fn begin_slow_start(&mut self, now: Timestamp, since: Timestamp, level: f64) {
        self.slow_start_since = Some(since);
        self.slow_start_bucket = TokenBucket {
            level,
            capacity: SLOW_START_CAPACITY,
            rate: 0.0,
            refilled_at: now,
        };
    }

    /// Whether a start time in the endpoint list is later than the known one.
    pub(crate) fn is_restarted_by(&self, started_at: Timestamp) -> bool {
        self.slow_start_since.is_none_or(|known| known < started_at)
    }

    /// Resets the state, except for the registration and the attempts in flight.
    pub(crate) fn reset(&mut self) {
        *self = Endpoint {
            in_flight: self.in_flight,
            zone: self.zone,
            cell: self.cell,
            address: self.address,
            is_listed: self.is_listed,
            registration: self.registration,
            ..Endpoint::new(self.id)
        };
    }

    /// Applies an entry of the endpoint list, except for its start time.
    pub(crate) fn apply_entry(&mut self, entry: &EndpointEntry) {
        let is_same = self.is_listed
            && (self.zone, self.cell, self.address) == (entry.zone, entry.cell, entry.address);
        if !is_same {
            self.registration += 1;
        }
        self.is_listed = entry.state != EndpointState::Removed;
        self.address = entry.address;
        self.zone = entry.zone;
        self.cell = entry.cell;
        self.weight = if entry.weight > 0.0 {
            entry.weight
        } else {
            DEFAULT_WEIGHT
        };
        self.is_in_service = entry.state == EndpointState::InService;
    }

    /// Clears the connect failures, and returns whether they lasted for longer than `threshold`.
    pub(crate) fn clear_connect_failures(&mut self, threshold: TimeDelta) -> bool {
        self.connect_failures
            .take()
            .is_some_and(|failures| failures.last - failures.first > threshold)
    }
}
