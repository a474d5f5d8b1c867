//! Clocks. Both count microseconds.

use rustix::time::{clock_gettime, ClockId};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::Arc;

fn read(id: ClockId) -> u64 {
    let t = clock_gettime(id);
    t.tv_sec as u64 * 1_000_000 + t.tv_nsec as u64 / 1_000
}

/// The machine's monotonic time: never steps, equal in all processes of this machine.
pub fn monotonic() -> u64 {
    read(ClockId::Monotonic)
}

/// A number for one life of a process that began at `now`: above that of any earlier life, and apart from those that began in
/// the same microsecond.
pub fn incarnation(now: u64) -> u64 {
    (now << 12) | fastrand::u64(..1 << 12)
}

/// Time since the Unix epoch as it was at the start, moved on by the monotonic clock, so that it never steps.
#[derive(Clone, Debug)]
pub struct Clock {
    ahead: u64,
    jumps: Option<Arc<Jumps>>,
}

/// Makes a clock jump, for tests of what hangs on it. Like the clock it belongs to, time does not go back: it stands until
/// what was lost has been made up, or goes on from there once it has jumped.
#[derive(Debug, Default)]
pub struct Jumps {
    by: AtomicI64,
    held: AtomicI64,
    last: AtomicU64,
}

impl Jumps {
    /// Moves the source of time by so many microseconds, back if negative.
    pub fn jump(&self, by: i64) {
        self.by.fetch_add(by, Ordering::SeqCst);
    }

    /// A source that went back is taken to go on from where it was.
    fn steady(&self, source: u64) -> u64 {
        let moved =
            source as i64 + self.by.load(Ordering::SeqCst) + self.held.load(Ordering::SeqCst);
        let last = self.last.fetch_max(moved.max(0) as u64, Ordering::SeqCst);
        let back = last as i64 - moved;
        if back > 0 {
            self.held.fetch_add(back, Ordering::SeqCst);
        }
        last.max(moved.max(0) as u64)
    }
}

impl Clock {
    /// Reads the machine's date once.
    pub fn start() -> Clock {
        Clock {
            ahead: read(ClockId::Realtime).saturating_sub(monotonic()),
            jumps: None,
        }
    }
    /// The same, moved by `jumps`.
    pub fn jumping(jumps: Arc<Jumps>) -> Clock {
        Clock {
            jumps: Some(jumps),
            ..Clock::start()
        }
    }
    /// Microseconds since the Unix epoch.
    pub fn now(&self) -> u64 {
        let source = monotonic() + self.ahead;
        self.jumps
            .as_ref()
            .map_or(source, |jumps| jumps.steady(source))
    }
}
