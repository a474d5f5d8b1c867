//! Plain bytes both ways, for protocols that are no HTTP.

use crate::close::CloseReason;
use bytes::{Buf, Bytes, BytesMut};
use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::Shutdown;

/// Bytes that one read takes at the most.
const CHUNK: usize = 16 << 10;
/// Reads of bytes that nobody wants, before others have their turn.
const DROPS: usize = 16;

/// How our direction ends, once the queued bytes are out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// It does not.
    No,
    /// With the connection.
    Close,
    /// Alone: what comes is dropped until the peer ends too.
    Linger,
}

pub(crate) struct Raw {
    stream: TcpStream,
    out: BytesMut,
    /// Bytes that the system took in all.
    pub(crate) taken: u64,
    pub(crate) paused: bool,
    pub(crate) ending: Ending,
    /// Our direction was ended.
    shut: bool,
    /// Bytes are queued that no write was tried for.
    pub(crate) dirty: bool,
    /// The peer's end, or an error, was seen: a short read is not the last.
    pub(crate) ends: bool,
}

pub(crate) enum Step {
    Wait,
    /// Bytes, and whether there may be more to read at once.
    Bytes(Bytes, bool),
    Close(CloseReason),
}

impl Raw {
    pub(crate) fn new(stream: TcpStream) -> Raw {
        let (out, ending) = (BytesMut::new(), Ending::No);
        Raw {
            stream,
            out,
            taken: 0,
            paused: false,
            ending,
            shut: false,
            dirty: false,
            ends: false,
        }
    }
    /// Queues bytes; returns whether the connection was not dirty before.
    pub(crate) fn write(&mut self, bytes: &[u8]) -> bool {
        self.out.extend_from_slice(bytes);
        !std::mem::replace(&mut self.dirty, true)
    }
    pub(crate) fn unsent(&self) -> usize {
        self.out.len()
    }
    /// Whether nothing waits in the socket: no byte, no end, no error.
    pub(crate) fn is_quiet(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    pub(crate) fn poll(&mut self) -> Step {
        if let Err(e) = self.flush() {
            return Step::Close(e.into());
        }
        match self.ending {
            Ending::No if self.paused && self.ends => Step::Close(self.end_reason()),
            Ending::No if self.paused => Step::Wait,
            Ending::No => self.read(),
            _ if !self.out.is_empty() => Step::Wait,
            Ending::Close => Step::Close(CloseReason::Local),
            Ending::Linger => self.drop_input(),
        }
    }

    /// Why the peer's end was announced while nothing is read: it stands behind bytes that stay unread.
    fn end_reason(&self) -> CloseReason {
        match self.stream.take_error() {
            Ok(Some(error)) | Err(error) => error.into(),
            Ok(None) => CloseReason::PeerEnded,
        }
    }

    fn read(&mut self) -> Step {
        let mut chunk = [0; CHUNK];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Step::Close(CloseReason::PeerEnded),
                // Readiness is told once: a short read emptied the socket, what comes later is told anew.
                Ok(n) => {
                    return Step::Bytes(
                        Bytes::copy_from_slice(&chunk[..n]),
                        n == CHUNK || self.ends,
                    );
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Step::Wait,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Step::Close(e.into()),
            }
        }
    }

    /// Ends our direction once; whether the connection still stands.
    fn shut_write(&mut self) -> bool {
        std::mem::replace(&mut self.shut, true) || self.stream.shutdown(Shutdown::Write).is_ok()
    }

    fn drop_input(&mut self) -> Step {
        if !self.shut_write() {
            return Step::Close(CloseReason::PeerEnded);
        }
        for _ in 0..DROPS {
            match self.read() {
                Step::Bytes(..) => {}
                step => return step,
            }
        }
        Step::Bytes(Bytes::new(), true)
    }

    pub(crate) fn flush(&mut self) -> io::Result<()> {
        while !self.out.is_empty() {
            match self.stream.write(&self.out) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.out.advance(n);
                    self.taken += n as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
