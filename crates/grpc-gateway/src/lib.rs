//! The gRPC gateway as a library: its settings, the server that carries calls, and its RESP port.
//!
//! The decisions are those of the package `chalkdeck`; this package raises their events from what happens on sockets and carries
//! out their actions.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

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

pub use base::failed::{CoordinatorError, SiteOverridesError, SiteRequestError, StartError};
pub use gateway_server::GatewayServer;
pub use settings::{Settings, SettingsError};
