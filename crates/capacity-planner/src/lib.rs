//! What the loss of a site comes to: for each site and each pair, where load goes at best, what is served and refused,
//! and what capacity is missing.
//!
//! Free of I/O but for [`command`]. The optimum is a linear programme; it knows rates, not queues, so that servers run at
//! their whole capacity, and is what live decisions are measured against.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod command;
pub mod draw;
pub mod read;
pub mod show;
pub mod solve;
