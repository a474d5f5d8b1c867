//! Converts replies to HTTP responses as a gRPC channel returns them.

use super::body::ResponseBody;
use crate::call::Reply;
use crate::core::Outcome;
use chalkdeck_net::grpc::{self, Code};
use http::{HeaderMap, HeaderValue, Response};
use http_body::Frame;

const MICROS_PER_MILLI: u64 = 1_000;

/// The response to a unary call.
pub(super) fn unary<B>(reply: &Reply) -> Response<ResponseBody<B>> {
    let message = reply.message.as_ref();
    let mut frames = Vec::new();
    frames.extend(message.map(|message| Frame::data(grpc::frame(message))));
    frames.push(Frame::trailers(trailers(reply)));
    with_body(ResponseBody::complete(frames))
}

/// A response with gRPC headers.
pub(super) fn with_body<B>(body: ResponseBody<B>) -> Response<ResponseBody<B>> {
    let mut response = Response::new(body);
    *response.headers_mut() = grpc::response_head().headers().clone();
    response
}

/// The trailers for the outcome of a call.
pub(super) fn trailers(reply: &Reply) -> HeaderMap {
    let mut trailers = grpc::trailers(status(reply), &reply.status_message);
    if let Outcome::Rejected {
        retry_after: Some(retry_after),
    } = reply.outcome
    {
        let millis = retry_after.as_micros().div_ceil(MICROS_PER_MILLI);
        trailers.insert(grpc::RETRY_PUSHBACK, HeaderValue::from(millis));
    }
    if matches!(reply.outcome, Outcome::NotSent | Outcome::TooManyCalls) {
        trailers.insert(grpc::UNPROCESSED, HeaderValue::from_static("1"));
    }
    trailers
}

/// The gRPC status for the outcome of a call.
fn status(reply: &Reply) -> Code {
    match reply.outcome {
        Outcome::Answered => reply.status.unwrap_or(Code::Unknown),
        Outcome::Rejected { .. } | Outcome::TooManyCalls => Code::ResourceExhausted,
        Outcome::NotSent | Outcome::Failed => reply.status.unwrap_or(Code::Unavailable),
        Outcome::DeadlineExceeded { .. } => Code::DeadlineExceeded,
        Outcome::Cancelled => Code::Cancelled,
    }
}
