//! The terms of a lease: its length and the bound on clock drift, which must be the same for all participants.

use chalkdeck_time::TimeDelta;

/// Parts per million in a whole, and microseconds in a second.
const MILLION: u64 = 1_000_000;
/// Rounding error of a clock that counts whole microseconds.
const CLOCK_RESOLUTION: TimeDelta = TimeDelta::from_micros(1);
/// How many times a holder renews within one lease, so that the lease survives the loss of two renewals.
const RENEWALS_PER_LEASE: u64 = 4;

/// Lease length and the bound on clock drift, which must be the same for all participants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long a lease lasts after its renewal was sent, measured by an exact clock.
    pub lease: TimeDelta,
    /// Maximum deviation of the rate of any clock from an exact clock, in parts per million.
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
    /// How long a holder may rely on its lease. Shorter than the lease by the drift, because the holder's clock may run slow.
    pub fn holder_lease(&self) -> TimeDelta {
        self.lease - self.max_drift()
    }

    /// How long a replica waits before it expires a session. Longer than the lease by the drift, because the replica's clock may
    /// run fast.
    pub fn expiry_timeout(&self) -> TimeDelta {
        self.lease + self.max_drift()
    }

    /// The interval at which a holder renews its lease.
    pub fn renewal_interval(&self) -> TimeDelta {
        TimeDelta::from_micros(self.holder_lease().as_micros() / RENEWALS_PER_LEASE)
    }

    /// Half the lease length. A holder that receives no response for this long still has time to switch to another replica before
    /// its lease expires.
    pub fn half_lease(&self) -> TimeDelta {
        TimeDelta::from_micros(self.lease.as_micros() / 2)
    }

    /// Maximum drift of a clock over one lease, rounded up. Whole seconds and the remainder are scaled separately, because the
    /// product of a long lease in microseconds would overflow.
    fn max_drift(&self) -> TimeDelta {
        let lease = self.lease.as_micros();
        let drift_ppm = u64::from(self.drift_ppm);
        let whole_seconds_drift = lease / MILLION * drift_ppm;
        let remainder_drift = (lease % MILLION * drift_ppm).div_ceil(MILLION);
        TimeDelta::from_micros(whole_seconds_drift + remainder_drift) + CLOCK_RESOLUTION
    }
}
