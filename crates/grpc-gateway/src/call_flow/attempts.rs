//! Attempts at endpoints: how they are sent, and how they end.

use crate::calls::{Answer, Attempt, Call};
use crate::fault::Fault;
use crate::pool::{AttemptId, Found};
use crate::shell::{Due, Shell};
use chalkdeck::api::{AttemptResult, EndpointId, Event, LoadReport, Outcome, RequestId, TimeDelta};
use chalkdeck_net::{grpc, ConnId};
use http::header::TE;
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{HeaderName, HeaderValue};

impl Shell {
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

    pub(super) fn open_on(&mut self, conn: ConnId, attempt: AttemptId) -> bool {
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
            id: id.call,
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

    pub(super) fn drop_link(&mut self, conn: ConnId) {
        for attempt in self.pool.forget(conn).unwrap_or_default() {
            self.ended(attempt, Outcome::ConnectFailed, false);
        }
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
    pub(super) fn send_refused(&mut self, id: RequestId) -> bool {
        let server = self.pool.any();
        let attempts = self.calls.get(id).map_or(1, |c| c.attempts.len());
        let Some(server) = server.filter(|_| attempts == 0) else {
            return false;
        };
        self.send(id, server, u64::MAX);
        true
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
