//! Response bodies.

use super::request::reply_without_attempt;
use super::{response, MAX_REQUEST_MESSAGE_BYTES};
use crate::client::CLIENT_ENDED;
use crate::stream::{Stream, StreamEvent};
use bytes::Bytes;
use chalkdeck_net::grpc::{self, Code, Deframer, FrameError};
use futures_channel::mpsc::UnboundedReceiver;
use futures_core::Stream as _;
use http_body::{Body, Frame};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// Maximum number of received bytes of a stream that wait to be read. A stream that exceeds it is cancelled.
const MAX_UNREAD_BYTES: usize = 4 << 20;

/// The body of a response: one message and the status of a unary call, or the messages and the status of a stream. Dropping the
/// body cancels the stream.
pub struct ResponseBody<B> {
    frames: VecDeque<Frame<Bytes>>,
    exchange: Option<Box<StreamExchange<B>>>,
}

impl<B> ResponseBody<B> {
    /// A body with all its frames.
    pub(super) fn complete(frames: Vec<Frame<Bytes>>) -> ResponseBody<B> {
        ResponseBody {
            frames: frames.into(),
            exchange: None,
        }
    }

    /// The body of a stream.
    pub(super) fn stream(exchange: StreamExchange<B>) -> ResponseBody<B> {
        ResponseBody {
            frames: VecDeque::new(),
            exchange: Some(Box::new(exchange)),
        }
    }
}

impl<B> Drop for ResponseBody<B> {
    fn drop(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            exchange.stream.cancel();
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for ResponseBody<B> {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(frame) = self.frames.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        let Some(exchange) = &mut self.exchange else {
            return Poll::Ready(None);
        };
        let Poll::Ready(response) = exchange.poll_response(context) else {
            return Poll::Pending;
        };
        let frame = match response {
            StreamResponse::Message(message) => Frame::data(grpc::frame(&message)),
            StreamResponse::Ended(trailers) => {
                self.exchange = None;
                Frame::trailers(trailers)
            }
        };
        Poll::Ready(Some(Ok(frame)))
    }
}

/// A message or the end of a stream's response.
enum StreamResponse {
    Message(Bytes),
    Ended(http::HeaderMap),
}

/// A stream with the request body that it sends and the events that it receives.
pub(super) struct StreamExchange<B> {
    stream: Stream,
    events: UnboundedReceiver<StreamEvent>,
    unread_bytes: Arc<AtomicUsize>,
    /// The caller's request body. `None` once it has ended.
    request_body: Option<B>,
    deframer: Deframer,
    /// A message that waits because the stream's queue is full.
    unsent_message: Option<Bytes>,
}

impl<B> StreamExchange<B> {
    pub(super) fn new(
        stream: Stream,
        events: UnboundedReceiver<StreamEvent>,
        unread_bytes: Arc<AtomicUsize>,
        request_body: B,
        deframer: Deframer,
    ) -> StreamExchange<B> {
        StreamExchange {
            stream,
            events,
            unread_bytes,
            request_body: Some(request_body),
            deframer,
            unsent_message: None,
        }
    }

    fn cancel(&mut self) {
        self.request_body = None;
        self.stream.cancel();
    }

    /// The next message to send, if it is complete.
    fn next_message(&mut self) -> Result<Option<Bytes>, FrameError> {
        match self.unsent_message.take() {
            Some(message) => Ok(Some(message)),
            None => self.deframer.next(MAX_REQUEST_MESSAGE_BYTES),
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> StreamExchange<B> {
    /// Sends the messages that are ready, and returns the next part of the response.
    fn poll_response(&mut self, context: &mut Context<'_>) -> Poll<StreamResponse> {
        if self.unread_bytes.load(Ordering::Relaxed) > MAX_UNREAD_BYTES {
            self.cancel();
        }
        loop {
            self.send_ready(context);
            let Poll::Ready(event) = Pin::new(&mut self.events).poll_next(context) else {
                return Poll::Pending;
            };
            match event {
                Some(StreamEvent::Writable) => {}
                Some(StreamEvent::Message(message)) => {
                    self.unread_bytes
                        .fetch_sub(message.len(), Ordering::Relaxed);
                    return Poll::Ready(StreamResponse::Message(message));
                }
                Some(StreamEvent::Ended(reply)) => {
                    return Poll::Ready(StreamResponse::Ended(response::trailers(&reply)));
                }
                None => {
                    let reply = reply_without_attempt(Code::Cancelled, CLIENT_ENDED);
                    return Poll::Ready(StreamResponse::Ended(response::trailers(&reply)));
                }
            }
        }
    }

    /// Sends the caller's messages that are ready. If the stream's queue is full, [`StreamEvent::Writable`] follows.
    fn send_ready(&mut self, context: &mut Context<'_>) {
        while self.request_body.is_some() {
            match self.next_message() {
                Ok(Some(message)) => {
                    if self.stream.send(message.clone()).is_err() {
                        self.unsent_message = Some(message);
                        return;
                    }
                }
                Ok(None) => {
                    if self.poll_request_body(context).is_pending() {
                        return;
                    }
                }
                Err(_) => return self.cancel(),
            }
        }
    }

    /// Reads the next frame of the caller's request body, if it is ready.
    fn poll_request_body(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(body) = &mut self.request_body else {
            return Poll::Ready(());
        };
        match Pin::new(body).poll_frame(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    self.deframer.push(&data);
                }
            }
            Poll::Ready(Some(Err(_))) => self.cancel(),
            Poll::Ready(None) => {
                self.request_body = None;
                self.stream.finish();
            }
        }
        Poll::Ready(())
    }
}
