//! Client of the discovery agent: successive long polls over HTTP/1.1, each with a time-out. After an invalid response the last valid
//! list stays in force and the next call requests the complete list. If the agent does not respond in time, the client reconnects.

mod error;
mod freshness;
mod http_exchange;
mod timing;

pub use error::DiscoveryError;
pub use freshness::DiscoveryMetrics;
pub(crate) use timing::Timing;

use crate::clock;
use crate::endpoint_list::{self, EndpointList};
use chalkdeck::api::UpdateScope;
use chalkdeck_net::{CloseReason, ConnId, Engine};
use chalkdeck_time::{TimeDelta, Timestamp};
use freshness::ListFreshness;
use http_exchange::{ConnectionReuse, HttpExchange, Progress};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The number of a call. Timers of earlier calls have no effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CallId(u64);

/// What the caller of [`Discovery`] has to do.
#[derive(Debug)]
pub(crate) enum DiscoveryAction {
    /// Apply an endpoint update.
    UpdateEndpoints(EndpointList),
    /// Set a timer that calls `Discovery::on_call_timeout` with this call after the delay.
    SetCallTimer {
        /// The delay.
        after: TimeDelta,
        /// The call.
        call: CallId,
    },
}

/// The client of the discovery agent.
pub(crate) struct Discovery {
    address: SocketAddr,
    timing: Timing,
    conn: Option<ConnId>,
    exchange: HttpExchange,
    /// The version of the list that this gateway holds; `None` if the complete list is to be requested.
    held_version: Option<u64>,
    current_call: CallId,
    /// When the request of the current call was sent; `None` while no response is expected.
    requested_at: Option<Timestamp>,
    freshness: ListFreshness,
    metrics: DiscoveryMetrics,
}

impl Discovery {
    pub(crate) fn new(address: SocketAddr, timing: Timing) -> Discovery {
        Discovery {
            address,
            timing,
            conn: None,
            exchange: HttpExchange::default(),
            held_version: None,
            current_call: CallId::default(),
            requested_at: None,
            freshness: ListFreshness::new(timing.max_list_age),
            metrics: DiscoveryMetrics::default(),
        }
    }

    /// Whether this is the connection to the agent.
    pub(crate) fn owns(&self, conn: ConnId) -> bool {
        self.conn == Some(conn)
    }

    /// Connects to the agent. An existing connection is closed first.
    pub(crate) fn connect(&mut self, engine: &mut Engine) -> DiscoveryAction {
        self.close(engine);
        match engine.connect_plain(self.address) {
            Ok(conn) => {
                self.conn = Some(conn);
                self.set_call_timer(self.timing.timeout)
            }
            Err(_) => self.set_call_timer(self.timing.retry_delay),
        }
    }

    fn close(&mut self, engine: &mut Engine) {
        if let Some(conn) = self.conn.take() {
            engine.close(conn);
        }
        self.exchange.reset();
        self.requested_at = None;
    }

    /// The current metrics.
    pub(crate) fn metrics(&self, now: Timestamp) -> DiscoveryMetrics {
        DiscoveryMetrics {
            list_age: self.freshness.confirmed_at().map(|at| now - at),
            calls_in_flight: usize::from(self.requested_at.is_some()),
            ..self.metrics
        }
    }

    /// Logs changes of the list's freshness.
    pub(crate) fn log_changes(&mut self, now: Timestamp) {
        let metrics = self.metrics(now);
        self.freshness.log_changes(now, &metrics);
    }

    /// Begins a new call, which invalidates the timers of earlier ones, and sets its timer.
    fn set_call_timer(&mut self, after: TimeDelta) -> DiscoveryAction {
        self.current_call.0 += 1;
        DiscoveryAction::SetCallTimer {
            after,
            call: self.current_call,
        }
    }

    /// Connects to the agent at a new address and requests the complete list there.
    pub(crate) fn set_address(
        &mut self,
        engine: &mut Engine,
        address: SocketAddr,
    ) -> Option<DiscoveryAction> {
        if address == self.address {
            return None;
        }
        self.address = address;
        self.held_version = None;
        self.freshness.reset();
        Some(self.connect(engine))
    }

