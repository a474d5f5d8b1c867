//! Final answers to clients, and responses of endpoints on their way to them.

use crate::calls::Answer;
use crate::fault::Fault;
use crate::metrics::End;
use crate::outcome::{self, Ended};
use crate::pool::AttemptId;
use crate::shell::{Due, Shell};
use chalkdeck::api::{Event, Outcome, RequestId};
use chalkdeck_net::grpc::{self, Code};
use http::{HeaderMap, HeaderValue};

impl Shell {
    pub(crate) fn refuse(&mut self, id: RequestId, back_in: Option<u64>) {
        if self.resp_refused(id, back_in) {
            return;
        }
        if self.fault == Some(Fault::Ceiling) && self.send_refused(id) {
            return;
        }
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let message = call
            .server_said
            .clone()
            .unwrap_or("over the quota or no room to serve it".to_string());
        let mut trailers = grpc::trailers(Code::ResourceExhausted, &message);
        grpc::add_retry_info(&mut trailers, Code::ResourceExhausted, &message, back_in);
        self.answer(id, grpc::trailers_only(trailers), End::Refused);
    }

    pub(crate) fn fail(&mut self, id: RequestId) {
        let now = self.engine.now();
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let late = now + 3 * self.set.policy.timer_resolution.as_micros()
            >= call.arrival.deadline.as_micros();
        let code = if late {
            Code::DeadlineExceeded
        } else {
            Code::Unavailable
        };
        let message = call
            .server_said
            .clone()
            .unwrap_or("no answer; it may have run".to_string());
        self.answer(
            id,
            grpc::trailers_only(grpc::trailers(code, &message)),
            End::Failed,
        );
    }

    pub(super) fn answer(&mut self, id: RequestId, response: http::Response<()>, end: End) {
        let fault = self.fault;
        let Some(call) = self.calls.get(id).filter(|c| !c.is_done()) else {
            return;
        };
        let front = call.front;
        if fault != Some(Fault::Lose) {
            self.engine.respond(front, response, true);
        }
        self.close_call(id, end);
    }

    /// The call has its final answer or its client is gone.
    pub(super) fn close_call(&mut self, id: RequestId, end: End) {
        let now = self.engine.now();
        self.left(id);
        let Some(call) = self.calls.get(id).filter(|c| !c.is_done()) else {
            return;
        };
        call.answer = Answer::Done;
        call.kept.drop_all();
        let (front, took) = (call.front, now.saturating_sub(call.arrived));
        let (class, plan) = (call.arrival.class.0, call.arrival.plan.0);
        self.calls.unbind_front(front);
        tracing::debug!(call = id.0, ?end, duration_us = took, "call completed");
        self.metrics.ended(class, plan, end);
        self.metrics.took.observe(took as f64 / 1e6);
        self.metrics.open.dec();
        self.site_final(class, end, took);
        self.calls.forget_if_over(id);
    }

    /// Hands what was kept back to the client; from now on bytes follow as they come.
    pub(super) fn begin_stream(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let Answer::Held {
            head,
            chunks,
            bytes,
        } = std::mem::replace(&mut call.answer, Answer::Started)
        else {
            return;
        };
        call.answer_skip = bytes;
        let (front, call_deadline) = (call.front, call.arrival.deadline.as_micros());
        self.engine
            .respond(front, http::Response::from_parts(*head, ()), false);
        chunks
            .into_iter()
            .for_each(|chunk| self.engine.send(front, chunk));
        self.decisions.push(Event::ResponseStarted(id));
        // A stream may last for long; the door is for what is to be answered soon.
        self.left(id);
        // From here on the decisions keep no deadline for it; the client's own stays.
        let left = call_deadline.saturating_sub(self.engine.now());
        self.due_in(left, Due::Deadline(id));
    }

    /// An attempt's answer is whole. `only`: these trailers are all of it, else its head came before.
    pub(super) fn on_answer(&mut self, id: AttemptId, trailers: HeaderMap, only: bool) {
        let Ended { outcome, is_answer } = outcome::of_status(&trailers);
        let Some(call) = self.calls.get(id.call) else {
            return;
        };
        let (front, started) = (call.front, matches!(call.answer, Answer::Started));
        if !is_answer && !started {
            return self.turned_away(id, outcome, grpc::message_of(&trailers));
        }
        if call.is_done() {
            return self.ended(id, outcome, true);
        }
        if only {
            self.engine
                .respond(front, grpc::trailers_only(trailers), true);
        } else {
            if let Answer::Held { head, chunks, .. } =
                std::mem::replace(&mut call.answer, Answer::Started)
            {
                self.engine
                    .respond(front, http::Response::from_parts(*head, ()), false);
                chunks
                    .into_iter()
                    .for_each(|chunk| self.engine.send(front, chunk));
            }
            self.engine.finish(front, Some(with_status(trailers)));
        }
        self.close_call(id.call, End::Served);
        self.ended(id, outcome, true);
    }

    /// A server's end that is no answer: what follows is decided elsewhere.
    pub(super) fn turned_away(&mut self, id: AttemptId, outcome: Outcome, said: String) {
        if let Some(call) = self.calls.get(id.call) {
            call.server_said = Some(said).filter(|s| !s.is_empty());
        }
        self.drop_held(id.call);
        self.ended(id, outcome, false);
    }

    pub(super) fn drop_held(&mut self, id: RequestId) {
        if let Some(call) = self
            .calls
            .get(id)
            .filter(|c| matches!(c.answer, Answer::Held { .. }))
        {
            call.answer = Answer::None;
        }
    }
}

/// A server that ended without a status gave none that a client could read.
fn with_status(mut trailers: HeaderMap) -> HeaderMap {
    if Code::from_trailers(&trailers).is_none() {
        trailers.insert(grpc::STATUS, HeaderValue::from(Code::Unknown as i32));
    }
    trailers
}
