//! Clocks. All times are in microseconds.

use rustix::time::{clock_gettime, ClockId};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::Arc;

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;
/// The number of random low bits of an incarnation.
const INCARNATION_RANDOM_BITS: u32 = 12;

fn read_clock(id: ClockId) -> u64 {
    let time = clock_gettime(id);
    time.tv_sec as u64 * MICROS_PER_SECOND + time.tv_nsec as u64 / NANOS_PER_MICRO
}

/// The machine's monotonic time in microseconds. It never steps, and all processes of the machine see the same time.
pub fn monotonic_micros() -> u64 {
    read_clock(ClockId::Monotonic)
}

/// The incarnation number of a process that started at `now`. It is higher than that of any earlier incarnation, unless the system
/// clock was set back in between; random low bits distinguish processes that started in the same microsecond.
pub fn generate_incarnation(now: u64) -> u64 {
    (now << INCARNATION_RANDOM_BITS) | fastrand::u64(..1 << INCARNATION_RANDOM_BITS)
}

/// A wall clock that never steps: the Unix time is read once, at the start, and advanced by the monotonic clock.
#[derive(Clone, Debug)]
pub struct Clock {
    /// The Unix time at the zero of the monotonic clock.
    offset: u64,
    jumps: Option<Arc<ClockJumps>>,
}

/// Simulates jumps of the time source in tests. The resulting time never goes back, like that of the clock itself: after a jump
/// back of the source, it continues from its latest value.
#[derive(Debug, Default)]
pub struct ClockJumps {
    /// The sum of all jumps.
    total: AtomicI64,
    /// The sum of all corrections that keep the time from going back.
    correction: AtomicI64,
    /// The latest time that was returned.
    latest: AtomicU64,
}

impl ClockJumps {
    /// Shifts the time source by `by` microseconds; negative values shift it back.
    pub fn jump(&self, by: i64) {
        self.total.fetch_add(by, Ordering::SeqCst);
    }

    /// The time for this reading of the source, with all jumps and corrections.
    fn adjusted_time(&self, source: u64) -> u64 {
        let shifted_source = source as i64
            + self.total.load(Ordering::SeqCst)
            + self.correction.load(Ordering::SeqCst);
        let latest = self
            .latest
            .fetch_max(shifted_source.max(0) as u64, Ordering::SeqCst);
        let step_back = latest as i64 - shifted_source;
        if step_back > 0 {
            self.correction.fetch_add(step_back, Ordering::SeqCst);
        }
        latest.max(shifted_source.max(0) as u64)
    }
}

impl Clock {
    /// A clock that starts from the machine's current time.
    pub fn start() -> Clock {
        Clock {
            offset: read_clock(ClockId::Realtime).saturating_sub(monotonic_micros()),
            jumps: None,
        }
    }
    /// A clock that is shifted by `jumps`.
    pub fn shifted(jumps: Arc<ClockJumps>) -> Clock {
        Clock {
            jumps: Some(jumps),
            ..Clock::start()
        }
    }
    /// Microseconds since the Unix epoch.
    pub fn now(&self) -> u64 {
        let source = monotonic_micros() + self.offset;
        self.jumps
            .as_ref()
            .map_or(source, |jumps| jumps.adjusted_time(source))
    }
}
