//! The timers of the event loop: their purposes and handlers.

use super::GatewayServer;
use crate::endpoint_connections::AttemptId;
use chalkdeck::api::{Event, Outcome, RequestId, TimerId, Timestamp};
use chalkdeck_net::timer_queue::TimerToken;
use chalkdeck_net::ConnId;

/// How long a connection to an endpoint may take to be established after its connect time-out.
const MAX_LATE_MICROS: u64 = 10_000_000;

/// The purpose of a timer.
#[derive(Clone, Copy)]
pub(crate) enum TimerPurpose {
    /// A timer that the decision engine has set.
    Decision(TimerId),
    AttemptTimeout(AttemptId),
    /// The lease of a RESP client on an admitted request expires.
    RespLease(RequestId),
    /// Checks whether a RESP client goes on reading or writing.
    RespProgressCheck(ConnId),
    /// Resumes a paused RESP connection in the next turn, so that a long pipeline does not delay other clients.
    RespResume(ConnId),
    /// The deadline of a call whose response has started passes.
    ClientDeadline(RequestId),
    CounterTimeout,
    ConnectTimeout(ConnId),
    EndpointPoll,
    SitePlanRefresh,
    CoordinatorTick,
}

impl GatewayServer {
    /// The time of the loop's clock, in the type that the decision engine uses.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.engine.now())
    }

    /// Sets a timer that fires after `after` microseconds.
    pub(crate) fn set_timer(&mut self, after: u64, purpose: TimerPurpose) -> TimerToken {
        self.timers.set(&mut self.engine, after, purpose)
    }

    /// Cancels a timer of the decision engine.
    pub(super) fn cancel_decision_timer(&mut self, timer: TimerId) {
        if let Some(token) = self.decision_timers.remove(&timer) {
            self.timers.cancel(&mut self.engine, token);
        }
    }

    /// Handles a timer that has fired.
    pub(super) fn on_timer(&mut self, token: u64) {
        let Some(purpose) = self.timers.take(token) else {
            return;
        };
        match purpose {
            TimerPurpose::Decision(timer) => {
                self.decision_timers.remove(&timer);
                self.decisions.push(Event::Timer(timer));
            }
            TimerPurpose::RespLease(id) => self.expire_ticket(id),
            TimerPurpose::RespProgressCheck(conn) => self.check_resp_progress(conn),
            TimerPurpose::RespResume(conn) => self.resume_resp_connection(conn),
            TimerPurpose::AttemptTimeout(attempt) => self.time_out_attempt(attempt),
            TimerPurpose::ClientDeadline(id) => self.on_client_deadline(id),
            TimerPurpose::CounterTimeout => self.on_counter_timeout(),
            TimerPurpose::ConnectTimeout(conn) => self.on_connect_timeout(conn),
            TimerPurpose::EndpointPoll => self.poll_endpoint_list(),
            TimerPurpose::SitePlanRefresh => self.refresh_site_plan(),
            TimerPurpose::CoordinatorTick => self.tick_coordinator(),
        }
    }

    /// Ends the attempts that wait for a connection which is not established in time. The connection may be established later, but not
    /// after a second such timer.
    fn on_connect_timeout(&mut self, conn: ConnId) {
        if !self.endpoint_connections.is_connecting(conn) {
            return;
        }
        let Some(waiting) = self.endpoint_connections.keep_late(conn) else {
            self.engine.close(conn);
            return self.on_closed(conn, "not made in time");
        };
        self.set_timer(MAX_LATE_MICROS, TimerPurpose::ConnectTimeout(conn));
        for attempt in waiting {
            self.end_attempt(attempt, Outcome::ConnectFailed, false);
        }
        self.execute_actions();
    }
}
