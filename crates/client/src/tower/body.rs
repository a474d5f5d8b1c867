//! Bodies of responses.

use super::request::not_sent;
use super::{response, MAX_MESSAGE_LEN};
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

/// Bytes of a stream's answers that may wait to be read; a stream with more is cancelled.
const MAX_UNREAD_BYTES: usize = 4 << 20;

/// The body of a response: one message and its status, or those of a stream. Dropping the body of a stream cancels it.
pub struct ResponseBody<B> {
    frames: VecDeque<Frame<Bytes>>,
    exchange: Option<Box<StreamExchange<B>>>,
}

impl<B> ResponseBody<B> {
    /// A body whose frames are known.
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
        let Poll::Ready(answer) = exchange.poll_answer(context) else {
            return Poll::Pending;
        };
        let frame = match answer {
            StreamAnswer::Message(message) => Frame::data(grpc::frame(&message)),
            StreamAnswer::Ended(trailers) => {
                self.exchange = None;
                Frame::trailers(trailers)
            }
        };
        Poll::Ready(Some(Ok(frame)))
    }
}

/// What a stream is answered.
enum StreamAnswer {
    Message(Bytes),
    Ended(http::HeaderMap),
}

/// A stream with the messages of both sides.
pub(super) struct StreamExchange<B> {
    stream: Stream,
    events: UnboundedReceiver<StreamEvent>,
    unread_bytes: Arc<AtomicUsize>,
    /// The body that the caller sends; `None` once it has ended.
    request_body: Option<B>,
    deframer: Deframer,
    /// A message that the stream had no room for.
    unsent: Option<Bytes>,
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
            unsent: None,
        }
    }

    fn cancel(&mut self) {
        self.request_body = None;
        self.stream.cancel();
    }

    fn next_message(&mut self) -> Result<Option<Bytes>, FrameError> {
        match self.unsent.take() {
            Some(message) => Ok(Some(message)),
            None => self.deframer.next(MAX_MESSAGE_LEN),
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> StreamExchange<B> {
    /// Sends what the caller has ready and returns the next answer.
    fn poll_answer(&mut self, context: &mut Context<'_>) -> Poll<StreamAnswer> {
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
                    return Poll::Ready(StreamAnswer::Message(message));
                }
                Some(StreamEvent::Ended(reply)) => {
                    return Poll::Ready(StreamAnswer::Ended(response::trailers(&reply)));
                }
                None => {
                    let reply = not_sent(Code::Cancelled, CLIENT_ENDED);
                    return Poll::Ready(StreamAnswer::Ended(response::trailers(&reply)));
                }
            }
        }
    }

    /// Sends the messages that the caller has ready, as far as there is room. [`StreamEvent::Writable`] follows otherwise.
    fn send_ready(&mut self, context: &mut Context<'_>) {
        while self.request_body.is_some() {
            match self.next_message() {
                Ok(Some(message)) => {
                    if self.stream.send(message.clone()).is_err() {
                        self.unsent = Some(message);
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

    /// Takes the next frame of the caller's body, if it is ready.
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
