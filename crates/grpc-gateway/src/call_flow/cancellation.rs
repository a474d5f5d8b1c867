//! Calls that end before their answer: by a deadline, a rule, a shutdown or their client.

use crate::calls::Answer;
use crate::metrics::End;
use crate::pool::AttemptId;
use crate::shell::{Due, Shell};
use chalkdeck::api::{Event, Outcome, RequestId};
use chalkdeck_net::grpc::{self, Code};

impl Shell {
    pub(crate) fn client_deadline(&mut self, id: RequestId) {
        let now = self.engine.now();
        let Some(call) = self.calls.get(id).filter(|c| !c.is_done()) else {
            return;
        };
        let stream = self.set.policy.classes[call.arrival.class.0].is_streaming;
        match call.client_deadline {
            // A stream without a deadline of its client's has none once it has started.
            None if stream => {}
            // It is later than the longest first answer that its class allows.
            Some(at) if stream && at > now => self.due_in(at - now, Due::Deadline(id)),
            _ => self.break_off(id, Code::DeadlineExceeded, "the deadline passed on the way"),
        }
    }

    /// The client has given up by its own clock, or this gateway stops: what is out is called off.
    pub(crate) fn break_off(&mut self, id: RequestId, code: Code, why: &str) {
        let Some(call) = self.calls.get(id).filter(|c| !c.is_done()) else {
            return;
        };
        let (front, started) = (call.front, matches!(call.answer, Answer::Started));
        let last = call
            .attempts
            .len()
            .checked_sub(1)
            .map(|number| AttemptId { call: id, number });
        if started {
            self.engine.finish(front, Some(grpc::trailers(code, why)));
        } else {
            self.engine
                .respond(front, grpc::trailers_only(grpc::trailers(code, why)), true);
        }
        self.decisions.push(Event::ClientDisconnected(id));
        self.close_call(id, End::Failed);
        last.filter(|_| started)
            .into_iter()
            .for_each(|a| self.call_off(a, Outcome::Cancelled));
    }

    pub(super) fn client_gone(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let started = matches!(call.answer, Answer::Started);
        let last = call
            .attempts
            .len()
            .checked_sub(1)
            .map(|number| AttemptId { call: id, number });
        self.decisions.push(Event::ClientDisconnected(id));
        self.close_call(id, End::Gone);
        // A started answer belongs to the client and ends with it.
        last.filter(|_| started)
            .into_iter()
            .for_each(|a| self.call_off(a, Outcome::Cancelled));
    }
}
