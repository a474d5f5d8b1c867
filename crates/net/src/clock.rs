//! Clocks. All of them count microseconds.

use rustix::time::{clock_gettime, ClockId};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::Arc;

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;
/// The low bits of an incarnation, which are random.
const INCARNATION_RANDOM_BITS: u32 = 12;

fn read_clock(id: ClockId) -> u64 {
    let time = clock_gettime(id);
    time.tv_sec as u64 * MICROS_PER_SECOND + time.tv_nsec as u64 / NANOS_PER_MICRO
}

/// The machine's monotonic time: it never steps and is the same in all processes of this machine.
pub fn monotonic_micros() -> u64 {
    read_clock(ClockId::Monotonic)
}

/// The number of an incarnation of a process that started at `now`: above that of any earlier incarnation, and distinct from those
/// that started in the same microsecond.
pub fn new_incarnation(now: u64) -> u64 {
    (now << INCARNATION_RANDOM_BITS) | fastrand::u64(..1 << INCARNATION_RANDOM_BITS)
}

/// Time since the Unix epoch as it was at the start, advanced by the monotonic clock, so that it never steps.
#[derive(Clone, Debug)]
pub struct Clock {
    /// The Unix time at the start of the monotonic clock.
    offset: u64,
    jumps: Option<Arc<ClockJumps>>,
}

/// Makes a clock jump, for tests of what depends on it. Like the clock itself, its time does not go back: after a jump back of the
/// source it goes on from where it was.
#[derive(Debug, Default)]
pub struct ClockJumps {
    /// The sum of all jumps.
    total: AtomicI64,
    /// What was added so that time does not go back.
    correction: AtomicI64,
    /// The latest time that was read.
    latest: AtomicU64,
}

impl ClockJumps {
    /// Moves the source of time by so many microseconds, back if negative.
    pub fn jump(&self, by: i64) {
        self.total.fetch_add(by, Ordering::SeqCst);
    }

    /// The time for this reading of the source.
    fn adjusted_time(&self, source: u64) -> u64 {
        let shifted = source as i64
            + self.total.load(Ordering::SeqCst)
            + self.correction.load(Ordering::SeqCst);
        let latest = self
            .latest
            .fetch_max(shifted.max(0) as u64, Ordering::SeqCst);
        let step_back = latest as i64 - shifted;
        if step_back > 0 {
            self.correction.fetch_add(step_back, Ordering::SeqCst);
        }
        latest.max(shifted.max(0) as u64)
    }
}

impl Clock {
    /// Reads the machine's date once.
    pub fn start() -> Clock {
        Clock {
            offset: read_clock(ClockId::Realtime).saturating_sub(monotonic_micros()),
            jumps: None,
        }
    }
    /// The same, shifted by `jumps`.
    pub fn with_jumps(jumps: Arc<ClockJumps>) -> Clock {
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
