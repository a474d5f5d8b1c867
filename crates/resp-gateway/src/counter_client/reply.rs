//! Parses the reply of the counter to a call.

use chalkdeck::api::Outcome;
use chalkdeck_resp::Frame;

/// The parsed reply of the counter.
pub(super) struct CounterReply {
    pub(super) outcome: Outcome,
    /// The total after the increment; meaningful only with `Outcome::Ok`.
    pub(super) total: f64,
    /// Whether the connection can be reused.
    pub(super) is_reusable: bool,
}

impl CounterReply {
    /// A reply that the counter does not send: the increment counts as made, and the connection must not be reused.
    pub(super) const INVALID: CounterReply = CounterReply {
        outcome: Outcome::Error,
        total: 0.0,
        is_reusable: false,
    };
    /// The counter rejected the increment, which was not made.
    const REJECTED: CounterReply = CounterReply {
        outcome: Outcome::Rejected,
        total: 0.0,
        is_reusable: true,
    };

    /// Parses a reply.
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