    /// Handles the time-out of a call: if it is still the current one, reconnects to the agent.
    pub(crate) fn on_call_timeout(
        &mut self,
        engine: &mut Engine,
        call: CallId,
    ) -> Option<DiscoveryAction> {
        if call != self.current_call {
            return None;
        }
        self.metrics.timed_out_calls += u64::from(self.requested_at.is_some());
        Some(self.connect(engine))
    }

    /// Sends the first request on an established connection.
    pub(crate) fn on_connected(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
    ) -> Option<DiscoveryAction> {
        if !self.owns(conn) {
            return None;
        }
        match self.send_request(engine, conn) {
            Ok(()) => None,
            Err(error) => Some(self.on_call_failed(engine, &error)),
        }
    }

    fn send_request(&mut self, engine: &mut Engine, conn: ConnId) -> Result<(), DiscoveryError> {
        let query = match self.held_version {
            Some(version) => {
                let poll_ms = self.timing.poll.as_millis();
                format!("?since={version}&timeout_ms={poll_ms}")
            }
            None => String::new(),
        };
        let uri = format!("http://{}/v1/endpoints{query}", self.address);
        let request = self.exchange.begin_get(&uri)?;
        engine.write(conn, &request);
        self.requested_at = Some(clock::now(engine));
        Ok(())
    }

    /// Handles the end of a connection. It completes a response without a stated length if the agent closed the connection in an
    /// orderly way, but not if the connection was reset.
    pub(crate) fn on_closed(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        reason: &CloseReason,
        zones: &mut HashMap<String, u32>,
    ) -> Vec<DiscoveryAction> {
        if !self.owns(conn) {
            return Vec::new();
        }
        self.conn = None;
        let is_close_delimited = self.exchange.end();
        if !is_close_delimited || *reason != CloseReason::PeerEnded {
            return vec![self.set_call_timer(self.timing.retry_delay)];
        }
        let actions = self.handle_response(engine, conn, ConnectionReuse::Close, zones);
        actions.unwrap_or_else(|error| vec![self.on_call_failed(engine, &error)])
    }

    /// Handles received bytes.
    pub(crate) fn on_bytes(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        data: &[u8],
        zones: &mut HashMap<String, u32>,
    ) -> Vec<DiscoveryAction> {
        if !self.owns(conn) {
            return Vec::new();
        }
        let actions = match self.exchange.receive(data) {
            Ok(Progress::Incomplete) => Ok(Vec::new()),
            Ok(Progress::Complete(reuse)) => self.handle_response(engine, conn, reuse, zones),
            Err(error) => Err(error),
        };
        actions.unwrap_or_else(|error| vec![self.on_call_failed(engine, &error)])
    }

    /// Handles a complete response: returns its list as an update and sends the next request.
    fn handle_response(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        reuse: ConnectionReuse,
        zones: &mut HashMap<String, u32>,
    ) -> Result<Vec<DiscoveryAction>, DiscoveryError> {
        let value: Value = serde_json::from_slice(self.exchange.body())?;
        let list = endpoint_list::parse(&value, zones)?;
        if list.scope != UpdateScope::Complete
            && self.held_version.is_none_or(|held| list.version < held)
        {
            return Err(DiscoveryError::Version {
                found: list.version,
            });
        }
        self.held_version = Some(list.version);
        if let Some(requested_at) = self.requested_at.take() {
            self.metrics.last_response_time = clock::now(engine) - requested_at;
            self.freshness.confirm(requested_at);
        }
        let next_call = match reuse {
            ConnectionReuse::Close => self.connect(engine),
            ConnectionReuse::KeepAlive => {
                self.send_request(engine, conn)?;
                self.set_call_timer(self.timing.timeout)
            }
        };
        Ok(vec![DiscoveryAction::UpdateEndpoints(list), next_call])
    }

    fn on_call_failed(&mut self, engine: &mut Engine, error: &DiscoveryError) -> DiscoveryAction {
        tracing::warn!(%error, address = %self.address, "discovery call failed: keeping the last good endpoint list");
        self.close(engine);
        self.metrics.failed_calls += 1;
        self.held_version = None;
        self.set_call_timer(self.timing.retry_delay)
    }
}

#[cfg(test)]
mod tests;
