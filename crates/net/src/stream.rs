//! One client-side or server-side HTTP/2 stream. It reports received data as events, and queues data to be sent until the peer's
//! flow-control window admits it.

use crate::event::{Event, StreamError};
use crate::ids::{ConnId, StreamId};
use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, Response};
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

/// Maximum send capacity that is reserved at once.
const MAX_RESERVED_BYTES: usize = 1 << 20;

/// The state of the receiving side.
enum Incoming {
    /// The head of the response is not received yet.
    Head(ResponseFuture),
    Body(RecvStream),
    Done,
}

/// The state of the sending side.
pub(crate) enum Outgoing {
    /// The head of the response is not sent yet.
    Head(SendResponse<Bytes>),
    Body(SendStream<Bytes>),
    Done,
}

/// How the sending side ends once the queued bytes are sent.
enum OutgoingEnd {
    /// It stays open.
    Open,
    WithoutTrailers,
    Trailers(HeaderMap),
}

/// A stream with its queue.
pub(crate) struct Stream {
    id: StreamId,
    pub(crate) conn: ConnId,
    pub(crate) waker: Waker,
    is_server_side: bool,
    incoming: Incoming,
    outgoing: Outgoing,
    flow: Option<h2::FlowControl>,
    queue: VecDeque<Bytes>,
    queued_bytes: usize,
    end: OutgoingEnd,
    has_failed: bool,
    is_cancelled: bool,
    /// The response is complete, and what the client still sends is discarded.
    is_discarding: bool,
}

/// Classifies an error by whether the peer may have processed the stream.
fn stream_error(error: &h2::Error) -> StreamError {
    let remote_goaway = error.is_go_away() && error.is_remote();
    match error.reason() {
        Some(h2::Reason::REFUSED_STREAM) if error.is_reset() && error.is_remote() => {
            StreamError::Refused
        }
        _ if remote_goaway => StreamError::GoneAway,
        Some(reason) if error.is_reset() => StreamError::Reset(reason),
        _ => StreamError::ConnectionLost,
    }
}

impl Stream {
    /// A stream that a client opened.
    pub(crate) fn server_side(
        id: StreamId,
        conn: ConnId,
        waker: Waker,
        mut body: RecvStream,
        out: SendResponse<Bytes>,
    ) -> Stream {
        let flow = Some(body.flow_control().clone());
        Stream::new(
            id,
            conn,
            waker,
            Incoming::Body(body),
            Outgoing::Head(out),
            flow,
        )
    }
    /// A stream that this process opened.
    pub(crate) fn client_side(
        id: StreamId,
        conn: ConnId,
        waker: Waker,
        head: ResponseFuture,
        out: Outgoing,
    ) -> Stream {
        Stream::new(id, conn, waker, Incoming::Head(head), out, None)
    }
    fn new(
        id: StreamId,
        conn: ConnId,
        waker: Waker,
        incoming: Incoming,
        outgoing: Outgoing,
        flow: Option<h2::FlowControl>,
    ) -> Stream {
        let is_server_side = matches!(outgoing, Outgoing::Head(_));
        let queue = VecDeque::new();
        Stream {
            id,
            conn,
            waker,
            is_server_side,
            incoming,
            outgoing,
            flow,
            queue,
            queued_bytes: 0,
            end: OutgoingEnd::Open,
            has_failed: false,
            is_cancelled: false,
            is_discarding: false,
        }
    }

    /// Whether it has failed, or nothing more is sent or received that concerns the response.
    pub(crate) fn is_finished(&self) -> bool {
        let received = matches!(self.incoming, Incoming::Done);
        self.has_failed || received && (self.is_answered() || !self.is_server_side)
    }

    /// Whether a client opened it and its response is complete.
    pub(crate) fn is_answered(&self) -> bool {
        self.is_server_side && matches!(self.outgoing, Outgoing::Done)
    }

