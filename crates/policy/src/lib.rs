#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod desk;
pub mod rules;
mod state;
