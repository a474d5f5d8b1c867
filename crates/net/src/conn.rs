//! One connection of either side, from its socket to the `h2` state that runs over it.

use crate::close::CloseReason;
use crate::engine::Limits;
use crate::http1::Http1;
use crate::io::Io;
use crate::raw::Raw;
use bytes::Bytes;
use mio::net::TcpStream;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

type ClientLink = (
    h2::client::SendRequest<Bytes>,
    h2::client::Connection<Io, Bytes>,
);
type ClientHandshake = Pin<Box<dyn Future<Output = Result<ClientLink, h2::Error>> + Send>>;

pub(crate) enum Link {
    Connecting(Option<TcpStream>, Speaks),
    Greeting(ClientHandshake),
    Client(
        h2::client::SendRequest<Bytes>,
        Box<h2::client::Connection<Io, Bytes>>,
    ),
    Welcome(Box<h2::server::Handshake<Io, Bytes>>),
    Server(Box<h2::server::Connection<Io, Bytes>>),
    Http1(Http1),
    Raw(Raw),
    Closed,
}

/// What a listener's connections speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Speaks {
    Http2,
    Http1,
    Raw,
}

pub(crate) struct Conn {
    pub(crate) link: Link,
    pub(crate) waker: Waker,
    pub(crate) limits: Limits,
    /// The listener that took it in.
    pub(crate) listener: Option<u64>,
    /// Where it came from, where that is known.
    pub(crate) from: Option<std::net::IpAddr>,
    /// Streams of it that are open.
    pub(crate) streams: usize,
    /// The address was reached at least once.
    pub(crate) reached: bool,
    /// Streams that the client reset in that second.
    pub(crate) resets: u32,
    pub(crate) reset_second: u64,
    ping: Option<h2::PingPong>,
    /// A ping is out and its answer has not come.
    pub(crate) unanswered: bool,
    /// Its client is asked to open nothing new as soon as it can be told.
    draining: bool,
}

pub(crate) enum Step {
    /// Nothing more for now.
    Wait,
    /// A connection to a server stands.
    Connected,
    /// A client opened a stream.
    Opened(
        Box<http::Request<h2::RecvStream>>,
        h2::server::SendResponse<Bytes>,
    ),
    /// A GET on a side port.
    Get(String),
    /// Plain bytes, and whether there may be more to read at once.
    Bytes(Bytes, bool),
    /// It is over.
    Closed(CloseReason),
}

impl Conn {
    pub(crate) fn accepted(
        stream: TcpStream,
        from: std::net::IpAddr,
        limits: Limits,
        listener: u64,
        speaks: Speaks,
        waker: Waker,
    ) -> Conn {
        let link = match speaks {
            Speaks::Http2 => Link::Welcome(Box::new(server_builder(&limits).handshake(Io(stream)))),
            Speaks::Http1 => Link::Http1(Http1::new(stream)),
            Speaks::Raw => Link::Raw(Raw::new(stream)),
        };
        Conn {
            link,
            waker,
            limits,
            listener: Some(listener),
            from: Some(from),
            streams: 0,
            reached: true,
            resets: 0,
            reset_second: 0,
            ping: None,
            unanswered: false,
            draining: false,
        }
    }

    pub(crate) fn connecting(
        stream: TcpStream,
        limits: Limits,
        speaks: Speaks,
        waker: Waker,
    ) -> Conn {
        let link = Link::Connecting(Some(stream), speaks);
        Conn {
            link,
            waker,
            limits,
            listener: None,
            from: None,
            streams: 0,
            reached: false,
            resets: 0,
            reset_second: 0,
            ping: None,
            unanswered: false,
            draining: false,
        }
    }

    /// How many further streams it takes now: by our limit and by what the peer allows.
    pub(crate) fn room(&self) -> usize {
        let Link::Client(sender, _) = &self.link else {
            return 0;
        };
        let most = sender
            .current_max_send_streams()
            .min(self.limits.streams as usize);
        most.saturating_sub(self.streams)
    }

    /// Asks the client to open nothing new; one that is still greeting is told then.
    pub(crate) fn drain(&mut self) {
        self.draining = true;
        if let Link::Server(link) = &mut self.link {
            link.graceful_shutdown();
        }
        self.waker.wake_by_ref();
    }

    /// Asks the peer for a sign of life.
    pub(crate) fn send_ping(&mut self) {
        if let Some(ping) = &mut self.ping {
            self.unanswered = ping.send_ping(h2::Ping::opaque()).is_ok();
            self.waker.wake_by_ref();
        }
    }

