//! Opens, polls, pings and closes connections of all protocols.

use super::Engine;
use crate::close_reason::CloseReason;
use crate::connection::{Connection, Progress, Protocol, Transport};
use crate::event::Event;
use crate::http1::Http1Progress;
use crate::ids::{ConnId, ListenerId};
use crate::limits::Limits;
use crate::ready_queue::Priority;
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::cmp::Reverse;
use std::io;
use std::net::{IpAddr, SocketAddr};

/// Maximum number of streams that the peer of one connection may open before other connections are polled.
const OPENS_PER_CONNECTION: usize = 8;

impl Engine {
    /// Starts to connect for HTTP/2. `Event::Connected` or `Event::Closed` follows.
    ///
    /// # Errors
    /// No socket can be created, or the connection is refused at once.
    pub fn connect(&mut self, address: SocketAddr, limits: Limits) -> io::Result<ConnId> {
        self.dial(address, limits, Protocol::Http2)
    }

    /// Starts to connect for a plain connection. Nothing may be queued on it before `Event::Connected`.
    ///
    /// # Errors
    /// See `connect`.
    pub fn connect_plain(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        self.dial(address, Limits::default(), Protocol::Plain)
    }

    fn dial(
        &mut self,
        address: SocketAddr,
        limits: Limits,
        protocol: Protocol,
    ) -> io::Result<ConnId> {
        let mut stream = TcpStream::connect(address)?;
        let _ = stream.set_nodelay(true);
        let key = self.next_key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll
            .registry()
            .register(&mut stream, Token(key as usize), interest)?;
        let waker = self.ready.waker(key, Priority::High);
        let connection = Connection::connecting(stream, limits, protocol, waker);
        self.connections.insert(key, connection);
        Ok(ConnId(key))
    }

