//! What happens on connections and streams, handed to the calls that it belongs to.

use crate::calls::Answer;
use crate::metrics::End;
use crate::outcome;
use crate::shell::Shell;
use bytes::Bytes;
use chalkdeck::api::{Event, Outcome, RequestId};
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::{ConnId, StreamError, StreamId};
use http::{response, HeaderMap};

impl Shell {
    pub(crate) fn on_connected(&mut self, conn: ConnId) {
        if self.keeper_connected(conn) {
            return;
        }
        if let Shell {
            counter: Some(counter),
            engine,
            ..
        } = self
        {
            if let Some(told) = counter.connected(engine, conn) {
                return self.counted(told);
            }
        }
        for attempt in self.pool.connected(conn).unwrap_or_default() {
            if self.calls.attempt(attempt).is_some() && !self.open_on(conn, attempt) {
                self.ended(attempt, Outcome::Rejected, false);
            }
        }
    }

    pub(crate) fn on_closed(&mut self, conn: ConnId, why: &str) {
        if self.keeper_closed(conn) {
            return;
        }
        if let Some(told) = self.counter.as_mut().and_then(|c| c.closed(conn)) {
            tracing::warn!(reason = why, "counter connection closed");
            return self.counted(told);
        }
        self.drop_link(conn);
    }

    pub(crate) fn on_head(&mut self, stream: StreamId, head: Box<response::Parts>, ended: bool) {
        if self.keeper_heard(stream, &[], ended) {
            return;
        }
        if let Some(counter) = self.counter.as_mut().and_then(|c| c.of(stream)) {
            let told = if ended {
                counter.on_over(&mut self.engine)
            } else {
                Vec::new()
            };
            return self.counted(told);
        }
        let Some(id) = self.calls.of_back(stream) else {
            return;
        };
        if head.status != http::StatusCode::OK || !grpc::is_grpc(&head.headers) {
            self.engine.reset(stream, h2::Reason::CANCEL);
            let what = format!("the server answered HTTP {}", head.status.as_u16());
            return self.turned_away(id, Outcome::Error, what);
        }
        if ended {
            return self.on_answer(id, head.headers, true);
        }
        let Some(call) = self.calls.get(id.call) else {
            return;
        };
        call.answer = Answer::Held {
            head,
            chunks: Vec::new(),
            bytes: 0,
        };
        if self.set.policy.classes[call.arrival.class.0].is_streaming {
            self.begin_stream(id.call);
        }
    }

    pub(crate) fn on_data(&mut self, stream: StreamId, data: Bytes) {
        if self.keeper_heard(stream, &data, false) {
            return;
        }
        if let Some(counter) = self.counter.as_mut().and_then(|c| c.of(stream)) {
            let told = counter.on_data(&mut self.engine, stream, &data);
            return self.counted(told);
        }
        if let Some(id) = self.calls.of_front(stream) {
            return self.on_request_bytes(id, data);
        }
        let Some(id) = self.calls.of_back(stream) else {
            return self.engine.consume(stream, data.len());
        };
        let most = self.set.keep_bytes;
        let Some(call) = self.calls.get(id.call) else {
            return;
        };
        match &mut call.answer {
            Answer::Held { chunks, bytes, .. } => {
                *bytes += data.len();
                let too_much = *bytes > most;
                self.engine.consume(stream, data.len());
                chunks.push(data);
                if too_much {
                    self.begin_stream(id.call);
                }
            }
            Answer::Started => {
                let front = call.front;
                self.engine.send(front, data);
            }
            Answer::None | Answer::Done => self.engine.consume(stream, data.len()),
        }
    }

    fn on_request_bytes(&mut self, id: RequestId, data: Bytes) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let (front, back) = (call.front, call.back());
        let taken = call.kept.take(&data, back.is_some());
        if taken.consume > 0 {
            self.engine.consume(front, taken.consume);
        }
        if let Some(back) = back {
            self.engine.send(back, data);
        }
        if taken.gone {
            self.decisions.push(Event::BodyDiscarded(id));
        }
    }

    pub(crate) fn on_sent(&mut self, stream: StreamId, bytes: usize) {
        if let Some(id) = self.calls.of_back(stream) {
            let Some(call) = self.calls.get(id.call) else {
                return;
            };
            let front = call.front;
            let consume = call.kept.sent(&mut call.attempts[id.number].skip, bytes);
            return self.engine.consume(front, consume);
        }
        let Some(call) = self
            .calls
            .of_front(stream)
            .and_then(|id| self.calls.get(id))
        else {
            return;
        };
        let known = bytes.min(call.answer_skip);
        call.answer_skip -= known;
        let back = call.back();
        back.into_iter()
            .for_each(|back| self.engine.consume(back, bytes - known));
    }

    pub(crate) fn on_end(&mut self, stream: StreamId, trailers: Option<HeaderMap>) {
        if self.keeper_heard(stream, &[], true) {
            return;
        }
        if let Some(counter) = self.counter.as_mut().and_then(|c| c.of(stream)) {
            let told = counter.on_over(&mut self.engine);
            return self.counted(told);
        }
        if let Some(call) = self
            .calls
            .of_front(stream)
            .and_then(|id| self.calls.get(id))
        {
            call.kept.ended = true;
            let back = call.back();
            return back
                .into_iter()
                .for_each(|back| self.engine.finish(back, None));
        }
        let Some(id) = self.calls.of_back(stream) else {
            return;
        };
        self.on_answer(id, trailers.unwrap_or_default(), false);
    }

    pub(crate) fn on_broken(&mut self, stream: StreamId, how: StreamError) {
        if self.keeper_heard(stream, &[], true) {
            return;
        }
        if let Some(counter) = self.counter.as_mut().and_then(|c| c.of(stream)) {
            let told = counter.on_over(&mut self.engine);
            return self.counted(told);
        }
        if let Some(id) = self.calls.of_front(stream) {
            return self.client_gone(id);
        }
        let Some(id) = self.calls.of_back(stream) else {
            return;
        };
        let started = self
            .calls
            .get(id.call)
            .is_some_and(|c| matches!(c.answer, Answer::Started));
        if !started {
            return self.turned_away(id, outcome::of_break(how), String::new());
        }
        if let Some(call) = self.calls.get(id.call) {
            let front = call.front;
            self.engine.finish(
                front,
                Some(grpc::trailers(Code::Unavailable, "the answer broke off")),
            );
        }
        self.close_call(id.call, End::Failed);
        self.ended(id, outcome::of_break(how), true);
    }
}
