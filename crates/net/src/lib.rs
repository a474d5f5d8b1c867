//! Carrying code: a poll loop over mio that speaks HTTP/2 through `h2`, driven by hand, and gRPC's framing.
//!
//! It moves bytes and keeps clocks. What to send, to answer or to give up is decided by its caller.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clock;
mod close;
mod conn;
pub mod due;
pub mod engine;
pub mod grpc;
mod http1;
mod io;
mod listener;
mod plain;
mod raw;
pub mod signals;
mod stream;
pub mod unary;
mod wake;
pub mod watch;

pub use close::CloseReason;
pub use engine::{Broken, ConnId, Engine, Event, Limits, ListenerId, StreamId};
