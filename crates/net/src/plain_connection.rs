//! Plain bytes both ways, for protocols other than HTTP.

use crate::close_reason::CloseReason;
use bytes::{Buf, Bytes, BytesMut};
use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::Shutdown;

/// Bytes that one read takes at the most.
const MAX_READ_BYTES: usize = 16 << 10;
/// Reads of bytes that are discarded, before others have their turn.
const MAX_DISCARD_READS_PER_POLL: usize = 16;

/// How our direction ends, once the queued bytes are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// It does not.
    Open,
    /// With the connection.
    Close,
    /// Alone: what is received is discarded until the peer ends its direction, too.
    Linger,
}

pub(crate) struct PlainConnection {
    stream: TcpStream,
    write_buffer: BytesMut,
    /// Bytes that were written in all.
    pub(crate) written_bytes: u64,
    pub(crate) is_read_paused: bool,
    pub(crate) ending: Ending,
    /// Our direction was ended.
    is_write_shut_down: bool,
    /// Bytes are queued, and no write was tried since.
    pub(crate) has_unflushed: bool,
    /// The end of the peer, or an error, was reported: a short read is not the last one.
    pub(crate) has_peer_ended: bool,
}

/// What polling a plain connection led to.
pub(crate) enum PlainProgress {
    Wait,
    Bytes {
        data: Bytes,
        /// There may be more to read at once.
        may_have_more: bool,
    },
    Closed(CloseReason),
}

impl PlainConnection {
    pub(crate) fn new(stream: TcpStream) -> PlainConnection {
        PlainConnection {
            stream,
            write_buffer: BytesMut::new(),
            written_bytes: 0,
            is_read_paused: false,
            ending: Ending::Open,
            is_write_shut_down: false,
            has_unflushed: false,
            has_peer_ended: false,
        }
    }

    /// Queues bytes; returns whether a flush has to be scheduled for them.
    pub(crate) fn write(&mut self, bytes: &[u8]) -> bool {
        self.write_buffer.extend_from_slice(bytes);
        !std::mem::replace(&mut self.has_unflushed, true)
    }

    pub(crate) fn unsent_bytes(&self) -> usize {
        self.write_buffer.len()
    }

    /// Whether nothing waits in the socket: no byte, no end, no error.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    pub(crate) fn poll(&mut self) -> PlainProgress {
        if let Err(error) = self.flush() {
            return PlainProgress::Closed(error.into());
        }
        match self.ending {
            Ending::Open if self.is_read_paused && self.has_peer_ended => {
                PlainProgress::Closed(self.peer_end_reason())
            }
            Ending::Open if self.is_read_paused => PlainProgress::Wait,
            Ending::Open => self.read(),
            _ if !self.write_buffer.is_empty() => PlainProgress::Wait,
            Ending::Close => PlainProgress::Closed(CloseReason::Local),
            Ending::Linger => self.discard_input(),
        }
    }

    /// Why the end of the peer was reported while reading is paused: it stands behind bytes that stay unread.
    fn peer_end_reason(&self) -> CloseReason {
        match self.stream.take_error() {
            Ok(Some(error)) | Err(error) => error.into(),
            Ok(None) => CloseReason::PeerEnded,
        }
    }

    fn read(&mut self) -> PlainProgress {
        let mut buffer = [0; MAX_READ_BYTES];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return PlainProgress::Closed(CloseReason::PeerEnded),
                // Readiness is reported once: a short read has emptied the socket, and later bytes are reported anew.
                Ok(length) => {
                    return PlainProgress::Bytes {
                        data: Bytes::copy_from_slice(&buffer[..length]),
                        may_have_more: length == MAX_READ_BYTES || self.has_peer_ended,
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return PlainProgress::Wait
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return PlainProgress::Closed(error.into()),
            }
        }
    }

    /// Ends our direction once; returns whether the connection is still open.
    fn shut_down_write(&mut self) -> bool {
        let was_shut_down = std::mem::replace(&mut self.is_write_shut_down, true);
        was_shut_down || self.stream.shutdown(Shutdown::Write).is_ok()
    }

    fn discard_input(&mut self) -> PlainProgress {
        if !self.shut_down_write() {
            return PlainProgress::Closed(CloseReason::PeerEnded);
        }
        for _ in 0..MAX_DISCARD_READS_PER_POLL {
            match self.read() {
                PlainProgress::Bytes { .. } => {}
                progress => return progress,
            }
        }
        PlainProgress::Bytes {
            data: Bytes::new(),
            may_have_more: true,
        }
    }

    /// Writes queued bytes as far as the socket takes them.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        while !self.write_buffer.is_empty() {
            match self.stream.write(&self.write_buffer) {
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
