//! A client of a gateway fleet that keeps deadlines, repeats a call only where that is harmless, honours refusals with
//! their time to come back, and spreads its reconnects.
//!
//! [`core::Core`] decides all of it and does no I/O; [`Client`] carries it over sockets from a thread of its own.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
pub mod core;
mod driver;
mod gateways;
mod handle;
mod settings;
mod stats;
mod stream;
#[cfg(feature = "tower")]
pub mod tower;
mod wire;

pub use crate::core::{Outcome, Repeat, Settings, SettingsError};
pub use handle::{Call, Client, Full, Handle, Reply, StartError};
pub use settings::TextError;
pub use stats::Stats;
pub use stream::{Stream, StreamEvent};
