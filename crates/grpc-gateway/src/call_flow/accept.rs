//! Calls as they arrive from clients.

use crate::base::asked::Rejected;
use crate::calls::Call;
use crate::front;
use crate::metrics;
use crate::shell::Shell;
use chalkdeck::api::RequestId;
use chalkdeck_net::{grpc, ConnId, StreamId};
use http::request;

impl Shell {
    pub(crate) fn on_call(
        &mut self,
        front: StreamId,
        conn: ConnId,
        head: &request::Parts,
        ended: bool,
    ) {
        let (id, now) = (self.calls.next_id(), self.engine.now());
        let mut asked = match front::read(&self.set, id, now, head) {
            Ok(asked) => asked,
            Err(why) => return self.reject(front, id, why),
        };
        let who = match self.admits(&mut asked, head, conn) {
            Ok(who) => who,
            Err(why) => return self.reject(front, id, why),
        };
        tracing::debug!(
            call = id.0,
            path = asked.path.as_str(),
            units = asked.arrival.units,
            "taken"
        );
        let arrival = asked.arrival.clone();
        let call = Call::new(asked, front, now, self.set.keep_bytes, ended);
        self.calls.insert(Call { who, ..call });
        self.metrics.taken.inc();
        self.metrics.open.inc();
        self.enter(arrival);
    }

    fn reject(&mut self, front: StreamId, id: RequestId, why: Rejected) {
        tracing::info!(call = id.0, kind = why.kind, reason = %why.what, "call rejected as invalid");
        self.metrics
            .rejected
            .get_or_create(&metrics::Kind {
                kind: why.kind.to_string(),
            })
            .inc();
        let Some(code) = why.code else {
            let mut response = http::Response::new(());
            *response.status_mut() = http::StatusCode::UNSUPPORTED_MEDIA_TYPE;
            return self.engine.respond(front, response, true);
        };
        self.engine.respond(
            front,
            grpc::trailers_only(grpc::trailers(code, &why.what)),
            true,
        );
    }
}
