//! One HTTP/2 stream of either side: what comes in is handed on, what goes out waits here for the peer's window.

use crate::engine::{Broken, Event, StreamId};
use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, Response};
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

pub(crate) enum Incoming {
    /// The answer's head is still to come.
    Head(ResponseFuture),
    Body(RecvStream),
    Done,
}

pub(crate) enum Outgoing {
    /// The answer's head is still to be sent.
    Head(SendResponse<Bytes>),
    Body(SendStream<Bytes>),
    Done,
}

enum End {
    Open,
    Plain,
    Trailers(HeaderMap),
}

pub(crate) struct Stream {
    id: StreamId,
    pub(crate) conn: u64,
    pub(crate) waker: Waker,
    server_side: bool,
    incoming: Incoming,
    outgoing: Outgoing,
    flow: Option<h2::FlowControl>,
    queue: VecDeque<Bytes>,
    queued: usize,
    end: End,
    broken: bool,
    taken_back: bool,
}

fn why(error: &h2::Error) -> Broken {
    let remote_goaway = error.is_go_away() && error.is_remote();
    match error.reason() {
        Some(h2::Reason::REFUSED_STREAM) if error.is_reset() && error.is_remote() => {
            Broken::Refused
        }
        _ if remote_goaway => Broken::GoneAway,
        Some(reason) if error.is_reset() => Broken::Reset(reason),
        _ => Broken::Lost,
    }
}

