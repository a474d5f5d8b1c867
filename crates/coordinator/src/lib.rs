//! The fleet's shared state: agreed on by a few keepers, watched by gateways over sessions.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agree;
pub mod apply;
pub mod ask;
pub mod core;
pub mod journal;
pub mod kept;
pub mod member;
pub mod registrar;
mod seen;
pub mod serve;
pub mod session;
pub mod settings;
pub mod state;
pub mod store;
