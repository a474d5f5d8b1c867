//! Clocks. Both count microseconds.

use rustix::time::{clock_gettime, ClockId};

fn read(id: ClockId) -> u64 {
    let t = clock_gettime(id);
    t.tv_sec as u64 * 1_000_000 + t.tv_nsec as u64 / 1_000
}

/// The machine's monotonic time: never steps, equal in all processes of this machine.
pub fn monotonic() -> u64 {
    read(ClockId::Monotonic)
}

/// Time since the Unix epoch as it was at the start, moved on by the monotonic clock, so that it never steps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    ahead: u64,
}

impl Clock {
    /// Reads the machine's date once.
    pub fn start() -> Clock {
        Clock { ahead: read(ClockId::Realtime).saturating_sub(monotonic()) }
    }
    /// Microseconds since the Unix epoch.
    pub fn now(&self) -> u64 {
        monotonic() + self.ahead
    }
}
