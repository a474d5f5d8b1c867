//! Implements the I/O traits that `h2` needs for a mio socket. The event loop polls the connection again when the socket is ready,
//! so no waker is registered here.

use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A mio socket with tokio's I/O traits. It is shared, since `h2` does not return it when its connection has ended.
pub(crate) struct H2Socket(pub(crate) Arc<TcpStream>);

fn pending_if_blocked<T>(result: io::Result<T>) -> Poll<io::Result<T>> {
    match result {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
        other => Poll::Ready(other),
    }
}

impl AsyncRead for H2Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            match (&*self.0).read(buffer.initialize_unfilled()) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => {
                    return pending_if_blocked(result.map(|length| buffer.advance(length)));
                }
            }
        }
    }
}

impl AsyncWrite for H2Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        pending_if_blocked((&*self.0).write(buffer))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        pending_if_blocked((&*self.0).write_vectored(buffers))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        pending_if_blocked(self.0.shutdown(std::net::Shutdown::Write))
    }
}
