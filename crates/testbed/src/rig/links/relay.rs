//! The relay: listens for each link, relays its connections and datagrams, and applies the faults that are set for its sites.

use crate::rig::links::faults::{LinkCommand, LinkFaults};
use crate::rig::links::tcp::{ConnectionState, RelayedConnection};
use crate::rig::links::udp::DatagramRelay;
use chalkdeck_net::clock::monotonic_micros;
use chalkdeck_net::ReservedPort;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Token, Waker};
use socket2::{Domain, SockRef, Socket, Type};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of relayed connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 16_384;
/// Interval of the connection attempts to a target that refused a connection, in microseconds.
const RETRY_INTERVAL_US: u64 = 50_000;
/// Length of the system's queue of connections that are not accepted yet.
const BACKLOG: i32 = 1_024;
const WAKER_TOKEN: Token = Token(usize::MAX);
/// Tokens: the links' listeners from 0, then two for each relayed connection, then the sockets towards UDP targets.
const CONNECTION_TOKEN_BASE: usize = 1 << 20;
const UDP_TOKEN_BASE: usize = 1 << 40;

/// The transport protocol of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Tcp,
    Udp,
}

/// A link to open: clients at the site `from` connect to `target` at the site `to`.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    pub from: String,
    pub to: String,
    pub protocol: Protocol,
    pub target: SocketAddr,
}

enum LinkSocket {
    /// The port stays reserved while the relay doesn't listen on it, so that connections are refused and no other process can
    /// bind it.
    Tcp {
        port: ReservedPort,
        listener: Option<TcpListener>,
    },
    Udp(DatagramRelay),
}

/// A link and the address that clients connect to.
struct OpenLink {
    link: Link,
    address: SocketAddr,
    faults: LinkFaults,
    socket: LinkSocket,
}

/// A running relay.
pub struct Relay {
    poll: Poll,
    links: Vec<OpenLink>,
    connections: Vec<Option<RelayedConnection>>,
    /// Indices in `connections` that can be reused.
    free_slots: Vec<usize>,
    /// Due time in microseconds, and the index of a link, or `CONNECTION_TOKEN_BASE` plus the index of a connection.
    timers: BinaryHeap<Reverse<(u64, usize)>>,
    rng: fastrand::Rng,
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Relay {
    /// Opens the links and listens for their clients. `seed` determines random delays and losses.
    pub fn start(links: Vec<Link>, seed: u64) -> io::Result<Relay> {
        let poll = Poll::new()?;
        let mut open_links = Vec::new();
        for (i, link) in links.into_iter().enumerate() {
            let (address, socket) = match link.protocol {
                Protocol::Tcp => {
                    let port = ReservedPort::reserve(any_port())?;
                    let address = port.address();
                    let mut listener = listen(address)?;
                    poll.registry()
                        .register(&mut listener, Token(i), Interest::READABLE)?;
                    (
                        address,
                        LinkSocket::Tcp {
                            port,
                            listener: Some(listener),
                        },
                    )
                }
                Protocol::Udp => {
                    let mut socket = UdpSocket::bind(any_port())?;
                    poll.registry()
                        .register(&mut socket, Token(i), Interest::READABLE)?;
                    (
                        socket.local_addr()?,
                        LinkSocket::Udp(DatagramRelay::new(socket, link.target)),
                    )
                }
            };
            open_links.push(OpenLink {
                link,
                address,
                faults: LinkFaults::default(),
                socket,
            });
        }
        let rng = fastrand::Rng::with_seed(seed);
        Ok(Relay {
            poll,
            links: open_links,
            connections: Vec::new(),
            free_slots: Vec::new(),
            timers: BinaryHeap::new(),
            rng,
        })
    }

    /// The address that clients connect to for each link, in the order of the links.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.links.iter().map(|l| l.address).collect()
    }
    /// Returns a waker, which interrupts `poll_once` from another thread.
    pub fn waker(&self) -> io::Result<Arc<Waker>> {
        Ok(Arc::new(Waker::new(self.poll.registry(), WAKER_TOKEN)?))
    }

    /// Applies a command to its links and their open connections; returns the number of these links.
    pub fn apply(&mut self, command: &LinkCommand) -> usize {
        let is_affected: Vec<bool> = self
            .links
            .iter()
            .map(|l| command.applies_to(&l.link.from, &l.link.to))
            .collect();
        for (link, _) in self
            .links
            .iter_mut()
            .zip(&is_affected)
            .filter(|(_, is_affected)| **is_affected)
        {
            command.apply(&link.link.from, &mut link.faults);
        }
        for slot in 0..self.connections.len() {
            if !self.connections[slot]
                .as_ref()
                .is_some_and(|c| is_affected[c.link])
            {
                continue;
            }
            if command.has_reset {
                self.close_connection(slot, true);
            } else {
                self.relay_connection(slot);
            }
        }
        is_affected
            .into_iter()
            .filter(|is_affected| *is_affected)
            .count()
    }

