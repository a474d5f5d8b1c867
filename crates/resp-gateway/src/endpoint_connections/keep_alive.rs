//! The adaptive keep-alive time of idle connections to endpoints. Endpoints may close idle connections earlier than the settings state;
//! requests that are reset right after they were written indicate this and shorten the time.

use chalkdeck_time::TimeDelta;

/// The fraction of the endpoints' idle time-out after which an idle connection is closed, before the endpoint closes it.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// The longest keep-alive time.
const MAX_KEEP_ALIVE: TimeDelta = TimeDelta::from_secs(10);
/// The shortest keep-alive time to which resets reduce it.
const MIN_KEEP_ALIVE: TimeDelta = TimeDelta::from_millis(5);
/// A request that is reset within this time after it was written was sent on a connection that its endpoint had already closed.
const MAX_STALE_RESET_DELAY: TimeDelta = TimeDelta::from_millis(5);
/// After such a reset, the keep-alive time is this fraction of the time that the connection had been idle.
const RESET_DECREASE_FACTOR: f64 = 0.5;
/// Each reply on a connection that was idle for at least half of the keep-alive time lengthens that time by this factor.
const REPLY_INCREASE_FACTOR: f64 = 1.02;

/// The current keep-alive time of idle connections, for all endpoints together.
pub(super) struct KeepAlive {
    max: TimeDelta,
    current: TimeDelta,
}

impl KeepAlive {
    /// `idle_timeout` is the idle time after which endpoints close a connection; `None` if they never do.
    pub(super) fn new(idle_timeout: Option<TimeDelta>) -> KeepAlive {
        let max = idle_timeout.map_or(MAX_KEEP_ALIVE, |timeout| {
            timeout.mul_f64(IDLE_TIMEOUT_FRACTION).min(MAX_KEEP_ALIVE)
        });
        KeepAlive { max, current: max }
    }

    /// How long idle connections are currently kept.
    pub(super) fn current(&self) -> TimeDelta {
        self.current
    }

    /// Records a reply on a connection that had been idle for `idle_time` before the request.
    pub(super) fn on_reply(&mut self, idle_time: TimeDelta) {
        if idle_time.as_micros() >= self.current.as_micros() / 2 {
            self.current = self.current.mul_f64(REPLY_INCREASE_FACTOR).min(self.max);
        }
    }

    /// Records that a request was reset `elapsed` after it was written to a connection that had been idle for `idle_time`.
    pub(super) fn on_reset(&mut self, idle_time: TimeDelta, elapsed: TimeDelta) {
        if elapsed < MAX_STALE_RESET_DELAY {
            self.current = idle_time
                .mul_f64(RESET_DECREASE_FACTOR)
                .max(MIN_KEEP_ALIVE)
                .min(self.current);
        }
    }
}
