//! Listening sockets.

use crate::connection::Protocol;
use crate::limits::Limits;
use mio::net::{TcpListener, TcpStream};
use std::io;
use std::net::{IpAddr, SocketAddr};

/// The delay before a listener retries a failed accept, in microseconds. Most failures mean that no file descriptor is left.
const ACCEPT_RETRY_DELAY_MICROS: u64 = 50_000;
/// Maximum number of established connections that wait in the kernel to be accepted.
const BACKLOG: i32 = 1_024;

/// Whether other threads can listen at the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PortSharing {
    Exclusive,
    Shared,
}

/// A listening socket with its limits and its state.
pub(crate) struct Listener {
    pub(crate) socket: TcpListener,
    pub(crate) limits: Limits,
    pub(crate) protocol: Protocol,
    /// The number of its connections that are open now.
    pub(crate) open_connection_count: usize,
    /// Since when it has had as many open connections as its limit. The next one is accepted when one of them closes.
    pub(crate) full_since: Option<u64>,
    /// Since when connections may wait to be accepted; `None` if none waits.
    pub(crate) waiting_since: Option<u64>,
    /// When a failed accept is retried.
    retry_at: Option<u64>,
}

/// The result of an attempt to accept a connection.
pub(crate) enum AcceptResult {
    Connection(TcpStream, IpAddr),
    /// No connection is waiting.
    NoneWaiting,
    /// The listener has reached its limit of connections.
    Full,
    /// The operating system failed to accept, mostly because no file descriptor is left.
    Failed(io::Error),
}

impl Listener {
    /// Binds a listening socket. Port 0 selects a free port.
    pub(crate) fn bind(
        address: SocketAddr,
        limits: Limits,
        sharing: PortSharing,
        protocol: Protocol,
    ) -> io::Result<Listener> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        if sharing == PortSharing::Shared {
            socket.set_reuse_port(true)?;
        }
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Ok(Listener {
            socket: TcpListener::from_std(socket.into()),
            limits,
            protocol,
            open_connection_count: 0,
            full_since: None,
            waiting_since: None,
            retry_at: None,
        })
    }

    /// Accepts the next connection, and records why there is none.
    pub(crate) fn accept(&mut self, now: u64) -> AcceptResult {
        let accepted = self.try_accept();
        match accepted {
            AcceptResult::Full => {
                self.full_since.get_or_insert(now);
            }
            AcceptResult::NoneWaiting => {
                self.full_since = None;
                self.waiting_since = None;
            }
            AcceptResult::Connection(..) | AcceptResult::Failed(_) => self.full_since = None,
        }
        self.retry_at =
            matches!(accepted, AcceptResult::Failed(_)).then_some(now + ACCEPT_RETRY_DELAY_MICROS);
        accepted
    }

    fn try_accept(&mut self) -> AcceptResult {
        if self.open_connection_count >= self.limits.max_connections {
            return AcceptResult::Full;
        }
        self.accept_from_system()
    }

    /// Closes waiting connections without reading from them, at most `max`; returns how many.
    pub(crate) fn shed_waiting(&mut self, max: usize) -> usize {
        for shed in 0..max {
            match self.accept_from_system() {
                AcceptResult::Connection(stream, _) => drop(stream),
                AcceptResult::NoneWaiting => {
                    self.full_since = None;
                    self.waiting_since = None;
                    return shed;
                }
                AcceptResult::Full | AcceptResult::Failed(_) => return shed,
            }
        }
        max
    }

    fn accept_from_system(&mut self) -> AcceptResult {
        loop {
            match self.socket.accept() {
                Ok((stream, peer)) => return AcceptResult::Connection(stream, peer.ip()),
                Err(error) => match error.kind() {
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => {}
                    io::ErrorKind::WouldBlock => return AcceptResult::NoneWaiting,
                    _ => return AcceptResult::Failed(error),
                },
            }
        }
    }

    /// Whether connections may wait in the kernel's backlog because they could not be accepted.
    pub(crate) fn may_have_backlog(&self) -> bool {
        self.full_since.is_some() || self.retry_at.is_some()
    }

    /// Whether a failed accept is due for a retry.
    pub(crate) fn is_retry_due(&self, now: u64) -> bool {
        self.retry_at.is_some_and(|at| at <= now)
    }
}
