//! Attempts in flight: sends their requests and handles their responses.

use super::calls::Responder;
use super::{Driver, MAX_RESPONSE_MESSAGE_BYTES};
use crate::attempt_headers::{attempt_outcome, request_head};
use crate::core::{AttemptOutcome, CallId, Event, GatewayId};
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::StreamId;
use chalkdeck_time::TimeDelta;
use http::HeaderMap;

/// One attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptId {
    pub(super) call: CallId,
    /// Its number, from 0.
    pub(super) attempt: u32,
}

impl Driver {
    pub(super) fn send_attempt(&mut self, id: AttemptId, gateway: GatewayId, time_left: TimeDelta) {
        let Some(open_call) = self.calls.get_mut(&id.call) else {
            return;
        };
        open_call.clear_response();
        let target = &self.gateways[gateway.0];
        let head = target
            .address
            .and_then(|address| request_head(&open_call.call, address, id.attempt, time_left));
        let stream = head
            .zip(target.connection)
            .and_then(|(head, connection)| self.engine.open_stream(connection, head, false));
        let Some(stream) = stream else {
            return self.on_attempt_not_sent(id, gateway);
        };
        open_call.attempts = id.attempt + 1;
        open_call.stream = Some(stream);
        self.metrics.record_attempt();
        tracing::debug!(
            parent: &open_call.span,
            attempt = id.attempt,
            gateway = gateway.0,
            time_left_us = time_left.as_micros(),
            "attempt sent"
        );
        let first_message = grpc::frame(&open_call.call.message);
        self.engine.send(stream, first_message);
        self.attempts.insert(stream, id);
        self.send_unsent_messages(id.call, stream);
    }

    /// Handles an attempt that could not be sent, because the gateway drains the connection or accepts no more streams on it.
    fn on_attempt_not_sent(&mut self, id: AttemptId, gateway: GatewayId) {
        self.core_events.push(Event::AttemptEnded {
            call: id.call,
            attempt: id.attempt,
            outcome: AttemptOutcome::NotProcessed,
        });
        if let Some(connection) = self.gateways[gateway.0].connection.take() {
            tracing::debug!(conn = ?connection, "gateway is draining its connection");
            self.report_disconnected(gateway);
        }
    }

    pub(super) fn cancel_attempt(&mut self, call: CallId) {
        let open_call = self.calls.get_mut(&call);
        if let Some(stream) = open_call.and_then(|open_call| open_call.stream.take()) {
            self.attempts.remove(&stream);
            self.engine.reset(stream, h2::Reason::CANCEL);
        }
    }

    pub(super) fn on_data(&mut self, stream: StreamId, data: &[u8]) {
        let Some(&AttemptId { call, .. }) = self.attempts.get(&stream) else {
            return;
        };
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let result = match &mut open_call.responder {
            Responder::Unary(_) => open_call
                .response_message
                .push(data, MAX_RESPONSE_MESSAGE_BYTES),
            Responder::Stream(state) => {
                self.core_events.push(Event::RetryRuledOut { call });
                state.on_data(data, MAX_RESPONSE_MESSAGE_BYTES)
            }
        };
        if let Err(error) = result {
            open_call.status_message = error.to_string();
            self.engine.reset(stream, h2::Reason::CANCEL);
            self.end_attempt(stream, AttemptOutcome::MayHaveRun);
        }
    }

    pub(super) fn on_response_ended(&mut self, stream: StreamId, trailers: &HeaderMap) {
        let call = self.attempts.get(&stream).map(|id| id.call);
        if let Some(open_call) = call.and_then(|call| self.calls.get_mut(&call)) {
            open_call.status = Code::from_trailers(trailers);
            open_call.status_message = grpc::decode_message(trailers);
        }
        self.end_attempt(stream, attempt_outcome(trailers));
    }

    pub(super) fn end_attempt(&mut self, stream: StreamId, outcome: AttemptOutcome) {
        let Some(AttemptId { call, attempt }) = self.attempts.remove(&stream) else {
            return;
        };
        if let Some(open_call) = self.calls.get_mut(&call) {
            open_call.stream = None;
        }
        self.core_events.push(Event::AttemptEnded {
            call,
            attempt,
            outcome,
        });
    }
}
