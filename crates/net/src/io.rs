//! A mio socket under the I/O traits that `h2` speaks. Readiness comes from the poll loop, which polls the
//! connection again, so nothing is registered here.

use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

pub(crate) struct Io(pub(crate) TcpStream);

fn ready<T>(result: io::Result<T>) -> Poll<io::Result<T>> {
    match result {
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
        other => Poll::Ready(other),
    }
}

impl AsyncRead for Io {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            match self.0.read(buf.initialize_unfilled()) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                result => return ready(result.map(|n| buf.advance(n))),
            }
        }
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready(self.0.write(buf))
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready(self.0.write_vectored(bufs))
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready(self.0.shutdown(std::net::Shutdown::Write))
    }
}
