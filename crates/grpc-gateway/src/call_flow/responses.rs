//! Final answers to clients: the gateway's own, and the responses of endpoints.

use crate::attempt_outcome::{self, AttemptEnd};
use crate::calls::{BufferedResponse, ResponseState};
use crate::endpoint_connections::AttemptId;
use crate::fault::{Fault, Leaked};
use crate::gateway_server::{GatewayServer, TimerPurpose};
use crate::metrics::CallEnd;
use chalkdeck::api::{Event, Outcome, RequestId, TimeDelta};
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::StreamId;
use http::{HeaderMap, HeaderValue};

/// The status message of a rejected call without a message of an endpoint.
const REJECTED_MESSAGE: &str = "over the quota or no room to serve it";
/// The status message of a failed call without a message of an endpoint.
const FAILED_MESSAGE: &str = "no answer; it may have run";
/// A call that fails at most this many intervals of the timer's resolution before its deadline is reported as DEADLINE_EXCEEDED.
const DEADLINE_TOLERANCE_TICKS: u64 = 3;
const MICROS_PER_SECOND: f64 = 1e6;

/// The parts that a response consists of.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ResponseForm {
    /// A head, perhaps a body, and trailers.
    Whole,
    /// Trailers only, which are also the head.
    TrailersOnly,
}

impl GatewayServer {
    /// Answers a call that the decision engine rejects. `retry_after`: the time in microseconds after which the client may retry.
    pub(crate) fn reject_call(&mut self, id: RequestId, retry_after: Option<u64>) {
        if self.reject_resp_request(id, retry_after) {
            return;
        }
        if self.fault == Some(Fault::Ceiling) && self.send_rejected(id) {
            return;
        }
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let message = call.endpoint_message.as_deref().unwrap_or(REJECTED_MESSAGE);
        let mut trailers = grpc::trailers(Code::ResourceExhausted, message);
        grpc::add_retry_info(&mut trailers, Code::ResourceExhausted, message, retry_after);
        self.answer(id, grpc::trailers_only(trailers), CallEnd::Rejected);
    }

    /// Answers a call that the decision engine fails.
    pub(crate) fn fail_call(&mut self, id: RequestId) {
        let now = self.engine.now();
        let tolerance =
            DEADLINE_TOLERANCE_TICKS * self.settings.policy.timer_resolution.as_micros();
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let code = if now + tolerance >= call.request.deadline.as_micros() {
            Code::DeadlineExceeded
        } else {
            Code::Unavailable
        };
        let message = call.endpoint_message.as_deref().unwrap_or(FAILED_MESSAGE);
        let trailers = grpc::trailers(code, message);
        self.answer(id, grpc::trailers_only(trailers), CallEnd::Failed);
    }

    /// Sends the gateway's own answer.
    fn answer(&mut self, id: RequestId, response: http::Response<()>, end: CallEnd) {
        let Some(call) = self.calls.get_open(id) else {
            return;
        };
        let stream = call.client_stream;
        if self.fault != Some(Fault::Lose) {
            self.engine.respond(stream, response, true);
        }
        self.complete_call(id, end);
    }

    /// Completes a call: it has its final answer, or its client is gone.
    pub(super) fn complete_call(&mut self, id: RequestId, end: CallEnd) {
        let now = self.engine.now();
        self.release_from_queue(id);
        let Some(call) = self.calls.get_open(id) else {
            return;
        };
        call.response = ResponseState::Complete;
        call.request_buffer.clear();
        let stream = call.client_stream;
        let duration = now.saturating_sub(call.arrived_at);
        let (class, plan) = (call.request.class.0, call.request.plan.0);
        self.calls.release_client_stream(stream);
        tracing::debug!(call = id.0, ?end, duration_us = duration, "call completed");
        self.metrics.call_completed(class, plan, end);
        self.metrics
            .call_duration
            .observe(duration as f64 / MICROS_PER_SECOND);
        self.metrics.open_calls.dec();
        self.report_request_completed(class, end, TimeDelta::from_micros(duration));
        self.calls.remove_if_finished(id);
        if self.fault == Some(Fault::Leak) {
            self.leaked.push(Leaked::new());
        }
    }

    /// Sends the buffered response to the client. Later bytes are forwarded as they are received.
    pub(super) fn start_streaming(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let state = std::mem::replace(&mut call.response, ResponseState::Streaming);
        let ResponseState::Buffered(buffered) = state else {
            return;
        };
        call.response_returned_bytes = buffered.bytes;
        let stream = call.client_stream;
        let call_deadline = call.request.deadline.as_micros();
        self.send_buffered(stream, buffered);
        self.decisions.push(Event::ResponseStarted(id));
        // The admission queue limits calls that end soon; a stream may last long and is not counted.
        self.release_from_queue(id);
        // The decision engine tracks no deadline for a started response; `on_client_deadline` applies the one that remains in
        // force.
        let remaining = call_deadline.saturating_sub(self.engine.now());
        self.set_timer(remaining, TimerPurpose::ClientDeadline(id));
    }

    fn send_buffered(&mut self, stream: StreamId, buffered: BufferedResponse) {
        let head = http::Response::from_parts(*buffered.head, ());
        self.engine.respond(stream, head, false);
        for chunk in buffered.chunks {
            self.engine.send(stream, chunk);
        }
    }

    /// Handles the end of an attempt's response, which has these trailers.
    pub(super) fn on_response_end(
        &mut self,
        id: AttemptId,
        trailers: HeaderMap,
        form: ResponseForm,
    ) {
        let AttemptEnd { outcome, is_answer } = attempt_outcome::from_trailers(&trailers);
        let Some(call) = self.calls.get(id.call) else {
            return;
        };
        if !is_answer && !call.is_streaming() {
            return self.end_without_answer(id, outcome, grpc::decode_message(&trailers));
        }
        if call.is_complete() {
            return self.end_attempt(id, outcome, true);
        }
        let stream = call.client_stream;
        if form == ResponseForm::TrailersOnly {
            let response = grpc::trailers_only(trailers);
            self.engine.respond(stream, response, true);
        } else {
            let state = std::mem::replace(&mut call.response, ResponseState::Streaming);
            if let ResponseState::Buffered(buffered) = state {
                self.send_buffered(stream, buffered);
            }
            self.engine.finish(stream, Some(with_status(trailers)));
        }
        self.complete_call(id.call, CallEnd::Served);
        self.end_attempt(id, outcome, true);
    }

    /// Ends an attempt without an answer for the client. The decision engine decides whether to retry, reject or fail the call.
    pub(super) fn end_without_answer(&mut self, id: AttemptId, outcome: Outcome, message: String) {
        if let Some(call) = self.calls.get(id.call) {
            call.endpoint_message = Some(message).filter(|message| !message.is_empty());
        }
        self.discard_buffered_response(id.call);
        self.end_attempt(id, outcome, false);
    }

    pub(super) fn discard_buffered_response(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        if matches!(call.response, ResponseState::Buffered(_)) {
            call.response = ResponseState::Pending;
        }
    }
}

/// Adds the status UNKNOWN to trailers without a valid status.
fn with_status(mut trailers: HeaderMap) -> HeaderMap {
    if Code::from_trailers(&trailers).is_none() {
        trailers.insert(grpc::STATUS, HeaderValue::from(Code::Unknown as i32));
    }
    trailers
}