    /// Begins to discard what the client still sends, if the response is complete; returns whether it did so now.
    pub(crate) fn begin_discarding(&mut self) -> bool {
        self.is_answered() && !std::mem::replace(&mut self.is_discarding, true)
    }

    /// Whether the client reset it.
    pub(crate) fn was_reset(&self) -> bool {
        self.is_server_side && self.is_cancelled
    }

    /// Sends the head of the response. Does nothing if it was sent before.
    pub(crate) fn respond(&mut self, head: Response<()>, is_end_stream: bool) {
        if let Outgoing::Head(out) = &mut self.outgoing {
            self.outgoing = match out.send_response(head, is_end_stream) {
                Ok(_) if is_end_stream => Outgoing::Done,
                Ok(body) => Outgoing::Body(body),
                Err(_) => Outgoing::Done,
            };
        }
        self.waker.wake_by_ref();
    }
    pub(crate) fn send(&mut self, data: Bytes) {
        if !data.is_empty() && !matches!(self.outgoing, Outgoing::Done) {
            self.queued_bytes += data.len();
            self.queue.push_back(data);
            self.waker.wake_by_ref();
        }
    }
    pub(crate) fn finish(&mut self, trailers: Option<HeaderMap>) {
        self.end = trailers.map_or(OutgoingEnd::WithoutTrailers, OutgoingEnd::Trailers);
        self.waker.wake_by_ref();
    }
    pub(crate) fn reset(&mut self, reason: h2::Reason) {
        match &mut self.outgoing {
            Outgoing::Head(out) => out.send_reset(reason),
            Outgoing::Body(out) => out.send_reset(reason),
            Outgoing::Done => {}
        }
        self.has_failed = true;
    }
    pub(crate) fn consume(&mut self, bytes: usize) {
        // Fails only if more is released than was received, or the stream is closed.
        let _ = self.flow.as_mut().map(|flow| flow.release_capacity(bytes));
    }
    pub(crate) fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Makes as much progress as possible in both directions.
    pub(crate) fn poll(&mut self, events: &mut VecDeque<Event>) {
        if self.has_failed {
            return;
        }
        let waker = self.waker.clone();
        let mut context = Context::from_waker(&waker);
        if self.is_discarding {
            return self.discard_incoming(&mut context);
        }
        let result = self
            .poll_incoming(&mut context, events)
            .and_then(|()| self.poll_outgoing(&mut context, events));
        if let Err(error) = result {
            self.has_failed = true;
            self.is_cancelled = matches!(error, StreamError::Reset(_));
            events.push_back(Event::StreamFailed {
                stream: self.id,
                error,
            });
        }
    }

    /// Discards what the client sends behind a complete response. That it ends or resets the stream concerns nobody.
    fn discard_incoming(&mut self, context: &mut Context<'_>) {
        let Incoming::Body(body) = &mut self.incoming else {
            return;
        };
        while let Poll::Ready(data) = body.poll_data(context) {
            let Some(Ok(data)) = data else {
                self.incoming = Incoming::Done;
                return;
            };
            // Fails only if the stream is closed.
            let _ = body.flow_control().release_capacity(data.len());
        }
    }