    /// Moves on by one step.
    pub(crate) fn poll(&mut self) -> Step {
        let waker = self.waker.clone();
        let mut cx = Context::from_waker(&waker);
        if let Some(Poll::Ready(_)) = self
            .ping
            .as_mut()
            .filter(|_| self.unanswered)
            .map(|p| p.poll_pong(&mut cx))
        {
            self.unanswered = false;
        }
        loop {
            match &mut self.link {
                Link::Connecting(stream, speaks) => match reached(stream) {
                    Poll::Pending => return Step::Wait,
                    Poll::Ready(Err(e)) => return Step::Closed(CloseReason::Failed(e.to_string())),
                    Poll::Ready(Ok(stream)) => {
                        self.reached = true;
                        if *speaks == Speaks::Raw {
                            self.link = Link::Raw(Raw::new(stream));
                            return Step::Connected;
                        }
                        let handshake = client_builder(&self.limits).handshake(Io(stream));
                        self.link = Link::Greeting(Box::pin(handshake));
                    }
                },
                Link::Greeting(handshake) => match handshake.as_mut().poll(&mut cx) {
                    Poll::Pending => return Step::Wait,
                    Poll::Ready(Err(e)) => return Step::Closed(CloseReason::Failed(e.to_string())),
                    Poll::Ready(Ok((sender, mut link))) => {
                        self.ping = link.ping_pong();
                        self.link = Link::Client(sender, Box::new(link));
                        waker.wake_by_ref();
                        return Step::Connected;
                    }
                },
                Link::Client(_, link) => match Pin::new(link.as_mut()).poll(&mut cx) {
                    Poll::Pending => return Step::Wait,
                    Poll::Ready(end) => return Step::Closed(ended(end.err())),
                },
                Link::Welcome(handshake) => match Pin::new(handshake.as_mut()).poll(&mut cx) {
                    Poll::Pending => return Step::Wait,
                    Poll::Ready(Err(e)) => return Step::Closed(CloseReason::Failed(e.to_string())),
                    Poll::Ready(Ok(mut link)) => {
                        if self.draining {
                            link.graceful_shutdown();
                        }
                        self.link = Link::Server(Box::new(link));
                    }
                },
                Link::Server(link) => match link.poll_accept(&mut cx) {
                    Poll::Pending => return Step::Wait,
                    Poll::Ready(None) => return Step::Closed(ended(None)),
                    Poll::Ready(Some(Err(e))) => return Step::Closed(ended(Some(e))),
                    Poll::Ready(Some(Ok((request, respond)))) => {
                        return Step::Opened(Box::new(request), respond)
                    }
                },
                Link::Http1(http1) => match http1.poll() {
                    crate::http1::Step::Wait => return Step::Wait,
                    crate::http1::Step::Get(path) => return Step::Get(path),
                    crate::http1::Step::Close => return Step::Closed(CloseReason::PeerEnded),
                },
                Link::Raw(raw) => match raw.poll() {
                    crate::raw::Step::Wait => return Step::Wait,
                    crate::raw::Step::Bytes(bytes, more) => return Step::Bytes(bytes, more),
                    crate::raw::Step::Close(reason) => return Step::Closed(reason),
                },
                Link::Closed => return Step::Wait,
            }
        }
    }
}

fn ended(error: Option<h2::Error>) -> CloseReason {
    error.map_or(CloseReason::PeerEnded, |e| {
        CloseReason::Failed(e.to_string())
    })
}

/// Whether a connection under way has come to stand.
fn reached(slot: &mut Option<TcpStream>) -> Poll<std::io::Result<TcpStream>> {
    let Some(stream) = slot else {
        return Poll::Pending;
    };
    if let Ok(Some(e)) | Err(e) = stream.take_error() {
        return Poll::Ready(Err(e));
    }
    match stream.peer_addr() {
        Ok(_) => Poll::Ready(
            slot.take()
                .ok_or_else(|| std::io::ErrorKind::NotConnected.into()),
        ),
        Err(e) if e.kind() == std::io::ErrorKind::NotConnected => Poll::Pending,
        Err(e) => Poll::Ready(Err(e)),
    }
}

fn server_builder(limits: &Limits) -> h2::server::Builder {
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(limits.streams)
        .initial_window_size(limits.stream_window)
        .initial_connection_window_size(limits.connection_window)
        .max_header_list_size(limits.header_bytes)
        .max_send_buffer_size(limits.stream_window as usize)
        .max_concurrent_reset_streams(64)
        .max_pending_accept_reset_streams(64);
    builder
}

fn client_builder(limits: &Limits) -> h2::client::Builder {
    let mut builder = h2::client::Builder::new();
    builder
        .enable_push(false)
        .initial_max_send_streams(limits.streams as usize)
        .initial_window_size(limits.stream_window)
        .initial_connection_window_size(limits.connection_window)
        .max_header_list_size(limits.header_bytes)
        .max_send_buffer_size(limits.stream_window as usize);
    builder
}

impl crate::engine::Engine {
    /// The address that a connection came in from; none: it is not held, or was made from here.
    pub fn came_from(&self, conn: crate::engine::ConnId) -> Option<std::net::IpAddr> {
        self.conns.get(&conn.0)?.from
    }
}
