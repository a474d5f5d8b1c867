//! Streams of clients: increments as they arrive, and the answers to them.

use super::batches::PendingIncrement;
use super::Server;
use crate::state::{CallerId, Increment, NameId};
use chalkdeck_net::grpc::{self, Code, Deframer};
use chalkdeck_net::{ConnId, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::{AddRequest, AddResponse};
use chalkdeck_time::TimeDelta;
use prost::Message;

/// Path of the method that takes many increments on one stream.
const ADDS_METHOD: &str = "/chalkdeck.counter.v1.Counter/Adds";
/// Path of the method that takes one increment.
const ADD_METHOD: &str = "/chalkdeck.counter.v1.Counter/Add";
/// The longest request that is read, in bytes.
const MAX_REQUEST_LEN: usize = 1_024;
/// Bytes of answers that may wait for a slow client; beyond that its stream is reset.
const MAX_UNSENT_BYTES: usize = 4 << 20;

/// Which method a stream calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Method {
    /// One increment; its answer ends the stream.
    Single,
    /// Any number of increments.
    Streaming,
}

/// A stream that carries increments.
pub(super) struct IncrementStream {
    connection: ConnId,
    deframer: Deframer,
    method: Method,
}

impl IncrementStream {
    /// The next whole request; an error if the bytes are none.
    fn next_request(&mut self) -> Result<Option<AddRequest>, MalformedRequest> {
        let message = self
            .deframer
            .next(MAX_REQUEST_LEN)
            .map_err(|_| MalformedRequest)?;
        let Some(message) = message else {
            return Ok(None);
        };
        let request = AddRequest::decode(&message[..]).map_err(|_| MalformedRequest)?;
        Ok(Some(request))
    }
}

/// The bytes on a stream are not a request.
struct MalformedRequest;

/// An answer to an increment: the total, or why there is none.
pub(super) type Answer = Result<f64, Code>;

impl Server {
    pub(super) fn on_stream_opened(&mut self, connection: ConnId, stream: StreamId, path: &str) {
        match path {
            ADDS_METHOD => {
                self.engine.respond(stream, grpc::head(), false);
                self.add_stream(connection, stream, Method::Streaming);
            }
            ADD_METHOD => self.add_stream(connection, stream, Method::Single),
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
        };
        self.streams.insert(stream, increment_stream);
    }

    /// The client has sent its last increment. The answer to a single one is still to come.
    pub(super) fn on_stream_ended(&mut self, stream: StreamId) {
        let is_streaming = self
            .streams
            .get(&stream)
            .is_some_and(|open| open.method == Method::Streaming);
        if is_streaming {
            self.streams.remove(&stream);
            self.engine
                .finish(stream, Some(grpc::trailers(Code::Ok, "")));
        }
    }

    pub(super) fn on_data(&mut self, stream: StreamId, data: &[u8]) {
        if let Some(open) = self.streams.get_mut(&stream) {
            open.deframer.push(data);
        }
        // An answer may close the stream, so it is looked up for each request.
        while let Some(open) = self.streams.get_mut(&stream) {
            let connection = open.connection;
            match open.next_request() {
                Ok(Some(request)) => self.accept(connection, stream, &request),
                Ok(None) => return,
                Err(MalformedRequest) => return self.reject_malformed(stream),
            }
        }
    }

    /// Queues an increment for the next batch, or answers that there is no room for it.
    fn accept(&mut self, connection: ConnId, stream: StreamId, request: &AddRequest) {
        if self.is_closed {
            return self.answer(stream, request.number, Err(Code::Unavailable));
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
            self.answer(stream, request.number, Err(Code::ResourceExhausted));
        }
    }

    fn reject_malformed(&mut self, stream: StreamId) {
        let trailers = grpc::trailers(Code::InvalidArgument, "expected an AddRequest");
        let method = self.streams.remove(&stream).map(|open| open.method);
        match method {
            Some(Method::Single) => {
                self.engine
                    .respond(stream, grpc::trailers_only(trailers), true);
            }
            _ => self.engine.finish(stream, Some(trailers)),
        }
    }

    /// Answers an increment, if its stream is still open.
    pub(super) fn answer(&mut self, stream: StreamId, number: u64, answer: Answer) {
        let code = answer.err().unwrap_or(Code::Ok);
        self.metrics.record_answer(code);
        let Some(open) = self.streams.get(&stream) else {
            return;
        };
        let response = AddResponse {
            total: answer.unwrap_or(0.0),
            number,
            status: code as i32,
            incarnation: self.identity.incarnation,
            epoch: self.identity.epoch,
            position: self.state.position(),
        };
        match open.method {
            Method::Single => self.answer_single(stream, code, &response),
            Method::Streaming => {
                let queued = self.answers.entry(stream).or_default();
                grpc::push_frame(queued, &response);
            }
        }
    }

    fn answer_single(&mut self, stream: StreamId, code: Code, response: &AddResponse) {
        self.streams.remove(&stream);
        let trailers = grpc::trailers(code, "");
        if code != Code::Ok {
            self.engine
                .respond(stream, grpc::trailers_only(trailers), true);
            return;
        }
        self.engine.respond(stream, grpc::head(), false);
        self.engine
            .send(stream, grpc::frame(&response.encode_to_vec()));
        self.engine.finish(stream, Some(trailers));
    }

    /// Sends the answers of a turn, all of a stream at once.
    pub(super) fn send_answers(&mut self) {
        for (stream, bytes) in self.answers.drain() {
            if self.engine.queued(stream) > MAX_UNSENT_BYTES {
                self.streams.remove(&stream);
                self.engine.reset(stream, h2::Reason::ENHANCE_YOUR_CALM);
                continue;
            }
            self.engine.send(stream, bytes.freeze());
        }
    }
}
