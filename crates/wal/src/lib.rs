//! A crash-safe write-ahead log with snapshots, for any state that can be rebuilt by replaying records.
//!
//! A state implements [`state::ReplayableState`]. [`log::Log`] appends its records to segment files on a
//! [`disk::Disk`], [`snapshot`] writes the full state to one file, and [`recovery`] restores the state from the newest
//! snapshot and the records after it. [`retention`] removes files that newer snapshots supersede.
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
