//! Sends attempts to endpoints and ends them.

use crate::calls::{Attempt, Call, ResponseState};
use crate::endpoint_connections::{AttemptId, FoundConnection};
use crate::fault::Fault;
use crate::gateway_server::{GatewayServer, TimerPurpose};
use crate::sites::AttemptReport;
use chalkdeck::api::{AttemptResult, EndpointId, Event, LoadReport, Outcome, RequestId, TimeDelta};
use chalkdeck_net::{grpc, ConnId};
use http::header::TE;
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{HeaderName, HeaderValue};

/// The deadline of an attempt that has no time-out of its own.
const NO_ATTEMPT_DEADLINE: u64 = u64::MAX;

impl GatewayServer {
    /// Starts an attempt that times out at `deadline`.
    pub(crate) fn send_attempt(&mut self, id: RequestId, endpoint: EndpointId, deadline: u64) {
        let now = self.engine.now();
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let attempt = AttemptId {
            call: id,
            number: call.attempts.len(),
        };
        call.attempts.push(Attempt {
            endpoint,
            stream: None,
            started_at: now,
            is_open: true,
            timeout_timer: None,
            returned_bytes: 0,
        });
        call.response = ResponseState::Pending;
        let call_deadline = call.request.deadline.as_micros();
        tracing::debug!(call = id.0, attempt = attempt.number, endpoint = ?self.endpoint_connections.address(endpoint), "attempt forwarded");
        // At the call's deadline the decision engine ends the call and its attempt.
        if deadline < call_deadline {
            let token = self.set_timer(
                deadline.saturating_sub(now),
                TimerPurpose::AttemptTimeout(attempt),
            );
            if let Some(attempt) = self.calls.open_attempt(attempt) {
                attempt.timeout_timer = Some(token);
            }
        }
        self.report_attempt_sent(endpoint);
        self.connect_attempt(attempt, endpoint);
    }

    /// Finds a connection for an attempt. Drops established connections that accept no new stream.
    fn connect_attempt(&mut self, attempt: AttemptId, endpoint: EndpointId) {
        let endpoint = self.newest_endpoint.unwrap_or(endpoint);
        for _ in 0..=self.settings.max_connections_per_endpoint {
            match self
                .endpoint_connections
                .find(&mut self.engine, endpoint, attempt)
            {
                FoundConnection::Established(conn) => {
                    if self.open_attempt_stream(conn, attempt) {
                        return;
                    }
                    self.drop_endpoint_connection(conn);
                }
                FoundConnection::Started(conn) => {
                    let timeout = self.settings.connect_timeout;
                    self.set_timer(timeout, TimerPurpose::ConnectTimeout(conn));
                    return;
                }
                FoundConnection::Connecting => return,
                FoundConnection::Full => {
                    return self.end_attempt(attempt, Outcome::Rejected, false)
                }
                FoundConnection::Unreachable => break,
            }
        }
        self.end_attempt(attempt, Outcome::ConnectFailed, false);
    }

    /// Opens a stream for an attempt and sends what was received of the request. Returns false if the connection accepts no stream.
    pub(super) fn open_attempt_stream(&mut self, conn: ConnId, attempt: AttemptId) -> bool {
        let now = self.engine.now();
        let Some(call) = self.calls.get(attempt.call) else {
            return true;
        };
        let Some(authority) = self
            .endpoint_connections
            .authority(call.attempts[attempt.number].endpoint)
        else {
            return false;
        };
        let is_streaming_class = self.settings.policy.classes[call.request.class.0].is_streaming;
        let head = attempt_head(
            call,
            authority,
            attempt,
            timeout(call, is_streaming_class, now),
        );
        let Some(stream) = self.engine.open_stream(conn, head, false) else {
            return false;
        };
        let replay = call.request_buffer.replay();
        let is_request_complete = call.request_buffer.is_complete;
        call.attempts[attempt.number].stream = Some(stream);
        call.attempts[attempt.number].returned_bytes = replay.returned_bytes;
        self.calls.bind_attempt_stream(stream, attempt);
        for chunk in replay.chunks {
            self.engine.send(stream, chunk);
        }
        if is_request_complete {
            self.engine.finish(stream, None);
        }
        if self.fault == Some(Fault::Repeat) {
            self.send_duplicate(conn, attempt);
        }
        if replay.is_discarded {
            self.decisions.push(Event::BodyDiscarded(attempt.call));
        }
        true
    }

    /// Injected fault: sends the attempt twice, in violation of the second safety rule.
    fn send_duplicate(&mut self, conn: ConnId, attempt: AttemptId) {
        let Some(call) = self.calls.get(attempt.call) else {
            return;
        };
        let Some(mut head) = grpc::request_head("twin", call.path.as_str()) else {
            return;
        };
        head.headers_mut().extend(call.headers.clone());
        if let Some(stream) = self.engine.open_stream(conn, head, false) {
            self.engine.finish(stream, None);
        }
    }

