//! A `tower` service over a [`Client`], for programs that use `tonic`: pass [`FleetService`] to a generated client in place of its
//! channel. The client's own thread does the I/O, so no async runtime is needed.
//!
//! By default, a call is unary and non-idempotent, and has a timeout of ten seconds. [`CallOptions`] change that: in the request's
//! extensions for one call, or by path with a [`CallOptionsLayer`].

mod body;
mod future;
mod options;
mod request;
mod response;

pub use body::ResponseBody;
pub use future::ResponseFuture;
pub use options::{CallKind, CallOptions, CallOptionsLayer, WithCallOptions};

use crate::call::Call;
use crate::client::Client;
use bytes::Bytes;
use chalkdeck_net::grpc;
use http::{HeaderMap, Request, Response};
use http_body::Body;
use request::PendingRequest;
use std::convert::Infallible;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Maximum size of a request message.
const MAX_REQUEST_MESSAGE_BYTES: usize = 4 << 20;
/// Headers that are not forwarded as metadata, because they are set for each attempt.
const TRANSPORT_HEADERS: [&str; 6] = [
    "te",
    "content-type",
    grpc::TIMEOUT,
    grpc::IDEMPOTENCY_KEY,
    grpc::PREVIOUS_ATTEMPTS,
    "user-agent",
];

/// The fleet of gateways as one service. It is always ready. If too many calls are open, a call ends at once with
/// `RESOURCE_EXHAUSTED`.
#[derive(Clone)]
pub struct FleetService {
    client: Arc<Client>,
}

impl FleetService {
    /// Creates a service over a client, which the program can also use directly.
    pub fn new(client: Arc<Client>) -> FleetService {
        FleetService { client }
    }
}

impl<B> tower_service::Service<Request<B>> for FleetService
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    type Response = Response<ResponseBody<B>>;
    type Error = Infallible;
    type Future = ResponseFuture<B>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<B>) -> ResponseFuture<B> {
        let (parts, body) = request.into_parts();
        let options = parts
            .extensions
            .get::<CallOptions>()
            .cloned()
            .unwrap_or_default();
        let call = Call {
            path: parts.uri.path().to_owned(),
            message: Bytes::new(),
            metadata: metadata(&parts.headers),
            idempotency: options.idempotency,
            key: options.key,
            timeout: timeout(&parts.headers, options.timeout),
        };
        let pending = PendingRequest::new(self.client.clone(), call, body);
        ResponseFuture::new(pending, options.kind)
    }
}

/// The shorter of the request's `grpc-timeout` and the timeout of its options.
fn timeout(headers: &HeaderMap, max_timeout: Duration) -> Duration {
    let requested = headers
        .get(grpc::TIMEOUT)
        .and_then(|value| value.to_str().ok())
        .and_then(grpc::parse_timeout);
    match requested {
        Some(micros) => max_timeout.min(Duration::from_micros(micros)),
        None => max_timeout,
    }
}

/// The metadata among the headers of a request. Binary values are skipped.
fn metadata(headers: &HeaderMap) -> Vec<(String, String)> {
    let mut metadata = Vec::new();
    for (name, value) in headers {
        if TRANSPORT_HEADERS.contains(&name.as_str()) {
            continue;
        }
        if let Ok(text) = value.to_str() {
            metadata.push((name.to_string(), text.to_owned()));
        }
    }
    metadata
}
