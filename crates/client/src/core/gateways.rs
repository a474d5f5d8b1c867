//! The gateways of a client: which are connected, when a lost connection is made again, and which one gets the next attempt.

use super::messages::GatewayId;
use crate::settings::Settings;
use chalkdeck_time::{TimeDelta, Timestamp};
use fastrand::Rng;

/// Consecutive failures after which a gateway is ejected.
const EJECTION_FAILURES: u32 = 3;
/// The reconnect window doubles this often at most.
const MAX_DOUBLINGS: u32 = 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Connection {
    Disconnected { reconnect_at: Timestamp },
    Connecting,
    Connected,
}

#[derive(Debug, Clone)]
struct Gateway {
    connection: Connection,
    /// Consecutive connections that were lost or could not be established.
    disconnects: u32,
    in_flight: usize,
    /// Consecutive attempts that failed.
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

    /// When it is to be connected, if it is.
    fn reconnect_at(&self) -> Option<Timestamp> {
        match self.connection {
            Connection::Disconnected { reconnect_at } if self.is_listed => Some(reconnect_at),
            _ => None,
        }
    }

    fn can_take_attempt(&self, settings: &Settings) -> bool {
        self.connection == Connection::Connected
            && self.is_listed
            && self.in_flight < settings.max_in_flight_per_gateway
    }
}

/// All gateways, by their places in the list.
#[derive(Debug, Clone, Default)]
pub(crate) struct Gateways(Vec<Gateway>);

impl Gateways {
    /// Sets the length of the list; new gateways are connected at once.
    pub(crate) fn set_count(&mut self, count: usize, now: Timestamp) {
        for (index, gateway) in self.0.iter_mut().enumerate() {
            gateway.is_listed = index < count;
        }
        while self.0.len() < count {
            self.0.push(Gateway::new(now));
        }
    }

    /// Gateways that are to be connected now; they count as connecting from here on.
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

    /// When the next gateway is to be connected.
    pub(crate) fn next_connect_at(&self) -> Option<Timestamp> {
        self.0.iter().filter_map(Gateway::reconnect_at).min()
    }

    pub(crate) fn connected(&mut self, id: GatewayId) {
        if let Some(gateway) = self.0.get_mut(id.0) {
            gateway.connection = Connection::Connected;
        }
    }

    /// A connection was lost or could not be established. It is made again at a random time in a window that doubles with each
    /// loss.
    pub(crate) fn disconnected(
        &mut self,
        id: GatewayId,
        now: Timestamp,
        settings: &Settings,
        rng: &mut Rng,
    ) {
        let Some(gateway) = self.0.get_mut(id.0) else {
            return;
        };
        let factor = 1 << gateway.disconnects.min(MAX_DOUBLINGS);
        let window =
            (settings.initial_reconnect_window * factor).min(settings.max_reconnect_window);
        let delay = TimeDelta::from_micros(rng.u64(0..=window.as_micros()));
        gateway.disconnects += 1;
        gateway.in_flight = 0;
        gateway.connection = Connection::Disconnected {
            reconnect_at: now + delay,
        };
    }

    /// An attempt was sent.
    pub(crate) fn attempt_sent(&mut self, id: GatewayId) {
        if let Some(gateway) = self.0.get_mut(id.0) {
            gateway.in_flight += 1;
        }
    }

    /// An attempt was answered, rejected or cancelled by its caller.
    pub(crate) fn attempt_succeeded(&mut self, id: GatewayId) {
        if let Some(gateway) = self.0.get_mut(id.0) {
            gateway.in_flight = gateway.in_flight.saturating_sub(1);
            gateway.failures = 0;
            gateway.disconnects = 0;
        }
    }

    /// An attempt failed; a gateway that fails again and again is ejected for a while.
    pub(crate) fn attempt_failed(&mut self, id: GatewayId, now: Timestamp, settings: &Settings) {
        let Some(gateway) = self.0.get_mut(id.0) else {
            return;
        };
        gateway.in_flight = gateway.in_flight.saturating_sub(1);
        gateway.failures += 1;
        if gateway.failures >= EJECTION_FAILURES {
            gateway.failures = 0;
            gateway.ejected_until = now + settings.ejection_time;
        }
    }

    /// The gateway with fewer attempts in flight of two random ones that can take an attempt. An ejected one is used only if
    /// there is no other.
    pub(crate) fn choose(
        &self,
        now: Timestamp,
        settings: &Settings,
        rng: &mut Rng,
    ) -> Option<GatewayId> {
        let available: Vec<usize> = (0..self.0.len())
            .filter(|&index| self.0[index].can_take_attempt(settings))
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
        let is_second_better = self.0[second].in_flight < self.0[first].in_flight;
        Some(GatewayId(if is_second_better { second } else { first }))
    }
}
