//! How long an idle connection to an endpoint is kept. Endpoints may close idle connections earlier than the settings say, which is
//! learnt from requests that were reset right after they were written.

use chalkdeck_time::TimeDelta;

/// An idle connection is closed at this part of the time after which the endpoint would close it.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// The longest that an idle connection is kept.
const MAX_KEEP_ALIVE: TimeDelta = TimeDelta::from_secs(10);
/// The shortest that resets lower the time to.
const MIN_KEEP_ALIVE: TimeDelta = TimeDelta::from_millis(5);
/// A request that is reset within this time met a connection that its endpoint had closed unseen.
const STALE_RESET: TimeDelta = TimeDelta::from_millis(5);
/// After that, connections are kept for this part of the time that the one was idle.
const DECREASE: f64 = 0.5;
/// Each reply on a connection that was idle for half of the time or more lengthens it by this factor.
const INCREASE: f64 = 1.02;

/// The time that idle connections are kept.
pub(super) struct KeepAlive {
    max: TimeDelta,
    current: TimeDelta,
}

impl KeepAlive {
    /// `idle_timeout`: after which an endpoint closes an idle connection; none: it never does.
    pub(super) fn new(idle_timeout: Option<TimeDelta>) -> KeepAlive {
        let max = idle_timeout.map_or(MAX_KEEP_ALIVE, |timeout| {
            timeout.mul_f64(IDLE_TIMEOUT_FRACTION).min(MAX_KEEP_ALIVE)
        });
        KeepAlive { max, current: max }
    }

    /// How long an idle connection is kept now.
    pub(super) fn current(&self) -> TimeDelta {
        self.current
    }

    /// A reply was received on a connection that had been idle for so long.
    pub(super) fn on_reply(&mut self, idle_time: TimeDelta) {
        if idle_time.as_micros() >= self.current.as_micros() / 2 {
            self.current = self.current.mul_f64(INCREASE).min(self.max);
        }
    }

    /// A request was reset so long after it was written to a connection that had been idle for `idle_time`.
    pub(super) fn on_reset(&mut self, idle_time: TimeDelta, elapsed: TimeDelta) {
        if elapsed < STALE_RESET {
            self.current = idle_time
                .mul_f64(DECREASE)
                .max(MIN_KEEP_ALIVE)
                .min(self.current);
        }
    }
}
