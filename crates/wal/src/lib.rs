//! A log of records with snapshots that survives crashes, for any state that can be replayed: the counter's and the keepers'.
//!
//! [`held::Held`] is what the state gives; [`log::Log`] and [`snapshot`] keep it on a [`disk::Disk`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod disk;
pub mod held;
pub mod log;
pub mod record;
#[cfg(feature = "sim")]
pub mod sim;
pub mod snapshot;
