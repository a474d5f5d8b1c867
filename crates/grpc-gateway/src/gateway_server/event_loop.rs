//! The event loop: waits for socket events, dispatches them to their handlers, and executes the actions of the decision engine.

use super::{GatewayServer, TimerPurpose};
use crate::endpoint_connections::AttemptId;
use chalkdeck::api::{Action, Outcome};
use chalkdeck_net::signals::Signals;
use chalkdeck_net::Event as NetEvent;
use std::io;

/// The longest wait for events; signals are checked at least this often.
pub(super) const MAX_WAIT_MICROS: u64 = 100_000;

impl GatewayServer {
    /// Serves calls until a signal requests a shutdown and the shutdown is complete. A shutdown takes at most the longest deadline
    /// of a class.
    ///
    /// # Errors
    /// The system call that waits for events failed.
    pub fn run(&mut self, signals: &Signals) -> io::Result<()> {
        loop {
            self.turn(MAX_WAIT_MICROS)?;
            if signals.take_reload_request() {
                self.reload();
            }
            if signals.is_stop_requested() {
                self.shut_down();
            }
            if self.is_shut_down() {
                return self.finish_shutdown();
            }
        }
    }

    /// Waits for events, at most `max_wait` microseconds, and handles them.
    ///
    /// # Errors
    /// The system call that waits for events failed.
    pub fn turn(&mut self, max_wait: u64) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.engine
            .turn(self.next_turn_wait(max_wait), &mut events)?;
        for event in events.drain(..) {
            self.on_event(event);
            self.execute_actions();
        }
        self.events = events;
        self.admit_queued_requests();
        self.execute_actions();
        self.close_idle_resp_connections();
        if let Some(counter) = &mut self.counter {
            counter.flush(&mut self.engine);
        }
        Ok(())
    }

    fn on_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Accepted { listener, conn } => self.on_resp_accepted(listener, conn),
            NetEvent::Bytes { conn, data, .. } => self.on_resp_bytes(conn, &data),
            NetEvent::StreamOpened {
                stream,
                conn,
                head,
                is_end_stream: is_ended,
            } => self.on_call(stream, conn, &head, is_ended),
            NetEvent::Connected { conn } => self.on_connected(conn),
            NetEvent::Closed { conn, reason, .. } => {
                self.on_resp_closed(conn);
                self.on_closed(conn, &reason.to_string());
            }
            NetEvent::ResponseHead {
                stream,
                head,
                is_end_stream: is_ended,
            } => self.on_head(stream, head, is_ended),
            NetEvent::Data { stream, data } => self.on_data(stream, data),
            NetEvent::StreamEnded { stream, trailers } => self.on_stream_ended(stream, trailers),
            NetEvent::Sent { stream, bytes } => self.on_bytes_sent(stream, bytes),
            NetEvent::StreamFailed { stream, error } => self.on_stream_failed(stream, error),
            NetEvent::Timer(token) => self.on_timer(token),
            NetEvent::Get { conn, path } => self.on_get(conn, &path),
        }
    }

    /// Passes pending events to the decision engine and executes its actions until there are no more.
    pub(super) fn execute_actions(&mut self) {
        while let Some(action) = self.decisions.next_action(self.now()) {
            self.execute_action(&action);
        }
    }

    fn execute_action(&mut self, action: &Action) {
        match *action {
            Action::SendAttempt {
                request,
                endpoint,
                deadline,
            } => self.send_attempt(request, endpoint, deadline.as_micros()),
            Action::Reject {
                request,
                retry_after,
            } => self.reject_call(request, retry_after.map(|after| after.as_micros())),
            Action::Grant(request) => self.grant_resp_request(request),
            Action::Fail(request) => self.fail_call(request),
            Action::CancelAttempt {
                request: call,
                attempt: number,
            } => self.cancel_attempt(AttemptId { call, number }, Outcome::Cancelled),
            Action::AddToCounter {
                key,
                amount,
                time_to_live,
            } => self.add_to_counter(key, amount, time_to_live.as_micros()),
            Action::SetTimer { timer, after } => {
                let token = self.set_timer(after.as_micros(), TimerPurpose::Decision(timer));
                self.decision_timers.insert(timer, token);
            }
            Action::CancelTimer(timer) => self.cancel_decision_timer(timer),
            Action::FetchEndpoints => self.poll_endpoint_list(),
            // The settings enable neither probes nor subscriptions; the endpoint list's file is polled instead.
            Action::Probe(_) | Action::Subscribe => {}
        }
    }
}
