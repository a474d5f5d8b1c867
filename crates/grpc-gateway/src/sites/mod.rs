//! Sites as a gateway watches them: the failover core is told what happens on the sockets, its plan goes to the decisions, and
//! operators see and override it.

mod admin;
mod events;
mod monitor;
mod plan;
mod status;

pub(crate) use events::AttemptReport;
pub(crate) use monitor::SiteMonitor;
pub use status::{SiteStatus, SitesStatus};
