//! A single-threaded event loop on mio. It supports HTTP/2 with `h2`, plain TCP connections, HTTP/1.1 for health checks and
//! metrics, and gRPC framing.
//!
//! The event loop does I/O and fires timers. Its caller decides what to send, answer or abort.
#![forbid(unsafe_code)]

pub mod clock;
mod close_reason;
mod connection;
pub mod engine;
mod event;
pub mod file_watch;
pub mod grpc;
mod h2_socket;
mod http1;
mod ids;
mod limits;
mod lingering_close;
mod listener;
mod plain_connection;
mod ready_queue;
mod reserved_port;
pub mod signals;
mod stream;
pub mod timer_queue;
pub mod unary;
pub mod write_progress;

pub use close_reason::CloseReason;
pub use engine::Engine;
pub use event::{Event, StreamError};
pub use ids::{ConnId, ListenerId, StreamId};
pub use limits::Limits;
pub use plain_connection::MAX_READ_BYTES;
pub use reserved_port::ReservedPort;
