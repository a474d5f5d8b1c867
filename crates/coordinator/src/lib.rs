//! The fleet's coordinator: a replicated state machine whose state gateways watch over sessions.
//!
//! A [`replica`] drives the [`consensus`] and applies decided commands to the replicated [`state`]; the [`server`] connects it to
//! sockets and to its [`log`] on the disk. The gateway side is the [`agent`] with its [`session`] and its [`cache_file`]; operators
//! and tools use the blocking [`client`]. The replica, the state, the agent and the session do no I/O and read no clocks.
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
