//! Tests of `outcome`.

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
        !of_break(StreamError::Lost).never_ran()
            && !of_break(StreamError::Reset(h2::Reason::CANCEL)).never_ran()
    );
    assert!(
        of_break(StreamError::Refused).never_ran() && of_break(StreamError::GoneAway).never_ran()
    );
}

#[test]
fn a_service_s_own_word_is_the_answer() {
    for code in [
        Code::Ok,
        Code::NotFound,
        Code::Internal,
        Code::ResourceExhausted,
    ] {
        assert!(of_status(&grpc::trailers(code, "")).is_answer, "{code:?}");
    }
    assert!(!of_status(&grpc::trailers(Code::DeadlineExceeded, "")).is_answer);
}
