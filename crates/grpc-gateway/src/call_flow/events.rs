//! Dispatches events of connections and streams to the coordinator session, the counter client or the call that they belong to.

use super::responses::ResponseForm;
use crate::attempt_outcome;
use crate::calls::{BufferedResponse, ResponseState};
use crate::coordinator_link::StreamProgress;
use crate::endpoint_connections::AttemptId;
use crate::gateway_server::GatewayServer;
use crate::metrics::CallEnd;
use bytes::Bytes;
use chalkdeck::api::{Event, Outcome, RequestId};
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::{ConnId, StreamError, StreamId};
use http::{response, HeaderMap};

impl GatewayServer {
    pub(crate) fn on_connected(&mut self, conn: ConnId) {
        if self.on_coordinator_connected(conn) {
            return;
        }
        if let Some(counter) = &mut self.counter {
            if let Some(results) = counter.on_connected(&mut self.engine, conn) {
                return self.on_counter_results(results);
            }
        }
        for attempt in self
            .endpoint_connections
            .mark_established(conn)
            .unwrap_or_default()
        {
            let is_open = self.calls.open_attempt(attempt).is_some();
            if is_open && !self.open_attempt_stream(conn, attempt) {
                self.end_attempt(attempt, Outcome::Rejected, false);
            }
        }
    }

    pub(crate) fn on_closed(&mut self, conn: ConnId, reason: &str) {
        if self.on_coordinator_closed(conn) {
            return;
        }
        if let Some(results) = self
            .counter
            .as_mut()
            .and_then(|counter| counter.on_closed(conn))
        {
            tracing::warn!(reason, "counter connection closed");
            return self.on_counter_results(results);
        }
        self.drop_endpoint_connection(conn);
    }

    /// Handles the head of a response. `is_ended`: it has no body and no further trailers.
    pub(crate) fn on_head(&mut self, stream: StreamId, head: Box<response::Parts>, is_ended: bool) {
        if self.on_coordinator_head(stream, StreamProgress::from_ended(is_ended)) {
            return;
        }
        if let Some(counter) = self
            .counter
            .as_mut()
            .and_then(|counter| counter.partition_of_stream(stream))
        {
            let results = if is_ended {
                counter.on_stream_ended(&mut self.engine)
            } else {
                Vec::new()
            };
            return self.on_counter_results(results);
        }
        if let Some(id) = self.calls.id_of_attempt_stream(stream) {
            self.on_response_head(stream, id, head, is_ended);
        }
    }

    fn on_response_head(
        &mut self,
        stream: StreamId,
        id: AttemptId,
        head: Box<response::Parts>,
        is_ended: bool,
    ) {
        if head.status != http::StatusCode::OK || !grpc::is_grpc(&head.headers) {
            self.engine.reset(stream, h2::Reason::CANCEL);
            let message = format!("the server answered HTTP {}", head.status.as_u16());
            return self.end_without_answer(id, Outcome::Error, message);
        }
        if is_ended {
            return self.on_response_end(id, head.headers, ResponseForm::TrailersOnly);
        }
        let Some(call) = self.calls.get(id.call) else {
            return;
        };
        call.response = ResponseState::Buffered(BufferedResponse {
            head,
            chunks: Vec::new(),
            bytes: 0,
        });
        if self.settings.policy.classes[call.request.class.0].is_streaming {
            self.start_streaming(id.call);
        }
    }

    pub(crate) fn on_data(&mut self, stream: StreamId, data: Bytes) {
        if self.on_coordinator_data(stream, &data, StreamProgress::Open) {
            return;
        }
        if let Some(counter) = self
            .counter
            .as_mut()
            .and_then(|counter| counter.partition_of_stream(stream))
        {
            let results = counter.on_data(&mut self.engine, stream, &data);
            return self.on_counter_results(results);
        }
        if let Some(id) = self.calls.id_of_client_stream(stream) {
            return self.on_request_data(id, data);
        }
        match self.calls.id_of_attempt_stream(stream) {
            Some(id) => self.on_response_data(stream, id, data),
            None => self.engine.consume(stream, data.len()),
        }
    }

