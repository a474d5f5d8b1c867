//! Schedules the renewals of a gateway's session, and determines which version of the state they acknowledge.

use chalkdeck_leader_election::{Lease, LeaseTerms, RenewalNumber, SessionId};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_time::{TimeDelta, Timestamp};

/// Delay of an early renewal that acknowledges a newer version. It limits how often such renewals are sent.
const EARLY_RENEWAL_DELAY: TimeDelta = TimeDelta::from_millis(20);

/// The lease of a session, and the time of its next renewal.
#[derive(Debug)]
pub(super) struct LeaseRenewal {
    lease: Lease,
    renew_at: Timestamp,
    /// When the last message from a replica was received.
    last_message_at: Timestamp,
    /// The version that the last renewal has acknowledged.
    acknowledged_version: u64,
    /// The version in the cache file; `None` if there is no cache file, so that a restart cannot return to an older state.
    persisted_version: Option<u64>,
}

impl LeaseRenewal {
    pub(super) fn new(lease_terms: LeaseTerms) -> LeaseRenewal {
        LeaseRenewal {
            lease: Lease::new(lease_terms),
            renew_at: Timestamp::ZERO,
            last_message_at: Timestamp::ZERO,
            acknowledged_version: 0,
            persisted_version: None,
        }
    }

    pub(super) fn lease_terms(&self) -> &LeaseTerms {
        self.lease.terms()
    }

    pub(super) fn is_valid(&self, now: Timestamp) -> bool {
        self.lease.is_valid(now)
    }

    pub(super) fn on_message(&mut self, now: Timestamp) {
        self.last_message_at = now;
    }

    /// Starts the lease of a new session, which is not valid before its first renewal is granted.
    pub(super) fn begin_lease(&mut self, lease_terms: LeaseTerms) {
        self.lease = Lease::new(lease_terms);
    }

    pub(super) fn schedule(&mut self, at: Timestamp) {
        self.renew_at = at;
    }

    pub(super) fn on_granted(&mut self, number: RenewalNumber) {
        self.lease.record_grant(number);
    }

    pub(super) fn end_lease(&mut self) {
        self.lease.end();
    }

    /// Whether a renewal is due. None is sent while no messages arrive from the replicas: a gateway that can send but not receive
    /// would otherwise keep its elections without being allowed to act as their leader.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        let is_receiving = now < self.last_message_at + self.lease_terms().half_lease();
        now >= self.renew_at && is_receiving
    }

    /// Creates the renewal to send at `now`, and schedules the one after it.
    pub(super) fn next_renewal(
        &mut self,
        now: Timestamp,
        session: SessionId,
        cached_version: u64,
    ) -> wire::Renewal {
        let number = self.lease.start_renewal(now);
        self.renew_at = now + self.lease_terms().renewal_interval();
        self.acknowledged_version = self.durable_version(cached_version);
        wire::Renewal {
            session: session.0,
            number: number.0,
            applied_version: self.acknowledged_version,
        }
    }

    /// Records that the cache file holds the state up to this version.
    pub(super) fn set_persisted_version(&mut self, version: u64) {
        self.persisted_version = Some(version);
    }

    /// Records that the state advanced to a new version without changes that have to be written to the cache file.
    pub(super) fn advance_persisted_version(&mut self, from_version: u64, to_version: u64) {
        if self.persisted_version == Some(from_version) {
            self.persisted_version = Some(to_version);
        }
    }

    /// Schedules an early renewal if a newer version can be acknowledged, because rule sets are in force only once all gateways
    /// have acknowledged them.
    pub(super) fn schedule_early_acknowledgement(&mut self, now: Timestamp, cached_version: u64) {
        if self.durable_version(cached_version) > self.acknowledged_version {
            self.renew_at = self.renew_at.min(now + EARLY_RENEWAL_DELAY);
        }
    }

    /// The highest version that this gateway still has after a restart.
    fn durable_version(&self, cached_version: u64) -> u64 {
        self.persisted_version
            .map_or(cached_version, |persisted| persisted.min(cached_version))
    }
}
