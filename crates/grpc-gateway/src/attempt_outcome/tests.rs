//! Tests of `attempt_outcome`.

use super::*;
use chalkdeck_net::grpc;

#[test]
fn attempt_never_ran_only_if_the_endpoint_proves_it() {
    let mut trailers = grpc::trailers(Code::Unavailable, "full");
    assert!(!from_trailers(&trailers).outcome.never_ran());
    trailers.insert(UNPROCESSED, http::HeaderValue::from_static("1"));
    assert!(from_trailers(&trailers).outcome.never_ran());
    assert!(!from_trailers(&HeaderMap::new()).outcome.never_ran());
    assert!(
        !from_stream_error(StreamError::ConnectionLost).never_ran()
            && !from_stream_error(StreamError::Reset(h2::Reason::CANCEL)).never_ran()
    );
    assert!(
        from_stream_error(StreamError::Refused).never_ran()
            && from_stream_error(StreamError::GoneAway).never_ran()
    );
}

#[test]
fn status_of_the_service_is_the_answer_to_the_client() {
    for code in [
        Code::Ok,
        Code::NotFound,
        Code::Internal,
        Code::ResourceExhausted,
    ] {
        assert!(
            from_trailers(&grpc::trailers(code, "")).is_answer,
            "{code:?}"
        );
    }
    assert!(!from_trailers(&grpc::trailers(Code::DeadlineExceeded, "")).is_answer);
}
