//! Soak test: generates a fleet and its faults from a seed, runs them with real processes, and checks the event logs of
//! clients and servers.
//!
//! The fleet and the faults with their times depend on the seed alone. The scheduling of the operating system differs from
//! run to run, and with it which call meets which fault.

mod checks;
mod command;
mod faults;
mod generate;
mod run;

pub use checks::{GatewayExit, IdleUsage};
pub use command::{command, SoakArgs};
pub use faults::{FaultKind, PlannedFault};
pub use generate::{generate_plan, SoakPlan};
pub use run::{run_plan, RunSettings, SoakOutcome};
