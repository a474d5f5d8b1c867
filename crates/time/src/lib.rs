//! Timestamps and durations for code that gets the time as an input and never reads a clock.
//!
//! Both types count microseconds and use saturating arithmetic, so that events out of order never cause a panic. The
//! caller chooses the epoch of its [`Timestamp`]s; comparing two of them is meaningful only if they come from the same
//! clock.
//!
//! ```
//! use chalkdeck_time::{TimeDelta, Timestamp};
//!
//! let sent = Timestamp::from_micros(5_000_000);
//! let deadline = sent + TimeDelta::from_millis(250);
//! assert_eq!(deadline - sent, TimeDelta::from_micros(250_000));
//! assert_eq!(sent - deadline, TimeDelta::ZERO);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod recent_maximum;

pub use recent_maximum::RecentMaximum;

use std::ops::{Add, AddAssign, Mul, Sub};

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// A point in time, in microseconds since the epoch of its clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

/// A non-negative duration, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeDelta(u64);

impl Timestamp {
    /// The epoch of the clock.
    pub const ZERO: Timestamp = Timestamp(0);
    /// The latest timestamp.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// Creates a timestamp from microseconds since the epoch.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Creates a timestamp from milliseconds since the epoch.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Microseconds since the epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds since the epoch.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }
}

impl TimeDelta {
    /// A duration of zero.
    pub const ZERO: TimeDelta = TimeDelta(0);
    /// The longest duration.
    pub const MAX: TimeDelta = TimeDelta(u64::MAX);

    /// Creates a duration from microseconds.
    pub const fn from_micros(micros: u64) -> TimeDelta {
        TimeDelta(micros)
    }

    /// Creates a duration from milliseconds.
    pub const fn from_millis(millis: u64) -> TimeDelta {
        TimeDelta(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Creates a duration from seconds.
    pub const fn from_secs(seconds: u64) -> TimeDelta {
        TimeDelta::from_millis(seconds.saturating_mul(1_000))
    }

    /// The duration in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The duration in whole milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// The duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// Scales the duration by a factor, rounding down; a negative factor gives [`TimeDelta::ZERO`].
    pub fn mul_f64(self, factor: f64) -> TimeDelta {
        TimeDelta((self.0 as f64 * factor).max(0.0) as u64)
    }

    /// Whether the duration is zero.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.0))
    }
}

impl Sub<TimeDelta> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration.0))
    }
}

impl Sub for Timestamp {
    type Output = TimeDelta;

    /// The duration from `earlier` to `self`; zero if `earlier` is after `self`.
    fn sub(self, earlier: Timestamp) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(earlier.0))
    }
}

impl Add for TimeDelta {
    type Output = TimeDelta;

    fn add(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_add(other.0))
    }
}

impl AddAssign for TimeDelta {
    fn add_assign(&mut self, other: TimeDelta) {
        *self = *self + other;
    }
}

impl Sub for TimeDelta {
    type Output = TimeDelta;

    fn sub(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(other.0))
    }
}

impl Mul<u64> for TimeDelta {
    type Output = TimeDelta;

    fn mul(self, factor: u64) -> TimeDelta {
        TimeDelta(self.0.saturating_mul(factor))
    }
}
