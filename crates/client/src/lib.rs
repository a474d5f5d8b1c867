//! A client library for a fleet of gateways. It enforces deadlines, retries a call only if that is safe, honours the retry times
//! of rejections, and spreads its reconnects over time.
//!
//! [`core::ClientCore`] makes all decisions and does no I/O. [`Client`] executes the resulting actions over sockets, on a thread of
//! its own.
#![forbid(unsafe_code)]

mod attempt_headers;
mod call;
mod client;
mod command;
pub mod core;
mod driver;
mod gateway_file;
mod metrics;
mod settings;
mod stream;
#[cfg(feature = "tower")]
pub mod tower;

pub use crate::core::{Idempotency, Outcome};
pub use call::{Call, CallHandle, Reply, TooManyCalls};
pub use chalkdeck_time::{TimeDelta, Timestamp};
pub use client::{Client, StartError};
pub use metrics::Stats;
pub use settings::{Settings, SettingsError, TextError};
pub use stream::{Stream, StreamEvent, StreamFull};
