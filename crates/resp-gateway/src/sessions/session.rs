//! One client connection: the bytes and replies it holds, and how long each of its states may last.

use bytes::BytesMut;
use chalkdeck::api::RequestId;
use chalkdeck_net::ConnId;
use chalkdeck_resp::{Frame, ReplyQueue};
use chalkdeck_time::{TimeDelta, Timestamp};
use rustc_hash::FxHashSet;

/// A connection that has not sent its first whole command by then is closed, as is one that sends nothing for so long within a
/// later command. The platform expects such clients to be closed within 3 s.
const COMMAND_TIMEOUT: TimeDelta = TimeDelta::from_secs(2);
/// Keep-alive: a connection without an open request is closed after this time.
const IDLE_TIMEOUT: TimeDelta = TimeDelta::from_secs(10);
/// The time a client has to read a protocol error before its connection is closed.
const LINGER_TIMEOUT: TimeDelta = TimeDelta::from_secs(2);
/// A client that accepts no byte of its replies for so long is closed.
const WRITE_TIMEOUT: TimeDelta = TimeDelta::from_secs(10);
/// A new connection has this time to send its first command before it counts as idle.
const FIRST_COMMAND_GRACE: TimeDelta = TimeDelta::from_millis(50);
/// A shutdown closes idle connections one after another over this time, so that their clients do not all reconnect at once.
const SHUTDOWN_SPREAD: TimeDelta = TimeDelta::from_millis(250);
/// Multiplier of Fibonacci hashing: spreads consecutive connection numbers evenly.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Bytes that a client does not accept.
#[derive(Clone, Copy)]
pub(super) struct BlockedWrite {
    /// The number of bytes that it had accepted in all.
    accepted: u64,
    /// When that number last grew.
    since: Timestamp,
}

/// The order in which idle connections are evicted, lowest first: those that never sent a command go first, those that are within a
/// command or are still to read an error go last. The fields are compared in their order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    is_within_command: bool,
    is_active_client: bool,
    active_at: Timestamp,
}

/// The state of one client connection.
#[derive(Default)]
pub(super) struct Session {
    /// Bytes received and not parsed yet.
    pub(super) bytes: BytesMut,
    /// Replies in the order of their commands.
    pub(super) replies: ReplyQueue<Frame>,
    /// Requests without a final reply.
    pub(super) open_requests: FxHashSet<RequestId>,
    /// Reading is paused; `bytes` may still hold whole commands.
    pub(super) is_paused: bool,
    /// It is queued in `Sessions::resumed`.
    pub(super) is_queued_to_resume: bool,
    /// Nothing more is read: a protocol error was reported, or the client sent `QUIT`.
    pub(super) is_read_closed: bool,
    /// When our side was shut down, after an error or `QUIT`.
    pub(super) lingering_since: Option<Timestamp>,
    /// It has sent at least one whole command.
    pub(super) has_sent_command: bool,
    accepted_at: Timestamp,
    /// When bytes were last received or a reply was last sent.
    pub(super) active_at: Timestamp,
    /// The time from which on the deadlines of the commands in `bytes` count: when they were received, or when reading was paused
    /// if they may have been waiting in the socket since.
    pub(super) received_at: Timestamp,
    /// When reading was paused, until the socket is known to have been emptied.
    pub(super) unread_since: Option<Timestamp>,
    /// Set while replies wait for a client that does not read them.
    blocked_write: Option<BlockedWrite>,
}

impl Session {
    pub(super) fn accepted(now: Timestamp) -> Session {
        Session {
            accepted_at: now,
            active_at: now,
            ..Session::default()
        }
    }

    /// Nothing is owed to the client, and it has not begun a command.
    pub(super) fn is_between_requests(&self) -> bool {
        self.replies.pending() == 0 && self.bytes.is_empty() && self.lingering_since.is_none()
    }

    /// Whether a shutdown that began at `since` may close the connection by now.
    pub(super) fn may_close(&self, conn: ConnId, since: Timestamp, now: Timestamp) -> bool {
        let hash = conn.0.wrapping_mul(HASH_MULTIPLIER) >> 32;
        let offset = TimeDelta::from_micros(hash % SHUTDOWN_SPREAD.as_micros());
        let had_time = self.has_sent_command || now >= self.accepted_at + FIRST_COMMAND_GRACE;
        now >= since + offset && had_time
    }

    /// Its place in the order of eviction.
    pub(super) fn eviction_rank(&self, now: Timestamp) -> EvictionRank {
        let is_new = now < self.active_at + FIRST_COMMAND_GRACE;
        EvictionRank {
            is_within_command: !self.is_between_requests(),
            is_active_client: self.has_sent_command || is_new,
            active_at: self.active_at,
        }
    }

    /// Notes how many bytes the client has accepted in all, and how many wait for it.
    pub(super) fn note_written(&mut self, accepted: u64, unsent: usize, now: Timestamp) {
        let known = self
            .blocked_write
            .filter(|blocked| blocked.accepted == accepted);
        let blocked = known.unwrap_or(BlockedWrite {
            accepted,
            since: now,
        });
        self.blocked_write = (unsent > 0).then_some(blocked);
    }

    /// Whether the client has not read what it is owed for longer than it may.
    pub(super) fn is_write_timed_out(&self, now: Timestamp) -> bool {
        let is_blocked = self
            .blocked_write
            .is_some_and(|blocked| now - blocked.since >= WRITE_TIMEOUT);
        let has_lingered = self
            .lingering_since
            .is_some_and(|since| now - since >= LINGER_TIMEOUT);
        is_blocked || has_lingered
    }

    /// Whether a client that is owed nothing has sent nothing for longer than it may, as far as it was read.
    pub(super) fn is_read_timed_out(&self, now: Timestamp) -> bool {
        let is_owed = self.lingering_since.is_some()
            || self.blocked_write.is_some()
            || self.replies.pending() > 0;
        if is_owed || self.is_paused {
            return false;
        }
        let is_within_command = !self.bytes.is_empty();
        if !self.has_sent_command {
            now - self.accepted_at >= COMMAND_TIMEOUT
        } else if is_within_command {
            now - self.active_at >= COMMAND_TIMEOUT
        } else {
            now - self.active_at >= IDLE_TIMEOUT
        }
    }
}
