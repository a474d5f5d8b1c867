//! Limits of listeners and connections.

/// Limits of a listener and of each connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections of a listener. Further ones wait in the kernel's backlog.
    pub max_connections: usize,
    /// Maximum number of bytes that are read at once from a plain connection, at most [`crate::MAX_READ_BYTES`].
    pub read_bytes: usize,
    /// Maximum number of streams that are open at once on one connection.
    pub max_streams: u32,
    /// The initial flow-control window of a stream, in bytes.
    pub stream_window_bytes: u32,
    /// The initial flow-control window of a connection, in bytes.
    pub connection_window_bytes: u32,
    /// Maximum size of a list of headers or trailers, in bytes.
    pub max_header_bytes: u32,
    /// Maximum number of streams that a client may reset within a second. A connection that exceeds it is closed.
    pub max_resets_per_second: u32,
    /// The interval of keepalive pings on connections that this process opened, in microseconds. A connection that does not answer
    /// before the next ping is closed. 0 disables pings.
    pub keepalive_interval_micros: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_connections: 16_384,
            read_bytes: crate::MAX_READ_BYTES,
            max_streams: 1_024,
            stream_window_bytes: 65_535,
            connection_window_bytes: 16 << 20,
            max_header_bytes: 16 << 10,
            max_resets_per_second: 1_000,
            keepalive_interval_micros: 0,
        }
    }
}
