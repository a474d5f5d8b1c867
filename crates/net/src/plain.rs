//! What the loop does for plain connections: bytes queued and written, their ends, and what waits on an idle one.

use crate::conn::{Conn, Link};
use crate::engine::{ConnId, Engine};
use crate::raw::{Ending, Raw};
use std::task::Waker;

impl Engine {
    fn raw(&mut self, conn: ConnId) -> Option<(&mut Raw, &Waker)> {
        match self.conns.get_mut(&conn.0) {
            Some(Conn {
                link: Link::Raw(raw),
                waker,
                ..
            }) => Some((raw, waker)),
            _ => None,
        }
    }

    /// Queues bytes on a plain connection.
    pub fn write(&mut self, conn: ConnId, bytes: &[u8]) {
        if let Some((raw, _)) = self.raw(conn) {
            if raw.write(bytes) {
                self.dirty.push(conn.0);
            }
        }
    }
    /// Bytes queued on a plain connection that its peer has not taken.
    pub fn unsent(&mut self, conn: ConnId) -> usize {
        self.raw(conn).map_or(0, |(raw, _)| raw.unsent())
    }
    /// Bytes of a plain connection that left this process, in all.
    pub fn taken(&mut self, conn: ConnId) -> u64 {
        self.raw(conn).map_or(0, |(raw, _)| raw.taken)
    }
    /// Reads nothing from a plain connection, or goes on.
    pub fn pause(&mut self, conn: ConnId, paused: bool) {
        if let Some((raw, waker)) = self.raw(conn).filter(|(raw, _)| raw.paused != paused) {
            raw.paused = paused;
            waker.wake_by_ref();
        }
    }
    /// Ends a plain connection once its queued bytes are out.
    pub fn end(&mut self, conn: ConnId) {
        self.end_as(conn, Ending::Close);
    }
    /// Ends our direction of a plain connection once its queued bytes are out, then drops what comes until the peer ends
    /// it or `close`: a close over unread bytes would take the last answer from the peer.
    pub fn linger(&mut self, conn: ConnId) {
        self.end_as(conn, Ending::Linger);
    }
    fn end_as(&mut self, conn: ConnId, ending: Ending) {
        if let Some((raw, waker)) = self.raw(conn) {
            raw.ending = ending;
            waker.wake_by_ref();
        }
    }
    /// The caller deals with the bytes of a plain connection that the last turn handed over.
    pub fn handled(&mut self, conn: ConnId) {
        self.unhandled.remove(&conn.0);
    }
    /// Whether a plain connection stands with nothing to read: no end, no error and no bytes that nobody asked for, neither in
    /// the socket nor among the events of the last turn that were not `handled` yet.
    pub fn is_quiet(&mut self, conn: ConnId) -> bool {
        !self.unhandled.contains(&conn.0) && self.raw(conn).is_some_and(|(raw, _)| raw.is_quiet())
    }
    /// Closes a plain connection on which nothing waits, neither to go out nor to be read; whether it did.
    pub fn close_if_quiet(&mut self, conn: ConnId) -> bool {
        let flushed = |raw: &mut Raw| raw.flush().is_ok() && raw.unsent() == 0;
        let quiet = self.is_quiet(conn) && self.raw(conn).is_some_and(|(raw, _)| flushed(raw));
        if quiet {
            self.close(conn);
        }
        quiet
    }

    pub(crate) fn write_dirty(&mut self) {
        for key in std::mem::take(&mut self.dirty) {
            let Some(Conn {
                link: Link::Raw(raw),
                waker,
                ..
            }) = self.conns.get_mut(&key)
            else {
                continue;
            };
            raw.dirty = false;
            // An error is met again and told when the connection is polled.
            if raw.flush().is_err() {
                waker.wake_by_ref();
            }
        }
    }
}
