//! Plain TCP connections, for protocols other than HTTP.

use crate::close_reason::CloseReason;
use crate::lingering_close::LingeringClose;
use bytes::{Buf, Bytes, BytesMut};
use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::sync::Arc;

/// Maximum number of bytes per read of any connection.
pub const MAX_READ_BYTES: usize = 16 << 10;
/// A shorter read that leaves nothing in the socket shows that the peer has no more to send.
const MIN_LONG_READ_BYTES: usize = 2 << 10;
/// A buffer without queued bytes is released if it is larger than this.
const MAX_IDLE_BUFFER_BYTES: usize = 512;
/// Maximum number of reads of discarded input in one poll, so that other connections are not delayed.
const MAX_DISCARD_READS_PER_POLL: usize = 16;

/// A plain connection with its queued bytes.
pub(crate) struct PlainConnection {
    stream: Arc<TcpStream>,
    write_buffer: BytesMut,
    /// The number of written bytes whose memory the buffer still takes.
    released_bytes: usize,
    /// The total number of bytes written to the socket.
    pub(crate) written_bytes: u64,
    pub(crate) is_read_paused: bool,
    /// Maximum number of bytes per read. A shorter read shows that the socket was empty.
    max_read_bytes: usize,
    /// Since when the socket may contain unread bytes; `None` if it was read empty and no event has followed.
    pub(crate) unread_since: Option<u64>,
    /// Set once a lingering close has begun: the queued bytes are written, then the write side is shut down, and input is discarded
    /// until the peer shuts down its side.
    pub(crate) lingering_close: Option<LingeringClose>,
    /// The write side was shut down.
    is_write_shut_down: bool,
    /// Bytes were queued since the last flush.
    pub(crate) has_unflushed_bytes: bool,
    /// The poll reported that the peer closed its side, or an error. No further readiness event follows, so a short read does
    /// not mean that the socket is empty.
    pub(crate) has_peer_ended: bool,
}

/// The result of polling a plain connection.
pub(crate) enum PlainProgress {
    Wait,
    Bytes {
        data: Bytes,
        /// The earliest time at which they may have arrived, if it is known.
        arrived_since: Option<u64>,
        /// Whether there may be more to read without waiting.
        may_have_more: bool,
    },
    Closed(CloseReason),
}

impl PlainConnection {
    /// A connection that is read by at most `max_read_bytes` at once.
    pub(crate) fn new(stream: Arc<TcpStream>, max_read_bytes: usize) -> PlainConnection {
        PlainConnection {
            stream,
            write_buffer: BytesMut::new(),
            released_bytes: 0,
            written_bytes: 0,
            is_read_paused: false,
            max_read_bytes: max_read_bytes.min(MAX_READ_BYTES),
            unread_since: None,
            lingering_close: None,
            is_write_shut_down: false,
            has_unflushed_bytes: false,
            has_peer_ended: false,
        }
    }

    /// Queues bytes; returns whether a flush has to be scheduled for them.
    pub(crate) fn write(&mut self, bytes: &[u8]) -> bool {
        self.write_buffer.extend_from_slice(bytes);
        !std::mem::replace(&mut self.has_unflushed_bytes, true)
    }

    /// The memory that the buffer of queued bytes takes.
    pub(crate) fn buffer_bytes(&self) -> usize {
        self.released_bytes + self.write_buffer.capacity()
    }

    pub(crate) fn unsent_bytes(&self) -> usize {
        self.write_buffer.len()
    }

    /// Whether the socket has nothing to read: no bytes, no end of input and no error.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    pub(crate) fn poll(&mut self) -> PlainProgress {
        if let Err(error) = self.flush() {
            return PlainProgress::Closed(error.into());
        }
        if self.lingering_close.is_some() {
            return self.continue_lingering_close();
        }
        if !self.is_read_paused {
            return self.read();
        }
        if self.has_peer_ended {
            return PlainProgress::Closed(self.peer_end_reason());
        }
        PlainProgress::Wait
    }

    fn continue_lingering_close(&mut self) -> PlainProgress {
        if !self.write_buffer.is_empty() {
            return PlainProgress::Wait;
        }
        if !self.shut_down_write() {
            return PlainProgress::Closed(CloseReason::PeerEnded);
        }
        self.discard_input()
    }

    /// Shuts down the write side if it is open; returns whether the connection is still usable.
    fn shut_down_write(&mut self) -> bool {
        let was_shut_down = std::mem::replace(&mut self.is_write_shut_down, true);
        was_shut_down || self.stream.shutdown(Shutdown::Write).is_ok()
    }

    /// Why the connection closes when the peer ended it while reading is paused. Unread bytes may precede the end of input, so this
    /// checks the socket for an error instead of reading it.
    fn peer_end_reason(&self) -> CloseReason {
        match self.stream.take_error() {
            Ok(Some(error)) | Err(error) => error.into(),
            Ok(None) => CloseReason::PeerEnded,
        }
    }

    fn read(&mut self) -> PlainProgress {
        let mut buffer = [0; MAX_READ_BYTES];
        loop {
            match (&*self.stream).read(&mut buffer[..self.max_read_bytes]) {
                Ok(0) => return PlainProgress::Closed(CloseReason::PeerEnded),
                // Readiness is edge-triggered: after a short read the socket is empty, and further bytes cause a new event.
                Ok(length) => {
                    let arrived_since = self.unread_since;
                    let may_have_more = length == self.max_read_bytes || self.has_peer_ended;
                    // Behind a longer read, more may arrive as soon as the peer sees that there is room for it.
                    if !may_have_more && length < MIN_LONG_READ_BYTES {
                        self.unread_since = None;
                    }
                    return PlainProgress::Bytes {
                        data: Bytes::copy_from_slice(&buffer[..length]),
                        arrived_since,
                        may_have_more,
                    };
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.unread_since = None;
                    return PlainProgress::Wait;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return PlainProgress::Closed(error.into()),
            }
        }
    }

    /// Reads and discards input after the write side is shut down. Empty `Bytes` ask for another poll.
    fn discard_input(&mut self) -> PlainProgress {
        for _ in 0..MAX_DISCARD_READS_PER_POLL {
            match self.read() {
                PlainProgress::Bytes { .. } => {}
                progress => return progress,
            }
        }
        PlainProgress::Bytes {
            data: Bytes::new(),
            arrived_since: None,
            may_have_more: true,
        }
    }

    /// Writes as many queued bytes as the socket accepts.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        let queued = self.write_buffer.len();
        let result = self.write_queued();
        self.released_bytes += queued - self.write_buffer.len();
        if self.released_bytes > self.write_buffer.len().max(MAX_IDLE_BUFFER_BYTES) {
            self.shrink_buffer();
        }
        result
    }

    /// Releases the memory of bytes that were written.
    fn shrink_buffer(&mut self) {
        self.write_buffer = BytesMut::from(&self.write_buffer[..]);
        self.released_bytes = 0;
    }

    fn write_queued(&mut self) -> io::Result<()> {
        while !self.write_buffer.is_empty() {
            match (&*self.stream).write(&self.write_buffer) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(length) => {
                    self.write_buffer.advance(length);
                    self.written_bytes += length as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}
