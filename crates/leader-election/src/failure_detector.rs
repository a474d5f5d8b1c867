//! Sessions as a replica sees them: when each was last renewed.

use crate::{LeaseTerms, SessionId};
use chalkdeck_time::Timestamp;
use std::collections::HashMap;

/// The last renewal of a session that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionRenewal {
    /// The session.
    pub session: SessionId,
    /// The index in the replicated log at which it was renewed.
    pub log_index: u64,
}

/// A renewal as it was observed at this replica.
#[derive(Clone, Copy, Debug)]
struct Observation {
    log_index: u64,
    applied_at: Timestamp,
}

/// When sessions were last renewed, by one replica's own clock. An expiry that it reports is only a proposal: it names the renewal
/// that it counts from, so a session that was renewed meanwhile is not expired when the proposal is applied.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    terms: LeaseTerms,
    last_renewals: HashMap<SessionId, Observation>,
}

impl FailureDetector {
    /// A detector that watches no session.
    pub fn new(terms: LeaseTerms) -> FailureDetector {
        FailureDetector {
            terms,
            last_renewals: HashMap::new(),
        }
    }

    /// Records that a renewal was applied at `now`.
    pub fn renewal_applied(&mut self, renewal: SessionRenewal, now: Timestamp) {
        let observation = Observation {
            log_index: renewal.log_index,
            applied_at: now,
        };
        self.last_renewals.insert(renewal.session, observation);
    }

    /// Stops watching a session that is over.
    pub fn forget(&mut self, session: SessionId) {
        self.last_renewals.remove(&session);
    }

    /// Watches just these sessions, as if each was renewed at `now`: a replica that was started, or took a state over, does not
    /// know how long ago they really were.
    pub fn restart(&mut self, renewals: impl IntoIterator<Item = SessionRenewal>, now: Timestamp) {
        self.last_renewals.clear();
        for renewal in renewals {
            self.renewal_applied(renewal, now);
        }
    }

    /// Sessions whose holders can no longer rely on their leases, each with its last renewal, in the order of their ids.
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

    /// The next time at which a session can expire.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let first = self
            .last_renewals
            .values()
            .map(|last| last.applied_at)
            .min();
        first.map(|applied_at| applied_at + self.terms.expiry_timeout())
    }

    /// The number of sessions that are watched.
    pub fn len(&self) -> usize {
        self.last_renewals.len()
    }

    /// Whether no session is watched.
    pub fn is_empty(&self) -> bool {
        self.last_renewals.is_empty()
    }
}
