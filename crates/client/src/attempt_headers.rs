//! Builds the request head of an attempt, and interprets the trailers of its response.

use crate::call::Call;
use crate::core::AttemptOutcome;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_time::TimeDelta;
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use std::net::SocketAddr;

/// The value of the [`grpc::UNPROCESSED`] trailer. With it, a server states that it did not process a call.
const NOT_PROCESSED_VALUE: &str = "1";

/// The request head of an attempt. `None` if the path or the metadata is not valid in HTTP.
pub(crate) fn request_head(
    call: &Call,
    address: SocketAddr,
    attempt: u32,
    time_left: TimeDelta,
) -> Option<Request<()>> {
    let mut request = grpc::request_head(&address.to_string(), &call.path)?;
    let headers = request.headers_mut();
    for (name, value) in &call.metadata {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.insert(name, HeaderValue::from_str(value).ok()?);
    }
    if let Some(key) = &call.key {
        headers.insert(grpc::IDEMPOTENCY_KEY, HeaderValue::from_str(key).ok()?);
    }
    if attempt > 0 {
        headers.insert(grpc::PREVIOUS_ATTEMPTS, HeaderValue::from(attempt));
    }
    headers.insert(grpc::TIMEOUT, grpc::encode_timeout(time_left.as_micros()));
    Some(request)
}

/// The outcome of an attempt by its trailers. `RESOURCE_EXHAUSTED` is a rejection only with a pushback; a pushback that cannot be
/// parsed gives no retry time.
pub(crate) fn attempt_outcome(trailers: &HeaderMap) -> AttemptOutcome {
    let pushback = trailers.get(grpc::RETRY_PUSHBACK);
    let is_not_processed = trailers
        .get(grpc::UNPROCESSED)
        .is_some_and(|value| value == NOT_PROCESSED_VALUE);
    match Code::from_trailers(trailers) {
        Some(Code::ResourceExhausted) if pushback.is_some() => AttemptOutcome::Rejected {
            retry_after: pushback.and_then(parse_pushback),
        },
        Some(Code::Unavailable) if is_not_processed => AttemptOutcome::NotProcessed,
        Some(Code::Unavailable | Code::DeadlineExceeded) | None => AttemptOutcome::MayHaveRun,
        Some(_) => AttemptOutcome::Answered,
    }
}

fn parse_pushback(value: &HeaderValue) -> Option<TimeDelta> {
    let millis: u64 = value.to_str().ok()?.parse().ok()?;
    Some(TimeDelta::from_millis(millis))
}
