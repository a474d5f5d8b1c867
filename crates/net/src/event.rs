//! What a loop reports to its caller.

use crate::close_reason::CloseReason;
use crate::ids::{ConnId, ListenerId, StreamId};
use bytes::Bytes;
use http::{request, response, HeaderMap};

/// Why a stream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// The peer refused it before it processed it.
    Refused,
    /// The peer is going away and states that it did not process it.
    GoneAway,
    /// The peer reset it.
    Reset(h2::Reason),
    /// The connection is lost.
    Lost,
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// A connection was accepted.
    Accepted {
        /// The listener.
        listener: ListenerId,
        /// The connection.
        conn: ConnId,
    },
    /// A connection that was made from here is established.
    Connected {
        /// The connection.
        conn: ConnId,
    },
    /// A connection has ended.
    Closed {
        /// The connection.
        conn: ConnId,
        /// It was established before.
        was_established: bool,
        /// Bytes queued on a plain connection that were never written.
        unsent_bytes: usize,
        /// Why it ended.
        reason: CloseReason,
    },
    /// A client opened a stream.
    Opened {
        /// The stream.
        stream: StreamId,
        /// Its connection.
        conn: ConnId,
        /// The head of its request.
        head: Box<request::Parts>,
        /// The request has no body.
        is_end_stream: bool,
    },
    /// The head of a response was received.
    Head {
        /// The stream.
        stream: StreamId,
        /// The head.
        head: Box<response::Parts>,
        /// The response has no body.
        is_end_stream: bool,
    },
    /// Bytes of a body were received; `Engine::consume` lets the peer send more.
    Data {
        /// The stream.
        stream: StreamId,
        /// The bytes.
        data: Bytes,
    },
    /// The peer's direction of a stream has ended.
    End {
        /// The stream.
        stream: StreamId,
        /// Its trailers.
        trailers: Option<HeaderMap>,
    },
    /// Queued bytes were handed to the connection.
    Sent {
        /// The stream.
        stream: StreamId,
        /// How many.
        bytes: usize,
    },
    /// A stream failed; no further event names it.
    StreamFailed {
        /// The stream.
        stream: StreamId,
        /// Why.
        error: StreamError,
    },
    /// A timer has fired; its token.
    Timer(u64),
    /// A GET on an HTTP/1.1 port.
    Get {
        /// The connection.
        conn: ConnId,
        /// Its path.
        path: String,
    },
    /// Bytes on a plain connection were received.
    Bytes {
        /// The connection.
        conn: ConnId,
        /// The bytes.
        data: Bytes,
    },
}
