//! Calls that end before their answer: by a deadline, an access rule, a shutdown or their client.

use crate::endpoint_connections::AttemptId;
use crate::gateway_server::{GatewayServer, TimerPurpose};
use crate::metrics::CallEnd;
use chalkdeck::api::{Event, Outcome, RequestId};
use chalkdeck_net::grpc::{self, Code};

impl GatewayServer {
    /// The deadline that was set for a call when it arrived, or when its stream started, has passed.
    pub(crate) fn on_client_deadline(&mut self, id: RequestId) {
        let now = self.engine.now();
        let Some(call) = self.calls.get_open(id) else {
            return;
        };
        let has_stream_class = self.settings.policy.classes[call.request.class.0].is_streaming;
        match call.client_deadline {
            // A stream without a deadline of its client's has none once it has started.
            None if has_stream_class => {}
            // The client's deadline is later than the first answer may be by the class.
            Some(deadline) if has_stream_class && deadline > now => {
                self.set_timer(deadline - now, TimerPurpose::ClientDeadline(id));
            }
            _ => self.abort_call(id, Code::DeadlineExceeded, "the deadline passed on the way"),
        }
    }

    /// Ends a call with this status and cancels its attempts.
    pub(crate) fn abort_call(&mut self, id: RequestId, code: Code, reason: &str) {
        let Some(call) = self.calls.get_open(id) else {
            return;
        };
        let stream = call.client_stream;
        let streaming_attempt = call.last_attempt().filter(|_| call.is_streaming());
        let trailers = grpc::trailers(code, reason);
        if call.is_streaming() {
            self.engine.finish(stream, Some(trailers));
        } else {
            let response = grpc::trailers_only(trailers);
            self.engine.respond(stream, response, true);
        }
        self.end_for_client(id, CallEnd::Failed, streaming_attempt);
    }

    /// The client reset its stream, or its connection is gone.
    pub(super) fn on_client_gone(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let streaming_attempt = call.last_attempt().filter(|_| call.is_streaming());
        self.end_for_client(id, CallEnd::Cancelled, streaming_attempt);
    }

    /// The decisions cancel the attempts of a call without a response; a response that has started ends with its client.
    fn end_for_client(
        &mut self,
        id: RequestId,
        end: CallEnd,
        streaming_attempt: Option<AttemptId>,
    ) {
        self.decisions.push(Event::ClientDisconnected(id));
        self.complete_call(id, end);
        if let Some(attempt) = streaming_attempt {
            self.cancel_attempt(attempt, Outcome::Cancelled);
        }
    }
}
