//! What the loss of a site costs: for each site and each pair of sites, where load goes at best, what is served and rejected, and
//! what capacity is missing.
//!
//! Free of I/O but for [`command`] and [`chart`]. The optimum is a linear program. It knows rates and no queues, so that servers run
//! at their whole capacity, and is what live decisions are measured against.
#![forbid(unsafe_code)]

pub mod chart;
pub mod command;
pub mod input;
mod optimum;
pub mod scenario;
pub mod table;
