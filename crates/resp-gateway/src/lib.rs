#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]

mod abandoned_ids;
mod attempt;
mod client_replies;
mod clock;
pub mod config;
mod counter_client;
pub mod discovery;
mod endpoint_connections;
pub mod endpoint_list;
mod endpoint_reply;
mod memory_budget;
mod memory_plan;
pub mod request;
mod server;
mod sessions;

pub use config::{Config, ConfigError};
pub use server::{GatewayServer, StartError};
