//! The reply of the counter to a call.

use chalkdeck::api::Outcome;
use chalkdeck_resp::Frame;

/// What the counter replied.
pub(super) struct CounterReply {
    pub(super) outcome: Outcome,
    /// The total after the call; meaningful with `Outcome::Ok` only.
    pub(super) total: f64,
    /// Whether the connection may be used again.
    pub(super) is_reusable: bool,
}

impl CounterReply {
    /// Not a reply of the counter: the increment was made, and the connection must not be used again.
    pub(super) const INVALID: CounterReply = CounterReply {
        outcome: Outcome::Error,
        total: 0.0,
        is_reusable: false,
    };
    /// The increment was not made.
    const REJECTED: CounterReply = CounterReply {
        outcome: Outcome::Rejected,
        total: 0.0,
        is_reusable: true,
    };

    /// Parses the reply of the counter.
    pub(super) fn parse(frame: &Frame) -> CounterReply {
        match frame {
            Frame::BulkString(text) => CounterReply::parse_total(text),
            Frame::Error(line) if line.split(' ').next() == Some("BUSY") => CounterReply::REJECTED,
            Frame::Error(line) if line.starts_with("ERR") => CounterReply::REJECTED,
            _ => CounterReply::INVALID,
        }
    }

    fn parse_total(text: &[u8]) -> CounterReply {
        let total = std::str::from_utf8(text)
            .ok()
            .and_then(|text| text.parse::<f64>().ok())
            .filter(|total| total.is_finite());
        match total {
            Some(total) => CounterReply {
                outcome: Outcome::Ok,
                total,
                is_reusable: true,
            },
            None => CounterReply::INVALID,
        }
    }
}
