//! The gateway as a library: settings, routes, the gateway that carries calls, and what it needs.
//!
//! The decisions are those of the package `chalkdeck`; this package raises its events from what happens on sockets and
//! carries out its actions.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod base;
mod call_flow;
mod call_head;
mod calls;
pub mod coordinator_link;
mod counter_client;
pub mod endpoints;
mod fault;
mod gateway_server;
pub mod logs;
mod metrics;
mod outcome;
mod pool;
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
