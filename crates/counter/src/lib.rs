//! A counter that all gateways share, with a log: an increment that was acknowledged is there again after a crash.
//!
//! [`state::CounterState`] counts and does no I/O. [`recovery`] and [`snapshot`] restore it from a folder by `chalkdeck_wal`.
//! [`writer`] appends to the log on a thread of its own, and [`server`] is the service on sockets.
#![forbid(unsafe_code)]

pub mod batch;
pub mod cli;
mod hot_names;
mod metrics;
pub mod pending;
pub mod recovery;
pub mod server;
pub mod settings;
pub mod snapshot;
pub mod state;
pub mod writer;
