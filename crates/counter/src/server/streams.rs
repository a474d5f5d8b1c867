//! gRPC streams of clients: decodes requests, queues their increments and sends the responses.

use super::batches::PendingIncrement;
use super::Server;
use crate::state::{CallerId, Increment, NameId};
use chalkdeck_net::grpc::{self, Code, Deframer};
use chalkdeck_net::{ConnId, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::{AddRequest, AddResponse};
use chalkdeck_time::TimeDelta;
use http::HeaderMap;
use prost::Message;

/// gRPC path of the method that accepts any number of increments on one stream.
const ADDS_PATH: &str = "/chalkdeck.counter.v1.Counter/Adds";
/// gRPC path of the method that accepts one increment.
const ADD_PATH: &str = "/chalkdeck.counter.v1.Counter/Add";
/// Maximum size of a request.
const MAX_REQUEST_BYTES: usize = 1_024;
/// Maximum number of response bytes that are queued for a slow client; beyond it the stream is reset.
const MAX_UNSENT_BYTES: usize = 4 << 20;

/// The method that a stream calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Method {
    /// One increment; the response ends the stream.
    Single,
    /// Any number of increments.
    Streaming,
}

/// A stream that carries increments.
pub(super) struct IncrementStream {
    connection: ConnId,
    deframer: Deframer,
    method: Method,
    /// The number of increments that were received and have no response yet.
    outstanding: usize,
    /// Set once nothing more is read: the trailers that end a [`Method::Streaming`] stream behind its last response.
    trailers: Option<HeaderMap>,
}

impl IncrementStream {
    /// Decodes the next complete request, if there is one.
    fn next_request(&mut self) -> Result<Option<AddRequest>, MalformedRequest> {
        let message = self
            .deframer
            .next(MAX_REQUEST_BYTES)
            .map_err(|_| MalformedRequest)?;
        let Some(message) = message else {
            return Ok(None);
        };
        let request = AddRequest::decode(&message[..]).map_err(|_| MalformedRequest)?;
        Ok(Some(request))
    }
}

/// The bytes on a stream cannot be decoded as a request.
struct MalformedRequest;

/// Outcome of an increment: the total, or the status that says why it was not counted.
pub(super) type IncrementOutcome = Result<f64, Code>;

impl Server {
    pub(super) fn on_stream_opened(&mut self, connection: ConnId, stream: StreamId, path: &str) {
        match path {
            ADDS_PATH => {
                self.engine.respond(stream, grpc::response_head(), false);
                self.add_stream(connection, stream, Method::Streaming);
            }
            ADD_PATH => self.add_stream(connection, stream, Method::Single),
            other => {
                let message = format!("no method {other}");
                let trailers = grpc::trailers(Code::Unimplemented, &message);
                self.engine
                    .respond(stream, grpc::trailers_only(trailers), true);
            }
        }
    }

    fn add_stream(&mut self, connection: ConnId, stream: StreamId, method: Method) {
        let increment_stream = IncrementStream {
            connection,
            deframer: Deframer::default(),
            method,
            outstanding: 0,
            trailers: None,
        };
        self.streams.insert(stream, increment_stream);
    }

    /// The client has ended the stream. It stays open until the responses to its increments are sent.
    pub(super) fn on_stream_ended(&mut self, stream: StreamId) {
        let is_streaming = self
            .streams
            .get(&stream)
            .is_some_and(|increment_stream| increment_stream.method == Method::Streaming);
        if is_streaming {
            self.end_after_responses(stream, grpc::trailers(Code::Ok, ""));
        }
    }

    /// Reads nothing more from a stream, and ends it with these trailers behind the last response.
    fn end_after_responses(&mut self, stream: StreamId, trailers: HeaderMap) {
        let Some(increment_stream) = self.streams.get_mut(&stream) else {
            return;
        };
        increment_stream.trailers.get_or_insert(trailers);
        self.ending_streams.push(stream);
    }

