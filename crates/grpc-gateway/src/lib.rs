//! The gateway as a library: settings, routes, the shell that carries calls, and what it needs.
//!
//! The decisions are those of the package `chalkdeck`; this package raises its events from what happens on sockets and
//! carries out its actions.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod base;
mod call_flow;
mod calls;
mod counter;
mod counters;
pub mod endpoints;
pub mod entry;
mod fault;
mod front;
pub mod keepers;
pub mod logs;
mod metrics;
mod outcome;
mod pool;
pub mod relay;
mod request_buffer;
pub mod resp;
pub mod settings;
mod shell;
pub mod sites;
mod words;

pub use base::failed::{AskedError, KeepersError, StartError, WordsError};
pub use settings::{Settings, SettingsError};
pub use shell::Shell;
