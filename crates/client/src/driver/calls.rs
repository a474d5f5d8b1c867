//! Starts and completes calls.

use super::Driver;
use crate::call::{Call, Reply};
use crate::command::ReplyCallback;
use crate::core::{CallId, Event, Idempotency, Outcome};
use crate::stream::{StreamEvent, StreamState};
use chalkdeck_net::grpc::Code;
use chalkdeck_net::unary::UnaryMessage;
use chalkdeck_net::StreamId;
use chalkdeck_time::{TimeDelta, Timestamp};

/// The callback that receives the response to a call.
pub(super) enum Responder {
    Unary(ReplyCallback),
    Stream(StreamState),
}

/// A call that is not complete yet.
pub(super) struct OpenCall {
    pub(super) call: Call,
    pub(super) responder: Responder,
    /// The HTTP/2 stream of the attempt in flight.
    pub(super) stream: Option<StreamId>,
    /// The status of the last attempt that received one.
    pub(super) status: Option<Code>,
    pub(super) status_message: String,
    /// The response message of a unary call.
    pub(super) response_message: UnaryMessage,
    /// The number of attempts that were sent.
    pub(super) attempts: u32,
    started_at: Timestamp,
    pub(super) span: tracing::Span,
}

impl OpenCall {
    /// Discards the response of an earlier attempt.
    pub(super) fn clear_response(&mut self) {
        self.status = None;
        self.status_message.clear();
        self.response_message = UnaryMessage::default();
    }

    /// The state of the stream, if the call is not unary.
    pub(super) fn stream_state(&mut self) -> Option<&mut StreamState> {
        match &mut self.responder {
            Responder::Unary(_) => None,
            Responder::Stream(state) => Some(state),
        }
    }
}

impl Driver {
    /// Registers a call, and tells the core that it was started.
    pub(super) fn start_call(&mut self, id: CallId, mut call: Call, responder: Responder) {
        if matches!(call.idempotency, Idempotency::Keyed { .. }) && call.key.is_none() {
            call.key = Some(format!("{:032x}", self.rng.u128(..)));
        }
        let started_at = self.now();
        let timeout_micros = u64::try_from(call.timeout.as_micros()).unwrap_or(u64::MAX);
        self.core_events.push(Event::CallStarted {
            call: id,
            idempotency: call.idempotency,
            deadline: started_at + TimeDelta::from_micros(timeout_micros),
        });
        let span = tracing::debug_span!(
            "call",
            id = id.0,
            path = %call.path,
            outcome = tracing::field::Empty
        );
        let open_call = OpenCall {
            call,
            responder,
            stream: None,
            status: None,
            status_message: String::new(),
            response_message: UnaryMessage::default(),
            attempts: 0,
            started_at,
            span,
        };
        self.calls.insert(id, open_call);
        self.metrics.set_open_calls(self.calls.len());
    }

    /// Reports the outcome of a call to its caller.
    pub(super) fn complete(&mut self, id: CallId, outcome: Outcome) {
        let Some(open_call) = self.calls.remove(&id) else {
            return;
        };
        let elapsed = self.now() - open_call.started_at;
        self.metrics.record_call(outcome, elapsed);
        self.metrics.set_open_calls(self.calls.len());
        let span = &open_call.span;
        span.record("outcome", tracing::field::debug(outcome));
        tracing::debug!(parent: span, attempts = open_call.attempts, "call completed");
        let message = open_call.response_message.message().cloned();
        let reply = Reply {
            outcome,
            status: open_call.status,
            status_message: open_call.status_message,
            message: message.filter(|_| outcome == Outcome::Answered),
            attempts: open_call.attempts,
        };
        match open_call.responder {
            Responder::Unary(on_reply) => on_reply(reply),
            Responder::Stream(mut state) => (state.on_event)(StreamEvent::Ended(reply)),
        }
    }
}
