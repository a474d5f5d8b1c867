//! One client or server connection: its socket and the protocol state on top of it.

use crate::close_reason::CloseReason;
use crate::h2_socket::H2Socket;
use crate::http1::{Http1, Http1Progress};
use crate::limits::Limits;
use crate::lingering_close::LingeringClose;
use crate::plain_connection::{PlainConnection, PlainProgress};
use bytes::Bytes;
use mio::net::TcpStream;
use std::future::Future;
use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

/// The number of reset streams that `h2` keeps track of.
const MAX_REMEMBERED_RESETS: usize = 64;

/// The two handles that an `h2` client handshake returns.
type ClientHalves = (
    h2::client::SendRequest<Bytes>,
    h2::client::Connection<H2Socket, Bytes>,
);
type ClientHandshake = Pin<Box<dyn Future<Output = Result<ClientHalves, h2::Error>> + Send>>;

/// The protocol state of a connection, with its socket.
pub(crate) enum Transport {
    /// The socket is being connected.
    Connecting(Option<TcpStream>, Protocol),
    ClientHandshake(ClientHandshake),
    Client(
        h2::client::SendRequest<Bytes>,
        Box<h2::client::Connection<H2Socket, Bytes>>,
    ),
    ServerHandshake(Box<h2::server::Handshake<H2Socket, Bytes>>),
    Server(Box<h2::server::Connection<H2Socket, Bytes>>),
    Http1(Http1),
    Plain(PlainConnection),
}

/// The protocol of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Protocol {
    Http2,
    Http1,
    Plain,
}

/// Counts the streams that a client resets within one second.
#[derive(Clone, Copy, Default)]
pub(crate) struct ResetCounter {
    second: u64,
    resets: u32,
}

impl ResetCounter {
    /// Counts a reset; returns the number of resets in this second.
    pub(crate) fn count(&mut self, second: u64) -> u32 {
        if self.second != second {
            *self = ResetCounter { second, resets: 0 };
        }
        self.resets += 1;
        self.resets
    }
}

/// A connection with its limits and its state.
pub(crate) struct Connection {
    pub(crate) transport: Transport,
    /// The socket of an accepted connection.
    accepted_socket: Option<Arc<TcpStream>>,
    pub(crate) waker: Waker,
    pub(crate) limits: Limits,
    /// The key of the listener that accepted it.
    pub(crate) listener: Option<u64>,
    /// The IP address of the client, if it was accepted.
    pub(crate) peer_ip: Option<IpAddr>,
    /// The number of its open streams.
    pub(crate) open_stream_count: usize,
    /// Whether the connection was ever established.
    pub(crate) was_established: bool,
    pub(crate) reset_counter: ResetCounter,
    ping: Option<h2::PingPong>,
    /// A ping was sent and its answer has not arrived yet.
    pub(crate) is_awaiting_pong: bool,
    /// GOAWAY is sent, or will be as soon as the handshake is over.
    is_draining: bool,
}

/// The result of polling a connection.
pub(crate) enum Progress {
    /// No progress is possible now.
    Wait,
    /// A connection that this process opened is established.
    Connected,
    /// A client opened a stream.
    Opened(
        Box<http::Request<h2::RecvStream>>,
        h2::server::SendResponse<Bytes>,
    ),
    /// A GET request over HTTP/1.1 for this path.
    Get(String),
    /// Bytes received on a plain connection.
    Bytes {
        data: Bytes,
        /// The earliest time at which they may have arrived, if it is known.
        arrived_since: Option<u64>,
        /// Whether there may be more to read without waiting.
        may_have_more: bool,
    },
    /// The connection is closed.
    Closed(CloseReason),
}

impl Connection {
    pub(crate) fn accepted(
        stream: TcpStream,
        peer_ip: IpAddr,
        limits: Limits,
        listener: u64,
        protocol: Protocol,
        waker: Waker,
    ) -> Connection {
        let socket = Arc::new(stream);
        let transport = match protocol {
            Protocol::Http2 => {
                let handshake = server_builder(&limits).handshake(H2Socket(socket.clone()));
                Transport::ServerHandshake(Box::new(handshake))
            }
            Protocol::Http1 => Transport::Http1(Http1::new(socket.clone())),
            Protocol::Plain => {
                Transport::Plain(PlainConnection::new(socket.clone(), limits.read_bytes))
            }
        };
        Connection {
            accepted_socket: Some(socket),
            listener: Some(listener),
            peer_ip: Some(peer_ip),
            was_established: true,
            ..Connection::new(transport, limits, waker)
        }
    }