    /// Injected fault: forwards a rejected call, in violation of the fifth safety rule. The decision engine no longer knows the
    /// call; any answer of the endpoint is forwarded to the client. Returns false if the call cannot be forwarded.
    pub(super) fn send_rejected(&mut self, id: RequestId) -> bool {
        let Some(endpoint) = self.endpoint_connections.first_endpoint() else {
            return false;
        };
        let is_unsent = self
            .calls
            .get(id)
            .is_some_and(|call| call.attempts.is_empty());
        if is_unsent {
            self.send_attempt(id, endpoint, NO_ATTEMPT_DEADLINE);
        }
        is_unsent
    }

    /// Ends an attempt. `is_final`: it completed the call.
    pub(crate) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome, is_final: bool) {
        let now = self.engine.now();
        let Some(attempt) = self.calls.open_attempt(id) else {
            return;
        };
        attempt.is_open = false;
        let endpoint = attempt.endpoint;
        let latency = now.saturating_sub(attempt.started_at);
        let timeout_timer = attempt.timeout_timer.take();
        if let Some(stream) = attempt.stream {
            self.calls.release_attempt_stream(stream);
        }
        if let Some(timer) = timeout_timer {
            self.timers.cancel(&mut self.engine, timer);
        }
        tracing::debug!(
            call = id.call.0,
            attempt = id.number,
            ?outcome,
            took = latency,
            "attempt ended"
        );
        self.metrics.attempt_ended(outcome);
        let mut is_call_complete = false;
        if let Some(call) = self.calls.get(id.call) {
            is_call_complete = call.is_complete();
            let (class, units) = (call.request.class.0, call.request.units);
            self.report_attempt_ended(&AttemptReport {
                endpoint,
                outcome,
                latency: TimeDelta::from_micros(latency),
                class,
                units,
            });
        }
        self.decisions.push(Event::AttemptEnded(AttemptResult {
            request: id.call,
            attempt: id.number,
            endpoint,
            outcome,
            elapsed: TimeDelta::from_micros(latency),
            is_request_finished: is_final || is_call_complete,
            settled_units: None,
            load_report: LoadReport::default(),
        }));
        self.calls.remove_if_finished(id.call);
    }

    /// Resets an attempt's stream and ends it with this outcome.
    pub(crate) fn cancel_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.calls.open_attempt(id) else {
            return;
        };
        let Some(stream) = attempt.stream else {
            // It is still waiting for a connection.
            return self.end_attempt(id, Outcome::ConnectFailed, false);
        };
        self.engine.reset(stream, h2::Reason::CANCEL);
        self.end_attempt(id, outcome, false);
    }

    /// Handles the time-out of an attempt. A response that has started continues.
    pub(crate) fn time_out_attempt(&mut self, id: AttemptId) {
        let is_streaming = self
            .calls
            .get(id.call)
            .is_some_and(|call| call.is_streaming());
        if !is_streaming && self.calls.open_attempt(id).is_some() {
            self.discard_buffered_response(id.call);
            self.cancel_attempt(id, Outcome::Timeout);
        }
    }

    pub(super) fn drop_endpoint_connection(&mut self, conn: ConnId) {
        for attempt in self.endpoint_connections.remove(conn).unwrap_or_default() {
            self.end_attempt(attempt, Outcome::ConnectFailed, false);
        }
    }
}

/// The head of an attempt's request.
fn attempt_head(
    call: &Call,
    authority: Authority,
    attempt: AttemptId,
    timeout: Option<u64>,
) -> http::Request<()> {
    let mut head = http::Request::new(());
    *head.method_mut() = http::Method::POST;
    *head.uri_mut() = uri(authority, call.path.clone());
    *head.headers_mut() = call.headers.clone();
    let headers = head.headers_mut();
    headers.insert(TE, HeaderValue::from_static("trailers"));
    if let Some(timeout) = timeout {
        headers.insert(grpc::TIMEOUT, grpc::encode_timeout(timeout));
    }
    let previous_attempts = call
        .previous_client_attempts
        .saturating_add(attempt.number as u32);
    if previous_attempts > 0 {
        headers.insert(
            HeaderName::from_static(grpc::PREVIOUS_ATTEMPTS),
            HeaderValue::from(previous_attempts),
        );
    }
    head
}

fn uri(authority: Authority, path: PathAndQuery) -> http::Uri {
    let mut parts = http::uri::Parts::default();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = Some(authority);
    parts.path_and_query = Some(path);
    // It cannot fail: all three parts are set.
    http::Uri::from_parts(parts).unwrap_or_default()
}

/// The remaining time for an endpoint, in microseconds: until the call's deadline, or, for a streaming class, whose responses may
/// outlast it, until the deadline that the client set.
fn timeout(call: &Call, is_streaming_class: bool, now: u64) -> Option<u64> {
    let deadline = if is_streaming_class {
        call.client_deadline?
    } else {
        call.request.deadline.as_micros()
    };
    Some(deadline.saturating_sub(now).max(1))
}
