//! Failure detection at a replica: when each session was last renewed, and which sessions have expired.

use crate::{LeaseTerms, SessionId};
use chalkdeck_time::Timestamp;
use std::collections::HashMap;

/// The last renewal of a session that the replica has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionRenewal {
    /// The session.
    pub session: SessionId,
    /// The index of the renewal in the replicated log.
    pub log_index: u64,
}

/// A renewal and the local time at which this replica applied it.
#[derive(Clone, Copy, Debug)]
struct ObservedRenewal {
    log_index: u64,
    applied_at: Timestamp,
}

/// Tracks when sessions were last renewed, by one replica's own clock. An expiry that it reports is only a proposal: it names the
/// renewal that the timeout runs from, so that a session renewed in the meantime does not expire when the proposal is applied.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    terms: LeaseTerms,
    last_renewals: HashMap<SessionId, ObservedRenewal>,
}

impl FailureDetector {
    /// Creates a detector that tracks no sessions.
    pub fn new(terms: LeaseTerms) -> FailureDetector {
        FailureDetector {
            terms,
            last_renewals: HashMap::new(),
        }
    }

    /// Records that a renewal was applied at `now`.
    pub fn record_renewal(&mut self, renewal: SessionRenewal, now: Timestamp) {
        let observed = ObservedRenewal {
            log_index: renewal.log_index,
            applied_at: now,
        };
        self.last_renewals.insert(renewal.session, observed);
    }

    /// Stops tracking a session that has ended.
    pub fn remove(&mut self, session: SessionId) {
        self.last_renewals.remove(&session);
    }

    /// Replaces the tracked sessions with these, as if each had been renewed at `now`: a replica that has just started, or has
    /// taken over existing state, does not know how long ago the renewals really happened.
    pub fn reset(&mut self, renewals: impl IntoIterator<Item = SessionRenewal>, now: Timestamp) {
        self.last_renewals.clear();
        for renewal in renewals {
            self.record_renewal(renewal, now);
        }
    }

    /// Returns the sessions whose holders can no longer rely on their leases, each with its last renewal, ordered by session id.
    pub fn expired(&self, now: Timestamp) -> Vec<SessionRenewal> {
        let mut expired: Vec<SessionRenewal> = self
            .last_renewals
            .iter()
            .filter(|(_, last)| now - last.applied_at >= self.terms.expiry_timeout())
            .map(|(session, last)| SessionRenewal {
                session: *session,
                log_index: last.log_index,
            })
            .collect();
        expired.sort_unstable();
        expired
    }

    /// Returns the earliest time at which a session can expire.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let earliest = self
            .last_renewals
            .values()
            .map(|last| last.applied_at)
            .min();
        earliest.map(|applied_at| applied_at + self.terms.expiry_timeout())
    }

    /// Returns the number of tracked sessions.
    pub fn len(&self) -> usize {
        self.last_renewals.len()
    }

    /// Returns whether no session is tracked.
    pub fn is_empty(&self) -> bool {
        self.last_renewals.is_empty()
    }
}
