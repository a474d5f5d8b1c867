//! The state of one client connection: its buffered bytes and replies, and its time-outs.

use super::arrival_times::ArrivalTimes;
use bytes::BytesMut;
use chalkdeck::api::RequestId;
use chalkdeck_net::write_progress::WriteProgress;
use chalkdeck_net::ConnId;
use chalkdeck_resp::{Frame, ReplyQueue};
use chalkdeck_time::{TimeDelta, Timestamp};
use rustc_hash::FxHashSet;

/// The time within which a new connection must send its first complete command, and the longest pause between bytes of a later command.
/// Slower connections are closed, which the platform expects within 3 s.
const COMMAND_TIMEOUT: TimeDelta = TimeDelta::from_secs(2);
/// Keep-alive time-out: the time after which a connection without an open request is closed.
const IDLE_TIMEOUT: TimeDelta = TimeDelta::from_secs(10);
/// The time after which a connection is closed whose client accepts no byte of its replies.
const WRITE_TIMEOUT: TimeDelta = TimeDelta::from_secs(10);
/// The longest time for which a command waits for memory before it is rejected.
const MAX_MEMORY_WAIT: TimeDelta = TimeDelta::from_millis(250);
/// The time that a new connection has to send its first command before it counts as idle.
const FIRST_COMMAND_GRACE: TimeDelta = TimeDelta::from_millis(50);
/// The time over which a shutdown spreads the closing of idle connections, so that their clients do not all reconnect at once.
const SHUTDOWN_SPREAD: TimeDelta = TimeDelta::from_millis(250);
/// Multiplier of Fibonacci hashing: spreads consecutive connection numbers evenly.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The state of one client connection.
#[derive(Default)]
pub(super) struct Session {
    /// Bytes received and not parsed yet.
    pub(super) bytes: BytesMut,
    /// Replies in the order of their commands.
    pub(super) replies: ReplyQueue<Frame>,
    /// Requests without a final reply.
    pub(super) open_requests: FxHashSet<RequestId>,
    /// The size of the part of the receive buffer before `bytes` that is still allocated.
    pub(super) consumed_bytes: usize,
    /// Whether flow control allows no further command now; `bytes` may contain complete ones.
    pub(super) is_blocked: bool,
    /// Whether memory is missing for the next command, or for the rest of an incomplete one.
    pub(super) is_waiting_for_memory: bool,
    /// Since when memory is missing for the next command.
    pub(super) memory_missing_since: Option<Timestamp>,
    /// The number of further bytes to discard: the rest of a command that was rejected before it was received whole.
    pub(super) discarded_bytes: usize,
    /// What the open requests take, with the replies expected to them.
    pub(super) open_bytes: usize,
    /// The size of the replies that are ready and not sent.
    pub(super) ready_bytes: usize,
    /// What the session takes of the memory budget.
    pub(super) held_bytes: usize,
    /// Whether the connection is queued in `Sessions::resume_queue`.
    pub(super) is_queued_to_resume: bool,
    /// Whether no more commands are read, because of a protocol error or `QUIT`.
    pub(super) is_read_closed: bool,
    /// Whether all replies to a client that is not read any more are queued, so that the event loop closes the connection once the
    /// client has them.
    pub(super) is_lingering: bool,
    /// Whether the client has sent at least one complete command.
    pub(super) has_sent_command: bool,
    accepted_at: Timestamp,
    /// When bytes were last received, a reply was last queued, or the client was last seen to accept bytes of one that it had not
    /// accepted whole.
    pub(super) last_active_at: Timestamp,
    /// When `bytes` arrived, at the earliest.
    pub(super) arrival_times: ArrivalTimes,
    /// Set while the client has not accepted all its replies.
    blocked_write: Option<WriteProgress>,
}

impl Session {
    pub(super) fn accepted(now: Timestamp) -> Session {
        Session {
            accepted_at: now,
            last_active_at: now,
            ..Session::default()
        }
    }

    /// What the session takes, with the memory of replies that its client has not accepted.
    pub(super) fn bytes_taken(&self, write_buffer_bytes: usize) -> usize {
        self.consumed_bytes
            + self.bytes.capacity()
            + self.open_bytes
            + self.ready_bytes
            + write_buffer_bytes
    }

    /// Whether the next command has waited too long for memory.
    pub(super) fn has_waited_for_memory(&self, now: Timestamp) -> bool {
        self.memory_missing_since
            .is_some_and(|since| now >= since + MAX_MEMORY_WAIT)
    }

    /// Whether `bytes` may contain a complete command that is not taken yet.
    pub(super) fn may_hold_command(&self) -> bool {
        self.is_blocked || self.is_queued_to_resume
    }

    /// Whether the client has no pending reply and has not begun a command.
    pub(super) fn is_between_requests(&self) -> bool {
        self.replies.pending() == 0 && self.bytes.is_empty() && !self.is_lingering
    }

    /// Whether a shutdown that began at `since` may close the connection now. The delay of each connection is a hash of its number, which
    /// spreads the closing evenly over `SHUTDOWN_SPREAD`.
    pub(super) fn may_close(&self, conn: ConnId, since: Timestamp, now: Timestamp) -> bool {
        let hash = conn.0.wrapping_mul(HASH_MULTIPLIER) >> 32;
        let delay = TimeDelta::from_micros(hash % SHUTDOWN_SPREAD.as_micros());
        let had_time_for_command =
            self.has_sent_command || now >= self.accepted_at + FIRST_COMMAND_GRACE;
        now >= since + delay && had_time_for_command
    }

    /// Whether the client has sent no complete command, but may be about to send its first one.
    pub(super) fn is_new(&self, now: Timestamp) -> bool {
        !self.has_sent_command && now < self.accepted_at + FIRST_COMMAND_GRACE
    }

    /// Records the total number of bytes that the client has accepted, and the number that it has not.
    pub(super) fn record_write_progress(
        &mut self,
        accepted_bytes: u64,
        unsent: usize,
        now: Timestamp,
    ) {
        let begun = WriteProgress::begin(now.as_micros(), accepted_bytes);
        let mut progress = self.blocked_write.unwrap_or(begun);
        if progress.observe(now.as_micros(), accepted_bytes) {
            self.last_active_at = now;
        }
        self.blocked_write = (unsent > 0).then_some(progress);
    }

    /// Whether the client has accepted no bytes within the write time-out.
    pub(super) fn is_write_timed_out(&self, now: Timestamp) -> bool {
        self.has_write_stalled_for(now, WRITE_TIMEOUT)
    }

    /// Whether the client has accepted no byte of the replies to it for so long.
    pub(super) fn has_write_stalled_for(&self, now: Timestamp, time: TimeDelta) -> bool {
        self.blocked_write
            .is_some_and(|progress| progress.has_stalled_for(now.as_micros(), time.as_micros()))
    }

    /// Whether a client that has all its replies has exceeded the command or idle time-out. Only bytes that were read count as received.
    pub(super) fn is_read_timed_out(&self, now: Timestamp) -> bool {
        let has_unread_replies = self.blocked_write.is_some() || self.replies.pending() > 0;
        if has_unread_replies || self.may_hold_command() {
            return false;
        }
        let is_within_command = !self.bytes.is_empty() || self.discarded_bytes > 0;
        if !self.has_sent_command {
            now - self.accepted_at >= COMMAND_TIMEOUT
        } else if is_within_command {
            now - self.last_active_at >= COMMAND_TIMEOUT
        } else {
            now - self.last_active_at >= IDLE_TIMEOUT
        }
    }
}
