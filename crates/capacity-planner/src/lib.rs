//! Plans for the loss of sites: for each site and each pair of sites, the best distribution of load over the remaining sites, the calls
//! that are served and rejected, and the missing capacity.
//!
//! Only [`command`] and [`chart`] do I/O. The optimum is the solution of a linear program. It models rates but no queues, so endpoints
//! run at their full capacity; the decisions of live gateways are measured against it.
#![forbid(unsafe_code)]

pub mod chart;
pub mod command;
pub mod input;
mod optimum;
pub mod scenario;
pub mod table;
