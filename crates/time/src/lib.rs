//! Points in time and spans of time for deciding code, which takes the time as an input and never reads a clock.
//!
//! Both types count microseconds and do arithmetic that stops at the ends of its range, so that a late or early event never
//! panics. What a [`Timestamp`] counts from is the caller's choice; two of them compare only if they come from one clock.
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

use std::ops::{Add, AddAssign, Mul, Sub};

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// A point in time, in microseconds from the start of its clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

/// A span of time that is never negative, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeDelta(u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Timestamp = Timestamp(0);
    /// Later than every other point in time.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// The point so many microseconds after the start of the clock.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// The point so many milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds since the start of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }
}

impl TimeDelta {
    /// No time at all.
    pub const ZERO: TimeDelta = TimeDelta(0);
    /// Longer than every other span.
    pub const MAX: TimeDelta = TimeDelta(u64::MAX);

    /// A span of so many microseconds.
    pub const fn from_micros(micros: u64) -> TimeDelta {
        TimeDelta(micros)
    }

    /// A span of so many milliseconds.
    pub const fn from_millis(millis: u64) -> TimeDelta {
        TimeDelta(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// A span of so many seconds.
    pub const fn from_secs(seconds: u64) -> TimeDelta {
        TimeDelta::from_millis(seconds.saturating_mul(1_000))
    }

    /// The span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The span in whole milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// The span scaled by a factor, rounded down; a negative factor gives [`TimeDelta::ZERO`].
    pub fn mul_f64(self, factor: f64) -> TimeDelta {
        TimeDelta((self.0 as f64 * factor).max(0.0) as u64)
    }

    /// Whether this is no time at all.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Timestamp;

    fn add(self, span: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Sub<TimeDelta> for Timestamp {
    type Output = Timestamp;

    fn sub(self, span: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
    }
}

impl Sub for Timestamp {
    type Output = TimeDelta;

    /// The time from `earlier` to `self`; zero if `earlier` is the later one.
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
