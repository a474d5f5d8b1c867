//! Which replica a gateway is connected to, and when it turns to another.

use chalkdeck_time::{TimeDelta, Timestamp};
use fastrand::Rng;

/// The longest delay before another replica is connected to. It is chosen at random, so that gateways that lost one replica do
/// not turn to the next at the same time.
const MAX_RECONNECT_DELAY: TimeDelta = TimeDelta::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionState {
    Disconnected { retry_at: Timestamp },
    Connecting { connect_deadline: Timestamp },
    Connected { last_message_at: Timestamp },
}

/// What is to be done about the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ConnectionStep {
    Connect,
    Disconnect,
}

/// The connection to one of the replicas.
#[derive(Debug)]
pub(super) struct ReplicaConnection {
    replica_count: usize,
    replica_index: usize,
    state: ConnectionState,
}

impl ReplicaConnection {
    /// Begins with a replica that is chosen at random.
    pub(super) fn new(replica_count: usize, rng: &mut Rng, now: Timestamp) -> ReplicaConnection {
        ReplicaConnection {
            replica_count: replica_count.max(1),
            replica_index: rng.usize(..replica_count.max(1)),
            state: ConnectionState::Disconnected { retry_at: now },
        }
    }

    /// The place of the replica in the list of addresses.
    pub(super) fn replica_index(&self) -> usize {
        self.replica_index
    }

    pub(super) fn on_connected(&mut self, now: Timestamp) {
        self.state = ConnectionState::Connected {
            last_message_at: now,
        };
    }

    pub(super) fn on_message(&mut self, now: Timestamp) {
        if matches!(self.state, ConnectionState::Connected { .. }) {
            self.on_connected(now);
        }
    }

    /// Turns to the next replica.
    pub(super) fn switch_replica(&mut self, rng: &mut Rng, now: Timestamp) {
        self.replica_index = (self.replica_index + 1) % self.replica_count;
        let delay = TimeDelta::from_micros(rng.u64(..MAX_RECONNECT_DELAY.as_micros()));
        self.state = ConnectionState::Disconnected {
            retry_at: now + delay,
        };
    }

    /// What is to be done at `now`. A replica that is silent for `silence_timeout` is given up; one that is being connected to has half
    /// of that.
    pub(super) fn next_step(
        &mut self,
        now: Timestamp,
        silence_timeout: TimeDelta,
    ) -> Option<ConnectionStep> {
        match self.state {
            ConnectionState::Disconnected { retry_at } if now >= retry_at => {
                let connect_timeout = TimeDelta::from_micros(silence_timeout.as_micros() / 2);
                self.state = ConnectionState::Connecting {
                    connect_deadline: now + connect_timeout,
                };
                Some(ConnectionStep::Connect)
            }
            ConnectionState::Connecting { connect_deadline } if now >= connect_deadline => {
                Some(ConnectionStep::Disconnect)
            }
            ConnectionState::Connected { last_message_at }
                if now >= last_message_at + silence_timeout =>
            {
                Some(ConnectionStep::Disconnect)
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
