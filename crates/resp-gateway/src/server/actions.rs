//! Executes the actions of the decision engine, and reports the ends of attempts to it.

use super::{GatewayServer, TimerPurpose};
use crate::attempt::{AbortReason, AttemptEnd, AttemptId};
use crate::client_replies;
use crate::clock;
use crate::endpoint_connections::SendResult;
use chalkdeck::api::{Action, AttemptResult, EndpointId, Event, LoadReport, Outcome, RequestId};
use chalkdeck_net::ConnId;
use chalkdeck_resp::Frame;
use chalkdeck_time::{TimeDelta, Timestamp};

impl GatewayServer {
    /// Passes the queued events to the decision engine and executes its actions, until no event or action is left.
    pub(super) fn execute_actions(&mut self) {
        while let Some(action) = self.decisions.next_action(clock::now(&self.engine)) {
            self.execute_action(&action);
        }
    }

    fn execute_action(&mut self, action: &Action) {
        match *action {
            Action::SendAttempt {
                request,
                endpoint,
                deadline,
            } => self.send_attempt(request, endpoint, deadline),
            Action::Reject {
                request,
                retry_after,
            } => {
                self.reply(request, client_replies::busy(retry_after));
            }
            Action::Fail(request) => {
                self.reply(request, client_replies::error("failed"));
            }
            Action::CancelAttempt { request, attempt } => {
                let attempt = AttemptId {
                    request,
                    number: attempt,
                };
                self.abort_attempt(attempt, AbortReason::Cancelled);
            }
            Action::AddToCounter {
                key,
                amount,
                time_to_live,
            } => self.add_to_counter(key, amount, time_to_live),
            Action::SetTimer { timer, after } => {
                let token = self.set_timer(after, TimerPurpose::Decision(timer));
                self.decision_timers.insert(timer, token);
            }
            Action::CancelTimer(timer) => {
                if let Some(token) = self.decision_timers.remove(&timer) {
                    self.timers.cancel(&mut self.engine, token);
                }
            }
            Action::Probe(endpoint) => self.skip_probe(endpoint),
            // On this platform the gateway always forwards requests itself, and discovery is polled without being requested.
            Action::Grant(_) | Action::Subscribe | Action::FetchEndpoints => {}
        }
    }

    /// Reports a probe as never sent, since the platform has no command for probes.
    fn skip_probe(&mut self, endpoint: EndpointId) {
        self.decisions.push(Event::ProbeCompleted {
            endpoint,
            outcome: Outcome::NeverSent,
            load_report: LoadReport::default(),
        });
    }

    fn send_attempt(&mut self, id: RequestId, endpoint: EndpointId, deadline: Timestamp) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt_number = request.attempt_count;
        let conn = request.conn;
        if self.sessions.may_have_left(&mut self.engine, conn) {
            self.end_unattended_request(conn, id);
            return self.skip_attempt(id, endpoint, attempt_number);
        }
        let attempt = AttemptId {
            request: id,
            number: request.attempt_count,
        };
        request.attempt_count += 1;
        let result = self.endpoints.send(
            &mut self.engine,
            attempt,
            endpoint,
            deadline,
            &request.command,
        );
        match result {
            SendResult::Written => self.set_attempt_timer(attempt, deadline),
            SendResult::Dialing(conn) => {
                self.set_attempt_timer(attempt, deadline);
                self.set_dial_timer(conn);
            }
            SendResult::Ended(end) => self.on_attempt_ended(Some(end)),
        }
    }

    /// Reports an attempt as never sent, because its request has ended.
    fn skip_attempt(&mut self, request: RequestId, endpoint: EndpointId, number: usize) {
        let attempt = AttemptId { request, number };
        let end = AttemptEnd::without_reply(attempt, endpoint, Outcome::NeverSent, TimeDelta::ZERO);
        self.on_attempt_ended(Some(end));
    }

    fn set_attempt_timer(&mut self, attempt: AttemptId, deadline: Timestamp) {
        let remaining = deadline - clock::now(&self.engine);
        let token = self.set_timer(remaining, TimerPurpose::AttemptDeadline(attempt));
        self.attempt_timers.insert(attempt, token);
    }

    pub(super) fn set_dial_timer(&mut self, conn: ConnId) {
        self.set_timer(self.config.dial_timeout, TimerPurpose::DialTimeout(conn));
    }

    pub(super) fn abort_attempt(&mut self, attempt: AttemptId, reason: AbortReason) {
        let end = self.endpoints.abort(&mut self.engine, attempt, reason);
        self.on_attempt_ended(end);
    }

    /// Reports the end of an attempt, if there is one, to the decision engine. A value is sent to the client at once; the engine decides
    /// what follows any other outcome.
    pub(super) fn on_attempt_ended(&mut self, end: Option<AttemptEnd>) {
        let Some(end) = end else {
            return;
        };
        if let Some(token) = self.attempt_timers.remove(&end.attempt) {
            self.timers.cancel(&mut self.engine, token);
        }
        let request = end.attempt.request;
        let is_request_finished = end
            .value
            .is_some_and(|value| self.reply(request, Frame::BulkString(value)));
        self.decisions.push(Event::AttemptEnded(AttemptResult {
            request,
            attempt: end.attempt.number,
            endpoint: end.endpoint,
            outcome: end.outcome,
            elapsed: end.elapsed,
            is_request_finished,
            settled_units: None,
            load_report: end.load_report,
        }));
    }
}
