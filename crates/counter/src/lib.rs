//! Named numbers that all gateways share, with a log: what was told as counted is there again after a crash.
//!
//! [`state::Counts`] counts and does no I/O; [`log::Log`] and [`snapshot`] keep it on a disk by `chalkdeck_wal`; the rest carries.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cli;
pub mod log;
mod meters;
pub mod serve;
pub mod settings;
pub mod snapshot;
pub mod state;
mod top;
pub mod waiting;
pub mod writer;
