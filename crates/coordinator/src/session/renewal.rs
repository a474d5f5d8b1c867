//! When a gateway renews its session, and which version of the state it acknowledges with that.

use chalkdeck_leader_election::{Lease, LeaseTerms, RenewalNumber, SessionId};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_time::{TimeDelta, Timestamp};

/// A newer version is acknowledged by a renewal of its own, but no more often than this.
const MIN_ACKNOWLEDGEMENT_DELAY: TimeDelta = TimeDelta::from_millis(20);

/// The lease of a session with the time of its next renewal.
#[derive(Debug)]
pub(super) struct Renewal {
    lease: Lease,
    renew_at: Timestamp,
    /// When a replica was last heard.
    last_heard_at: Timestamp,
    /// The version that the last renewal acknowledged.
    acknowledged_version: u64,
    /// The version in the cache file; `None`: there is no cache file, so no older state can come back with a restart.
    persisted_version: Option<u64>,
}

impl Renewal {
    pub(super) fn new(terms: LeaseTerms) -> Renewal {
        Renewal {
            lease: Lease::new(terms),
            renew_at: Timestamp::ZERO,
            last_heard_at: Timestamp::ZERO,
            acknowledged_version: 0,
            persisted_version: None,
        }
    }

    pub(super) fn terms(&self) -> &LeaseTerms {
        self.lease.terms()
    }

    pub(super) fn is_valid(&self, now: Timestamp) -> bool {
        self.lease.is_valid(now)
    }

    pub(super) fn heard(&mut self, now: Timestamp) {
        self.last_heard_at = now;
    }

    /// Begins with another session, which has no lease yet.
    pub(super) fn begin(&mut self, terms: LeaseTerms) {
        self.lease = Lease::new(terms);
    }

    pub(super) fn renew_at(&mut self, at: Timestamp) {
        self.renew_at = at;
    }

    pub(super) fn granted(&mut self, number: RenewalNumber) {
        self.lease.record_grant(number);
    }

    pub(super) fn end(&mut self) {
        self.lease.end();
    }

    /// Whether a renewal is to be sent now. None is sent while no replica is heard: a gateway that is heard but hears nothing
    /// would keep the elections that it leads from all others, while it may not act itself.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        let hears_replicas = now < self.last_heard_at + self.terms().half_lease();
        now >= self.renew_at && hears_replicas
    }

    /// The renewal that is sent now.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        session: SessionId,
        cached_version: u64,
    ) -> wire::Renewal {
        let number = self.lease.start_renewal(now);
        self.renew_at = now + self.terms().renewal_interval();
        self.acknowledged_version = self.durable_version(cached_version);
        wire::Renewal {
            session: session.0,
            number: number.0,
            applied_version: self.acknowledged_version,
        }
    }

    /// The cache file holds the state up to this version.
    pub(super) fn persisted(&mut self, version: u64) {
        self.persisted_version = Some(version);
    }

    /// The state moved on without anything that has to be written to the cache file.
    pub(super) fn nothing_to_persist(&mut self, from_version: u64, to_version: u64) {
        if self.persisted_version == Some(from_version) {
            self.persisted_version = Some(to_version);
        }
    }

    /// Renews early if a version can be acknowledged that was not yet: others wait for that.
    pub(super) fn acknowledge_early(&mut self, now: Timestamp, cached_version: u64) {
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
