//! The fleet's shared state: duties, contracts, access rules, hits, operators' words on sites.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agree;
pub mod core;
pub mod journal;
pub mod registrar;
pub mod session;
pub mod state;
pub mod store;
