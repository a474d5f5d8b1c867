//! A write-ahead log with snapshots that survives crashes, for any state that can be replayed.
//!
//! A state implements [`state::ReplayableState`]. [`log::Log`] appends its records to segments on a [`disk::Disk`],
//! [`snapshot`] writes all of it at once, and [`recovery`] restores it from both. [`retention`] removes files that a
//! newer snapshot has made superfluous.
#![forbid(unsafe_code)]

pub mod disk;
pub mod error;
pub mod file_names;
pub mod log;
pub mod record;
pub mod recovery;
pub mod retention;
pub mod segment;
#[cfg(any(test, feature = "sim"))]
pub mod simulated_disk;
pub mod snapshot;
pub mod state;
#[cfg(test)]
mod test_state;
