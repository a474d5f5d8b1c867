//! Eviction of client connections while there are more than the granted file descriptors allow.
//!
//! A client to which something is owed is never evicted: a pending reply, bytes of a reply that its socket has not accepted, or a command
//! that was received. At the limit of the listener, further clients wait until a connection can be evicted or closes.

use super::session::Session;
use super::Sessions;
use crate::clock;
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_time::{TimeDelta, Timestamp};

/// The time that a client has to read its last replies, after a protocol error or `QUIT`, before its connection may be evicted.
const MIN_LINGER_TIME: TimeDelta = TimeDelta::from_millis(100);

/// The time without an accepted byte of its replies after which the connection of a client may be evicted.
const MIN_STALL_TIME: TimeDelta = TimeDelta::from_secs(1);

/// The groups of connections in the order of their eviction. Within a group, the connection that has been inactive longest is the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionGroup {
    /// All replies were written after a protocol error or `QUIT`, and the client has had the time to read them.
    Ended,
    /// The client has read nothing for a while of the replies that wait for it.
    NotReading,
    /// The client has never sent a complete command.
    Silent,
    /// All replies were written after a protocol error or `QUIT`, only just. Instead of evicting another client, the gateway waits until
    /// such a connection has ended.
    Ending,
    /// The client waits for nothing and has begun no command.
    Resting,
    /// The client has sent a part of a command.
    WithinCommand,
}

/// A connection that may be evicted, now or soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    group: EvictionGroup,
    last_active_at: Timestamp,
    conn: ConnId,
}

impl Sessions {
    /// Evicts the clients that have accepted least of the replies to them, until all sessions take no more memory than they may together.
    pub(crate) fn evict_over_memory(&mut self, engine: &mut Engine) {
        while self.budget.is_exceeded() {
            let unsent = |conn: &ConnId| (engine.unsent_bytes(*conn), *conn);
            let Some((unsent_bytes, conn)) = self.by_conn.keys().map(unsent).max() else {
                return;
            };
            if unsent_bytes == 0 {
                return;
            }
            tracing::warn!(
                conn = conn.0,
                unsent_bytes,
                session_bytes = self.budget.used(),
                "client connection closed: it does not read its replies and memory is short"
            );
            self.close(engine, conn);
        }
    }

    /// Closes the connection of a session. If the session has open requests, it stays until the event loop reports the connection as closed,
    /// which ends them.
    fn close(&mut self, engine: &mut Engine, conn: ConnId) {
        engine.close(conn);
        let Some(session) = self.by_conn.get_mut(&conn) else {
            return;
        };
        self.budget
            .update(std::mem::take(&mut session.held_bytes), 0);
        if session.open_requests.is_empty() {
            self.by_conn.remove(&conn);
        }
    }

    /// Evicts connections until there are no more than the limit, or none can be evicted without a loss. Called once per turn, after
    /// everything that the turn received was handled.
    pub(crate) fn evict_excess(&mut self, engine: &mut Engine) {
        let excess = self.by_conn.len().saturating_sub(self.max_sessions);
        if excess == 0 {
            return;
        }
        for conn in self.evictable(engine, excess) {
            self.close(engine, conn);
        }
    }

    /// At most `count` connections that can be closed without a loss, in the order of their eviction.
    fn evictable(&self, engine: &mut Engine, count: usize) -> Vec<ConnId> {
        let now = clock::now(engine);
        let mut candidates: Vec<Candidate> = Vec::new();
        for (conn, session) in &self.by_conn {
            let group = eviction_group(engine, *conn, session, now);
            candidates.extend(group.map(|group| Candidate {
                group,
                last_active_at: session.last_active_at,
                conn: *conn,
            }));
        }
        candidates.sort_unstable();
        candidates
            .into_iter()
            .take_while(|candidate| candidate.group != EvictionGroup::Ending)
            .filter(|candidate| {
                candidate.group <= EvictionGroup::NotReading || engine.is_idle(candidate.conn)
            })
            .map(|candidate| candidate.conn)
            .take(count)
            .collect()
    }
}

/// The group of a connection; `None` if it must not be evicted.
fn eviction_group(
    engine: &mut Engine,
    conn: ConnId,
    session: &Session,
    now: Timestamp,
) -> Option<EvictionGroup> {
    if session.is_lingering {
        let written_at = Timestamp::from_micros(engine.lingering_since(conn)?);
        return Some(if now >= written_at + MIN_LINGER_TIME {
            EvictionGroup::Ended
        } else {
            EvictionGroup::Ending
        });
    }
    if session.has_write_stalled_for(now, MIN_STALL_TIME) {
        return Some(EvictionGroup::NotReading);
    }
    let is_owed = session.replies.pending() > 0 || session.may_hold_command();
    if is_owed || session.is_new(now) || !engine.flush(conn) {
        return None;
    }
    Some(match session {
        session if !session.bytes.is_empty() => EvictionGroup::WithinCommand,
        session if !session.has_sent_command => EvictionGroup::Silent,
        _ => EvictionGroup::Resting,
    })
}
