//! The state of one site as seen from this gateway.

mod endpoint;
mod silence_detector;
mod slow_start;

use crate::capacity::LearnedCapacity;
use crate::loss_backoff::LossBackoff;
use crate::ramp::RecoveryRamp;
use crate::{AttemptEvidence, Concurrency, EndedAttempt, EndpointId, SiteEvidence};
use crate::{SiteId, SiteState};
use chalkdeck_time::{TimeDelta, Timestamp};
pub(crate) use endpoint::Endpoint;
use silence_detector::SilenceDetector;
pub(crate) use slow_start::{ramp_start, sustainable_fraction, warm_fraction};
use std::collections::BTreeMap;

/// A site is unresponsive after a silence of this many times the silence that makes it doubtful.
const UNRESPONSIVE_THRESHOLD_MULTIPLE: u64 = 3;
/// A site is full if this fraction of its concurrency limit is in use.
const FULL_FRACTION: f64 = 0.95;

/// Total weights of a site's endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Weights {
    /// The weight of the endpoints that the list has in service.
    pub(crate) listed: f64,
    /// The weight of those of them that responded to their last attempts.
    pub(crate) responsive: f64,
}

/// One site with its endpoints.
#[derive(Clone, Debug, Default)]
pub(crate) struct Site {
    pub(crate) id: SiteId,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) state: SiteState,
    pub(crate) state_since: Timestamp,
    pub(crate) ramp: Option<RecoveryRamp>,
    pub(crate) backoff: LossBackoff,
    pub(crate) capacity: LearnedCapacity,
    /// The weight of its responsive endpoints at the last update of the states.
    pub(crate) responsive_weight: f64,
    pub(crate) concurrency: Concurrency,
    silence_detector: SilenceDetector,
}

impl Site {
    pub(crate) fn new(id: SiteId) -> Site {
        Site {
            id,
            ..Site::default()
        }
    }

    pub(crate) fn record_attempt_sent(&mut self, now: Timestamp, endpoint: EndpointId) {
        self.silence_detector.record_attempt_sent(now, endpoint);
    }

    pub(crate) fn record_attempt_end(&mut self, now: Timestamp, attempt: &EndedAttempt) {
        self.silence_detector.record_attempt_end();
        if let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) {
            endpoint.record(attempt.evidence);
        }
        match attempt.evidence {
            AttemptEvidence::Answered => {
                self.silence_detector.record_response(now);
                self.silence_detector.record_latency(attempt.latency);
            }
            AttemptEvidence::Rejected => self.silence_detector.record_response(now),
            AttemptEvidence::TimedOut
            | AttemptEvidence::Unreachable
            | AttemptEvidence::Cancelled => {}
        }
    }

    /// Whether an endpoint responded at that time or later.
    pub(crate) fn has_responded_since(&self, at: Timestamp) -> bool {
        self.silence_detector.has_responded_since(at)
    }

    /// The endpoints that the list has in service.
    fn listed_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().filter(|e| e.is_in_service)
    }

    pub(crate) fn weights(&self) -> Weights {
        Weights {
            listed: self.listed_endpoints().map(|e| e.weight).sum(),
            responsive: self
                .listed_endpoints()
                .filter(|e| e.is_responsive())
                .map(|e| e.weight)
                .sum(),
        }
    }

    /// Whether the site's concurrency limit is nearly used up, so that further attempts would have to wait.
    pub(crate) fn is_full(&self) -> bool {
        let Concurrency { in_flight, limit } = self.concurrency;
        limit > 0.0 && in_flight >= limit * FULL_FRACTION
    }

    /// Whether the site counts as lost: it has no endpoint in service, is unreachable, or has not responded for too long.
    pub(crate) fn is_unresponsive(&self, now: Timestamp) -> bool {
        self.listed_endpoints().count() == 0
            || self.is_unreachable()
            || self.is_silent_for(
                now,
                self.silence_detector.silence_threshold() * UNRESPONSIVE_THRESHOLD_MULTIPLE,
            )
    }

    /// Whether the site has not responded for longer than usual.
    pub(crate) fn is_doubtful(&self, now: Timestamp) -> bool {
        self.is_unreachable() || self.is_silent_for(now, self.silence_detector.silence_threshold())
    }

    fn is_silent_for(&self, now: Timestamp, span: TimeDelta) -> bool {
        self.silence_detector.silence(now) > span && self.has_enough_attempts()
    }

    fn has_enough_attempts(&self) -> bool {
        self.silence_detector
            .has_enough_attempts(self.listed_endpoints().count())
    }

    /// Whether most of its endpoints refuse or break connections and none has responded since.
    fn is_unreachable(&self) -> bool {
        let unreachable = self
            .listed_endpoints()
            .filter(|e| e.is_unreachable())
            .count();
        self.silence_detector.is_waiting()
            && self.has_enough_attempts()
            && unreachable * 2 > self.listed_endpoints().count()
    }

    /// Enters a state. A site that goes out of service loses its learned capacity and its ramp.
    pub(crate) fn enter_state(&mut self, now: Timestamp, state: SiteState) {
        if self.state == state {
            return;
        }
        if state.is_out_of_service() {
            self.capacity.reset();
            self.ramp = None;
        }
        self.state = state;
        self.state_since = now;
    }

    pub(crate) fn evidence(&self, now: Timestamp) -> SiteEvidence {
        SiteEvidence {
            listed_endpoints: self.listed_endpoints().count(),
            silent_endpoints: self
                .listed_endpoints()
                .filter(|e| !e.is_responsive())
                .count(),
            silence: self.silence_detector.silence(now),
            losses: self.backoff.losses(),
            backoff_until: self.backoff.until(),
        }
    }
}
