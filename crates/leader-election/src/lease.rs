//! A lease, as measured by its holder.

use crate::LeaseTerms;
use chalkdeck_time::Timestamp;
use std::collections::VecDeque;

/// Maximum number of renewals that wait for their grants. Older ones are dropped, and their grants no longer extend the lease.
const MAX_PENDING_RENEWALS: usize = 16;

/// The number of a renewal, counted from 1 and echoed in its grant. 0 means no renewal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RenewalNumber(pub u64);

/// A renewal that was sent but not granted yet.
#[derive(Clone, Copy, Debug)]
struct PendingRenewal {
    number: RenewalNumber,
    sent_at: Timestamp,
}

/// A session's lease, timed by its holder's own clock. The lease runs from the moment a renewal was sent, which precedes every
/// moment from which a replica may time it.
#[derive(Clone, Debug)]
pub struct Lease {
    terms: LeaseTerms,
    /// Pending renewals in the order in which they were sent.
    pending: VecDeque<PendingRenewal>,
    last_number: RenewalNumber,
    expires_at: Option<Timestamp>,
}

impl Lease {
    /// Creates a lease that has not been granted yet.
    pub fn new(terms: LeaseTerms) -> Lease {
        Lease {
            terms,
            pending: VecDeque::new(),
            last_number: RenewalNumber(0),
            expires_at: None,
        }
    }

    /// Returns the terms of the lease.
    pub fn terms(&self) -> &LeaseTerms {
        &self.terms
    }

    /// Records that a renewal is sent at `now`, and returns its number.
    pub fn start_renewal(&mut self, now: Timestamp) -> RenewalNumber {
        self.last_number.0 += 1;
        self.pending.push_back(PendingRenewal {
            number: self.last_number,
            sent_at: now,
        });
        if self.pending.len() > MAX_PENDING_RENEWALS {
            self.pending.pop_front();
        }
        self.last_number
    }

    /// Records that a renewal was granted, and drops the earlier ones that are still pending.
    pub fn record_grant(&mut self, number: RenewalNumber) {
        while let Some(renewal) = self.pending.front().copied() {
            if renewal.number > number {
                return;
            }
            self.pending.pop_front();
            if renewal.number == number {
                let expires_at = renewal.sent_at + self.terms.holder_lease();
                self.expires_at = self.expires_at.max(Some(expires_at));
            }
        }
    }

    /// Ends the lease because its session was closed or is unknown to the replicas.
    pub fn end(&mut self) {
        self.expires_at = None;
        self.pending.clear();
    }

    /// Returns whether the lease is valid at `now`. Check this immediately before every operation or decision that depends on the
    /// lease.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// Returns when the lease expires unless it is renewed, or `None` if it was never granted or has ended.
    pub fn expires_at(&self) -> Option<Timestamp> {
        self.expires_at
    }
}
