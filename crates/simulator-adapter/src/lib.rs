//! The adapter between the decisions and the operators' drill: text batches in, text replies out.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fields;
pub mod settings;
pub mod wire;
