//! The fleet's coordinator: a state that a few replicas agree on, and that gateways watch over sessions.
//!
//! A [`replica`] drives the [`consensus`] and applies what it decides to the replicated [`state`]; [`server`] has it on sockets and
//! its [`log`] on the disk. A gateway's side is the [`agent`] with its [`session`] and its [`cache_file`]; operators and tools use
//! the blocking [`client`]. The replica, the state, the agent and the session are free of I/O and clocks.
#![forbid(unsafe_code)]

pub mod agent;
pub mod cache_file;
mod call_statistics;
pub mod client;
pub mod consensus;
pub mod ids;
pub mod log;
pub mod pending_work;
pub mod proposal_progress;
pub mod protocol;
pub mod registrar;
pub mod replica;
pub mod server;
pub mod session;
pub mod settings;
pub mod state;
pub mod storage;
