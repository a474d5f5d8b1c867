//! A lease as its holder measures it.

use crate::LeaseTerms;
use chalkdeck_time::Timestamp;
use std::collections::VecDeque;

/// Renewals that are remembered until they are granted; the grant of an older one extends nothing.
const MAX_PENDING_RENEWALS: usize = 16;

/// The number of a renewal, from 1, which its grant carries again; 0 stands for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RenewalNumber(pub u64);

/// A renewal that was sent and is not granted yet.
#[derive(Clone, Copy, Debug)]
struct PendingRenewal {
    number: RenewalNumber,
    sent_at: Timestamp,
}

/// A session's lease by its holder's own clock. It counts from when a renewal was sent, which is before anybody else can count
/// from it.
#[derive(Clone, Debug)]
pub struct Lease {
    terms: LeaseTerms,
    /// In the order in which they were sent.
    pending: VecDeque<PendingRenewal>,
    last_number: RenewalNumber,
    expires_at: Option<Timestamp>,
}

impl Lease {
    /// A lease that was never granted.
    pub fn new(terms: LeaseTerms) -> Lease {
        Lease {
            terms,
            pending: VecDeque::new(),
            last_number: RenewalNumber(0),
            expires_at: None,
        }
    }

    /// The terms that were agreed on.
    pub fn terms(&self) -> &LeaseTerms {
        &self.terms
    }

    /// Records that a renewal is sent at `now`, and returns its number.
    pub fn renewal_sent(&mut self, now: Timestamp) -> RenewalNumber {
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

    /// Records that a renewal was granted. Earlier ones that are still pending are then needless.
    pub fn renewal_granted(&mut self, number: RenewalNumber) {
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

    /// Ends the lease: its session was closed, or the replicas do not know it.
    pub fn end(&mut self) {
        self.expires_at = None;
        self.pending.clear();
    }

    /// Whether the lease is valid at `now`. To be checked right before each effect and each decision that rests on it.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// When the lease expires unless it is renewed; `None` if it was never granted, or has ended.
    pub fn expires_at(&self) -> Option<Timestamp> {
        self.expires_at
    }
}
