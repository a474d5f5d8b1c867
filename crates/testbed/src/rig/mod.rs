//! The test rig: starts a fleet of processes, injects faults into it, and runs scripted days and the demo.

pub mod coordinator_process;
pub mod counter_process;
pub mod day;
pub mod demo;
pub mod fleet;
pub mod links;
pub mod relay_process;
pub mod replay;
pub mod serve;
pub mod site_poller;
