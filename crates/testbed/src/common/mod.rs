//! Code shared by all commands of the testbed: scripted days, child processes, event logs, load statistics and charts.

pub mod control;
pub mod event_log;
pub mod load_stats;
pub mod plot;
pub mod process;
pub mod script;
