//! Accepts calls of clients, or rejects invalid ones.

use crate::base::call_head::InvalidCall;
use crate::call_head;
use crate::calls::Call;
use crate::fault::Fault;
use crate::gateway_server::GatewayServer;
use crate::request_buffer::RequestBuffer;
use chalkdeck::api::RequestId;
use chalkdeck_net::grpc::Code;
use chalkdeck_net::{grpc, ConnId, StreamId};
use http::request;

impl GatewayServer {
    /// Handles a stream that a client opened. `is_ended`: its request has no body.
    pub(crate) fn on_call(
        &mut self,
        stream: StreamId,
        conn: ConnId,
        head: &request::Parts,
        is_ended: bool,
    ) {
        if self.fault == Some(Fault::Shut) && self.has_reloaded {
            let trailers = grpc::trailers(Code::Unavailable, "fault injection");
            return self
                .engine
                .respond(stream, grpc::trailers_only(trailers), true);
        }
        let id = self.calls.next_id();
        let now = self.engine.now();
        let mut call_head = match call_head::parse(&self.settings, id, now, head) {
            Ok(call_head) => call_head,
            Err(invalid) => return self.reject_invalid(stream, id, &invalid),
        };
        let caller = match self.admit_call(&mut call_head, head, conn) {
            Ok(caller) => caller,
            Err(invalid) => return self.reject_invalid(stream, id, &invalid),
        };
        tracing::debug!(
            call = id.0,
            path = call_head.path.as_str(),
            units = call_head.request.units,
            "taken"
        );
        let request = call_head.request.clone();
        let buffer = RequestBuffer::new(self.settings.max_buffered_bytes, is_ended);
        let call = Call::new(call_head, stream, now, buffer);
        self.calls.insert(Call { caller, ..call });
        self.metrics.accepted_calls.inc();
        self.metrics.open_calls.inc();
        self.enqueue_request(request);
    }

    /// Answers an invalid call without passing it to the decision engine.
    fn reject_invalid(&mut self, stream: StreamId, id: RequestId, invalid: &InvalidCall) {
        tracing::info!(call = id.0, kind = invalid.kind, reason = %invalid.reason, "call rejected as invalid");
        self.metrics.input_rejected(invalid.kind);
        let response = match invalid.code {
            Some(code) => grpc::trailers_only(grpc::trailers(code, &invalid.reason)),
            None => unsupported_media_type(),
        };
        self.engine.respond(stream, response, true);
    }
}

fn unsupported_media_type() -> http::Response<()> {
    let mut response = http::Response::new(());
    *response.status_mut() = http::StatusCode::UNSUPPORTED_MEDIA_TYPE;
    response
}
