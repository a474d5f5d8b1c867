//! Adapter between the decision engine and the operators' simulator: text batches in, text replies
//! out. The names on the wire are the operators'; nothing here decides.
#![forbid(unsafe_code)]

mod actions;
mod adapter;
mod error;
mod events;
mod fields;
mod instance;
pub mod settings;

pub use adapter::Adapter;
pub use error::WireError;
