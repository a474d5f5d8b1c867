//! Calls that have not ended.

use super::Driver;
use crate::call::{Call, Reply};
use crate::command::ReplyCallback;
use crate::core::{CallId, Event, Idempotency, Outcome};
use crate::stream::{StreamEvent, StreamState};
use chalkdeck_net::grpc::Code;
use chalkdeck_net::unary::UnaryMessage;
use chalkdeck_net::StreamId;
use chalkdeck_time::{TimeDelta, Timestamp};

/// Who gets the answer of a call.
pub(super) enum Responder {
    Unary(ReplyCallback),
    Stream(StreamState),
}

/// A call that has not ended.
pub(super) struct OpenCall {
    pub(super) call: Call,
    pub(super) responder: Responder,
    /// The stream of the attempt in flight.
    pub(super) stream: Option<StreamId>,
    /// Status of the last attempt that had one.
    pub(super) status: Option<Code>,
    pub(super) status_message: String,
    /// The message of a unary answer.
    pub(super) answer: UnaryMessage,
    /// Attempts that were sent.
    pub(super) attempts: u32,
    started_at: Timestamp,
    pub(super) span: tracing::Span,
}

impl OpenCall {
    /// Forgets what an earlier attempt was answered.
    pub(super) fn clear_answer(&mut self) {
        self.status = None;
        self.status_message.clear();
        self.answer = UnaryMessage::default();
    }

    /// The stream's state, if the call is a stream.
    pub(super) fn stream_state(&mut self) -> Option<&mut StreamState> {
        match &mut self.responder {
            Responder::Unary(_) => None,
            Responder::Stream(state) => Some(state),
        }
    }
}

impl Driver {
    pub(super) fn start(&mut self, id: CallId, mut call: Call, responder: Responder) {
        if matches!(call.idempotency, Idempotency::Keyed { .. }) && call.key.is_none() {
            call.key = Some(format!("{:032x}", self.rng.u128(..)));
        }
        let started_at = self.now();
        let timeout = u64::try_from(call.timeout.as_micros()).unwrap_or(u64::MAX);
        self.core_events.push(Event::CallStarted {
            call: id,
            idempotency: call.idempotency,
            deadline: started_at + TimeDelta::from_micros(timeout),
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
            answer: UnaryMessage::default(),
            attempts: 0,
            started_at,
            span,
        };
        self.calls.insert(id, open_call);
        self.metrics.set_open_calls(self.calls.len());
    }

    /// Tells the caller the outcome of a call.
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
        let message = open_call.answer.message().cloned();
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
