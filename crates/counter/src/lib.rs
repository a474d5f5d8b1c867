//! The counter service that all gateways share. Increments are written to a log, so acknowledged ones survive a crash.
//!
//! A counter has one or more partitions, each with its own address, state and folder; gateways assign each name to one of
//! them. Settings and folder names call a partition a "part", and an increment an "add".
//!
//! [`state::CounterState`] counts and does no I/O. [`recovery`] and [`snapshot`] restore it from a folder with
//! `chalkdeck_wal`. [`writer`] appends to the log on a separate thread, and [`server`] serves a partition over gRPC.
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
