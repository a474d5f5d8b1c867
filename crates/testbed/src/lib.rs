//! The testbed: stand-ins for the counter and the servers, a load generator, scripted days with fault injection, and
//! audits of the recorded runs.
//!
//! Modules depend on each other in one direction: `common` uses no other module; `stand_ins`, `load` and `audit` use
//! `common`; `rig` uses these; `measure` and `soak` use `rig`.
#![forbid(unsafe_code)]

pub mod audit;
pub mod cli;
pub mod common;
pub mod load;
pub mod measure;
pub mod rig;
pub mod soak;
pub mod stand_ins;
