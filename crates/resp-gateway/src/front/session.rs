//! One client connection: the bytes and answers it holds, and how long each of its states may last.

use bytes::BytesMut;
use chalkdeck::api::RequestId;
use chalkdeck_net::ConnId;
use chalkdeck_resp::{Frame, ReplyQueue};
use rustc_hash::FxHashSet;

/// A connection that has not sent its first whole command by then is closed, as is one that sends nothing for so long within a
/// later command. The platform expects such clients to be closed within 3 s. In microseconds, like all times of this module.
const COMMAND_TIMEOUT: u64 = 2_000_000;
/// Keep-alive: a connection without an open request is closed after this time.
const IDLE_TIMEOUT: u64 = 10_000_000;
/// The time a client has to read a protocol error before its connection is closed.
const LINGER_TIMEOUT: u64 = 2_000_000;
/// A client that accepts no byte of its answers for so long is closed.
const WRITE_TIMEOUT: u64 = 10_000_000;
/// A new connection has this time to send its first command before it counts as idle.
const FIRST_COMMAND_GRACE: u64 = 50_000;
/// A shutdown closes idle connections one after another over this time, so that their clients do not all reconnect at once.
const SHUTDOWN_SPREAD: u64 = 250_000;
/// Multiplier of Fibonacci hashing: spreads consecutive connection numbers evenly.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Bytes that a client does not accept.
#[derive(Clone, Copy)]
pub(super) struct BlockedWrite {
    /// The number of bytes that it had accepted in all.
    pub(super) accepted: u64,
    /// When that number last grew.
    pub(super) since: u64,
}

/// The state of one client connection.
#[derive(Default)]
pub(super) struct Session {
    /// Bytes received and not parsed yet.
    pub(super) bytes: BytesMut,
    /// Answers in the order of their commands.
    pub(super) answers: ReplyQueue<Frame>,
    /// Requests without a final answer.
    pub(super) open: FxHashSet<RequestId>,
    /// Reading is paused; `bytes` may still hold whole commands.
    pub(super) paused: bool,
    /// It is queued in `Front::resumed`.
    pub(super) is_queued_to_resume: bool,
    /// Nothing more is read: a protocol error was reported, or the client sent QUIT.
    pub(super) read_closed: bool,
    /// When our side was shut down, after an error or QUIT.
    pub(super) lingering_since: Option<u64>,
    /// It has sent at least one whole command.
    pub(super) has_spoken: bool,
    pub(super) accepted_at: u64,
    /// When bytes were last received or an answer was last sent.
    pub(super) active_at: u64,
    /// The time from which on the deadlines of the commands in `bytes` count: when they were received, or when reading was paused
    /// if they may have been waiting in the socket since.
    pub(super) received_at: u64,
    /// When reading was paused, until the socket is known to have been emptied.
    pub(super) unread_since: Option<u64>,
    /// Set while answers wait for a client that does not read them.
    pub(super) blocked_write: Option<BlockedWrite>,
}

impl Session {
    pub(super) fn accepted(now: u64) -> Session {
        Session {
            accepted_at: now,
            active_at: now,
            ..Session::default()
        }
    }

    /// Nothing is owed to the client, and it has not begun a command.
    pub(super) fn is_between_requests(&self) -> bool {
        self.answers.pending() == 0 && self.bytes.is_empty() && self.lingering_since.is_none()
    }

    /// Whether a shutdown that began at `since` may close the connection by now.
    pub(super) fn may_close(&self, conn: ConnId, since: u64, now: u64) -> bool {
        let turn = since + (conn.0.wrapping_mul(HASH_MULTIPLIER) >> 32) % SHUTDOWN_SPREAD;
        let had_time = self.has_spoken || now >= self.accepted_at + FIRST_COMMAND_GRACE;
        now >= turn && had_time
    }

    /// The order in which idle connections are evicted: first those that never sent a command, last those that are within one or
    /// are still to read an error.
    pub(super) fn eviction_rank(&self, now: u64) -> (bool, bool, u64) {
        let is_new = now < self.active_at + FIRST_COMMAND_GRACE;
        (
            !self.is_between_requests(),
            self.has_spoken || is_new,
            self.active_at,
        )
    }

    /// Notes how many bytes the client has accepted in all, and how many wait for it.
    pub(super) fn note_written(&mut self, accepted: u64, unsent: usize, now: u64) {
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
    pub(super) fn is_write_timed_out(&self, now: u64) -> bool {
        let is_over = |since: u64, timeout: u64| now.saturating_sub(since) >= timeout;
        self.blocked_write
            .is_some_and(|blocked| is_over(blocked.since, WRITE_TIMEOUT))
            || self
                .lingering_since
                .is_some_and(|since| is_over(since, LINGER_TIMEOUT))
    }

    /// Whether a client that is owed nothing has sent nothing for longer than it may, as far as it was read.
    pub(super) fn is_read_timed_out(&self, now: u64) -> bool {
        let is_owed = self.lingering_since.is_some()
            || self.blocked_write.is_some()
            || self.answers.pending() > 0;
        if is_owed || self.paused {
            return false;
        }
        let (since, timeout) = match (self.has_spoken, self.bytes.is_empty()) {
            (false, _) => (self.accepted_at, COMMAND_TIMEOUT),
            (true, false) => (self.active_at, COMMAND_TIMEOUT),
            (true, true) => (self.active_at, IDLE_TIMEOUT),
        };
        now.saturating_sub(since) >= timeout
    }
}