    /// The number of open connections that a listener accepted. The listener may be closed by now.
    pub fn listener_connection_count(&self, listener: ListenerId) -> usize {
        self.connections
            .values()
            .filter(|connection| connection.listener == Some(listener.0))
            .count()
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// The IP address of the client of an accepted connection. `None` if the connection is closed, or was opened by this process.
    pub fn peer_ip(&self, conn: ConnId) -> Option<IpAddr> {
        self.connections.get(&conn.0)?.peer_ip
    }

    /// Sends GOAWAY on all connections of a listener, so that their clients open no new streams. Open streams continue.
    pub fn drain(&mut self, listener: ListenerId) {
        let connections = self.connections.values_mut();
        for connection in connections.filter(|connection| connection.listener == Some(listener.0)) {
            connection.drain();
        }
    }

    /// Closes a connection at once. Bytes that are queued on an accepted plain connection are written as far as its socket accepts
    /// them without waiting; see `close_if_idle` and `start_lingering_close` for closes that lose none. Bytes that are queued on a
    /// connection that this process opened are discarded, so that the peer cannot process what the caller gives up.
    pub fn close(&mut self, conn: ConnId) {
        self.close_with_reason(conn, h2::Reason::NO_ERROR);
    }

    pub(super) fn close_with_reason(&mut self, conn: ConnId, reason: h2::Reason) {
        let Some(connection) = self.connections.get_mut(&conn.0) else {
            return;
        };
        if let Transport::Server(server) = &mut connection.transport {
            server.abrupt_shutdown(reason);
            connection.waker.wake_by_ref();
        } else {
            self.remove_connection(conn.0, CloseReason::ClosedLocally);
        }
    }

    /// Answers a GET request and closes its connection.
    pub fn reply(&mut self, conn: ConnId, status: u16, body: &str) {
        let Some(Connection {
            transport: Transport::Http1(http1),
            waker,
            ..
        }) = self.connections.get_mut(&conn.0)
        else {
            return;
        };
        match http1.reply(status, body) {
            Http1Progress::Closed => self.on_protocol_ended(conn, CloseReason::ClosedLocally),
            Http1Progress::Wait | Http1Progress::Get(_) => waker.wake_by_ref(),
        }
    }

    /// Pings the connections that are due and closes those that did not answer the last ping. Without pings, calls on a half-open
    /// connection would wait for their timeouts.
    pub(super) fn send_pings(&mut self, now: u64) {
        while let Some(Reverse((at, key))) = self.pings.peek().copied() {
            if at > now {
                return;
            }
            self.pings.pop();
            let Some(connection) = self.connections.get_mut(&key) else {
                continue;
            };
            if connection.is_awaiting_pong {
                let reason = CloseReason::Failed("no answer to a ping".to_string());
                self.remove_connection(key, reason);
                continue;
            }
            connection.send_ping();
            let next = now + connection.limits.keepalive_interval_micros;
            self.pings.push(Reverse((next, key)));
        }
    }

    /// Polls a connection until it can make no more progress, or has used its share of this turn.
    pub(super) fn poll_connection(&mut self, key: u64) {
        let mut opened = 0;
        while let Some(connection) = self.connections.get_mut(&key) {
            match connection.poll() {
                Progress::Wait => return,
                Progress::Connected => self.on_connected(key),
                Progress::Get(path) => {
                    let conn = ConnId(key);
                    self.events.push_back(Event::Get { conn, path });
                    return;
                }
                Progress::Bytes {
                    data,
                    arrived_since,
                    may_have_more,
                } => return self.on_plain_bytes(key, data, arrived_since, may_have_more),
                Progress::Opened(request, respond) => {
                    connection.open_stream_count += 1;
                    opened += 1;
                    let has_used_turn = opened >= OPENS_PER_CONNECTION;
                    if has_used_turn {
                        connection.waker.wake_by_ref();
                    }
                    self.on_stream_opened(key, *request, respond);
                    if has_used_turn {
                        return;
                    }
                }
                Progress::Closed(reason) => return self.on_protocol_ended(ConnId(key), reason),
            }
        }
    }

    /// Removes a connection that has ended. If its protocol has ended in an orderly way, the socket lingers first, so that the peer
    /// receives what was written last whatever it still sends.
    fn on_protocol_ended(&mut self, conn: ConnId, reason: CloseReason) {
        let now = self.now();
        let is_orderly = !matches!(reason, CloseReason::Failed(_));
        let connection = self.connections.get_mut(&conn.0);
        if is_orderly && connection.is_some_and(|connection| connection.linger(now)) {
            self.check_lingering_close(conn, now);
        } else {
            self.remove_connection(conn.0, reason);
        }
    }

    fn on_connected(&mut self, key: u64) {
        let conn = ConnId(key);
        self.events.push_back(Event::Connected { conn });
        let keepalive_interval_micros = self
            .connections
            .get(&key)
            .map_or(0, |connection| connection.limits.keepalive_interval_micros);
        if keepalive_interval_micros > 0 {
            self.pings
                .push(Reverse((self.now() + keepalive_interval_micros, key)));
        }
    }

    /// Reports the bytes of one read. A connection is read once per turn, so that none delays the others or exhausts the
    /// memory; the rest stays in the socket until the next turn.
    fn on_plain_bytes(
        &mut self,
        key: u64,
        data: bytes::Bytes,
        arrived_since: Option<u64>,
        may_have_more: bool,
    ) {
        if may_have_more {
            self.unread.push(key);
        }
        self.read_in_turn += data.len();
        if !data.is_empty() {
            self.unhandled.insert(key);
            let conn = ConnId(key);
            let arrived_since = arrived_since.unwrap_or_else(|| self.now());
            self.events.push_back(Event::Bytes {
                conn,
                data,
                arrived_since,
            });
        }
    }

    pub(super) fn remove_connection(&mut self, key: u64, reason: CloseReason) {
        let Some(mut connection) = self.connections.remove(&key) else {
            return;
        };
        connection.flush_if_accepted();
        if let Some(listener_key) = connection.listener {
            self.on_accepted_connection_closed(listener_key);
        }
        let unsent_bytes = connection.unsent_bytes();
        if connection.listener.is_some() && unsent_bytes > 0 {
            tracing::info!(conn = key, unsent_bytes, %reason, "client connection closed with unwritten bytes");
        }
        self.events.push_back(Event::Closed {
            conn: ConnId(key),
            was_established: connection.was_established,
            unsent_bytes,
            reason,
        });
    }

    /// Accepts waiting connections when an accepted one has closed and its listener was full.
    fn on_accepted_connection_closed(&mut self, listener_key: u64) {
        let Some(listener) = self.listeners.get_mut(&listener_key) else {
            return;
        };
        listener.open_connection_count -= 1;
        if listener.full_since.take().is_some() {
            self.accept(listener_key, super::listeners::ACCEPTS_PER_TURN);
        }
    }
}
