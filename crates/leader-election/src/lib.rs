//! Leader election by leases, free of I/O and of any wall clock.
//!
//! Each participant measures time by its own monotonic clock: the lease holder's [`Lease`] counts from when a renewal was *sent*;
//! a replica's [`FailureDetector`] counts from when a renewal was *applied*, and for longer. [`placement`] spreads elections over
//! gateways and sites. A lease alone excludes nobody: each effect of a leader carries the election's [`FencingToken`], and each
//! resource compares it with a [`FencingGuard`].
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

/// The id of a lease's session, assigned by the replicated state; 0 is never assigned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);
