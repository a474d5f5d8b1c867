//! The gateways of a client: their connection states, reconnect times and health, and the choice of one for the next attempt.

use super::messages::GatewayId;
use crate::settings::Settings;
use chalkdeck_time::{TimeDelta, Timestamp};
use fastrand::Rng;

/// Consecutive failures after which a gateway is ejected.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;
/// The reconnect window doubles at most this many times.
const MAX_WINDOW_DOUBLINGS: u32 = 20;

/// The state of the connection to a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Connection {
    Disconnected { reconnect_at: Timestamp },
    Connecting,
    Connected,
}

/// The state of one gateway.
#[derive(Debug, Clone)]
struct Gateway {
    connection: Connection,
    /// The number of consecutive connections that were lost or could not be established.
    disconnects: u32,
    in_flight: usize,
    /// The number of consecutive attempts that failed.
    failures: u32,
    ejected_until: Timestamp,
    is_listed: bool,
}

impl Gateway {
    fn new(now: Timestamp) -> Gateway {
        Gateway {
            connection: Connection::Disconnected { reconnect_at: now },
            disconnects: 0,
            in_flight: 0,
            failures: 0,
            ejected_until: Timestamp::ZERO,
            is_listed: true,
        }
    }

    /// When to connect, if the gateway is listed and disconnected.
    fn reconnect_at(&self) -> Option<Timestamp> {
        match self.connection {
            Connection::Disconnected { reconnect_at } if self.is_listed => Some(reconnect_at),
            _ => None,
        }
    }

    /// Whether an attempt can be sent to it now.
    fn can_accept_attempt(&self, settings: &Settings) -> bool {
        self.connection == Connection::Connected
            && self.is_listed
            && self.in_flight < settings.max_in_flight_per_gateway
    }
}

/// All gateways, by their positions in the list.
#[derive(Debug, Clone, Default)]
pub(crate) struct Gateways(Vec<Gateway>);

impl Gateways {
    /// Sets the length of the list. New gateways are due to be connected at once.
    pub(crate) fn set_count(&mut self, count: usize, now: Timestamp) {
        for (index, gateway) in self.0.iter_mut().enumerate() {
            gateway.is_listed = index < count;
        }
        while self.0.len() < count {
            self.0.push(Gateway::new(now));
        }
    }

    /// Marks the gateways whose reconnect is due as connecting, and returns them.
    pub(crate) fn start_connecting(&mut self, now: Timestamp) -> Vec<GatewayId> {
        let mut started = Vec::new();
        for (index, gateway) in self.0.iter_mut().enumerate() {
            if gateway.reconnect_at().is_some_and(|at| at <= now) {
                gateway.connection = Connection::Connecting;
                started.push(GatewayId(index));
            }
        }
        started
    }

    /// When the next reconnect is due.
    pub(crate) fn next_connect_at(&self) -> Option<Timestamp> {
        self.0.iter().filter_map(Gateway::reconnect_at).min()
    }

    /// Records that a connection was established.
    pub(crate) fn on_connected(&mut self, id: GatewayId) {
        if let Some(gateway) = self.0.get_mut(id.0) {
            gateway.connection = Connection::Connected;
        }
    }

    /// Records that a connection was lost or could not be established. The reconnect happens at a random time in a window that
    /// doubles with each consecutive loss.
    pub(crate) fn on_disconnected(
        &mut self,
        id: GatewayId,
        now: Timestamp,
        settings: &Settings,
        rng: &mut Rng,
    ) {
        let Some(gateway) = self.0.get_mut(id.0) else {
            return;
        };
        let factor = 1 << gateway.disconnects.min(MAX_WINDOW_DOUBLINGS);
        let window =
            (settings.initial_reconnect_window * factor).min(settings.max_reconnect_window);
        let delay = TimeDelta::from_micros(rng.u64(0..=window.as_micros()));
        gateway.disconnects += 1;
        gateway.in_flight = 0;
        gateway.connection = Connection::Disconnected {
            reconnect_at: now + delay,
        };
    }

    /// Records that an attempt was sent.
    pub(crate) fn on_attempt_sent(&mut self, id: GatewayId) {
        if let Some(gateway) = self.0.get_mut(id.0) {
            gateway.in_flight += 1;
        }
    }

    /// Records that an attempt was answered, rejected or cancelled by its caller.
    pub(crate) fn on_attempt_succeeded(&mut self, id: GatewayId) {
        if let Some(gateway) = self.0.get_mut(id.0) {
            gateway.in_flight = gateway.in_flight.saturating_sub(1);
            gateway.failures = 0;
            gateway.disconnects = 0;
        }
    }

    /// Records that an attempt failed. A gateway with too many consecutive failures is ejected for a while.
    pub(crate) fn on_attempt_failed(&mut self, id: GatewayId, now: Timestamp, settings: &Settings) {
        let Some(gateway) = self.0.get_mut(id.0) else {
            return;
        };
        gateway.in_flight = gateway.in_flight.saturating_sub(1);
        gateway.failures += 1;
        if gateway.failures >= CONSECUTIVE_FAILURES_TO_EJECT {
            gateway.failures = 0;
            gateway.ejected_until = now + settings.ejection_time;
        }
    }

    /// Chooses by the power of two random choices: of two random gateways that can accept an attempt, the one with fewer
    /// attempts in flight. Ejected gateways are used only if there is no other.
    pub(crate) fn choose(
        &self,
        now: Timestamp,
        settings: &Settings,
        rng: &mut Rng,
    ) -> Option<GatewayId> {
        let available: Vec<usize> = (0..self.0.len())
            .filter(|&index| self.0[index].can_accept_attempt(settings))
            .collect();
        let healthy: Vec<usize> = available
            .iter()
            .copied()
            .filter(|&index| self.0[index].ejected_until <= now)
            .collect();
        let candidates = if healthy.is_empty() {
            &available
        } else {
            &healthy
        };
        let first = *rng.choice(candidates)?;
        let second = *rng.choice(candidates)?;
        let is_second_less_loaded = self.0[second].in_flight < self.0[first].in_flight;
        Some(GatewayId(if is_second_less_loaded {
            second
        } else {
            first
        }))
    }
}
