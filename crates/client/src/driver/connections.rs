//! The list of gateways and the connections to them.

use super::{Driver, GATEWAY_FILE_TIMER_TOKEN};
use crate::core::{Event, GatewayId};
use crate::gateway_file::{self, GatewayFileError};
use chalkdeck_net::{ConnId, Limits};
use chalkdeck_time::TimeDelta;
use std::net::SocketAddr;

/// The interval between polls of the gateway file.
const GATEWAY_FILE_POLL_INTERVAL: TimeDelta = TimeDelta::from_millis(200);
/// Maximum number of streams that are open at once on one connection.
const STREAMS_PER_CONNECTION: u32 = 10_000;

/// A gateway and the connection to it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GatewayConnection {
    /// `None` if the gateway is no longer in the list.
    pub(super) address: Option<SocketAddr>,
    pub(super) connection: Option<ConnId>,
}

impl Driver {
    /// Replaces the list of gateways. A gateway whose address has changed gets a new connection.
    pub(super) fn set_gateways(&mut self, addresses: &[SocketAddr]) {
        let count = self.gateways.len().max(addresses.len());
        self.gateways.resize_with(count, GatewayConnection::default);
        for index in 0..count {
            let address = addresses.get(index).copied();
            self.set_address(GatewayId(index), address);
        }
        let count = addresses.len();
        self.core_events.push(Event::GatewaysListed { count });
    }

    fn set_address(&mut self, id: GatewayId, address: Option<SocketAddr>) {
        let gateway = &mut self.gateways[id.0];
        if gateway.address == address {
            return;
        }
        gateway.address = address;
        if let Some(connection) = gateway.connection.take() {
            self.engine.close(connection);
            self.report_disconnected(id);
        }
    }

    pub(super) fn connect(&mut self, id: GatewayId) {
        let Some(address) = self.gateways.get(id.0).and_then(|gateway| gateway.address) else {
            return;
        };
        let limits = Limits {
            max_streams: STREAMS_PER_CONNECTION,
            keepalive_interval_micros: self.keepalive_interval.as_micros(),
            ..Limits::default()
        };
        let Ok(connection) = self.engine.connect(address, limits) else {
            return self.report_disconnected(id);
        };
        self.gateways[id.0].connection = Some(connection);
        self.last_connect_token += 1;
        self.connects_by_token
            .insert(self.last_connect_token, connection);
        let timeout_at = self.now() + self.connect_timeout;
        self.engine
            .set_timer(timeout_at.as_micros(), self.last_connect_token);
    }

    pub(super) fn on_connected(&mut self, connection: ConnId) {
        let Some(gateway) = self.gateway_of(connection) else {
            return;
        };
        self.connects_by_token
            .retain(|_, other| *other != connection);
        self.metrics.record_connect();
        self.core_events.push(Event::Connected { gateway });
    }

    pub(super) fn on_closed(&mut self, connection: ConnId) {
        let Some(gateway) = self.gateway_of(connection) else {
            return;
        };
        self.gateways[gateway.0].connection = None;
        self.report_disconnected(gateway);
    }

    /// Closes a connection that was not established in time.
    pub(super) fn on_connect_timeout(&mut self, token: u64) {
        if let Some(connection) = self.connects_by_token.remove(&token) {
            self.engine.close(connection);
        }
    }

    fn gateway_of(&self, connection: ConnId) -> Option<GatewayId> {
        let mut gateways = self.gateways.iter();
        let index = gateways.position(|gateway| gateway.connection == Some(connection))?;
        Some(GatewayId(index))
    }

    /// Reads the gateway file if it has changed, and schedules the next poll.
    pub(super) fn poll_gateway_file(&mut self) {
        let next_poll_at = self.now() + GATEWAY_FILE_POLL_INTERVAL;
        let Some(watch) = &mut self.gateway_file else {
            return;
        };
        self.engine
            .set_timer(next_poll_at.as_micros(), GATEWAY_FILE_TIMER_TOKEN);
        let Some(read) = watch.poll() else {
            return;
        };
        let addresses = read
            .map_err(GatewayFileError::from)
            .and_then(|bytes| gateway_file::parse(&bytes));
        match addresses {
            Ok(addresses) => self.set_gateways(&addresses),
            Err(error) => tracing::error!(
                file = %watch.path().display(),
                %error,
                "gateway list not readable: keeping the last good one"
            ),
        }
    }
}
