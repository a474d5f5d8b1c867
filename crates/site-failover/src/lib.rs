//! What a gateway makes of whole sites: whether a site is lost or only unreachable from here, which part of the load each site
//! should bear, what is shed first when the remaining sites cannot bear all of it, and how fast a recovered site gets its part back.
//!
//! Free of I/O: [`Event`]s with their times go into a [`FailoverCore`], a [`FailoverPlan`] comes out. The same events give the same
//! plan. Nothing here sends or rejects a request; the caller hands the plan to the module that does. `docs/site-loss.md` has the
//! reasons for the rules and their constants.
#![forbid(unsafe_code)]

pub mod admission;
pub mod capacity;
mod core;
pub mod distribution;
mod event;
pub mod hold_out;
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
