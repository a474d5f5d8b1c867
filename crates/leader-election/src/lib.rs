//! Leader election with leases and fencing tokens. The crate does no I/O and reads no clock: callers pass the time in.
//!
//! Each participant measures time with its own monotonic clock. The lease holder's [`Lease`] runs from the moment a renewal was
//! *sent*; a replica's [`FailureDetector`] runs from the moment a renewal was *applied*, and with a longer timeout.
//! [`placement`] balances the elections over gateways and sites. A lease alone does not guarantee mutual exclusion: every operation
//! of a leader carries the election's [`FencingToken`], and every resource checks it with a [`FencingGuard`].
#![forbid(unsafe_code)]

mod failure_detector;
mod fencing;
mod lease;
pub mod placement;
mod terms;

pub use failure_detector::{FailureDetector, SessionRenewal};
pub use fencing::{FencingGuard, FencingToken, StaleToken};
pub use lease::{Lease, RenewalNumber};
pub use terms::LeaseTerms;

/// The id of the session that a lease belongs to, assigned by the replicated state machine. 0 is never assigned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);
