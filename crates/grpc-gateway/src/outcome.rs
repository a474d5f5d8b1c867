//! What an attempt's end on the wire says of it, in the terms of the decisions. A translation, no decision.

use chalkdeck::api::Outcome;
use chalkdeck_net::grpc::{Code, UNPROCESSED};
use chalkdeck_net::StreamError;
use http::HeaderMap;

/// How an attempt ended, and whether the server's answer is the client's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ended {
    pub(crate) outcome: Outcome,
    pub(crate) is_answer: bool,
}

/// By the status in a server's trailers. UNAVAILABLE and DEADLINE_EXCEEDED come from what stands before the service
/// or from its time running out; every other status is the service's own word and goes to the client as it is.
pub(crate) fn of_status(trailers: &HeaderMap) -> Ended {
    let is = |outcome, is_answer| Ended { outcome, is_answer };
    match Code::from_trailers(trailers) {
        Some(Code::Unavailable) if trailers.get(UNPROCESSED).is_some_and(|v| v == "1") => {
            is(Outcome::Rejected, false)
        }
        Some(Code::Unavailable) | None => is(Outcome::Error, false),
        Some(Code::DeadlineExceeded) => is(Outcome::Timeout, false),
        Some(Code::Internal | Code::Unknown | Code::DataLoss) => is(Outcome::Error, true),
        Some(_) => is(Outcome::Ok, true),
    }
}

/// By how its stream broke off.
pub(crate) fn of_break(how: StreamError) -> Outcome {
    match how {
        StreamError::Refused | StreamError::GoneAway => Outcome::Rejected,
        StreamError::Reset(_) | StreamError::Lost => Outcome::Reset,
    }
}

#[cfg(test)]
mod tests;
