//! Listeners: where connections come in, within bounds.

use crate::conn::{Conn, Speaks};
use crate::engine::{ConnId, Engine, Event, Limits, ListenerId};
use crate::wake::Turn;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use std::io;
use std::net::{IpAddr, SocketAddr};

/// Connections that a listener takes in before what stands has its turn. Guards those that are back while thousands return.
pub(crate) const ACCEPTS_TURN: usize = 32;
/// A listener that could not take a connection in for want of descriptors tries again after this, in microseconds.
const ACCEPT_RETRY: u64 = 50_000;
/// The longest queue of connections that the kernel has completed and nobody has taken in.
const BACKLOG: i32 = 1_024;

pub(crate) struct Listener {
    pub(crate) socket: TcpListener,
    limits: Limits,
    speaks: Speaks,
    pub(crate) held: usize,
    /// It holds as many as it may; the next is taken in when one of them ends.
    pub(crate) paused: bool,
    /// The system had no descriptor for the next connection: when it is tried again.
    retry: Option<u64>,
}

/// What became of an attempt to take a connection in.
enum Accepted {
    Connection(TcpStream, IpAddr),
    /// Nothing waits.
    None,
    /// The listener holds as many as it may.
    Full,
    /// The system refuses: out of descriptors.
    Failed(io::Error),
}

impl Listener {
    fn accept(&mut self) -> Accepted {
        if self.held >= self.limits.connections {
            return Accepted::Full;
        }
        loop {
            match self.socket.accept() {
                Ok((stream, from)) => return Accepted::Connection(stream, from.ip()),
                Err(error) => match error.kind() {
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => {}
                    io::ErrorKind::WouldBlock => return Accepted::None,
                    _ => return Accepted::Failed(error),
                },
            }
        }
    }
}

impl Engine {
    /// Takes connections in at `address`; port 0 takes a free one. `shared`: other threads listen there too.
    /// `http1`: it is a side port for GETs.
    pub fn listen(
        &mut self,
        address: SocketAddr,
        limits: Limits,
        shared: bool,
        http1: bool,
    ) -> io::Result<(ListenerId, SocketAddr)> {
        self.listen_for(
            address,
            limits,
            shared,
            if http1 { Speaks::Http1 } else { Speaks::Http2 },
        )
    }

    /// The same for connections of plain bytes.
    pub fn listen_raw(
        &mut self,
        address: SocketAddr,
        limits: Limits,
    ) -> io::Result<(ListenerId, SocketAddr)> {
        self.listen_for(address, limits, false, Speaks::Raw)
    }

    fn listen_for(
        &mut self,
        address: SocketAddr,
        limits: Limits,
        shared: bool,
        speaks: Speaks,
    ) -> io::Result<(ListenerId, SocketAddr)> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(address),
            socket2::Type::STREAM,
            None,
        )?;
        socket.set_reuse_address(true)?;
        if shared {
            socket.set_reuse_port(true)?;
        }
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let mut socket = TcpListener::from_std(socket.into());
        let bound = socket.local_addr()?;
        let id = self.id();
        self.poll
            .registry()
            .register(&mut socket, Token(id as usize), Interest::READABLE)?;
        let listener = Listener {
            socket,
            limits,
            speaks,
            held: 0,
            paused: false,
            retry: None,
        };
        self.listeners.insert(id, listener);
        Ok((ListenerId(id), bound))
    }

    /// Takes no further connections in there; those that stand stay. What waits there is taken in first, up to the listener's
    /// bound: the system took it, so its clients may have sent on it already.
    pub fn unlisten(&mut self, listener: ListenerId) {
        self.accept(listener.0, usize::MAX);
        self.listeners.remove(&listener.0);
    }

    /// The same once it has room and nothing waits there; whether it listens no more. A listener that holds as many connections as
    /// it may goes on until those that the system has completed have had their turn: an end would reset them with what their
    /// clients sent.
    pub fn unlisten_if_empty(&mut self, listener: ListenerId) -> bool {
        self.accept(listener.0, usize::MAX);
        let waits = self
            .listeners
            .get(&listener.0)
            .is_some_and(|l| l.paused || l.retry.is_some());
        if !waits {
            self.listeners.remove(&listener.0);
        }
        !waits
    }

    /// Tries again where the system had no descriptor. Guards against a listener that holds no connection whose end could wake it.
    pub(crate) fn retry_accepts(&mut self) {
        let now = self.now();
        let due = |l: &Listener| l.retry.is_some_and(|at| at <= now);
        let due: Vec<u64> = self
            .listeners
            .iter()
            .filter(|(_, l)| due(l))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.accept(key, ACCEPTS_TURN);
        }
    }

    /// Takes in at most so many of the connections that wait.
    pub(crate) fn accept(&mut self, key: u64, most: usize) {
        for _ in 0..most {
            let now = self.now();
            let Some(listener) = self.listeners.get_mut(&key) else {
                return;
            };
            let accepted = listener.accept();
            listener.paused = matches!(accepted, Accepted::Full);
            listener.retry = matches!(accepted, Accepted::Failed(_)).then_some(now + ACCEPT_RETRY);
            match accepted {
                Accepted::Connection(stream, from) => self.take_in(key, stream, from),
                Accepted::Failed(error) => {
                    return tracing::warn!(%error, "accept failed: retrying");
                }
                Accepted::None | Accepted::Full => return,
            }
        }
        self.accepting.push(key);
    }

    fn take_in(&mut self, key: u64, mut stream: TcpStream, from: IpAddr) {
        let _ = stream.set_nodelay(true);
        let id = self.id();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self
            .poll
            .registry()
            .register(&mut stream, Token(id as usize), interest)
            .is_err()
        {
            return;
        }
        let Some(listener) = self.listeners.get_mut(&key) else {
            return;
        };
        listener.held += 1;
        let (limits, speaks) = (listener.limits, listener.speaks);
        let waker = self.ready.waker(id, Turn::Then);
        waker.wake_by_ref();
        self.conns
            .insert(id, Conn::accepted(stream, from, limits, key, speaks, waker));
        self.out.push_back(Event::Accepted {
            listener: ListenerId(key),
            conn: ConnId(id),
        });
    }
}
