//! The gRPC gateway as a library: its settings, the server that forwards calls, and its RESP port.
//!
//! The decision engine of the package `chalkdeck` decides what happens to each call. This package translates socket events into
//! events of the engine and executes the engine's actions.
#![forbid(unsafe_code)]

mod attempt_outcome;
mod base;
mod call_flow;
mod call_head;
mod calls;
pub mod coordinator_link;
mod counter_client;
mod endpoint_connections;
pub mod endpoints;
mod fault;
mod gateway_server;
pub mod logs;
mod metrics;
pub mod relay;
mod request_buffer;
mod request_queue;
pub mod resp;
pub mod settings;
mod site_overrides;
pub mod sites;

pub use base::errors::{CoordinatorError, SiteOverridesError, SiteRequestError, StartError};
pub use gateway_server::GatewayServer;
pub use settings::{Settings, SettingsError};
