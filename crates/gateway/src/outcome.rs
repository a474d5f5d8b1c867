//! What an attempt's end on the wire says of it, in the terms of the decisions. A translation, no decision.

use chalkdeck::api::Outcome;
use chalkdeck_net::grpc::{Code, UNPROCESSED};
use chalkdeck_net::Broken;
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
    match Code::read(trailers) {
        Some(Code::Unavailable) if trailers.get(UNPROCESSED).is_some_and(|v| v == "1") => {
            is(Outcome::Full, false)
        }
        Some(Code::Unavailable) | None => is(Outcome::Error, false),
        Some(Code::DeadlineExceeded) => is(Outcome::Timeout, false),
        Some(Code::Internal | Code::Unknown | Code::DataLoss) => is(Outcome::Error, true),
        Some(_) => is(Outcome::Ok, true),
    }
}

/// By how its stream broke off.
pub(crate) fn of_break(how: Broken) -> Outcome {
    match how {
        Broken::Refused | Broken::GoneAway => Outcome::Full,
        Broken::Reset(_) | Broken::Lost => Outcome::Reset,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use chalkdeck_net::grpc;

    #[test]
    fn only_proof_counts_as_never_run() {
        let mut trailers = grpc::trailers(Code::Unavailable, "full");
        assert!(!of_status(&trailers).outcome.never_ran());
        trailers.insert(UNPROCESSED, http::HeaderValue::from_static("1"));
        assert!(of_status(&trailers).outcome.never_ran());
        assert!(!of_status(&HeaderMap::new()).outcome.never_ran());
        assert!(
            !of_break(Broken::Lost).never_ran() && !of_break(Broken::Reset(h2::Reason::CANCEL)).never_ran()
        );
        assert!(of_break(Broken::Refused).never_ran() && of_break(Broken::GoneAway).never_ran());
    }

    #[test]
    fn a_service_s_own_word_is_the_answer() {
        for code in [Code::Ok, Code::NotFound, Code::Internal, Code::ResourceExhausted] {
            assert!(of_status(&grpc::trailers(code, "")).is_answer, "{code:?}");
        }
        assert!(!of_status(&grpc::trailers(Code::DeadlineExceeded, "")).is_answer);
    }
}