    /// Waits for events, at most for `timeout`, and handles them and expired timers.
    pub fn poll_once(&mut self, events: &mut Events, timeout: Duration) -> io::Result<()> {
        let now = monotonic_micros();
        let next = self.timers.peek().map_or(timeout, |timer| {
            Duration::from_micros(timer.0 .0.saturating_sub(now))
        });
        match self.poll.poll(events, Some(next.min(timeout))) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        for event in events.iter() {
            match event.token() {
                WAKER_TOKEN => {}
                Token(t) if t >= UDP_TOKEN_BASE => self.relay_datagrams(t - UDP_TOKEN_BASE),
                Token(t) if t >= CONNECTION_TOKEN_BASE => {
                    let (slot, end) = (
                        (t - CONNECTION_TOKEN_BASE) / 2,
                        (t - CONNECTION_TOKEN_BASE) % 2,
                    );
                    if let Some(Some(connection)) = self.connections.get_mut(slot) {
                        connection.set_readable(end);
                        self.relay_connection(slot);
                    }
                }
                Token(link) => match self.links[link].link.protocol {
                    Protocol::Tcp => self.accept(link)?,
                    Protocol::Udp => self.relay_datagrams(link),
                },
            }
        }
        let now = monotonic_micros();
        while let Some(Reverse((_, due))) = self
            .timers
            .peek()
            .filter(|timer| timer.0 .0 <= now)
            .copied()
        {
            self.timers.pop();
            match due {
                t if t >= CONNECTION_TOKEN_BASE => self.relay_connection(t - CONNECTION_TOKEN_BASE),
                link if self.links[link].link.protocol == Protocol::Udp => {
                    self.relay_datagrams(link)
                }
                link => self.retry_target(link)?,
            }
        }
        Ok(())
    }

    fn accept(&mut self, link: usize) -> io::Result<()> {
        loop {
            let LinkSocket::Tcp {
                listener: Some(listener),
                ..
            } = &self.links[link].socket
            else {
                return Ok(());
            };
            let mut client = match listener.accept() {
                Ok((client, _)) => client,
                Err(_) => return Ok(()),
            };
            let slot = self.free_slots.pop().unwrap_or(self.connections.len());
            if slot >= MAX_CONNECTIONS {
                continue;
            }
            client.set_nodelay(true)?;
            let token = Token(CONNECTION_TOKEN_BASE + 2 * slot);
            self.poll.registry().register(
                &mut client,
                token,
                Interest::READABLE | Interest::WRITABLE,
            )?;
            if slot == self.connections.len() {
                self.connections.push(None);
            }
            self.connections[slot] = Some(RelayedConnection::new(link, client));
            self.relay_connection(slot);
        }
    }

    /// Relays a connection's bytes. Connects to the target first, once the forward direction isn't cut.
    fn relay_connection(&mut self, slot: usize) {
        let Some(Some(connection)) = self.connections.get_mut(slot) else {
            return;
        };
        let link = &self.links[connection.link];
        if connection.ends[1].is_none() && !link.faults.directions[0].is_cut {
            let Ok(stream) = connection.connect(link.link.target) else {
                return self.close_connection(slot, true);
            };
            stream.set_nodelay(true).ok();
            let token = Token(CONNECTION_TOKEN_BASE + 2 * slot + 1);
            let interests = Interest::READABLE | Interest::WRITABLE;
            if self
                .poll
                .registry()
                .register(stream, token, interests)
                .is_err()
            {
                return self.close_connection(slot, true);
            }
        }
        match connection.relay(monotonic_micros(), &link.faults, &mut self.rng) {
            ConnectionState::Open(next) => self
                .timers
                .extend(next.map(|due| Reverse((due, CONNECTION_TOKEN_BASE + slot)))),
            ConnectionState::Closed => self.close_connection(slot, false),
            ConnectionState::Broken => self.close_connection(slot, true),
            ConnectionState::Refused => {
                let link = connection.link;
                self.close_connection(slot, true);
                self.refuse_connections(link);
            }
        }
    }

    fn close_connection(&mut self, slot: usize, is_reset: bool) {
        let Some(connection) = self.connections[slot].take() else {
            return;
        };
        for mut stream in connection.ends.into_iter().flatten() {
            let _ = self.poll.registry().deregister(&mut stream);
            if is_reset {
                // Closes with RST and discards unread data, as after the loss of a machine.
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
        }
        self.free_slots.push(slot);
    }

    /// Stops listening for a link whose target refuses connections, so that clients are refused too.
    fn refuse_connections(&mut self, link: usize) {
        let LinkSocket::Tcp { listener, .. } = &mut self.links[link].socket else {
            return;
        };
        if let Some(mut listener) = listener.take() {
            let _ = self.poll.registry().deregister(&mut listener);
            self.timers
                .push(Reverse((monotonic_micros() + RETRY_INTERVAL_US, link)));
        }
    }

    /// Listens for a link again once its target accepts connections.
    fn retry_target(&mut self, link: usize) -> io::Result<()> {
        let target = self.links[link].link.target;
        let LinkSocket::Tcp { port, listener } = &mut self.links[link].socket else {
            return Ok(());
        };
        // A connection attempt on loopback succeeds or fails at once.
        if std::net::TcpStream::connect_timeout(&target, Duration::from_millis(20)).is_err() {
            self.timers
                .push(Reverse((monotonic_micros() + RETRY_INTERVAL_US, link)));
            return Ok(());
        }
        let mut new_listener = listen(port.address())?;
        self.poll
            .registry()
            .register(&mut new_listener, Token(link), Interest::READABLE)?;
        *listener = Some(new_listener);
        self.accept(link)
    }

    /// Receives and sends a link's datagrams, and registers the sockets of new senders.
    fn relay_datagrams(&mut self, link: usize) {
        let OpenLink {
            socket: LinkSocket::Udp(datagrams),
            faults,
            ..
        } = &mut self.links[link]
        else {
            return;
        };
        let now = monotonic_micros();
        for sender in datagrams.receive(now, faults, &mut self.rng) {
            let _ = self.poll.registry().register(
                &mut datagrams.senders[sender].1,
                Token(UDP_TOKEN_BASE + link),
                Interest::READABLE,
            );
        }
        self.timers
            .extend(datagrams.send_due(now).map(|due| Reverse((due, link))));
    }
}
