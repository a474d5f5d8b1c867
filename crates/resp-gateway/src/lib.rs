#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backends;
mod client_replies;
mod clock;
pub mod config;
mod counter;
pub mod discovery;
pub mod endpoint_list;
mod outcome;
pub mod request;
mod sessions;
mod shell;

pub use config::{Config, ConfigError};
pub use shell::{Shell, StartError};
