//! Failover between sites, as one gateway decides it: whether a site is lost or only unreachable from this gateway, which share of
//! the load each site gets, which requests are shed first when the remaining sites lack capacity, and how fast the load returns to
//! a recovered site.
//!
//! The crate does no I/O: a [`FailoverCore`] handles timestamped [`Event`]s and computes a [`FailoverPlan`]. The same events always
//! give the same plan. Nothing here sends or rejects a request; the caller passes the plan to the module that does.
//! `docs/site-loss.md` gives the reasons for the rules and their constants.
#![forbid(unsafe_code)]

pub mod admission;
pub mod capacity;
mod core;
pub mod distribution;
mod event;
pub mod loss_backoff;
mod plan;
pub mod ramp;
mod settings;
pub mod shedding;
mod site;
pub mod state;

pub use core::FailoverCore;
pub use event::{
    AttemptEvidence, CompletedRequest, EndedAttempt, EndpointConcurrency, EndpointEntry,
    EndpointId, Event, FinalAnswer, SiteId, SiteOverride,
};
pub use plan::{Concurrency, FailoverPlan, SiteEvidence, SitePlan};
pub use settings::FailoverSettings;
pub use shedding::SheddingThreshold;
pub use state::SiteState;
