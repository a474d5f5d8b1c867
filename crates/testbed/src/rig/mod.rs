//! The rig: a fleet of processes, the faults that befall it, days and demo.

pub mod between;
pub mod counting;
pub mod day;
pub mod demo;
pub mod fleet;
pub mod keeping;
pub mod links;
pub mod replay;
pub mod serve;
pub mod watch;
