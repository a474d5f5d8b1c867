//! Opens, writes, polls and resets HTTP/2 streams.

use super::Engine;
use crate::connection::{Connection, Transport};
use crate::event::Event;
use crate::ids::{ConnId, StreamId};
use crate::ready_queue::Priority;
use crate::stream::{Outgoing, Stream};
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use std::cmp::Reverse;

const MICROS_PER_SECOND: u64 = 1_000_000;
/// The time for which the rest of a request is received and discarded once its response is complete, in microseconds. After it, the stream
/// is reset. Most clients end or reset it themselves when they have the response.
const DISCARD_TIMEOUT_MICROS: u64 = 500_000;

impl Engine {
    /// The number of further streams that can be opened on a connection now.
    pub fn available_streams(&self, conn: ConnId) -> usize {
        self.connections
            .get(&conn.0)
            .map_or(0, Connection::available_streams)
    }

    /// The number of open streams of a connection.
    pub fn open_stream_count(&self, conn: ConnId) -> usize {
        self.connections
            .get(&conn.0)
            .map_or(0, |connection| connection.open_stream_count)
    }

    /// The number of open streams of all connections.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Opens a stream with the head of its request. With `is_end_stream`, the request has no body. `None` if the connection is not
    /// established or cannot open another stream.
    pub fn open_stream(
        &mut self,
        conn: ConnId,
        head: Request<()>,
        is_end_stream: bool,
    ) -> Option<StreamId> {
        let key = self.last_key + 1;
        let waker = self.ready.waker(key, Priority::High);
        let connection = self
            .connections
            .get_mut(&conn.0)
            .filter(|connection| connection.available_streams() > 0)?;
        let Transport::Client(sender, _) = &mut connection.transport else {
            return None;
        };
        let (response, body) = sender.send_request(head, is_end_stream).ok()?;
        self.last_key = key;
        connection.open_stream_count += 1;
        let outgoing = if is_end_stream {
            Outgoing::Done
        } else {
            Outgoing::Body(body)
        };
        waker.wake_by_ref();
        let stream = Stream::client_side(StreamId(key), conn, waker, response, outgoing);
        self.streams.insert(key, Box::new(stream));
        Some(StreamId(key))
    }

    /// Sends the head of a response. With `is_end_stream`, the response has no body.
    pub fn respond(&mut self, stream: StreamId, head: Response<()>, is_end_stream: bool) {
        if let Some(stream) = self.streams.get_mut(&stream.0) {
            stream.respond(head, is_end_stream);
        }
    }

    /// Queues bytes to be sent.
    pub fn send(&mut self, stream: StreamId, data: Bytes) {
        if let Some(stream) = self.streams.get_mut(&stream.0) {
            stream.send(data);
        }
    }

    /// Ends this side of the stream after the queued bytes, with trailers if there are any.
    pub fn finish(&mut self, stream: StreamId, trailers: Option<HeaderMap>) {
        if let Some(stream) = self.streams.get_mut(&stream.0) {
            stream.finish(trailers);
        }
    }

    /// Resets a stream. No further event is reported for it.
    pub fn reset(&mut self, stream: StreamId, reason: h2::Reason) {
        if let Some(stream) = self.streams.get_mut(&stream.0) {
            stream.reset(reason);
        }
        self.remove_stream(stream.0);
    }

    /// Releases flow-control capacity, so that the peer can send `bytes` more.
    pub fn consume(&mut self, stream: StreamId, bytes: usize) {
        if let Some(stream) = self.streams.get_mut(&stream.0) {
            stream.consume(bytes);
        }
    }

    /// The number of bytes queued on a stream that the peer's flow-control window does not admit yet.
    pub fn queued_bytes(&self, stream: StreamId) -> usize {
        self.streams
            .get(&stream.0)
            .map_or(0, |stream| stream.queued_bytes())
    }

    /// Whether the stream is open, and its response is not complete if a client opened it.
    pub fn is_open(&self, stream: StreamId) -> bool {
        let stream = self.streams.get(&stream.0);
        stream.is_some_and(|stream| !stream.is_answered())
    }

    /// Polls a stream, and removes it once it is finished.
    pub(super) fn poll_stream(&mut self, key: u64) {
        let Some(stream) = self.streams.get_mut(&key) else {
            return;
        };
        stream.poll(&mut self.events);
        let conn = stream.conn;
        let was_reset = stream.was_reset();
        if stream.is_finished() {
            self.remove_stream(key);
        } else if stream.begin_discarding() {
            stream.waker.wake_by_ref();
            let until = self.now() + DISCARD_TIMEOUT_MICROS;
            self.discards.push(Reverse((until, key)));
        }
        if was_reset {
            self.count_reset(conn);
        }
    }

    /// Closes the connection of a client that resets streams too often: each stream costs work whose result no one receives.
    fn count_reset(&mut self, conn: ConnId) {
        let second = self.now() / MICROS_PER_SECOND;
        let Some(connection) = self.connections.get_mut(&conn.0) else {
            return;
        };
        let resets = connection.reset_counter.count(second);
        if resets > connection.limits.max_resets_per_second && connection.listener.is_some() {
            tracing::warn!(
                resets,
                "closing the connection of a client that resets too many streams"
            );
            self.close_with_reason(conn, h2::Reason::ENHANCE_YOUR_CALM);
        }
    }

    /// Removes the answered streams whose clients have not ended their requests in time.
    pub(super) fn end_discards(&mut self, now: u64) {
        while let Some(Reverse((at, key))) = self.discards.peek().copied() {
            if at > now {
                return;
            }
            self.discards.pop();
            self.remove_stream(key);
        }
    }

    fn remove_stream(&mut self, key: u64) {
        let Some(stream) = self.streams.remove(&key) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&stream.conn.0) {
            connection.open_stream_count -= 1;
        }
    }

    /// Registers a stream that a client opened.
    pub(super) fn on_stream_opened(
        &mut self,
        conn_key: u64,
        request: Request<h2::RecvStream>,
        respond: h2::server::SendResponse<Bytes>,
    ) {
        let key = self.next_key();
        let (head, body) = request.into_parts();
        let is_end_stream = body.is_end_stream();
        let waker = self.ready.waker(key, Priority::High);
        waker.wake_by_ref();
        let (id, conn) = (StreamId(key), ConnId(conn_key));
        self.events.push_back(Event::StreamOpened {
            stream: id,
            conn,
            head: Box::new(head),
            is_end_stream,
        });
        self.opened_in_turn += 1;
        let stream = Stream::server_side(id, conn, waker, body, respond);
        self.streams.insert(key, Box::new(stream));
    }
}
