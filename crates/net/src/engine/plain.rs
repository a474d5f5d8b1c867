//! Writing, pausing and closing plain connections.

use super::Engine;
use crate::connection::{Connection, Transport};
use crate::ids::ConnId;
use crate::plain_connection::PlainConnection;
use std::task::Waker;

impl Engine {
    pub(super) fn plain(&mut self, conn: ConnId) -> Option<(&mut PlainConnection, &Waker)> {
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

    /// The number of bytes that are queued on a plain connection and not written to its socket yet.
    pub fn unsent_bytes(&mut self, conn: ConnId) -> usize {
        self.plain(conn)
            .map_or(0, |(plain, _)| plain.unsent_bytes())
    }

    /// The memory that the bytes queued on a plain connection take.
    pub fn write_buffer_bytes(&mut self, conn: ConnId) -> usize {
        self.plain(conn)
            .map_or(0, |(plain, _)| plain.buffer_bytes())
    }

    /// The total number of bytes written to the socket of a plain connection.
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

    /// Looks whether the socket of a plain connection is empty, unless it is known to be: it has then had no unread bytes since now.
    pub fn check_unread(&mut self, conn: ConnId) {
        if let Some((plain, _)) = self.plain(conn) {
            if plain.unread_since.is_some() && plain.is_idle() {
                plain.unread_since = None;
            }
        }
    }

    /// Whether the socket of a plain connection may have had unread bytes for so long, or its end.
    pub fn has_unread_for(&mut self, conn: ConnId, micros: u64) -> bool {
        let latest = self.now().saturating_sub(micros);
        let is_unread = |plain: &PlainConnection| {
            let since = plain.unread_since;
            since.is_some_and(|since| since <= latest)
        };
        if !self.plain(conn).is_some_and(|(plain, _)| is_unread(plain)) {
            return false;
        }
        self.check_unread(conn);
        self.plain(conn).is_some_and(|(plain, _)| is_unread(plain))
    }

    /// Whether the poll has reported that the peer ended its side of a plain connection, or an error. Bytes before the end may be unread.
    pub fn has_peer_ended(&mut self, conn: ConnId) -> bool {
        self.plain(conn)
            .is_some_and(|(plain, _)| plain.has_peer_ended)
    }

    /// Marks the bytes that the last turn reported for a plain connection as handled.
    pub fn mark_handled(&mut self, conn: ConnId) {
        self.unhandled.remove(&conn.0);
    }

    /// Whether a plain connection is open and has nothing to read: no end of input, no error and no bytes, neither in the
    /// socket nor among the events of the last turn that are not marked as handled.
    pub fn is_idle(&mut self, conn: ConnId) -> bool {
        !self.unhandled.contains(&conn.0)
            && self.plain(conn).is_some_and(|(plain, _)| plain.is_idle())
    }

    /// Writes what is queued on a plain connection, as far as its socket accepts it without waiting; returns whether the connection is
    /// open and nothing is left to write.
    pub fn flush(&mut self, conn: ConnId) -> bool {
        self.plain(conn)
            .is_some_and(|(plain, _)| plain.flush().is_ok() && plain.unsent_bytes() == 0)
    }

    /// Closes a plain connection that has nothing to read or to write; returns whether it did.
    pub fn close_if_idle(&mut self, conn: ConnId) -> bool {
        let is_idle = self.is_idle(conn) && self.flush(conn);
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
            plain.has_unflushed_bytes = false;
            // Polling the connection runs into the same error and reports it.
            if plain.flush().is_err() {
                waker.wake_by_ref();
            }
        }
    }
}
