//! Limits of connections.

/// Limits of a listener and of each connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections that a listener holds; further ones wait in the kernel's queue.
    pub connections: usize,
    /// Streams open at once on one connection.
    pub streams: u32,
    /// Bytes of one stream that may be received before they are consumed.
    pub stream_window: u32,
    /// The same for all streams of a connection together.
    pub connection_window: u32,
    /// The longest head or trailers, in bytes.
    pub header_bytes: u32,
    /// Streams that a client may reset on one connection within a second; beyond that it is closed.
    pub resets: u32,
    /// A connection that was made from here is pinged this often, in microseconds; one that has not answered by the next ping is
    /// closed. 0: never.
    pub keepalive: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 16_384,
            streams: 1_024,
            stream_window: 65_535,
            connection_window: 16 << 20,
            header_bytes: 16 << 10,
            resets: 1_000,
            keepalive: 0,
        }
    }
}
