//! What is known of one site, and what is observed of it.

mod contact;
mod endpoint;
mod warm_up;

use crate::capacity::LearnedCapacity;
use crate::hold_out::HoldOut;
use crate::ramp::RecoveryRamp;
use crate::{AttemptEvidence, Concurrency, EndedAttempt, EndpointId, SiteEvidence};
use crate::{SiteId, SiteState};
use chalkdeck_time::{TimeDelta, Timestamp};
use contact::Contact;
pub(crate) use endpoint::Endpoint;
use std::collections::BTreeMap;
pub(crate) use warm_up::{bearable_part, ramp_start, warm_part};

/// A site that is silent for so many times the silence that makes it doubtful is lost.
const LOST_AFTER_PATIENCES: u64 = 3;
/// A site is full where this part of its concurrency limit is in use.
const FULL_PART: f64 = 0.95;

/// Weights of a site's endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Weights {
    /// Of those that the list has in service.
    pub(crate) listed: f64,
    /// Of those of them that answered their last attempts.
    pub(crate) responsive: f64,
}

/// One site.
#[derive(Clone, Debug, Default)]
pub(crate) struct Site {
    pub(crate) id: SiteId,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) state: SiteState,
    pub(crate) since: Timestamp,
    pub(crate) ramp: Option<RecoveryRamp>,
    pub(crate) hold_out: HoldOut,
    pub(crate) capacity: LearnedCapacity,
    /// The weight of its responsive endpoints when states were last updated.
    pub(crate) responsive_weight: f64,
    pub(crate) concurrency: Concurrency,
    contact: Contact,
}

impl Site {
    pub(crate) fn new(id: SiteId) -> Site {
        Site {
            id,
            ..Site::default()
        }
    }

    pub(crate) fn record_sent(&mut self, now: Timestamp, endpoint: EndpointId) {
        self.contact.record_sent(now, endpoint);
    }

    pub(crate) fn record_end(&mut self, now: Timestamp, attempt: &EndedAttempt) {
        self.contact.record_end();
        if let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) {
            endpoint.record(attempt.evidence);
        }
        match attempt.evidence {
            AttemptEvidence::Answered => {
                self.contact.record_sign_of_life(now);
                self.contact.record_latency(attempt.latency);
            }
            AttemptEvidence::Rejected => self.contact.record_sign_of_life(now),
            AttemptEvidence::TimedOut
            | AttemptEvidence::Unreachable
            | AttemptEvidence::Cancelled => {}
        }
    }

    /// Whether there was an answer at that time or after it.
    pub(crate) fn is_heard_since(&self, at: Timestamp) -> bool {
        self.contact.is_heard_since(at)
    }

    /// The endpoints that the list has in service.
    fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().filter(|e| e.in_service)
    }

    pub(crate) fn weights(&self) -> Weights {
        Weights {
            listed: self.listed().map(|e| e.weight).sum(),
            responsive: self
                .listed()
                .filter(|e| e.is_responsive())
                .map(|e| e.weight)
                .sum(),
        }
    }

    /// Whether further attempts there could only wait.
    pub(crate) fn is_full(&self) -> bool {
        let Concurrency { in_flight, limit } = self.concurrency;
        limit > 0.0 && in_flight >= limit * FULL_PART
    }

    /// Whether there was no answer for so long that the site must be taken for lost.
    pub(crate) fn is_silent(&self, now: Timestamp) -> bool {
        self.listed().count() == 0
            || self.is_unreachable()
            || self.is_quiet_for(now, self.contact.patience() * LOST_AFTER_PATIENCES)
    }

    /// Whether there was no answer for longer than usual.
    pub(crate) fn is_doubtful(&self, now: Timestamp) -> bool {
        self.is_unreachable() || self.is_quiet_for(now, self.contact.patience())
    }

    fn is_quiet_for(&self, now: Timestamp, span: TimeDelta) -> bool {
        self.contact.quiet(now) > span && self.is_tried_enough()
    }

    fn is_tried_enough(&self) -> bool {
        self.contact.is_tried_enough(self.listed().count())
    }

    /// Whether most of its endpoints refuse or break connections, and none answered since.
    fn is_unreachable(&self) -> bool {
        let unreachable = self.listed().filter(|e| e.is_unreachable()).count();
        self.contact.is_waiting()
            && self.is_tried_enough()
            && unreachable * 2 > self.listed().count()
    }

    /// Enters a state. What was learnt of the site does not outlast its loss.
    pub(crate) fn enter(&mut self, now: Timestamp, state: SiteState) {
        if self.state == state {
            return;
        }
        if state.is_out() {
            self.capacity.reset();
            self.ramp = None;
        }
        self.state = state;
        self.since = now;
    }

    pub(crate) fn evidence(&self, now: Timestamp) -> SiteEvidence {
        SiteEvidence {
            listed: self.listed().count(),
            silent: self.listed().filter(|e| !e.is_responsive()).count(),
            quiet: self.contact.quiet(now),
            losses: self.hold_out.losses(),
            held_out_until: self.hold_out.until(),
        }
    }
}
