//! The soak: worlds and faults drawn from seeds, played by real processes, and judged by what clients and servers saw.
//!
//! From the seed alone come the world and the faults with their times. What isn't the same from play to play is the system's
//! scheduling, and with it which call meets which fault.

mod checks;
mod command;
mod draw;
mod faults;
mod play;

pub use checks::{Exit, Rest};
pub use command::{command, SoakArgs};
pub use draw::{draw, SoakPlan};
pub use faults::{DrawnFault, FaultKind};
pub use play::{play, Outcome, PlaySettings};
