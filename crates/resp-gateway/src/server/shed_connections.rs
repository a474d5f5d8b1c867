//! Connections that wait to be accepted while no client connection can be closed for them. They are closed unread, so that their clients
//! connect again instead of waiting past their deadlines.

use super::lifecycle::MAX_SHUTDOWN_WAIT;
use super::GatewayServer;
use crate::clock;
use chalkdeck_time::{TimeDelta, Timestamp};

/// How long the listener has accepted nobody when waiting connections are closed. In this time an idle connection may make room.
const MIN_FULL_TIME: TimeDelta = TimeDelta::from_millis(50);
/// How long connections wait while others are accepted before them.
const MAX_BACKLOG_WAIT: TimeDelta = TimeDelta::from_secs(1);
/// The shortest time between two log lines.
const LOG_INTERVAL: TimeDelta = TimeDelta::from_secs(10);

/// The number of connections that were closed unread, and what of it was logged.
#[derive(Debug, Default)]
pub(super) struct ShedConnections {
    count: u64,
    logged_count: u64,
    logged_at: Timestamp,
}

impl GatewayServer {
    /// Closes connections that wait while the listener is at its limit. Called once per turn, after connections were evicted.
    pub(super) fn shed_waiting_connections(&mut self) {
        if self.has_connections_to_shed() {
            let shed = self.engine.shed_waiting_connections(self.listener);
            self.shed_connections.count += shed as u64;
        }
    }

    /// Whether the waiting connections should wait no longer. In a shutdown, in which clients may have no other gateway yet and places become
    /// free as connections are closed, they wait longer, but not until the kill.
    fn has_connections_to_shed(&self) -> bool {
        let now = clock::now(&self.engine);
        let Some(full_since) = self.engine.listener_full_since(self.listener) else {
            return false;
        };
        let waiting_since = self.engine.listener_waiting_since(self.listener);
        let has_passed = |since: u64, time: TimeDelta| now >= Timestamp::from_micros(since) + time;
        if self.shutdown_requested_at.is_some() {
            let has_waited = waiting_since.is_some_and(|at| has_passed(at, MAX_SHUTDOWN_WAIT));
            return self.is_kill_near() || has_waited;
        }
        let has_waited = waiting_since.is_some_and(|at| has_passed(at, MAX_BACKLOG_WAIT));
        has_waited || has_passed(full_since, MIN_FULL_TIME)
    }

    /// Logs how many connections were closed since the last time. Called at a fixed interval.
    pub(super) fn log_shed_connections(&mut self) {
        let now = clock::now(&self.engine);
        let shed = &mut self.shed_connections;
        if shed.count == shed.logged_count || now < shed.logged_at + LOG_INTERVAL {
            return;
        }
        tracing::warn!(
            closed = shed.count - shed.logged_count,
            "new connections closed unread: all places are taken by clients that wait for replies"
        );
        shed.logged_count = shed.count;
        shed.logged_at = now;
    }
}
