//! Site failover in a gateway: events of the sockets are reported to the failover core, its plan is passed to the decision engine,
//! and operators read the state of sites and override it.

mod admin;
mod events;
mod monitor;
mod plan;
mod status;

pub(crate) use events::AttemptReport;
pub(crate) use monitor::SiteMonitor;
pub use status::{SiteStatus, SitesStatus};
