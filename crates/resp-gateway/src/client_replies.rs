//! The replies to clients that the gateway itself creates; all others carry the values of endpoints.

use bytes::Bytes;
use chalkdeck_resp::Frame;
use chalkdeck_time::TimeDelta;

/// The longest text of an error reply, in characters; longer texts are cut off.
const MAX_ERROR_CHARS: usize = 200;
/// Microseconds in a millisecond, the unit of the delay in a `BUSY` reply.
const MICROS_PER_MILLI: u64 = 1_000;

/// The reply to a command that has no result.
pub(crate) fn ok() -> Frame {
    Frame::SimpleString(Bytes::from_static(b"OK"))
}

/// The reply to `PING`.
pub(crate) fn pong() -> Frame {
    Frame::SimpleString(Bytes::from_static(b"PONG"))
}

/// The reply to a rejected request, which never ran and may be retried. `retry_after` is rounded up to whole milliseconds.
pub(crate) fn busy(retry_after: Option<TimeDelta>) -> Frame {
    let line = match retry_after {
        Some(delay) => format!("BUSY {}", delay.as_micros().div_ceil(MICROS_PER_MILLI)),
        None => "BUSY".to_string(),
    };
    Frame::Error(line.into())
}

/// An error reply. Unlike `BUSY`, its code `ERR` does not imply that the request never ran, so a retry may not be safe.
pub(crate) fn error(text: &str) -> Frame {
    let replace_control = |c: char| if c.is_control() { ' ' } else { c };
    let text: String = text
        .chars()
        .take(MAX_ERROR_CHARS)
        .map(replace_control)
        .collect();
    Frame::Error(format!("ERR {text}").into())
}
