//! How a shell carries calls: between a client's stream, the attempts at servers and the decisions.

use crate::base::asked::Rejected;
use crate::calls::{Answer, Attempt, Call};
use crate::fault::Fault;
use crate::front;
use crate::metrics::{self, End};
use crate::outcome::{self, Ended};
use crate::pool::{AttemptId, Found};
use crate::shell::{Due, Shell};
use bytes::Bytes;
use chalkdeck::api::{AttemptResult, EndpointId, Event, LoadReport, Outcome, RequestId, TimeDelta};
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::{Broken, ConnId, StreamId};
use http::header::TE;
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{request, response, HeaderMap, HeaderName, HeaderValue};

impl Shell {
    // ---- calls ----

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

    pub(crate) fn send(&mut self, id: RequestId, server: EndpointId, until: u64) {
        let now = self.engine.now();
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let attempt = AttemptId {
            call: id,
            number: call.attempts.len(),
        };
        call.attempts.push(Attempt {
            server,
            stream: None,
            sent: now,
            out: true,
            skip: 0,
        });
        call.answer = Answer::None;
        let call_deadline = call.arrival.deadline.as_micros();
        tracing::debug!(call = id.0, attempt = attempt.number, endpoint = ?self.pool.address(server), "attempt forwarded");
        // At the deadline itself the decisions end the call, and with it what is out.
        if until < call_deadline {
            self.due_in(until.saturating_sub(now), Due::GiveUp(attempt));
        }
        self.site_sent(server);
        self.place(attempt, server);
    }

    /// Finds a connection for an attempt. Connections that take nothing new are dropped on the way.
    fn place(&mut self, attempt: AttemptId, server: EndpointId) {
        let server = self.freshest.unwrap_or(server);
        for _ in 0..=self.set.server_connections {
            match self.pool.find(&mut self.engine, server, attempt) {
                Found::Ready(conn) => {
                    if self.open_on(conn, attempt) {
                        return;
                    }
                    self.drop_link(conn);
                }
                Found::Waits { fresh: Some(conn) } => {
                    return self.due_in(self.set.connect_timeout, Due::Connect(conn));
                }
                Found::Waits { fresh: None } => return,
                Found::Full => return self.ended(attempt, Outcome::Rejected, false),
                Found::Unreachable => break,
            }
        }
        self.ended(attempt, Outcome::ConnectFailed, false);
    }

    fn open_on(&mut self, conn: ConnId, attempt: AttemptId) -> bool {
        let now = self.engine.now();
        let Some(call) = self.calls.get(attempt.call) else {
            return true;
        };
        let Some(authority) = self.pool.authority(call.attempts[attempt.number].server) else {
            return false;
        };
        let mut head = http::Request::new(());
        *head.method_mut() = http::Method::POST;
        *head.uri_mut() = uri(authority, call.path.clone());
        *head.headers_mut() = call.headers.clone();
        head.headers_mut()
            .insert(TE, HeaderValue::from_static("trailers"));
        let stream = self.set.policy.classes[call.arrival.class.0].is_streaming;
        if let Some(left) = timeout_left(call, stream, now) {
            head.headers_mut()
                .insert(grpc::TIMEOUT, grpc::timeout(left));
        }
        let before = call.tries_before.saturating_add(attempt.number as u32);
        if before > 0 {
            head.headers_mut().insert(
                HeaderName::from_static(grpc::ATTEMPTS),
                HeaderValue::from(before),
            );
        }
        let Some(stream) = self.engine.open(conn, head, false) else {
            return false;
        };
        let replay = call.kept.replay();
        let ended = call.kept.ended;
        call.attempts[attempt.number].stream = Some(stream);
        call.attempts[attempt.number].skip = replay.skip;
        self.calls.bind(stream, attempt);
        replay
            .chunks
            .into_iter()
            .for_each(|chunk| self.engine.send(stream, chunk));
        if ended {
            self.engine.finish(stream, None);
        }
        if self.fault == Some(Fault::Repeat) {
            self.send_twin(conn, attempt);
        }
        if replay.gone {
            self.decisions.push(Event::BodyDiscarded(attempt.call));
        }
        true
    }

    /// The fault that breaks the second rule.
    fn send_twin(&mut self, conn: ConnId, attempt: AttemptId) {
        let Some(call) = self.calls.get(attempt.call) else {
            return;
        };
        let Some(mut head) = grpc::request("twin", call.path.as_str()) else {
            return;
        };
        head.headers_mut().extend(call.headers.clone());
        if let Some(stream) = self.engine.open(conn, head, false) {
            self.engine.finish(stream, None);
        }
    }

    /// The fault that breaks the fifth rule. The decisions have let the call go; whatever comes back is passed on.
    fn send_refused(&mut self, id: RequestId) -> bool {
        let server = self.pool.any();
        let attempts = self.calls.get(id).map_or(1, |c| c.attempts.len());
        let Some(server) = server.filter(|_| attempts == 0) else {
            return false;
        };
        self.send(id, server, u64::MAX);
        true
    }

