//! Flow control of RESP connections: reading from a client is paused while too many of its replies are pending or unread, and a client
//! that makes no progress is closed.

use super::session::Session;
use crate::gateway_server::{GatewayServer, TimerPurpose};
use chalkdeck_net::ConnId;

/// The number of commands with pending replies on one connection at which reading is paused.
const MAX_PENDING_COMMANDS: usize = 1_024;
/// Reading is resumed below this number of pending commands, so that it is not paused again at once.
const RESUME_PENDING_COMMANDS: usize = MAX_PENDING_COMMANDS / 2;
/// The number of reply bytes not accepted by a client above which reading from it is paused.
const MAX_UNSENT_BYTES: usize = 256 << 10;
/// The interval at which a client is checked for progress within a command, or while too many of its replies are unread.
const PROGRESS_CHECK_INTERVAL_MICROS: u64 = 100_000;
/// The time without progress after which such a client is closed.
const STALL_TIMEOUT_MICROS: u64 = 30_000_000;

/// Whether a session has reached its limits; `unsent` is the number of reply bytes that its client has not accepted.
pub(super) fn exceeds_limits(session: &Session, unsent: usize) -> bool {
    session.pending_replies() >= MAX_PENDING_COMMANDS || unsent > MAX_UNSENT_BYTES
}

impl GatewayServer {
    /// Schedules the resumption of a paused connection, or the next check whether its client reads its replies.
    pub(super) fn schedule_resp_resume(&mut self, conn: ConnId) {
        let unsent = self.engine.unsent_bytes(conn);
        let Some(session) = self.resp_session(conn).filter(|session| session.is_paused) else {
            return;
        };
        if unsent > MAX_UNSENT_BYTES {
            self.schedule_resp_progress_check(conn);
        } else if session.pending_replies() < RESUME_PENDING_COMMANDS
            && !std::mem::replace(&mut session.is_resume_scheduled, true)
        {
            // Reading resumes in the next turn of the event loop, so that a long pipeline does not delay other clients.
            self.set_timer(0, TimerPurpose::RespResume(conn));
        }
    }

    /// Schedules the next check of a client's progress, unless one is scheduled.
    pub(super) fn schedule_resp_progress_check(&mut self, conn: ConnId) {
        let Some(session) = self.resp_session(conn) else {
            return;
        };
        if !std::mem::replace(&mut session.is_progress_check_scheduled, true) {
            self.set_timer(
                PROGRESS_CHECK_INTERVAL_MICROS,
                TimerPurpose::RespProgressCheck(conn),
            );
        }
    }

    /// Resumes reading from a paused connection.
    pub(crate) fn resume_resp_connection(&mut self, conn: ConnId) {
        if let Some(session) = self.resp_session(conn) {
            (session.is_paused, session.is_resume_scheduled) = (false, false);
            self.process_resp_commands(conn);
        }
    }

    /// Closes a connection whose client has made no progress for the time-out; one whose client has read its replies is resumed. A client
    /// that waits for a reply is not closed for an incomplete command behind it.
    pub(crate) fn check_resp_progress(&mut self, conn: ConnId) {
        let now = self.engine.now();
        let unsent = self.engine.unsent_bytes(conn);
        let written = self.engine.written_bytes(conn);
        let Some(session) = self.resp_session(conn) else {
            return;
        };
        session.is_progress_check_scheduled = false;
        session.record_written_bytes(written, now);
        let is_incomplete = !session.bytes.is_empty() && !session.is_paused;
        let is_stalled = session.last_progress_at + STALL_TIMEOUT_MICROS <= now;
        let is_owed_nothing = session.pending_replies() == 0 && unsent == 0;
        if is_stalled && (unsent > MAX_UNSENT_BYTES || is_incomplete && is_owed_nothing) {
            tracing::info!(
                ?conn,
                half = is_incomplete,
                unread = unsent,
                "closing a RESP client that makes no progress"
            );
            self.engine.close(conn);
        } else if is_incomplete {
            self.schedule_resp_progress_check(conn);
        } else {
            self.schedule_resp_resume(conn);
        }
    }
}
