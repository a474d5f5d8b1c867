//! The life cycle of a started gateway: serving, reloading the configuration and graceful shutdown.

use super::{GatewayServer, TimerPurpose};
use crate::clock;
use crate::config::{Config, ConfigError};
use chalkdeck::api::Settings;
use chalkdeck_net::signals::Signals;
use chalkdeck_time::{TimeDelta, Timestamp};
use std::io;
use std::net::SocketAddr;

/// The longest wait of the event loop, and so the longest delay until a signal is noticed.
const MAX_EVENT_WAIT: TimeDelta = TimeDelta::from_millis(100);
/// The time after SIGTERM during which new connections are expected. After it, the listener is closed once its backlog is empty, and idle
/// connections are closed one after another.
const SHUTDOWN_ACCEPT_TIME: TimeDelta = TimeDelta::from_millis(420);
/// The interval at which a gateway that shuts down checks whether its listener and idle connections can be closed.
const SHUTDOWN_INTERVAL: TimeDelta = TimeDelta::from_millis(5);
/// The platform kills a gateway when the longest deadline plus this time have passed since SIGTERM.
const KILL_DELAY: TimeDelta = TimeDelta::from_millis(700);
/// The longest deadline that the platform takes into account for the kill.
const MAX_KILL_DEADLINE: TimeDelta = TimeDelta::from_secs(3);
/// How long connections wait to be accepted in a shutdown, and how long before the last replies nothing may wait any more.
pub(super) const MAX_SHUTDOWN_WAIT: TimeDelta = TimeDelta::from_millis(500);
/// Requests that are received during a shutdown are answered at least this long before the kill.
const KILL_MARGIN: TimeDelta = TimeDelta::from_millis(60);

/// The longest deadline of all classes.
pub(super) fn longest_deadline(settings: &Settings) -> TimeDelta {
    let classes = settings.classes.iter();
    let longest = classes.map(|class| class.deadline).max();
    longest.unwrap_or_default()
}

impl GatewayServer {
    /// Serves until a signal requests a shutdown and the shutdown is complete.
    ///
    /// # Errors
    /// The system fails to poll the sockets.
    pub fn run(&mut self, signals: &Signals) -> io::Result<()> {
        loop {
            self.turn(MAX_EVENT_WAIT.as_micros())?;
            if signals.take_reload_request() {
                self.reload();
            }
            if signals.is_stop_requested() {
                self.shut_down();
            }
            if self.is_shut_down() {
                self.log_discovery_metrics();
                tracing::info!("stopped");
                return Ok(());
            }
        }
    }

    /// Begins a graceful shutdown: serves what still arrives, then closes the connections.
    pub fn shut_down(&mut self) {
        if self.shutdown_requested_at.is_none() {
            tracing::info!(
                open_requests = self.requests.len(),
                "graceful shutdown: serving what still arrives, then closing connections"
            );
            self.shutdown_requested_at = Some(clock::now(&self.engine));
            self.set_timer(SHUTDOWN_ACCEPT_TIME, TimerPurpose::Shutdown);
        }
    }

    /// Whether a shutdown is complete: all client connections are closed, or so much time has passed that every request received before
    /// the shutdown has been answered.
    pub fn is_shut_down(&self) -> bool {
        let Some(since) = self.shutdown_requested_at else {
            return false;
        };
        let has_no_clients = self.sessions.is_shutting_down()
            && !self.is_listening
            && self.engine.listener_connection_count(self.listener) == 0;
        has_no_clients || clock::now(&self.engine) >= since + KILL_DELAY + self.longest_deadline()
    }

    fn longest_deadline(&self) -> TimeDelta {
        longest_deadline(self.config.settings())
    }

    /// The latest deadline of a request that is received now: unlimited while serving, shortly before the kill during a shutdown.
    pub(super) fn latest_deadline(&self) -> Timestamp {
        let Some(since) = self.shutdown_requested_at else {
            return Timestamp::MAX;
        };
        let deadline = self.longest_deadline().min(MAX_KILL_DEADLINE);
        since + (KILL_DELAY - KILL_MARGIN) + deadline
    }

    /// Whether what waits now, unread or unaccepted, might not have its reply before the kill.
    pub(super) fn is_kill_near(&self) -> bool {
        clock::now(&self.engine) + MAX_SHUTDOWN_WAIT >= self.latest_deadline()
    }

    /// Continues a shutdown once no more connections are expected: closes the listener when its backlog is empty, and lets the sessions
    /// close idle connections.
    pub(super) fn continue_shutdown(&mut self) {
        self.is_listening &= !self.engine.close_listener_if_backlog_empty(self.listener);
        self.sessions.shut_down(clock::now(&self.engine));
        self.set_timer(SHUTDOWN_INTERVAL, TimerPurpose::Shutdown);
    }

    /// Reloads the configuration and applies its addresses of discovery and the counter; all other settings need a restart. An invalid
    /// configuration is logged and changes nothing.
    pub fn reload(&mut self) {
        let config = match Config::load(&self.config.file) {
            Ok(config) => config,
            Err(ConfigError { location, kind }) => {
                tracing::error!(%location, error = %kind, "reload rejected: keeping the previous configuration");
                return;
            }
        };
        tracing::info!(discovery = %config.discovery, "configuration reloaded");
        self.set_discovery_address(config.discovery);
        if let Some(address) = config.counter {
            self.set_counter_address(address);
        }
        self.config.discovery = config.discovery;
        self.config.counter = config.counter;
        self.execute_actions();
    }

    fn log_discovery_metrics(&self) {
        let metrics = self.discovery_metrics();
        tracing::info!(
            list_age_ms = metrics.list_age.map(TimeDelta::as_millis),
            repeated_calls = metrics.repeated_calls,
            late_responses = metrics.late_responses,
            failed_calls = metrics.failed_calls,
            "discovery calls of this process"
        );
    }

    fn set_discovery_address(&mut self, address: SocketAddr) {
        let action = self.discovery.set_address(&mut self.engine, address);
        if let Some(action) = action {
            self.execute_discovery_action(action);
        }
    }
}
