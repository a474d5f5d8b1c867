//! The times of service discovery.

use chalkdeck_time::TimeDelta;

/// The range of one time, whatever the drain grace.
struct Range {
    min: TimeDelta,
    max: TimeDelta,
}

impl Range {
    fn clamp(&self, time: TimeDelta) -> TimeDelta {
        time.clamp(self.min, self.max)
    }
}

const POLL_RANGE: Range = Range {
    min: TimeDelta::from_millis(20),
    max: TimeDelta::from_secs(2),
};
const RESPONSE_RANGE: Range = Range {
    min: TimeDelta::from_millis(20),
    max: TimeDelta::from_millis(800),
};
const RETRY_RANGE: Range = Range {
    min: TimeDelta::from_millis(5),
    max: TimeDelta::from_millis(100),
};
/// The parts of the drain grace that each of the times takes.
const POLL_DIVISOR: u64 = 4;
const RESPONSE_DIVISOR: u64 = 5;
const RETRY_DIVISOR: u64 = 20;

/// The times of service discovery. They follow from the grace within which a drain must take effect: a long poll waits a quarter of it at
/// the agent and times out a fifth of it later, so that a silent connection, or a call made while discovery was down, is replaced
/// within half of the grace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// How long the agent may hold a long poll.
    pub(super) poll: TimeDelta,
    /// A call without a complete response times out after this.
    pub(super) timeout: TimeDelta,
    /// Delay between a failed call and the next.
    pub(super) retry_delay: TimeDelta,
}

impl Timing {
    pub(crate) fn new(drain_grace: TimeDelta) -> Timing {
        let part = |divisor| TimeDelta::from_micros(drain_grace.as_micros() / divisor);
        let poll = POLL_RANGE.clamp(part(POLL_DIVISOR));
        let response = RESPONSE_RANGE.clamp(part(RESPONSE_DIVISOR));
        Timing {
            poll,
            timeout: poll + response,
            retry_delay: RETRY_RANGE.clamp(part(RETRY_DIVISOR)),
        }
    }
}
