//! Translates how an attempt ended on the wire into the terms of the decisions; nothing is decided here.

use chalkdeck::api::Outcome;
use chalkdeck_net::grpc::{Code, UNPROCESSED};
use chalkdeck_net::StreamError;
use http::HeaderMap;

/// How an attempt ended, and whether the server's answer is the client's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptEnd {
    pub(crate) outcome: Outcome,
    pub(crate) is_answer: bool,
}

/// By the status in a server's trailers. UNAVAILABLE and DEADLINE_EXCEEDED come from what stands before the service
/// or from its time running out; every other status is the service's own answer and goes to the client as it is.
pub(crate) fn from_trailers(trailers: &HeaderMap) -> AttemptEnd {
    let end = |outcome, is_answer| AttemptEnd { outcome, is_answer };
    match Code::from_trailers(trailers) {
        Some(Code::Unavailable) if trailers.get(UNPROCESSED).is_some_and(|value| value == "1") => {
            end(Outcome::Rejected, false)
        }
        Some(Code::Unavailable) | None => end(Outcome::Error, false),
        Some(Code::DeadlineExceeded) => end(Outcome::Timeout, false),
        Some(Code::Internal | Code::Unknown | Code::DataLoss) => end(Outcome::Error, true),
        Some(_) => end(Outcome::Ok, true),
    }
}

/// By the error that ended its stream.
pub(crate) fn from_stream_error(error: StreamError) -> Outcome {
    match error {
        StreamError::Refused | StreamError::GoneAway => Outcome::Rejected,
        StreamError::Reset(_) | StreamError::Lost => Outcome::Reset,
    }
}

#[cfg(test)]
mod tests;
