//! The event loop: waits for socket and timer events and dispatches each to the component that owns it. The actions by which the decision
//! engine responds to one event are executed before the next event is handled.

use super::{GatewayServer, TimerPurpose};
use crate::attempt::AbortReason;
use crate::clock;
use crate::sessions::MEMORY_CHECK_INTERVAL;
use chalkdeck::api::Event;
use chalkdeck_net::timer_queue::TimerToken;
use chalkdeck_net::{CloseReason, ConnId, Event as NetEvent};
use chalkdeck_time::{TimeDelta, Timestamp};
use std::io;

/// How often connections are checked for time-outs.
const SWEEP_INTERVAL: TimeDelta = TimeDelta::from_millis(250);
/// The number of commands that are handled for the events of one poll, and again for the connections that are queued, before the sockets are
/// polled again.
const MAX_COMMANDS_PER_TURN: usize = 128;
/// The number of commands of one connection that are handled at once. The others follow in its next turn.
const MAX_COMMANDS_AT_ONCE: usize = 16;

impl GatewayServer {
    /// Waits for events for at most `max_wait` microseconds, and handles them.
    ///
    /// # Errors
    /// The system fails to poll the sockets.
    pub fn turn(&mut self, max_wait: u64) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.net_events);
        let max_wait = if self.sessions.has_connections_to_resume() {
            0
        } else if self.sessions.has_connections_waiting_for_memory() {
            max_wait.min(MEMORY_CHECK_INTERVAL.as_micros())
        } else {
            max_wait
        };
        self.engine.turn(max_wait, &mut events)?;
        self.commands_left_in_turn = MAX_COMMANDS_PER_TURN;
        for event in events.drain(..) {
            self.on_event(event);
            self.execute_actions();
        }
        self.net_events = events;
        self.resume_connections();
        self.sessions.flush_blocked_writes(&mut self.engine);
        self.sessions.close_idle(&mut self.engine);
        self.sessions.evict_over_memory(&mut self.engine);
        self.sessions.evict_excess(&mut self.engine);
        self.shed_waiting_connections();
        Ok(())
    }

    /// Handles further commands of the connections that are queued, each in its turn and with an even part of what is handled before the
    /// sockets are polled again, so that neither a long pipeline nor many of them delay other clients.
    fn resume_connections(&mut self) {
        self.sessions
            .queue_connections_waiting_for_memory(&self.engine);
        self.commands_left_in_turn = MAX_COMMANDS_PER_TURN;
        let queued = self.sessions.connections_to_resume();
        let even_part = MAX_COMMANDS_PER_TURN / queued.max(1);
        let max_commands = even_part.clamp(1, MAX_COMMANDS_AT_ONCE);
        for _ in 0..queued {
            if self.commands_left_in_turn == 0 {
                return;
            }
            if let Some(conn) = self.sessions.next_connection_to_resume() {
                self.handle_commands(conn, max_commands);
                self.execute_actions();
            }
        }
    }

    fn on_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Accepted { conn, .. } => self.sessions.on_accepted(&self.engine, conn),
            NetEvent::Connected { conn } => self.on_connected(conn),
            NetEvent::Bytes {
                conn,
                data,
                arrived_since,
            } => self.on_bytes(conn, &data, Timestamp::from_micros(arrived_since)),
            NetEvent::Closed {
                conn,
                unsent_bytes: unsent,
                reason,
                ..
            } => self.on_closed(conn, unsent, &reason),
            NetEvent::Timer(token) => self.on_timer(token),
            // The other events concern HTTP/2 streams and the admin port, which this gateway does not have.
            _ => {}
        }
    }

    fn on_connected(&mut self, conn: ConnId) {
        if self.endpoints.owns(conn) {
            self.endpoints.on_connected(&mut self.engine, conn);
        } else if self.discovery.owns(conn) {
            let action = self.discovery.on_connected(&mut self.engine, conn);
            if let Some(action) = action {
                self.execute_discovery_action(action);
            }
        } else if let Some(counter) = &mut self.counter {
            counter.on_connected(&mut self.engine, conn);
        }
    }

    fn on_bytes(&mut self, conn: ConnId, data: &[u8], arrived_since: Timestamp) {
        self.engine.mark_handled(conn);
        if self.sessions.owns(conn) {
            self.sessions
                .on_bytes(&mut self.engine, conn, data, arrived_since);
            self.handle_commands(conn, MAX_COMMANDS_AT_ONCE);
        } else if self.endpoints.owns(conn) {
            let end = self.endpoints.on_bytes(&mut self.engine, conn, data);
            self.on_attempt_ended(end);
        } else if self.counter_owns(conn) {
            self.on_counter_bytes(conn, data);
        } else {
            let zones = &mut self.config.named_settings.zone_numbers;
            let actions = self.discovery.on_bytes(&mut self.engine, conn, data, zones);
            for action in actions {
                self.execute_discovery_action(action);
            }
        }
    }

    fn on_closed(&mut self, conn: ConnId, unsent: usize, reason: &CloseReason) {
        if self.sessions.owns(conn) {
            self.on_client_closed(conn);
        } else if self.endpoints.owns(conn) {
            let now = clock::now(&self.engine);
            let end = self.endpoints.on_closed(now, conn, unsent);
            self.on_attempt_ended(end);
        } else if self.counter_owns(conn) {
            self.on_counter_closed(conn, unsent);
        } else {
            let zones = &mut self.config.named_settings.zone_numbers;
            let actions = self
                .discovery
                .on_closed(&mut self.engine, conn, reason, zones);
            for action in actions {
                self.execute_discovery_action(action);
            }
        }
    }

    pub(super) fn set_timer(&mut self, after: TimeDelta, purpose: TimerPurpose) -> TimerToken {
        self.timers
            .set(&mut self.engine, after.as_micros(), purpose)
    }

    pub(super) fn set_sweep_timer(&mut self) {
        self.set_timer(SWEEP_INTERVAL, TimerPurpose::Sweep);
    }

    fn on_timer(&mut self, token: u64) {
        let Some(purpose) = self.timers.take(token) else {
            return;
        };
        match purpose {
            TimerPurpose::Decision(timer) => {
                self.decision_timers.remove(&timer);
                self.decisions.push(Event::Timer(timer));
            }
            TimerPurpose::AttemptDeadline(attempt) => {
                self.abort_attempt(attempt, AbortReason::DeadlineExceeded);
            }
            TimerPurpose::DialTimeout(conn) => {
                let end = self.endpoints.on_dial_timeout(&mut self.engine, conn);
                self.on_attempt_ended(end);
                self.on_counter_dial_timeout(conn);
            }
            TimerPurpose::CounterTimeout => self.on_counter_timeout(),
            TimerPurpose::DiscoveryTimeout(call) => {
                let action = self.discovery.on_call_timeout(&mut self.engine, call);
                if let Some(action) = action {
                    self.execute_discovery_action(action);
                }
            }
            TimerPurpose::Shutdown => self.continue_shutdown(),
            TimerPurpose::Sweep => {
                self.set_sweep_timer();
                self.endpoints.sweep(&mut self.engine);
                self.sessions.sweep(&mut self.engine);
                let now = clock::now(&self.engine);
                self.sessions.log_overdue_commands(now);
                self.log_shed_connections();
                self.discovery.log_changes(now);
            }
        }
    }
}
