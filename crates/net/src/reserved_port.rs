//! Reserves a TCP port without listening on it.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;

/// A port that stays reserved until the value is dropped, whether or not a process listens there.
///
/// A process that is restarted at its old address needs one, because the operating system may assign a free port to any process
/// that binds port 0. The reserving socket is bound and never listens, so connections are refused until a listener is bound to the
/// address. The listener has to set `SO_REUSEADDR`, as those of [`Engine`](crate::Engine) do.
#[derive(Debug)]
pub struct ReservedPort {
    /// Keeps the port bound.
    _socket: Socket,
    address: SocketAddr,
}

impl ReservedPort {
    /// Reserves an address. Port 0 selects a free port.
    ///
    /// # Errors
    /// No socket can be created, or another process uses the port.
    pub fn reserve(address: SocketAddr) -> io::Result<ReservedPort> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        let bound = socket.local_addr()?.as_socket();
        let address = bound.ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedPort {
            _socket: socket,
            address,
        })
    }

    /// The reserved address, with its port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
