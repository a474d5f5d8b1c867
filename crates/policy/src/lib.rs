#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
mod decisions;
mod rules;
mod state;

pub use decisions::Decisions;
pub use rules::DecisionEngine;
