//! Lingering closes, within time limits.

use super::Engine;
use crate::close_reason::CloseReason;
use crate::ids::ConnId;
use crate::lingering_close::LingeringClose;
use std::cmp::Reverse;

/// The interval at which lingering closes are checked for time-outs, in microseconds.
const CHECK_INTERVAL_MICROS: u64 = 100_000;

impl Engine {
    /// Ends a plain connection without losing its queued bytes: they are written, then the write side is shut down, and input is
    /// discarded until the peer shuts down its side too. `Event::Closed` follows then, or when the peer takes too long.
    pub fn start_lingering_close(&mut self, conn: ConnId) {
        let now = self.now();
        let Some((plain, waker)) = self.plain(conn) else {
            return;
        };
        if plain.lingering_close.is_some() {
            return;
        }
        waker.wake_by_ref();
        plain.lingering_close = Some(LingeringClose::begin(now, plain.written_bytes));
        self.check_lingering_close(conn, now);
    }

    /// When all bytes of a connection in a lingering close were written, in microseconds; `None` if some are queued, or if no
    /// lingering close has begun.
    pub fn lingering_since(&mut self, conn: ConnId) -> Option<u64> {
        let (plain, _) = self.plain(conn)?;
        plain.lingering_close?.written_at()
    }

    /// Checks the lingering closes that are due.
    pub(super) fn check_lingering_closes(&mut self, now: u64) {
        while let Some(Reverse((at, key))) = self.lingering_checks.peek().copied() {
            if at > now {
                return;
            }
            self.lingering_checks.pop();
            self.check_lingering_close(ConnId(key), now);
        }
    }

    /// Closes a connection whose lingering close has timed out; schedules the next check otherwise.
    pub(super) fn check_lingering_close(&mut self, conn: ConnId, now: u64) {
        let Some((plain, _)) = self.plain(conn) else {
            return;
        };
        // Polling the connection runs into the same error and reports it.
        let _ = plain.flush();
        let (written_bytes, unsent_bytes) = (plain.written_bytes, plain.unsent_bytes());
        let Some(lingering_close) = &mut plain.lingering_close else {
            return;
        };
        lingering_close.record_progress(now, written_bytes, unsent_bytes);
        if lingering_close.has_timed_out(now) {
            return self.remove_connection(conn.0, CloseReason::ClosedLocally);
        }
        let next = now + CHECK_INTERVAL_MICROS;
        self.lingering_checks.push(Reverse((next, conn.0)));
    }
}
