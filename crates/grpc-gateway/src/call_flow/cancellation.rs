//! Calls that are aborted before their response is complete: by a deadline, an access rule, a shutdown or the client.

use crate::endpoint_connections::AttemptId;
use crate::gateway_server::{GatewayServer, TimerPurpose};
use crate::metrics::CallEnd;
use chalkdeck::api::{Event, Outcome, RequestId};
use chalkdeck_net::grpc::{self, Code};

impl GatewayServer {
    /// Handles the timer of a call's deadline, which is set when its response starts to stream.
    pub(crate) fn on_client_deadline(&mut self, id: RequestId) {
        let now = self.engine.now();
        let Some(call) = self.calls.get_open(id) else {
            return;
        };
        let is_streaming_class = self.settings.policy.classes[call.request.class.0].is_streaming;
        match call.client_deadline {
            // A response of a streaming class has no deadline once it has started, unless the client set one.
            None if is_streaming_class => {}
            // The client's deadline is later than the deadline of the class, which applies only until the response starts.
            Some(deadline) if is_streaming_class && deadline > now => {
                self.set_timer(deadline - now, TimerPurpose::ClientDeadline(id));
            }
            _ => self.abort_call(id, Code::DeadlineExceeded, "the deadline passed on the way"),
        }
    }

    /// Ends a call with a status and cancels its attempts.
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
        self.complete_for_client(id, CallEnd::Failed, streaming_attempt);
    }

    /// Handles a client that reset its stream or closed its connection.
    pub(super) fn on_client_gone(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let streaming_attempt = call.last_attempt().filter(|_| call.is_streaming());
        self.complete_for_client(id, CallEnd::Cancelled, streaming_attempt);
    }

    /// Completes a call on the client's side. The decision engine cancels the attempts of a call whose response has not started;
    /// the attempt of a call whose response is streaming is cancelled here.
    fn complete_for_client(
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