impl Stream {
    pub(crate) fn opened(
        id: StreamId,
        conn: u64,
        waker: Waker,
        body: RecvStream,
        out: SendResponse<Bytes>,
    ) -> Stream {
        let mut body = body;
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
    pub(crate) fn sent(
        id: StreamId,
        conn: u64,
        waker: Waker,
        head: ResponseFuture,
        out: Outgoing,
    ) -> Stream {
        Stream::new(id, conn, waker, Incoming::Head(head), out, None)
    }
    fn new(
        id: StreamId,
        conn: u64,
        waker: Waker,
        incoming: Incoming,
        outgoing: Outgoing,
        flow: Option<h2::FlowControl>,
    ) -> Stream {
        let server_side = matches!(outgoing, Outgoing::Head(_));
        let queue = VecDeque::new();
        Stream {
            id,
            conn,
            waker,
            server_side,
            incoming,
            outgoing,
            flow,
            queue,
            queued: 0,
            end: End::Open,
            broken: false,
            taken_back: false,
        }
    }

    /// Whether nothing of it can move any more.
    pub(crate) fn over(&self) -> bool {
        let sent = matches!(self.outgoing, Outgoing::Done);
        let heard = matches!(self.incoming, Incoming::Done);
        self.broken || if self.server_side { sent } else { heard }
    }

    /// A client took its call back.
    pub(crate) fn was_reset(&self) -> bool {
        self.server_side && self.taken_back
    }

    /// Sends the answer's head. Nothing happens when it was sent before.
    pub(crate) fn respond(&mut self, head: Response<()>, end: bool) {
        if let Outgoing::Head(out) = &mut self.outgoing {
            self.outgoing = match out.send_response(head, end) {
                Ok(_) if end => Outgoing::Done,
                Ok(body) => Outgoing::Body(body),
                Err(_) => Outgoing::Done,
            };
        }
        self.waker.wake_by_ref();
    }
    pub(crate) fn send(&mut self, data: Bytes) {
        if !data.is_empty() && !matches!(self.outgoing, Outgoing::Done) {
            self.queued += data.len();
            self.queue.push_back(data);
            self.waker.wake_by_ref();
        }
    }
    pub(crate) fn finish(&mut self, trailers: Option<HeaderMap>) {
        self.end = trailers.map_or(End::Plain, End::Trailers);
        self.waker.wake_by_ref();
    }
    pub(crate) fn reset(&mut self, reason: h2::Reason) {
        match &mut self.outgoing {
            Outgoing::Head(out) => out.send_reset(reason),
            Outgoing::Body(out) => out.send_reset(reason),
            Outgoing::Done => {}
        }
        self.broken = true;
    }
    pub(crate) fn consume(&mut self, bytes: usize) {
        // Fails only when more is given back than came, or the stream is over.
        let _ = self.flow.as_mut().map(|flow| flow.release_capacity(bytes));
    }
    pub(crate) fn queued(&self) -> usize {
        self.queued
    }

    /// Moves both directions on as far as they go.
    pub(crate) fn poll(&mut self, out: &mut VecDeque<Event>) {
        if self.broken {
            return;
        }
        let waker = self.waker.clone();
        let mut cx = Context::from_waker(&waker);
        let result = self
            .poll_in(&mut cx, out)
            .and_then(|()| self.poll_out(&mut cx, out));
        if let Err(how) = result {
            self.broken = true;
            self.taken_back = matches!(how, Broken::Reset(_));
            out.push_back(Event::Broken {
                stream: self.id,
                how,
            });
        }
    }

    fn poll_in(&mut self, cx: &mut Context<'_>, out: &mut VecDeque<Event>) -> Result<(), Broken> {
        if let Incoming::Head(head) = &mut self.incoming {
            let Poll::Ready(head) = Pin::new(head).poll(cx) else {
                return Ok(());
            };
            let (head, mut body) = head.map_err(|e| why(&e))?.into_parts();
            self.flow = Some(body.flow_control().clone());
            let ended = body.is_end_stream();
            out.push_back(Event::Head {
                stream: self.id,
                head: Box::new(head),
                ended,
            });
            self.incoming = if ended {
                Incoming::Done
            } else {
                Incoming::Body(body)
            };
        }
        loop {
            let Incoming::Body(body) = &mut self.incoming else {
                return Ok(());
            };
            match body.poll_data(cx) {
                Poll::Pending => return Ok(()),
                Poll::Ready(Some(Ok(data))) => {
                    if !data.is_empty() {
                        out.push_back(Event::Data {
                            stream: self.id,
                            data,
                        });
                    }
                }
                Poll::Ready(Some(Err(e))) => return Err(why(&e)),
                Poll::Ready(None) => {
                    let Poll::Ready(trailers) = body.poll_trailers(cx) else {
                        return Ok(());
                    };
                    let trailers = trailers.map_err(|e| why(&e))?;
                    out.push_back(Event::End {
                        stream: self.id,
                        trailers,
                    });
                    self.incoming = Incoming::Done;
                }
            }
        }
    }

    fn poll_out(&mut self, cx: &mut Context<'_>, out: &mut VecDeque<Event>) -> Result<(), Broken> {
        if self.server_side {
            let reset = match &mut self.outgoing {
                Outgoing::Head(head) => head.poll_reset(cx),
                Outgoing::Body(body) => body.poll_reset(cx),
                Outgoing::Done => Poll::Pending,
            };
            match reset {
                Poll::Ready(Ok(reason)) => return Err(Broken::Reset(reason)),
                Poll::Ready(Err(e)) => return Err(why(&e)),
                Poll::Pending => {}
            }
        }
        let before = self.queued;
        let result = self.flush(cx);
        if before > self.queued {
            out.push_back(Event::Sent {
                stream: self.id,
                bytes: before - self.queued,
            });
        }
        result
    }

    fn flush(&mut self, cx: &mut Context<'_>) -> Result<(), Broken> {
        let Outgoing::Body(body) = &mut self.outgoing else {
            return Ok(());
        };
        while let Some(chunk) = self.queue.front_mut() {
            if body.capacity() == 0 {
                body.reserve_capacity(self.queued.min(1 << 20));
                match body.poll_capacity(cx) {
                    Poll::Pending => return Ok(()),
                    Poll::Ready(Some(Ok(_))) if body.capacity() > 0 => {}
                    Poll::Ready(Some(Ok(_))) => continue,
                    Poll::Ready(Some(Err(e))) => return Err(why(&e)),
                    Poll::Ready(None) => return self.out_closed(),
                }
            }
            let part = chunk.split_to(body.capacity().min(chunk.len()));
            self.queued -= part.len();
            if chunk.is_empty() {
                self.queue.pop_front();
            }
            let last = self.queue.is_empty() && matches!(self.end, End::Plain);
            if body.send_data(part, last).is_err() {
                return self.out_closed();
            }
            if last {
                self.outgoing = Outgoing::Done;
                return Ok(());
            }
        }
        let sent = match std::mem::replace(&mut self.end, End::Open) {
            End::Open => return Ok(()),
            End::Plain => body.send_data(Bytes::new(), true),
            End::Trailers(trailers) => body.send_trailers(trailers),
        };
        self.outgoing = Outgoing::Done;
        // A peer that hears no more of us is told by the other direction.
        sent.or(Ok(()))
    }

    /// The peer wants no more of what we send. A client still hears the answer; a server has lost its client.
    fn out_closed(&mut self) -> Result<(), Broken> {
        self.queue.clear();
        self.queued = 0;
        self.outgoing = Outgoing::Done;
        if self.server_side {
            return Err(Broken::Lost);
        }
        Ok(())
    }
}