    fn poll_incoming(
        &mut self,
        context: &mut Context<'_>,
        events: &mut VecDeque<Event>,
    ) -> Result<(), StreamError> {
        if let Incoming::Head(head) = &mut self.incoming {
            let Poll::Ready(head) = Pin::new(head).poll(context) else {
                return Ok(());
            };
            let (head, mut body) = head.map_err(|error| stream_error(&error))?.into_parts();
            self.flow = Some(body.flow_control().clone());
            let is_end_stream = body.is_end_stream();
            events.push_back(Event::ResponseHead {
                stream: self.id,
                head: Box::new(head),
                is_end_stream,
            });
            self.incoming = if is_end_stream {
                Incoming::Done
            } else {
                Incoming::Body(body)
            };
        }
        loop {
            let Incoming::Body(body) = &mut self.incoming else {
                return Ok(());
            };
            match body.poll_data(context) {
                Poll::Pending => return Ok(()),
                Poll::Ready(Some(Ok(data))) => {
                    if !data.is_empty() {
                        events.push_back(Event::Data {
                            stream: self.id,
                            data,
                        });
                    }
                }
                Poll::Ready(Some(Err(error))) => return Err(stream_error(&error)),
                Poll::Ready(None) => {
                    let Poll::Ready(trailers) = body.poll_trailers(context) else {
                        return Ok(());
                    };
                    let trailers = trailers.map_err(|error| stream_error(&error))?;
                    events.push_back(Event::StreamEnded {
                        stream: self.id,
                        trailers,
                    });
                    self.incoming = Incoming::Done;
                }
            }
        }
    }

    fn poll_outgoing(
        &mut self,
        context: &mut Context<'_>,
        events: &mut VecDeque<Event>,
    ) -> Result<(), StreamError> {
        if self.is_server_side {
            let reset = match &mut self.outgoing {
                Outgoing::Head(head) => head.poll_reset(context),
                Outgoing::Body(body) => body.poll_reset(context),
                Outgoing::Done => Poll::Pending,
            };
            match reset {
                Poll::Ready(Ok(reason)) => return Err(StreamError::Reset(reason)),
                Poll::Ready(Err(error)) => return Err(stream_error(&error)),
                Poll::Pending => {}
            }
        }
        let before = self.queued_bytes;
        let result = self.flush(context);
        if before > self.queued_bytes {
            events.push_back(Event::Sent {
                stream: self.id,
                bytes: before - self.queued_bytes,
            });
        }
        result
    }

    fn flush(&mut self, context: &mut Context<'_>) -> Result<(), StreamError> {
        let Outgoing::Body(body) = &mut self.outgoing else {
            return Ok(());
        };
        while let Some(chunk) = self.queue.front_mut() {
            if body.capacity() == 0 {
                body.reserve_capacity(self.queued_bytes.min(MAX_RESERVED_BYTES));
                match body.poll_capacity(context) {
                    Poll::Pending => return Ok(()),
                    Poll::Ready(Some(Ok(_))) if body.capacity() > 0 => {}
                    Poll::Ready(Some(Ok(_))) => continue,
                    Poll::Ready(Some(Err(error))) => return Err(stream_error(&error)),
                    Poll::Ready(None) => return self.on_outgoing_closed(),
                }
            }
            let part = chunk.split_to(body.capacity().min(chunk.len()));
            self.queued_bytes -= part.len();
            if chunk.is_empty() {
                self.queue.pop_front();
            }
            let is_last = self.queue.is_empty() && matches!(self.end, OutgoingEnd::WithoutTrailers);
            if body.send_data(part, is_last).is_err() {
                return self.on_outgoing_closed();
            }
            if is_last {
                self.outgoing = Outgoing::Done;
                return Ok(());
            }
        }
        let sent = match std::mem::replace(&mut self.end, OutgoingEnd::Open) {
            OutgoingEnd::Open => return Ok(()),
            OutgoingEnd::WithoutTrailers => body.send_data(Bytes::new(), true),
            OutgoingEnd::Trailers(trailers) => body.send_trailers(trailers),
        };
        self.outgoing = Outgoing::Done;
        // If the peer accepts no more data, the receiving side reports why.
        sent.or(Ok(()))
    }

    /// Handles that the peer accepts no more data. The client side can still receive the response; on the server side the client is
    /// lost.
    fn on_outgoing_closed(&mut self) -> Result<(), StreamError> {
        self.queue.clear();
        self.queued_bytes = 0;
        self.outgoing = Outgoing::Done;
        if self.is_server_side {
            return Err(StreamError::ConnectionLost);
        }
        Ok(())
    }
}