    pub(crate) fn connecting(
        stream: TcpStream,
        limits: Limits,
        protocol: Protocol,
        waker: Waker,
    ) -> Connection {
        Connection::new(Transport::Connecting(Some(stream), protocol), limits, waker)
    }

    fn new(transport: Transport, limits: Limits, waker: Waker) -> Connection {
        Connection {
            transport,
            accepted_socket: None,
            waker,
            limits,
            listener: None,
            peer_ip: None,
            open_stream_count: 0,
            was_established: false,
            reset_counter: ResetCounter::default(),
            ping: None,
            is_awaiting_pong: false,
            is_draining: false,
        }
    }

    /// The number of further streams that can be opened now, by the local limit and that of the peer.
    pub(crate) fn available_streams(&self) -> usize {
        let Transport::Client(sender, _) = &self.transport else {
            return 0;
        };
        let max_streams = sender
            .current_max_send_streams()
            .min(self.limits.max_streams as usize);
        max_streams.saturating_sub(self.open_stream_count)
    }

    /// The number of bytes queued on a plain connection that are not written yet.
    pub(crate) fn unsent_bytes(&self) -> usize {
        match &self.transport {
            Transport::Plain(plain) => plain.unsent_bytes(),
            _ => 0,
        }
    }

    /// Begins a lingering close of an accepted HTTP connection whose protocol has ended and has written everything. Returns whether it
    /// did; plain connections begin theirs on request.
    pub(crate) fn linger(&mut self, now: u64) -> bool {
        if !matches!(self.transport, Transport::Server(_) | Transport::Http1(_)) {
            return false;
        }
        let Some(socket) = self.accepted_socket.take() else {
            return false;
        };
        let mut plain = PlainConnection::new(socket, self.limits.read_bytes);
        plain.lingering_close = Some(LingeringClose::begin(now, 0));
        self.transport = Transport::Plain(plain);
        self.waker.wake_by_ref();
        true
    }

    /// Writes what is queued on an accepted plain connection, as far as its socket accepts it.
    pub(crate) fn flush_if_accepted(&mut self) {
        if let (Transport::Plain(plain), Some(_)) = (&mut self.transport, self.listener) {
            // The connection ends in any case; its unsent bytes tell what was not written.
            let _ = plain.flush();
        }
    }

    /// Sends GOAWAY, so that the client opens no new streams. During the handshake, it is sent as soon as that is over.
    pub(crate) fn drain(&mut self) {
        self.is_draining = true;
        if let Transport::Server(server) = &mut self.transport {
            server.graceful_shutdown();
        }
        self.waker.wake_by_ref();
    }

    /// Sends a ping.
    pub(crate) fn send_ping(&mut self) {
        if let Some(ping) = &mut self.ping {
            self.is_awaiting_pong = ping.send_ping(h2::Ping::opaque()).is_ok();
            self.waker.wake_by_ref();
        }
    }

    /// Polls the transport until it yields a result.
    pub(crate) fn poll(&mut self) -> Progress {
        let waker = self.waker.clone();
        let mut context = Context::from_waker(&waker);
        self.poll_pong(&mut context);
        loop {
            if let Some(progress) = self.advance(&mut context) {
                return progress;
            }
        }
    }

    fn poll_pong(&mut self, context: &mut Context<'_>) {
        let Some(ping) = self.ping.as_mut().filter(|_| self.is_awaiting_pong) else {
            return;
        };
        if ping.poll_pong(context).is_ready() {
            self.is_awaiting_pong = false;
        }
    }

    /// Polls the transport. `None` means that it was replaced, and that the new transport has to be polled.
    fn advance(&mut self, context: &mut Context<'_>) -> Option<Progress> {
        match &mut self.transport {
            Transport::Connecting(..) => self.poll_connecting(),
            Transport::ClientHandshake(_) => self.poll_client_handshake(context),
            Transport::Client(_, client) => match Pin::new(client.as_mut()).poll(context) {
                Poll::Pending => Some(Progress::Wait),
                Poll::Ready(end) => Some(Progress::Closed(h2_close_reason(end.err()))),
            },
            Transport::ServerHandshake(_) => self.poll_server_handshake(context),
            Transport::Server(server) => Some(match server.poll_accept(context) {
                Poll::Pending => Progress::Wait,
                Poll::Ready(None) => Progress::Closed(h2_close_reason(None)),
                Poll::Ready(Some(Err(error))) => Progress::Closed(h2_close_reason(Some(error))),
                Poll::Ready(Some(Ok((request, respond)))) => {
                    Progress::Opened(Box::new(request), respond)
                }
            }),
            Transport::Http1(http1) => Some(match http1.poll() {
                Http1Progress::Wait => Progress::Wait,
                Http1Progress::Get(path) => Progress::Get(path),
                Http1Progress::Closed => Progress::Closed(CloseReason::PeerEnded),
            }),
            Transport::Plain(plain) => Some(match plain.poll() {
                PlainProgress::Wait => Progress::Wait,
                PlainProgress::Bytes {
                    data,
                    arrived_since,
                    may_have_more,
                } => Progress::Bytes {
                    data,
                    arrived_since,
                    may_have_more,
                },
                PlainProgress::Closed(reason) => Progress::Closed(reason),
            }),
        }
    }

