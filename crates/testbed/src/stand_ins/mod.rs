//! Stand-ins for the counter and the servers.

pub mod counter;
pub mod farm;
pub mod model;
