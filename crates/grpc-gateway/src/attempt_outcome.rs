//! Translates the end of an attempt on the wire into an [`Outcome`] for the decision engine.

use chalkdeck::api::Outcome;
use chalkdeck_net::grpc::{Code, UNPROCESSED};
use chalkdeck_net::StreamError;
use http::HeaderMap;

/// The outcome of an attempt, and whether its response is the final answer to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptEnd {
    pub(crate) outcome: Outcome,
    pub(crate) is_answer: bool,
}

/// The end of an attempt by the status in the endpoint's trailers. UNAVAILABLE and DEADLINE_EXCEEDED come from infrastructure in
/// front of the service or from a time-out; every other status is the service's own answer and is forwarded unchanged.
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

/// The outcome of an attempt by the error that ended its stream.
pub(crate) fn from_stream_error(error: StreamError) -> Outcome {
    match error {
        StreamError::Refused | StreamError::GoneAway => Outcome::Rejected,
        StreamError::Reset(_) | StreamError::ConnectionLost => Outcome::Reset,
    }
}

#[cfg(test)]
mod tests;
