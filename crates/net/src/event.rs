//! Events that the loop reports to its caller.

use crate::close_reason::CloseReason;
use crate::ids::{ConnId, ListenerId, StreamId};
use bytes::Bytes;
use http::{request, response, HeaderMap};

/// Why a stream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// The peer refused the stream before processing it.
    Refused,
    /// The peer sent GOAWAY, which states that it did not process the stream.
    GoneAway,
    /// The peer reset the stream.
    Reset(h2::Reason),
    /// The connection was lost.
    ConnectionLost,
}

/// Something that happened in the loop.
#[derive(Debug)]
pub enum Event {
    /// A connection was accepted.
    Accepted {
        /// The listener.
        listener: ListenerId,
        /// The connection.
        conn: ConnId,
    },
    /// A connection that this process opened is established.
    Connected {
        /// The connection.
        conn: ConnId,
    },
    /// A connection is closed.
    Closed {
        /// The connection.
        conn: ConnId,
        /// Whether it was ever established.
        was_established: bool,
        /// The number of bytes queued on a plain connection that were never written.
        unsent_bytes: usize,
        /// Why it is closed.
        reason: CloseReason,
    },
    /// A client opened a stream.
    StreamOpened {
        /// The stream.
        stream: StreamId,
        /// Its connection.
        conn: ConnId,
        /// The head of its request.
        head: Box<request::Parts>,
        /// Whether the request has no body.
        is_end_stream: bool,
    },
    /// The head of a response was received.
    ResponseHead {
        /// The stream.
        stream: StreamId,
        /// The head.
        head: Box<response::Parts>,
        /// Whether the response has no body.
        is_end_stream: bool,
    },
    /// Bytes of a body were received. `Engine::consume` lets the peer send more.
    Data {
        /// The stream.
        stream: StreamId,
        /// The bytes.
        data: Bytes,
    },
    /// The peer ended its side of a stream.
    StreamEnded {
        /// The stream.
        stream: StreamId,
        /// Its trailers, if it sent any.
        trailers: Option<HeaderMap>,
    },
    /// Bytes that were queued on a stream were passed to its connection.
    Sent {
        /// The stream.
        stream: StreamId,
        /// The number of bytes.
        bytes: usize,
    },
    /// A stream failed. No further event is reported for it.
    StreamFailed {
        /// The stream.
        stream: StreamId,
        /// Why it failed.
        error: StreamError,
    },
    /// The timer with this token has fired.
    Timer(u64),
    /// A GET request arrived over HTTP/1.1.
    Get {
        /// The connection.
        conn: ConnId,
        /// The path of the request.
        path: String,
    },
    /// Bytes were received on a plain connection.
    Bytes {
        /// The connection.
        conn: ConnId,
        /// The bytes.
        data: Bytes,
        /// The earliest time at which they may have arrived.
        arrived_since: u64,
    },
}