    /// Ends the streams that are not read any more and have all their responses.
    fn finish_answered_streams(&mut self) {
        for stream in std::mem::take(&mut self.ending_streams) {
            let Some(increment_stream) = self.streams.get_mut(&stream) else {
                continue;
            };
            if increment_stream.outstanding > 0 {
                self.ending_streams.push(stream);
                continue;
            }
            let trailers = increment_stream.trailers.take();
            self.streams.remove(&stream);
            self.engine.finish(stream, trailers);
        }
    }

    fn readable_stream(&mut self, stream: StreamId) -> Option<&mut IncrementStream> {
        self.streams
            .get_mut(&stream)
            .filter(|increment_stream| increment_stream.trailers.is_none())
    }

    pub(super) fn on_data(&mut self, stream: StreamId, data: &[u8]) {
        if let Some(increment_stream) = self.readable_stream(stream) {
            increment_stream.deframer.push(data);
        }
        // Each request looks the stream up again, because the response to the previous one may have removed it.
        while let Some(increment_stream) = self.readable_stream(stream) {
            let connection = increment_stream.connection;
            match increment_stream.next_request() {
                Ok(Some(request)) => {
                    increment_stream.outstanding += 1;
                    self.enqueue(connection, stream, &request);
                }
                Ok(None) => return,
                Err(MalformedRequest) => return self.reject_malformed(stream),
            }
        }
    }

    /// Queues an increment for the next batch; responds with an error if the queue is full or the log is closed.
    fn enqueue(&mut self, connection: ConnId, stream: StreamId, request: &AddRequest) {
        if self.is_log_closed {
            return self.respond(stream, request.number, Err(Code::Unavailable));
        }
        let increment = Increment {
            name: NameId(request.name),
            amount: request.amount,
            lifetime: TimeDelta::from_micros(request.lifetime_us),
            caller: CallerId(request.caller),
            number: request.number,
        };
        let pending = PendingIncrement { stream, increment };
        if self.pending.push(connection, pending).is_err() {
            self.respond(stream, request.number, Err(Code::ResourceExhausted));
        }
    }

    fn reject_malformed(&mut self, stream: StreamId) {
        let trailers = grpc::trailers(Code::InvalidArgument, "expected an AddRequest");
        let method = self.streams.get(&stream).map(|s| s.method);
        if method == Some(Method::Single) {
            self.streams.remove(&stream);
            self.engine
                .respond(stream, grpc::trailers_only(trailers), true);
        } else {
            self.end_after_responses(stream, trailers);
        }
    }

    /// Responds to an increment, if its stream is still open.
    pub(super) fn respond(&mut self, stream: StreamId, number: u64, outcome: IncrementOutcome) {
        let code = outcome.err().unwrap_or(Code::Ok);
        self.metrics.record_response(code);
        let Some(increment_stream) = self.streams.get_mut(&stream) else {
            return;
        };
        increment_stream.outstanding -= 1;
        let response = AddResponse {
            total: outcome.unwrap_or(0.0),
            number,
            status: code as i32,
            incarnation: self.identity.incarnation,
            epoch: self.identity.epoch,
            position: self.state.position(),
        };
        match increment_stream.method {
            Method::Single => self.respond_to_single(stream, code, &response),
            Method::Streaming => {
                let queued = self.responses.entry(stream).or_default();
                grpc::push_frame(queued, &response);
            }
        }
    }

    fn respond_to_single(&mut self, stream: StreamId, code: Code, response: &AddResponse) {
        self.streams.remove(&stream);
        let trailers = grpc::trailers(code, "");
        if code != Code::Ok {
            self.engine
                .respond(stream, grpc::trailers_only(trailers), true);
            return;
        }
        self.engine.respond(stream, grpc::response_head(), false);
        self.engine
            .send(stream, grpc::frame(&response.encode_to_vec()));
        self.engine.finish(stream, Some(trailers));
    }

    /// Sends the responses of this turn, all of one stream together, and ends the streams that have all of theirs.
    pub(super) fn send_responses(&mut self) {
        for (stream, bytes) in self.responses.drain() {
            if self.engine.queued_bytes(stream) > MAX_UNSENT_BYTES {
                self.streams.remove(&stream);
                self.engine.reset(stream, h2::Reason::ENHANCE_YOUR_CALM);
                continue;
            }
            self.engine.send(stream, bytes.freeze());
        }
        self.finish_answered_streams();
    }
}