    fn poll_connecting(&mut self) -> Option<Progress> {
        let Transport::Connecting(slot, protocol) = &mut self.transport else {
            return None;
        };
        let stream = match poll_established(slot) {
            Poll::Pending => return Some(Progress::Wait),
            Poll::Ready(Err(error)) => return Some(closed_by_error(&error)),
            Poll::Ready(Ok(stream)) => stream,
        };
        self.was_established = true;
        if *protocol == Protocol::Plain {
            let plain = PlainConnection::new(Arc::new(stream), self.limits.read_bytes);
            self.transport = Transport::Plain(plain);
            return Some(Progress::Connected);
        }
        let handshake = client_builder(&self.limits).handshake(H2Socket(Arc::new(stream)));
        self.transport = Transport::ClientHandshake(Box::pin(handshake));
        None
    }

    fn poll_client_handshake(&mut self, context: &mut Context<'_>) -> Option<Progress> {
        let Transport::ClientHandshake(handshake) = &mut self.transport else {
            return None;
        };
        match handshake.as_mut().poll(context) {
            Poll::Pending => Some(Progress::Wait),
            Poll::Ready(Err(error)) => Some(closed_by_error(&error)),
            Poll::Ready(Ok((sender, mut client))) => {
                self.ping = client.ping_pong();
                self.transport = Transport::Client(sender, Box::new(client));
                context.waker().wake_by_ref();
                Some(Progress::Connected)
            }
        }
    }

    fn poll_server_handshake(&mut self, context: &mut Context<'_>) -> Option<Progress> {
        let Transport::ServerHandshake(handshake) = &mut self.transport else {
            return None;
        };
        match Pin::new(handshake.as_mut()).poll(context) {
            Poll::Pending => Some(Progress::Wait),
            Poll::Ready(Err(error)) => Some(closed_by_error(&error)),
            Poll::Ready(Ok(mut server)) => {
                if self.is_draining {
                    server.graceful_shutdown();
                }
                self.transport = Transport::Server(Box::new(server));
                None
            }
        }
    }
}

fn closed_by_error(error: &impl std::fmt::Display) -> Progress {
    Progress::Closed(CloseReason::Failed(error.to_string()))
}

fn h2_close_reason(error: Option<h2::Error>) -> CloseReason {
    match error {
        Some(error) => CloseReason::Failed(error.to_string()),
        None => CloseReason::PeerEnded,
    }
}

/// Takes the socket out of its slot once the connection is established.
fn poll_established(slot: &mut Option<TcpStream>) -> Poll<io::Result<TcpStream>> {
    let Some(stream) = slot else {
        return Poll::Pending;
    };
    if let Ok(Some(error)) | Err(error) = stream.take_error() {
        return Poll::Ready(Err(error));
    }
    match stream.peer_addr() {
        Ok(_) => Poll::Ready(
            slot.take()
                .ok_or_else(|| io::ErrorKind::NotConnected.into()),
        ),
        Err(error) if error.kind() == io::ErrorKind::NotConnected => Poll::Pending,
        Err(error) => Poll::Ready(Err(error)),
    }
}

fn server_builder(limits: &Limits) -> h2::server::Builder {
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(limits.max_streams)
        .initial_window_size(limits.stream_window_bytes)
        .initial_connection_window_size(limits.connection_window_bytes)
        .max_header_list_size(limits.max_header_bytes)
        .max_send_buffer_size(limits.stream_window_bytes as usize)
        .max_concurrent_reset_streams(MAX_REMEMBERED_RESETS)
        .max_pending_accept_reset_streams(MAX_REMEMBERED_RESETS);
    builder
}

fn client_builder(limits: &Limits) -> h2::client::Builder {
    let mut builder = h2::client::Builder::new();
    builder
        .enable_push(false)
        .initial_max_send_streams(limits.max_streams as usize)
        .initial_window_size(limits.stream_window_bytes)
        .initial_connection_window_size(limits.connection_window_bytes)
        .max_header_list_size(limits.max_header_bytes)
        .max_send_buffer_size(limits.stream_window_bytes as usize);
    builder
}
