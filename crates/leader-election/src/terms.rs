//! Lease length and clock drift, as agreed on by all participants.

use chalkdeck_time::TimeDelta;

/// Parts per million in a whole.
const MILLION: u64 = 1_000_000;
/// Rounding of a clock that counts whole microseconds.
const CLOCK_RESOLUTION: TimeDelta = TimeDelta::from_micros(1);
/// A holder renews this often within its lease, so that two renewals may be lost.
const RENEWALS_PER_LEASE: u64 = 4;

/// Lease length and the bound on clock drift that all participants have agreed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long a lease lasts from when its renewal was sent, measured by an exact clock.
    pub lease: TimeDelta,
    /// How far any clock's rate may differ from an exact one, in parts per million.
    pub drift_ppm: u32,
}

impl Default for LeaseTerms {
    fn default() -> LeaseTerms {
        LeaseTerms {
            lease: TimeDelta::from_secs(6),
            drift_ppm: 10_000,
        }
    }
}

impl LeaseTerms {
    /// How long a holder relies on its lease: shorter than the lease by the drift, as the holder's clock may be slow.
    pub fn holder_lease(&self) -> TimeDelta {
        self.lease - self.max_drift()
    }

    /// How long a replica waits before it expires a session: longer than the lease by the drift, as the replica's clock may be
    /// fast.
    pub fn expiry_timeout(&self) -> TimeDelta {
        self.lease + self.max_drift()
    }

    /// How often a holder renews its lease.
    pub fn renewal_interval(&self) -> TimeDelta {
        TimeDelta::from_micros(self.holder_lease().as_micros() / RENEWALS_PER_LEASE)
    }

    /// Half of a lease. Whoever hears nothing for so long still has time to turn to another replica before the lease expires.
    pub fn half_lease(&self) -> TimeDelta {
        TimeDelta::from_micros(self.lease.as_micros() / 2)
    }

    /// By how much a clock may be off over one lease, rounded up. Whole seconds and their rest are scaled apart, as the product
    /// of a long lease in microseconds would overflow.
    fn max_drift(&self) -> TimeDelta {
        let lease = self.lease.as_micros();
        let drift_ppm = u64::from(self.drift_ppm);
        let of_whole_seconds = lease / MILLION * drift_ppm;
        let of_rest = (lease % MILLION * drift_ppm).div_ceil(MILLION);
        TimeDelta::from_micros(of_whole_seconds + of_rest) + CLOCK_RESOLUTION
    }
}
