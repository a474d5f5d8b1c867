//! A port that is kept while nobody listens on it.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;

/// A port that belongs to its owner until the value is dropped, whether or not somebody listens there.
///
/// A process that is ended and started again at its old address needs one: a port that is free for a moment is given to whoever asks
/// the system for any port. The socket behind it is bound and never listens, so connections are refused until a listener is bound
/// to the address. The listener has to set `SO_REUSEADDR`, as those of [`Engine`](crate::Engine) do.
#[derive(Debug)]
pub struct ReservedPort {
    /// Holds the port.
    _socket: Socket,
    address: SocketAddr,
}

impl ReservedPort {
    /// Reserves an address; port 0 takes a free one.
    ///
    /// # Errors
    /// The system refuses a socket, or somebody else has the port.
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

    /// The address with its port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
