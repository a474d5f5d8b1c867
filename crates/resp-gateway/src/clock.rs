//! Converts the event loop's time, microseconds as `u64`, to the types of `chalkdeck-time`.

use chalkdeck_net::Engine;
use chalkdeck_time::Timestamp;

/// The current time of the event loop's clock.
pub(crate) fn now(engine: &Engine) -> Timestamp {
    Timestamp::from_micros(engine.now())
}
