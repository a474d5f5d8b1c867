//! A client of a fleet of gateways. It keeps deadlines, retries a call only where that is harmless, honours the retry times of
//! rejections, and spreads its reconnects.
//!
//! [`core::ClientCore`] decides all of it and does no I/O; [`Client`] carries out its actions over sockets on a thread of its
//! own.
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
