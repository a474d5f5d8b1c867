//! Duties that only one gateway may hold at a time, free of I/O and of any wall clock.
//!
//! Three parts, each by the clock of the one that reckons: a holder's [`Lease`], which counts from when a renewal was *sent*; a
//! keeper's [`Watch`] over sessions, which counts from when a renewal was *applied* and for longer; and the [`place`] of duties over
//! gateways and sites. A lease alone excludes nobody: each effect carries the duty's [`Token`], and each sink compares it ([`Gate`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod lease;
pub mod place;
mod token;
mod watch;

pub use lease::Lease;
pub use token::{Gate, Stale, Token};
pub use watch::Watch;

/// What all sides have agreed on. Times are microseconds of monotonic clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How long a session lasts since a renewal was sent, by a clock that runs right.
    pub lease: u64,
    /// How far any clock's rate may be from right, in millionths.
    pub drift: u32,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            lease: 6_000_000,
            drift: 10_000,
        }
    }
}

impl Terms {
    /// What a holder counts on: less than the lease by the drift, so that a slow clock of its own does not lead it past the end.
    pub fn held(&self) -> u64 {
        self.lease - self.part()
    }
    /// What a keeper waits before it hands on: more than the lease by the drift, so that a fast clock of its own does not
    /// lead it to begin before the end.
    pub fn waited(&self) -> u64 {
        self.lease + self.part()
    }
    /// When a holder renews: three tries fit into its time.
    pub fn renew_after(&self) -> u64 {
        self.held() / 4
    }
    fn part(&self) -> u64 {
        // Rounded up, and one more for the clocks' own grain.
        self.lease / 1_000_000 * u64::from(self.drift)
            + (self.lease % 1_000_000 * u64::from(self.drift)).div_ceil(1_000_000)
            + 1
    }
}
