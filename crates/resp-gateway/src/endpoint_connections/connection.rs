//! One connection to an endpoint, and the attempt on it.

use crate::attempt::AttemptId;
use crate::clock;
use crate::request::ApiCommand;
use bytes::BytesMut;
use chalkdeck::api::EndpointId;
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_time::{TimeDelta, Timestamp};
use std::net::SocketAddr;

/// An attempt on a connection.
pub(super) struct ActiveAttempt {
    pub(super) id: AttemptId,
    pub(super) started_at: Timestamp,
    pub(super) deadline: Timestamp,
    /// What is written once the connection is established; none: it was written.
    pub(super) unwritten: Option<ApiCommand>,
}

/// A connection to an endpoint.
pub(super) struct Connection {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    /// Bytes received of a reply that is not complete yet.
    pub(super) partial_reply: BytesMut,
    pub(super) active: Option<ActiveAttempt>,
    /// Since when it is idle, or was before its attempt; none: it has served no attempt before.
    pub(super) idle_since: Option<Timestamp>,
}

impl Connection {
    /// A connection that is being established for an attempt.
    pub(super) fn dialing(
        endpoint: EndpointId,
        address: SocketAddr,
        attempt: ActiveAttempt,
    ) -> Connection {
        Connection {
            endpoint,
            address,
            partial_reply: BytesMut::new(),
            active: Some(attempt),
            idle_since: None,
        }
    }

    /// How long it was idle before its attempt; none: it is new, or has no attempt.
    pub(super) fn idle_time_before_attempt(&self) -> Option<TimeDelta> {
        let active = self.active.as_ref()?;
        Some(active.started_at - self.idle_since?)
    }

    /// Whether it has been idle for so long.
    pub(super) fn is_idle_for(&self, now: Timestamp, time: TimeDelta) -> bool {
        self.active.is_none() && self.idle_since.is_some_and(|since| now >= since + time)
    }

    /// Whether its attempt waits for it to be established.
    pub(super) fn is_dialing(&self) -> bool {
        self.active
            .as_ref()
            .is_some_and(|active| active.unwritten.is_some())
    }
}

/// Writes the command of an attempt, with the time that is left for it.
pub(super) fn write_command(
    engine: &mut Engine,
    conn: ConnId,
    command: &ApiCommand,
    deadline: Timestamp,
) {
    let remaining = deadline - clock::now(engine);
    let mut out = BytesMut::new();
    command.encode(&mut out, remaining.as_millis().max(1));
    engine.write(conn, &out);
}
