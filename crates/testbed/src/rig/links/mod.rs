//! Links between the processes of a test rig: a relay for TCP and UDP on loopback that injects network faults, set for each pair
//! of sites.

pub mod command;
pub mod faults;
mod flow;
mod relay;
mod tcp;
mod udp;

pub use faults::{DirectionFaults, LinkFaults};
pub use relay::{Link, Protocol, Relay};
