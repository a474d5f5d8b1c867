//! Links between the processes of a rig: a relay for TCP and UDP on loopback between any two parties, by sites, with the
//! faults of networks.

pub mod command;
pub mod faults;
mod flow;
mod relay;
mod tcp;
mod udp;

pub use faults::{Faults, Way};
pub use relay::{Link, Relay, Wire};
