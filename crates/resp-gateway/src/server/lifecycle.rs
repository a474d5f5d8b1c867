//! The life cycle of a gateway after its start: it serves, reloads its configuration and shuts down gracefully.

use super::{GatewayServer, TimerPurpose};
use crate::clock;
use crate::config::{Config, ConfigError};
use chalkdeck_net::signals::Signals;
use chalkdeck_time::{TimeDelta, Timestamp};
use std::io;
use std::net::SocketAddr;

/// The longest sleep of the loop; signals are checked that often.
const MAX_WAIT: TimeDelta = TimeDelta::from_millis(100);
/// New connections still arrive so long after SIGTERM, and are served; then connections are closed one after another.
const SHUTDOWN_ACCEPT_TIME: TimeDelta = TimeDelta::from_millis(420);
/// How often a gateway that shuts down checks whether connections can be closed.
const SHUTDOWN_INTERVAL: TimeDelta = TimeDelta::from_millis(5);
/// The platform kills a gateway so long after SIGTERM and the longest deadline.
const KILL_DELAY: TimeDelta = TimeDelta::from_millis(700);
/// The longest deadline that the platform takes into account.
const KILL_MAX_DEADLINE: TimeDelta = TimeDelta::from_secs(3);
/// Requests that are received during a shutdown have their reply so long before that.
const KILL_MARGIN: TimeDelta = TimeDelta::from_millis(60);

impl GatewayServer {
    /// Serves until a signal asks it to shut down and all that it accepted is answered.
    ///
    /// # Errors
    /// The system fails to poll the sockets.
    pub fn run(&mut self, signals: &Signals) -> io::Result<()> {
        loop {
            self.turn(MAX_WAIT.as_micros())?;
            if signals.reload() {
                self.reload();
            }
            if signals.stop() {
                self.shut_down();
            }
            if self.is_shut_down() {
                tracing::info!("stopped");
                return Ok(());
            }
        }
    }

    /// Begins a graceful shutdown: serves what still arrives, then ends.
    pub fn shut_down(&mut self) {
        if self.shutdown_since.is_none() {
            tracing::info!(
                open_requests = self.requests.len(),
                "graceful shutdown: serving what still arrives, then closing connections"
            );
            self.shutdown_since = Some(clock::now(&self.engine));
            self.set_timer(SHUTDOWN_ACCEPT_TIME, TimerPurpose::Shutdown);
        }
    }

    /// Whether a shutdown is over: all clients are gone, or all requests that were received before it must have had their reply.
    pub fn is_shut_down(&self) -> bool {
        let Some(since) = self.shutdown_since else {
            return false;
        };
        let has_no_clients = self.sessions.is_shutting_down()
            && !self.is_listening
            && self.engine.connections_of(self.listener) == 0;
        has_no_clients || clock::now(&self.engine) >= since + KILL_DELAY + self.longest_deadline()
    }

    fn longest_deadline(&self) -> TimeDelta {
        let classes = self.config.settings().classes.iter();
        let longest = classes.map(|class| class.deadline).max();
        longest.unwrap_or_default()
    }

    /// The time by which requests that are received now must have their reply: during a shutdown, before the platform kills the process.
    pub(super) fn latest_deadline(&self) -> Timestamp {
        let Some(since) = self.shutdown_since else {
            return Timestamp::MAX;
        };
        let deadline = self.longest_deadline().min(KILL_MAX_DEADLINE);
        since + (KILL_DELAY - KILL_MARGIN) + deadline
    }

    /// New connections do not arrive any more: closes the listener once it is empty, and connections once they are idle.
    pub(super) fn continue_shutdown(&mut self) {
        self.is_listening &= !self.engine.unlisten_if_empty(self.listener);
        self.sessions.shut_down(clock::now(&self.engine));
        self.set_timer(SHUTDOWN_INTERVAL, TimerPurpose::Shutdown);
    }

    /// Loads the configuration again and moves to its addresses of discovery and the counter; all else needs a restart. A
    /// configuration that is invalid changes nothing.
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
        self.carry_out_actions();
    }

    fn set_discovery_address(&mut self, address: SocketAddr) {
        let action = self.discovery.set_address(&mut self.engine, address);
        if let Some(action) = action {
            self.carry_out_discovery(action);
        }
    }
}
