//! Opens and closes listeners, and accepts their connections.

use super::Engine;
use crate::connection::{Connection, Protocol, Transport};
use crate::event::Event;
use crate::ids::{ConnId, ListenerId};
use crate::limits::Limits;
use crate::listener::{AcceptResult, Listener, PortSharing};
use crate::ready_queue::Priority;
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::io;
use std::net::{IpAddr, SocketAddr};

/// Maximum number of connections that a listener accepts in one turn, so that open connections are not delayed while thousands of
/// clients reconnect.
pub(super) const ACCEPTS_PER_TURN: usize = 32;

/// Maximum number of waiting connections that are closed in one call, which costs less than to serve them.
const SHEDS_PER_CALL: usize = 256;

impl Engine {
    /// Listens at `address` for HTTP/2, or for HTTP/1.1 GET requests if `is_http1`. Port 0 selects a free port. With
    /// `is_port_shared`, other threads can listen at the same address.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn listen(
        &mut self,
        address: SocketAddr,
        limits: Limits,
        is_port_shared: bool,
        is_http1: bool,
    ) -> io::Result<(ListenerId, SocketAddr)> {
        let sharing = if is_port_shared {
            PortSharing::Shared
        } else {
            PortSharing::Exclusive
        };
        let protocol = if is_http1 {
            Protocol::Http1
        } else {
            Protocol::Http2
        };
        self.add_listener(Listener::bind(address, limits, sharing, protocol)?)
    }

    /// Listens at `address` for plain connections. Port 0 selects a free port.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn listen_plain(
        &mut self,
        address: SocketAddr,
        limits: Limits,
    ) -> io::Result<(ListenerId, SocketAddr)> {
        let listener = Listener::bind(address, limits, PortSharing::Exclusive, Protocol::Plain)?;
        self.add_listener(listener)
    }

    fn add_listener(&mut self, mut listener: Listener) -> io::Result<(ListenerId, SocketAddr)> {
        let local_address = listener.socket.local_addr()?;
        let key = self.next_key();
        self.poll.registry().register(
            &mut listener.socket,
            Token(key as usize),
            Interest::READABLE,
        )?;
        self.listeners.insert(key, listener);
        Ok((ListenerId(key), local_address))
    }

    /// Stops listening; open connections stay. Connections in the kernel's backlog are accepted first, up to the listener's limit:
    /// they are established, so their clients may have sent requests already.
    pub fn close_listener(&mut self, listener: ListenerId) {
        self.accept(listener.0, usize::MAX);
        self.listeners.remove(&listener.0);
    }

    /// Stops listening if the kernel's backlog is empty, and returns whether the listener is closed. A full listener stays open
    /// until the established connections in its backlog are accepted: closing it would reset them and lose what their clients
    /// sent.
    pub fn close_listener_if_backlog_empty(&mut self, listener: ListenerId) -> bool {
        self.accept(listener.0, usize::MAX);
        let may_have_backlog = self
            .listeners
            .get(&listener.0)
            .is_some_and(Listener::may_have_backlog);
        if !may_have_backlog {
            self.listeners.remove(&listener.0);
        }
        !may_have_backlog
    }

    /// Accepts again on listeners where that failed, since a listener without open connections has no other event that would
    /// wake it.
    pub(super) fn retry_accepts(&mut self) {
        let now = self.now();
        let keys: Vec<u64> = self
            .listeners
            .iter()
            .filter(|(_, listener)| listener.is_retry_due(now))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.accept(key, ACCEPTS_PER_TURN);
        }
    }

    /// Accepts at most `max` waiting connections.
    pub(super) fn accept(&mut self, key: u64, max: usize) {
        for _ in 0..max {
            let now = self.now();
            let Some(listener) = self.listeners.get_mut(&key) else {
                return;
            };
            let waiting_since = listener.waiting_since.unwrap_or(self.polled_since);
            match listener.accept(now) {
                AcceptResult::Connection(stream, peer_ip) => {
                    self.add_accepted(key, stream, peer_ip, waiting_since);
                }
                AcceptResult::Failed(error) => {
                    tracing::warn!(%error, "accept failed: retrying");
                    return;
                }
                AcceptResult::NoneWaiting | AcceptResult::Full => return,
            }
        }
        self.accepting_listeners.push(key);
    }

    /// Since when a listener has had as many open connections as its limit; `None` if it has fewer, or is closed.
    pub fn listener_full_since(&self, listener: ListenerId) -> Option<u64> {
        self.listeners.get(&listener.0)?.full_since
    }

    /// Since when connections may have waited to be accepted by a listener; `None` if none waits, or it is closed.
    pub fn listener_waiting_since(&self, listener: ListenerId) -> Option<u64> {
        self.listeners.get(&listener.0)?.waiting_since
    }

    /// Closes connections that wait to be accepted, without reading from them, so that their clients connect elsewhere instead of waiting.
    /// Closes a limited number in one call; returns how many.
    pub fn shed_waiting_connections(&mut self, listener: ListenerId) -> usize {
        let listener = self.listeners.get_mut(&listener.0);
        listener.map_or(0, |listener| listener.shed_waiting(SHEDS_PER_CALL))
    }

    fn add_accepted(
        &mut self,
        listener_key: u64,
        mut stream: TcpStream,
        peer_ip: IpAddr,
        waiting_since: u64,
    ) {
        let _ = stream.set_nodelay(true);
        let key = self.next_key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered = self
            .poll
            .registry()
            .register(&mut stream, Token(key as usize), interest);
        if registered.is_err() {
            return;
        }
        let Some(listener) = self.listeners.get_mut(&listener_key) else {
            return;
        };
        listener.open_connection_count += 1;
        let waker = self.ready.waker(key, Priority::Low);
        waker.wake_by_ref();
        let mut connection = Connection::accepted(
            stream,
            peer_ip,
            listener.limits,
            listener_key,
            listener.protocol,
            waker,
        );
        if let Transport::Plain(plain) = &mut connection.transport {
            plain.unread_since = Some(waiting_since);
        }
        self.connections.insert(key, connection);
        self.events.push_back(Event::Accepted {
            listener: ListenerId(listener_key),
            conn: ConnId(key),
        });
    }
}