    fn on_request_data(&mut self, id: RequestId, data: Bytes) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let client_stream = call.client_stream;
        let attempt_stream = call.attempt_stream();
        let appended = call.request_buffer.append(&data, attempt_stream.is_some());
        if appended.window_bytes > 0 {
            self.engine.consume(client_stream, appended.window_bytes);
        }
        if let Some(stream) = attempt_stream {
            self.engine.send(stream, data);
        }
        if appended.is_discarded {
            self.decisions.push(Event::BodyDiscarded(id));
        }
    }

    fn on_response_data(&mut self, stream: StreamId, id: AttemptId, data: Bytes) {
        let limit = self.settings.max_buffered_bytes;
        let Some(call) = self.calls.get(id.call) else {
            return;
        };
        match &mut call.response {
            ResponseState::Buffered(buffered) => {
                buffered.bytes += data.len();
                let is_too_long = buffered.bytes > limit;
                self.engine.consume(stream, data.len());
                buffered.chunks.push(data);
                if is_too_long {
                    self.start_streaming(id.call);
                }
            }
            ResponseState::Streaming => self.engine.send(call.client_stream, data),
            ResponseState::Pending | ResponseState::Complete => {
                self.engine.consume(stream, data.len());
            }
        }
    }

    /// Handles bytes that were sent on a stream: returns their flow-control window to the stream on which they were received.
    pub(crate) fn on_bytes_sent(&mut self, stream: StreamId, bytes: usize) {
        if let Some(id) = self.calls.id_of_attempt_stream(stream) {
            return self.on_request_sent(id, bytes);
        }
        let Some(call) = self.calls.get_by_client_stream(stream) else {
            return;
        };
        let already_returned = bytes.min(call.response_returned_bytes);
        call.response_returned_bytes -= already_returned;
        if let Some(attempt_stream) = call.attempt_stream() {
            self.engine
                .consume(attempt_stream, bytes - already_returned);
        }
    }

    fn on_request_sent(&mut self, id: AttemptId, bytes: usize) {
        let Some(call) = self.calls.get(id.call) else {
            return;
        };
        let returned_bytes = &mut call.attempts[id.number].returned_bytes;
        let window_bytes = call.request_buffer.record_sent(returned_bytes, bytes);
        self.engine.consume(call.client_stream, window_bytes);
    }

    /// Handles the end of what the peer sends on a stream.
    pub(crate) fn on_stream_ended(&mut self, stream: StreamId, trailers: Option<HeaderMap>) {
        if self.on_coordinator_data(stream, &[], StreamProgress::Ended) {
            return;
        }
        if let Some(counter) = self
            .counter
            .as_mut()
            .and_then(|counter| counter.partition_of_stream(stream))
        {
            let results = counter.on_stream_ended(&mut self.engine);
            return self.on_counter_results(results);
        }
        if let Some(call) = self.calls.get_by_client_stream(stream) {
            call.request_buffer.is_complete = true;
            if let Some(attempt_stream) = call.attempt_stream() {
                self.engine.finish(attempt_stream, None);
            }
            return;
        }
        if let Some(id) = self.calls.id_of_attempt_stream(stream) {
            self.on_response_end(id, trailers.unwrap_or_default(), ResponseForm::Whole);
        }
    }

    /// Handles a stream that was reset or whose connection is closed.
    pub(crate) fn on_stream_failed(&mut self, stream: StreamId, error: StreamError) {
        if self.on_coordinator_data(stream, &[], StreamProgress::Ended) {
            return;
        }
        if let Some(counter) = self
            .counter
            .as_mut()
            .and_then(|counter| counter.partition_of_stream(stream))
        {
            let results = counter.on_stream_ended(&mut self.engine);
            return self.on_counter_results(results);
        }
        if let Some(id) = self.calls.id_of_client_stream(stream) {
            return self.on_client_gone(id);
        }
        if let Some(id) = self.calls.id_of_attempt_stream(stream) {
            self.on_attempt_stream_failed(id, attempt_outcome::from_stream_error(error));
        }
    }

    fn on_attempt_stream_failed(&mut self, id: AttemptId, outcome: Outcome) {
        let streaming_call = self.calls.get(id.call).filter(|call| call.is_streaming());
        let Some(call) = streaming_call else {
            return self.end_without_answer(id, outcome, String::new());
        };
        let stream = call.client_stream;
        let trailers = grpc::trailers(Code::Unavailable, "the answer broke off");
        self.engine.finish(stream, Some(trailers));
        self.complete_call(id.call, CallEnd::Failed);
        self.end_attempt(id, outcome, true);
    }
}
