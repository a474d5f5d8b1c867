//! What all tools of the laboratory share: days as read, processes, logs, figures, plots.

pub mod control;
pub mod log;
pub mod plot;
pub mod process;
pub mod report;
pub mod script;
