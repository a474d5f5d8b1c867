//! Limits of connections.

/// Limits of a listener and of each connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections that a listener holds; further ones wait in the kernel's queue.
    pub max_connections: usize,
    /// Streams open at once on one connection.
    pub max_streams: u32,
    /// Bytes of one stream that may be received before they are consumed.
    pub stream_window: u32,
    /// The same for all streams of a connection together.
    pub connection_window: u32,
    /// The longest head or trailers, in bytes.
    pub max_header_bytes: u32,
    /// Streams that a client may reset on one connection within a second; beyond that it is closed.
    pub max_resets_per_second: u32,
    /// A connection that was made from here is pinged this often, in microseconds; one that has not answered by the next ping is
    /// closed. 0: never.
    pub keepalive_interval: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_connections: 16_384,
            max_streams: 1_024,
            stream_window: 65_535,
            connection_window: 16 << 20,
            max_header_bytes: 16 << 10,
            max_resets_per_second: 1_000,
            keepalive_interval: 0,
        }
    }
}