    /// An attempt ended; `answered`: with it the call has its final answer.
    pub(crate) fn ended(&mut self, id: AttemptId, outcome: Outcome, answered: bool) {
        let now = self.engine.now();
        let Some(attempt) = self.calls.attempt(id) else {
            return;
        };
        attempt.out = false;
        let (server, took, stream) = (
            attempt.server,
            now.saturating_sub(attempt.sent),
            attempt.stream,
        );
        stream.into_iter().for_each(|s| self.calls.unbind(s));
        tracing::debug!(
            call = id.call.0,
            attempt = id.number,
            ?outcome,
            took,
            "attempt ended"
        );
        self.metrics.attempt(outcome);
        let call = self.calls.get(id.call);
        let done = call.as_ref().is_some_and(|c| c.is_done());
        let asked = call.map(|c| (c.arrival.class.0, c.arrival.units));
        asked
            .into_iter()
            .for_each(|(class, units)| self.site_ended(server, outcome, took, class, units));
        self.decisions.push(Event::AttemptEnded(AttemptResult {
            request: id.call,
            attempt: id.number,
            endpoint: server,
            outcome,
            elapsed: TimeDelta::from_micros(took),
            request_finished: answered || done,
            settled_units: None,
            load_report: LoadReport::default(),
        }));
        self.calls.forget_if_over(id.call);
    }

    pub(crate) fn call_off(&mut self, id: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.calls.attempt(id) else {
            return;
        };
        let sent = attempt.stream;
        sent.into_iter()
            .for_each(|s| self.engine.reset(s, h2::Reason::CANCEL));
        // Without a stream it was still waiting for a connection.
        let outcome = if sent.is_some() {
            outcome
        } else {
            Outcome::ConnectFailed
        };
        self.ended(id, outcome, false);
    }

    pub(crate) fn give_up(&mut self, id: AttemptId) {
        let started = self
            .calls
            .get(id.call)
            .is_some_and(|c| matches!(c.answer, Answer::Started));
        if !started && self.calls.attempt(id).is_some() {
            self.drop_held(id.call);
            self.call_off(id, Outcome::Timeout);
        }
    }

    fn drop_held(&mut self, id: RequestId) {
        if let Some(call) = self
            .calls
            .get(id)
            .filter(|c| matches!(c.answer, Answer::Held { .. }))
        {
            call.answer = Answer::None;
        }
    }

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
        grpc::advise(&mut trailers, Code::ResourceExhausted, &message, back_in);
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

    fn answer(&mut self, id: RequestId, response: http::Response<()>, end: End) {
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
    fn close_call(&mut self, id: RequestId, end: End) {
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

    // ---- the servers' side ----

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

    fn drop_link(&mut self, conn: ConnId) {
        for attempt in self.pool.forget(conn).unwrap_or_default() {
            self.ended(attempt, Outcome::ConnectFailed, false);
        }
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

    /// Hands what was kept back to the client; from now on bytes follow as they come.
    fn begin_stream(&mut self, id: RequestId) {
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

    /// An attempt's answer is whole. `only`: these trailers are all of it, else its head came before.
    fn on_answer(&mut self, id: AttemptId, trailers: HeaderMap, only: bool) {
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
    fn turned_away(&mut self, id: AttemptId, outcome: Outcome, said: String) {
        if let Some(call) = self.calls.get(id.call) {
            call.server_said = Some(said).filter(|s| !s.is_empty());
        }
        self.drop_held(id.call);
        self.ended(id, outcome, false);
    }

    pub(crate) fn on_broken(&mut self, stream: StreamId, how: Broken) {
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

    fn client_gone(&mut self, id: RequestId) {
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

fn uri(authority: Authority, path: PathAndQuery) -> http::Uri {
    let mut parts = http::uri::Parts::default();
    (parts.scheme, parts.authority, parts.path_and_query) =
        (Some(Scheme::HTTP), Some(authority), Some(path));
    // All three parts are there, so it cannot fail.
    http::Uri::from_parts(parts).unwrap_or_default()
}

/// What is left for a server: up to the call's deadline; for a stream, which may outlive it, up to the client's own.
fn timeout_left(call: &Call, stream: bool, now: u64) -> Option<u64> {
    let until = if stream {
        call.client_deadline?
    } else {
        call.arrival.deadline.as_micros()
    };
    Some(until.saturating_sub(now).max(1))
}

/// A server that ended without a status gave none that a client could read.
fn with_status(mut trailers: HeaderMap) -> HeaderMap {
    if Code::read(&trailers).is_none() {
        trailers.insert(grpc::STATUS, HeaderValue::from(Code::Unknown as i32));
    }
    trailers
}
