//! The future of a response.

use super::body::{ResponseBody, StreamExchange};
use super::options::CallKind;
use super::request::{reply_without_attempt, PendingRequest};
use super::response;
use crate::call::{CallHandle, Reply, TooManyCalls};
use crate::client::CLIENT_ENDED;
use crate::stream::StreamEvent;
use bytes::Bytes;
use chalkdeck_net::grpc::Code;
use futures_channel::{mpsc, oneshot};
use http::Response;
use http_body::Body;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

/// The response to a call. Dropping the future cancels the call.
pub struct ResponseFuture<B> {
    kind: CallKind,
    state: State<B>,
}

/// The state of a call.
enum State<B> {
    /// The request's first message has not arrived yet.
    Pending(Box<PendingRequest<B>>),
    /// A unary call was started, and its reply has not arrived yet.
    InFlight {
        reply: oneshot::Receiver<Reply>,
        cancel: CancelOnDrop,
    },
    /// The response was returned.
    Done,
}

/// Cancels a call when its future is dropped.
struct CancelOnDrop(Option<CallHandle>);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(handle) = self.0.take() {
            handle.cancel();
        }
    }
}

impl<B> ResponseFuture<B> {
    pub(super) fn new(request: PendingRequest<B>, kind: CallKind) -> ResponseFuture<B> {
        ResponseFuture {
            kind,
            state: State::Pending(Box::new(request)),
        }
    }
}

impl<B: Body<Data = Bytes> + Send + Unpin + 'static> Future for ResponseFuture<B> {
    type Output = Result<Response<ResponseBody<B>>, Infallible>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let this = &mut *self;
        loop {
            match &mut this.state {
                State::Pending(request) => {
                    let message = match ready!(request.poll_first_message(context)) {
                        Ok(message) => message,
                        Err(reply) => return Poll::Ready(Ok(response::unary(&reply))),
                    };
                    let state = std::mem::replace(&mut this.state, State::Done);
                    let State::Pending(request) = state else {
                        continue;
                    };
                    match this.kind {
                        CallKind::Unary => this.state = start_call(*request, message),
                        CallKind::Streaming => {
                            return Poll::Ready(Ok(open_stream(*request, message)));
                        }
                    }
                }
                State::InFlight { reply, cancel } => {
                    let reply = ready!(Pin::new(reply).poll(context));
                    cancel.0 = None;
                    let reply = reply
                        .unwrap_or_else(|_| reply_without_attempt(Code::Cancelled, CLIENT_ENDED));
                    return Poll::Ready(Ok(response::unary(&reply)));
                }
                State::Done => return Poll::Pending,
            }
        }
    }
}

fn start_call<B>(mut request: PendingRequest<B>, message: Bytes) -> State<B> {
    request.call.message = message;
    let (reply_sender, reply) = oneshot::channel();
    let handle = request.client.start_call(request.call, move |reply| {
        // The future may have been dropped.
        let _ = reply_sender.send(reply);
    });
    State::InFlight {
        reply,
        cancel: CancelOnDrop(Some(handle)),
    }
}

fn open_stream<B>(mut request: PendingRequest<B>, message: Bytes) -> Response<ResponseBody<B>> {
    request.call.message = message;
    let (event_sender, events) = mpsc::unbounded();
    let unread_bytes = Arc::new(AtomicUsize::new(0));
    let counter = unread_bytes.clone();
    let on_event = move |event: StreamEvent| {
        if let StreamEvent::Message(message) = &event {
            counter.fetch_add(message.len(), Ordering::Relaxed);
        }
        // The body may have been dropped.
        let _ = event_sender.unbounded_send(event);
    };
    let Ok(stream) = request.client.open_stream(request.call, on_event) else {
        let reply = reply_without_attempt(Code::ResourceExhausted, TooManyCalls.to_string());
        return response::unary(&reply);
    };
    let exchange =
        StreamExchange::new(stream, events, unread_bytes, request.body, request.deframer);
    response::with_body(ResponseBody::stream(exchange))
}
