//! Options of a call that its HTTP request does not contain.

use crate::core::Idempotency;
use http::Request;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// The default timeout of a call.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// How messages are exchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallKind {
    /// One message in each direction.
    #[default]
    Unary,
    /// Any number of messages in both directions. A call that has sent a second message or received any message is not retried.
    Streaming,
}

/// The options of a call.
#[derive(Clone, Debug)]
pub struct CallOptions {
    /// Whether it may be retried.
    pub idempotency: Idempotency,
    /// The idempotency key of a keyed call. If there is none, the library generates one.
    pub key: Option<String>,
    /// The time limit for all attempts, or for the whole stream. A shorter `grpc-timeout` of the request takes precedence.
    pub timeout: Duration,
    /// How messages are exchanged.
    pub kind: CallKind,
}

impl Default for CallOptions {
    fn default() -> CallOptions {
        CallOptions {
            idempotency: Idempotency::NonIdempotent,
            key: None,
            timeout: DEFAULT_TIMEOUT,
            kind: CallKind::default(),
        }
    }
}

/// Returns the options of the calls of a path.
type OptionsByPath = dyn Fn(&str) -> CallOptions + Send + Sync;

/// A layer that sets [`CallOptions`] by path on requests that have none.
#[derive(Clone)]
pub struct CallOptionsLayer {
    options_by_path: Arc<OptionsByPath>,
}

impl CallOptionsLayer {
    /// Creates a layer. `options_by_path` is called with `/package.Service/Method`.
    pub fn new(
        options_by_path: impl Fn(&str) -> CallOptions + Send + Sync + 'static,
    ) -> CallOptionsLayer {
        CallOptionsLayer {
            options_by_path: Arc::new(options_by_path),
        }
    }
}

impl<S> tower_layer::Layer<S> for CallOptionsLayer {
    type Service = WithCallOptions<S>;

    fn layer(&self, inner: S) -> WithCallOptions<S> {
        WithCallOptions {
            inner,
            layer: self.clone(),
        }
    }
}

/// A service behind a [`CallOptionsLayer`].
#[derive(Clone)]
pub struct WithCallOptions<S> {
    inner: S,
    layer: CallOptionsLayer,
}

impl<S, B> tower_service::Service<Request<B>> for WithCallOptions<S>
where
    S: tower_service::Service<Request<B>>,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = S::Future;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, mut request: Request<B>) -> S::Future {
        if request.extensions().get::<CallOptions>().is_none() {
            let options = (self.layer.options_by_path)(request.uri().path());
            request.extensions_mut().insert(options);
        }
        self.inner.call(request)
    }
}
