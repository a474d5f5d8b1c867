//! The event loop over mio: HTTP/2 through `h2`, plain connections, HTTP/1.1 for health and metrics, and the framing of gRPC.
//!
//! It moves bytes and keeps time. What is sent, answered or aborted is decided by its caller.
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
mod listener;
mod plain_connection;
mod ready_queue;
mod reserved_port;
pub mod signals;
mod stream;
pub mod timer_queue;
pub mod unary;

pub use close_reason::CloseReason;
pub use engine::Engine;
pub use event::{Event, StreamError};
pub use ids::{ConnId, ListenerId, StreamId};
pub use limits::Limits;
pub use reserved_port::ReservedPort;
