//! The replies that a gateway words itself; all others are the values of endpoints.

use bytes::Bytes;
use chalkdeck_resp::Frame;
use chalkdeck_time::TimeDelta;

/// The longest text of an error line, in characters.
const MAX_ERROR_CHARS: usize = 200;
/// Microseconds in a millisecond, the unit of the time after `BUSY`.
const MICROS_PER_MILLI: u64 = 1_000;

/// The reply to a command that has no result.
pub(crate) fn ok() -> Frame {
    Frame::SimpleString(Bytes::from_static(b"OK"))
}

/// The reply to `PING`.
pub(crate) fn pong() -> Frame {
    Frame::SimpleString(Bytes::from_static(b"PONG"))
}

/// A rejection, which never ran and may be retried. `retry_after` is rounded up to whole milliseconds.
pub(crate) fn busy(retry_after: Option<TimeDelta>) -> Frame {
    let line = match retry_after {
        Some(delay) => format!("BUSY {}", delay.as_micros().div_ceil(MICROS_PER_MILLI)),
        None => "BUSY".to_string(),
    };
    Frame::Error(line.into())
}

/// An error line. Its code does not tell the client that a retry is harmless.
pub(crate) fn error(text: &str) -> Frame {
    let without_control = |c: char| if c.is_control() { ' ' } else { c };
    let text: String = text
        .chars()
        .take(MAX_ERROR_CHARS)
        .map(without_control)
        .collect();
    Frame::Error(format!("ERR {text}").into())
}
