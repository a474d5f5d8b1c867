//! Plain connections: queued bytes, ends, and what waits on an idle one.

use super::Engine;
use crate::connection::{Connection, Transport};
use crate::ids::ConnId;
use crate::plain_connection::{Ending, PlainConnection};
use std::task::Waker;

impl Engine {
    fn plain(&mut self, conn: ConnId) -> Option<(&mut PlainConnection, &Waker)> {
        match self.connections.get_mut(&conn.0) {
            Some(Connection {
                transport: Transport::Plain(plain),
                waker,
                ..
            }) => Some((plain, waker)),
            _ => None,
        }
    }

    /// Queues bytes on a plain connection.
    pub fn write(&mut self, conn: ConnId, bytes: &[u8]) {
        if let Some((plain, _)) = self.plain(conn) {
            if plain.write(bytes) {
                self.unflushed.push(conn.0);
            }
        }
    }

    /// Bytes queued on a plain connection that were not written.
    pub fn unsent_bytes(&mut self, conn: ConnId) -> usize {
        self.plain(conn)
            .map_or(0, |(plain, _)| plain.unsent_bytes())
    }

    /// Bytes of a plain connection that were written in all.
    pub fn written_bytes(&mut self, conn: ConnId) -> u64 {
        self.plain(conn).map_or(0, |(plain, _)| plain.written_bytes)
    }

    /// Pauses or resumes reading from a plain connection.
    pub fn set_read_paused(&mut self, conn: ConnId, is_paused: bool) {
        let changed = self
            .plain(conn)
            .filter(|(plain, _)| plain.is_read_paused != is_paused);
        if let Some((plain, waker)) = changed {
            plain.is_read_paused = is_paused;
            waker.wake_by_ref();
        }
    }

    /// Closes a plain connection once its queued bytes are written.
    pub fn close_after_flush(&mut self, conn: ConnId) {
        self.set_ending(conn, Ending::Close);
    }

    /// Ends our direction of a plain connection once its queued bytes are written, then discards what is received until the peer ends
    /// it or `close` is called: a close over unread bytes would take the last reply from the peer.
    pub fn start_lingering_close(&mut self, conn: ConnId) {
        self.set_ending(conn, Ending::Linger);
    }

    fn set_ending(&mut self, conn: ConnId, ending: Ending) {
        if let Some((plain, waker)) = self.plain(conn) {
            plain.ending = ending;
            waker.wake_by_ref();
        }
    }

    /// The caller handles the bytes of a plain connection that the last turn handed over.
    pub fn mark_handled(&mut self, conn: ConnId) {
        self.unhandled.remove(&conn.0);
    }

    /// Whether a plain connection is open with nothing to read: no end, no error and no bytes, neither in the socket nor among the
    /// events of the last turn that were not `handled` yet.
    pub fn is_idle(&mut self, conn: ConnId) -> bool {
        !self.unhandled.contains(&conn.0)
            && self.plain(conn).is_some_and(|(plain, _)| plain.is_idle())
    }

    /// Closes a plain connection on which nothing waits, neither to be written nor to be read; returns whether it did.
    pub fn close_if_idle(&mut self, conn: ConnId) -> bool {
        let is_idle = self.is_idle(conn)
            && self
                .plain(conn)
                .is_some_and(|(plain, _)| plain.flush().is_ok() && plain.unsent_bytes() == 0);
        if is_idle {
            self.close(conn);
        }
        is_idle
    }

    /// Writes what was queued on plain connections in this turn.
    pub(super) fn flush_plain(&mut self) {
        for key in std::mem::take(&mut self.unflushed) {
            let Some((plain, waker)) = self.plain(ConnId(key)) else {
                continue;
            };
            plain.has_unflushed = false;
            // An error occurs again, and is reported, when the connection is polled.
            if plain.flush().is_err() {
                waker.wake_by_ref();
            }
        }
    }
}
