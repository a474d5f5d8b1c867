//! A connection to an endpoint and the attempt on it.

use crate::attempt::AttemptId;
use crate::clock;
use crate::request::ApiCommand;
use bytes::BytesMut;
use chalkdeck::api::EndpointId;
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_time::{TimeDelta, Timestamp};
use std::net::SocketAddr;

/// The attempt on a connection.
pub(super) struct ActiveAttempt {
    pub(super) id: AttemptId,
    pub(super) started_at: Timestamp,
    pub(super) deadline: Timestamp,
    /// The command to write once the connection is established; `None` once it is written.
    pub(super) unwritten: Option<ApiCommand>,
}

/// A connection to an endpoint.
pub(super) struct Connection {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    /// The received bytes of a reply that is not complete yet.
    pub(super) partial_reply: BytesMut,
    /// What is counted of the memory that its buffer takes.
    pub(super) counted_bytes: usize,
    pub(super) active: Option<ActiveAttempt>,
    /// When the connection last became idle; `None` if it has completed no attempt yet.
    pub(super) idle_since: Option<Timestamp>,
    /// When its dial timed out, which ended its attempt, while it is still being established.
    pub(super) late_since: Option<Timestamp>,
}

impl Connection {
    /// A connection that is being established for its first attempt.
    pub(super) fn dialing(
        endpoint: EndpointId,
        address: SocketAddr,
        attempt: ActiveAttempt,
    ) -> Connection {
        Connection {
            endpoint,
            address,
            partial_reply: BytesMut::new(),
            counted_bytes: 0,
            active: Some(attempt),
            idle_since: None,
            late_since: None,
        }
    }

    /// How long the connection was idle before its current attempt; `None` if this is its first attempt or it has none.
    pub(super) fn idle_time_before_attempt(&self) -> Option<TimeDelta> {
        let active = self.active.as_ref()?;
        Some(active.started_at - self.idle_since?)
    }

    /// Whether the connection has been idle for at least `min_time`.
    pub(super) fn is_idle_for(&self, now: Timestamp, min_time: TimeDelta) -> bool {
        self.active.is_none() && self.idle_since.is_some_and(|since| now >= since + min_time)
    }

    /// Whether the connection is still being established.
    pub(super) fn is_dialing(&self) -> bool {
        self.active
            .as_ref()
            .is_some_and(|active| active.unwritten.is_some())
    }
}

/// Writes the command of an attempt with the time that remains until its deadline.
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
