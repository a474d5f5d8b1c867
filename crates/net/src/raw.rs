//! Plain bytes both ways, for protocols that are no HTTP.

use bytes::{Buf, Bytes, BytesMut};
use mio::net::TcpStream;
use std::io::{self, Read, Write};

/// Bytes that one read takes at the most.
const CHUNK: usize = 16 << 10;

pub(crate) struct Raw {
    stream: TcpStream,
    out: BytesMut,
    pub(crate) paused: bool,
    pub(crate) ending: bool,
}

pub(crate) enum Step {
    Wait,
    Bytes(Bytes),
    Close(String),
}

impl Raw {
    pub(crate) fn new(stream: TcpStream) -> Raw {
        Raw { stream, out: BytesMut::new(), paused: false, ending: false }
    }
    pub(crate) fn write(&mut self, bytes: &[u8]) {
        self.out.extend_from_slice(bytes);
    }
    pub(crate) fn unsent(&self) -> usize {
        self.out.len()
    }

    pub(crate) fn poll(&mut self) -> Step {
        if let Err(e) = self.flush() {
            return Step::Close(e.to_string());
        }
        if self.ending && self.out.is_empty() {
            return Step::Close("closed here".to_string());
        }
        if self.paused || self.ending {
            return Step::Wait;
        }
        let mut chunk = [0; CHUNK];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Step::Close("closed by the peer".to_string()),
                Ok(n) => return Step::Bytes(Bytes::copy_from_slice(&chunk[..n])),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Step::Wait,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Step::Close(e.to_string()),
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        while !self.out.is_empty() {
            match self.stream.write(&self.out) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.out.advance(n),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
