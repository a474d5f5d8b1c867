//! Adapter between the decision engine and the operators' simulator. It reads batches of events as
//! text lines and writes one text reply with the resulting actions for each batch. The message and
//! field names on the wire are the simulator's. The adapter only translates: all decisions are made
//! by the engine.
#![forbid(unsafe_code)]

mod actions;
mod adapter;
mod error;
mod events;
mod fields;
mod gateway;
pub mod settings;

pub use adapter::Adapter;
pub use error::WireError;
