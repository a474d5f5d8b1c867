#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backends;
pub mod config;
mod counter;
pub mod discovery;
mod front;
pub mod list;
mod outcome;
pub mod request;
mod shell;

pub use config::{Config, ConfigError};
pub use shell::{Shell, StartError};
