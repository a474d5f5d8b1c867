//! The boundary between the loop, which counts time in microseconds as `u64`, and the types of `chalkdeck-time`.

use chalkdeck_net::Engine;
use chalkdeck_time::Timestamp;

/// The time of the loop's clock.
pub(crate) fn now(engine: &Engine) -> Timestamp {
    Timestamp::from_micros(engine.now())
}
