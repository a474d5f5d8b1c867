//! The durations of discovery calls.

use chalkdeck_time::TimeDelta;

/// The bounds of a duration that is derived from the drain grace.
struct Bounds {
    min: TimeDelta,
    max: TimeDelta,
}

impl Bounds {
    fn clamp(&self, time: TimeDelta) -> TimeDelta {
        time.clamp(self.min, self.max)
    }
}

const POLL_BOUNDS: Bounds = Bounds {
    min: TimeDelta::from_millis(20),
    max: TimeDelta::from_secs(2),
};
const RESPONSE_BOUNDS: Bounds = Bounds {
    min: TimeDelta::from_millis(20),
    max: TimeDelta::from_millis(800),
};
const RETRY_BOUNDS: Bounds = Bounds {
    min: TimeDelta::from_millis(5),
    max: TimeDelta::from_millis(100),
};
/// Each duration is the drain grace divided by one of these, within its bounds.
const POLL_DIVISOR: u64 = 4;
const RESPONSE_DIVISOR: u64 = 5;
const RETRY_DIVISOR: u64 = 20;

/// The durations of discovery calls. They are derived from the drain grace, the time within which a published drain must take effect: the
/// agent holds a long poll for a quarter of it, and the call times out a fifth of it later. So an unresponsive connection, or a call
/// made while discovery was down, is replaced within half of the grace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// How long the agent may hold a long poll.
    pub(super) poll: TimeDelta,
    /// The time after which a call without a complete response times out.
    pub(super) timeout: TimeDelta,
    /// The delay between a failed call and the next one.
    pub(super) retry_delay: TimeDelta,
    /// A list that was confirmed longer ago may no longer describe the fleet. One silent connection is replaced within this time.
    pub(crate) max_list_age: TimeDelta,
}

impl Timing {
    pub(crate) fn new(drain_grace: TimeDelta) -> Timing {
        let fraction = |divisor| TimeDelta::from_micros(drain_grace.as_micros() / divisor);
        let poll = POLL_BOUNDS.clamp(fraction(POLL_DIVISOR));
        let response = RESPONSE_BOUNDS.clamp(fraction(RESPONSE_DIVISOR));
        let timeout = poll + response;
        Timing {
            poll,
            timeout,
            retry_delay: RETRY_BOUNDS.clamp(fraction(RETRY_DIVISOR)),
            max_list_age: drain_grace.max(timeout + timeout),
        }
    }
}
