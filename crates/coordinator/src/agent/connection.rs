//! Selects the replica that a gateway connects to, and detects when to fail over to another one.

use chalkdeck_time::{TimeDelta, Timestamp};
use fastrand::Rng;

/// Maximum delay before connecting to the next replica. The delay is random, so that gateways that have lost the same replica do
/// not all connect to the next one at once.
const MAX_RECONNECT_DELAY: TimeDelta = TimeDelta::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionState {
    Disconnected { retry_at: Timestamp },
    Connecting { connect_deadline: Timestamp },
    Connected { last_message_at: Timestamp },
}

/// The next step for the connection.
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
    /// Starts disconnected, with a randomly selected replica.
    pub(super) fn new(replica_count: usize, rng: &mut Rng, now: Timestamp) -> ReplicaConnection {
        ReplicaConnection {
            replica_count: replica_count.max(1),
            replica_index: rng.usize(..replica_count.max(1)),
            state: ConnectionState::Disconnected { retry_at: now },
        }
    }

    /// Index of the selected replica in the address list.
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

    /// Selects the next replica, which is connected to after a random delay.
    pub(super) fn switch_replica(&mut self, rng: &mut Rng, now: Timestamp) {
        self.replica_index = (self.replica_index + 1) % self.replica_count;
        let delay = TimeDelta::from_micros(rng.u64(..MAX_RECONNECT_DELAY.as_micros()));
        self.state = ConnectionState::Disconnected {
            retry_at: now + delay,
        };
    }

    /// Returns the step that is due at `now`. A connection is closed once the replica has been silent for `silence_timeout`; a
    /// connect attempt times out after half of that.
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
