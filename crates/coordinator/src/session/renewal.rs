//! When a gateway renews its session, and which version of the state it acknowledges with that.

use chalkdeck_leader_election::{Lease, LeaseTerms, RenewalNumber, SessionId};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_time::{TimeDelta, Timestamp};

/// A newer version is acknowledged by a renewal of its own, but no more often than this.
const MIN_ACKNOWLEDGEMENT_DELAY: TimeDelta = TimeDelta::from_millis(20);

/// The lease of a session with the time of its next renewal.
#[derive(Debug)]
pub(super) struct LeaseRenewal {
    lease: Lease,
    renew_at: Timestamp,
    /// When a replica was last heard.
    last_message_at: Timestamp,
    /// The version that the last renewal acknowledged.
    acknowledged_version: u64,
    /// The version in the cache file; `None`: there is no cache file, so no older state can come back with a restart.
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

    /// Begins with another session, which has no lease yet.
    pub(super) fn begin_lease(&mut self, lease_terms: LeaseTerms) {
        self.lease = Lease::new(lease_terms);
    }

    pub(super) fn schedule(&mut self, at: Timestamp) {
        self.renew_at = at;
    }

    pub(super) fn on_granted(&mut self, number: RenewalNumber) {
        self.lease.renewal_granted(number);
    }

    pub(super) fn end_lease(&mut self) {
        self.lease.end();
    }

    /// Whether a renewal is to be sent now. None is sent while no replica is heard: a gateway that is heard but hears nothing
    /// would keep the elections that it leads from all others, while it may not act itself.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        let is_hearing_replicas = now < self.last_message_at + self.lease_terms().half_lease();
        now >= self.renew_at && is_hearing_replicas
    }

    /// The renewal that is sent now.
    pub(super) fn next_renewal(
        &mut self,
        now: Timestamp,
        session: SessionId,
        cached_version: u64,
    ) -> wire::Renewal {
        let number = self.lease.renewal_sent(now);
        self.renew_at = now + self.lease_terms().renewal_interval();
        self.acknowledged_version = self.durable_version(cached_version);
        wire::Renewal {
            session: session.0,
            number: number.0,
            applied_version: self.acknowledged_version,
        }
    }

    /// The cache file holds the state up to this version.
    pub(super) fn set_persisted_version(&mut self, version: u64) {
        self.persisted_version = Some(version);
    }

    /// The state moved on without anything that has to be written to the cache file.
    pub(super) fn advance_persisted_version(&mut self, from_version: u64, to_version: u64) {
        if self.persisted_version == Some(from_version) {
            self.persisted_version = Some(to_version);
        }
    }

    /// Renews early if a version can be acknowledged that was not yet: others wait for that.
    pub(super) fn schedule_early_acknowledgement(&mut self, now: Timestamp, cached_version: u64) {
        if self.durable_version(cached_version) > self.acknowledged_version {
            self.renew_at = self.renew_at.min(now + MIN_ACKNOWLEDGEMENT_DELAY);
        }
    }

    /// The version that this gateway goes by, also after a restart.
    fn durable_version(&self, cached_version: u64) -> u64 {
        self.persisted_version
            .map_or(cached_version, |persisted| persisted.min(cached_version))
    }
}
