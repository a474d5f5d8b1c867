//! The status of the sites, which the admin port serves as JSON under `/sites`.
//!
//! Operators' tools read the JSON names, so a renamed field keeps its JSON name by an attribute.

use super::SiteMonitor;
use crate::base::settings::Settings;
use chalkdeck_site_failover::SitePlan;
use chalkdeck_time::Timestamp;
use serde::{Deserialize, Serialize};

/// The status of one site.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SiteStatus {
    /// The name of the site, which is that of its zone.
    pub site: String,
    /// The name of its state.
    pub state: String,
    /// How long it has been in that state, in seconds.
    #[serde(rename = "for_s")]
    pub state_seconds: f64,
    /// Why it is in that state.
    pub evidence: String,
    /// The fraction of the load that it should get.
    pub share: f64,
    /// The learned capacity in units per second that this gateway may use; `None`: no limit was reached.
    #[serde(rename = "room")]
    pub capacity: Option<f64>,
    /// The fraction of its capacity that it is given while it recovers; 1 otherwise.
    #[serde(rename = "pace")]
    pub ramp_fraction: f64,
    /// The number of attempts in flight to it.
    #[serde(rename = "out")]
    pub in_flight: f64,
    /// The maximum number of attempts in flight to it.
    #[serde(rename = "places")]
    pub concurrency_limit: f64,
}

/// The status of all sites as one gateway sees them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SitesStatus {
    /// The name of the gateway's own site.
    #[serde(rename = "own")]
    pub own_site: String,
    /// The fraction of the offered units that is admitted.
    #[serde(rename = "level")]
    pub admission_level: f64,
    /// Requests with a lower value per unit are rejected.
    #[serde(rename = "floor")]
    pub reject_below: f64,
    /// The status of each site.
    pub sites: Vec<SiteStatus>,
}

impl SiteMonitor {
    /// The status of all sites, by the plan as of `now`.
    pub(super) fn status(&mut self, now: Timestamp, settings: &Settings) -> SitesStatus {
        let plan = self.plan(now);
        let site_status = |site_plan: &SitePlan| self.site_status(now, site_plan);
        SitesStatus {
            own_site: settings.zone_name.clone(),
            admission_level: plan.admission_level,
            reject_below: plan.threshold.reject_below,
            sites: plan.sites.iter().map(site_status).collect(),
        }
    }

    fn site_status(&self, now: Timestamp, plan: &SitePlan) -> SiteStatus {
        SiteStatus {
            site: self.site_name(plan.site).to_string(),
            state: plan.state.name().to_string(),
            state_seconds: (now - plan.state_since).as_secs_f64(),
            evidence: plan.evidence.to_string(),
            share: plan.share,
            capacity: plan.capacity,
            ramp_fraction: plan.ramp_fraction,
            in_flight: plan.concurrency.in_flight,
            concurrency_limit: plan.concurrency.limit,
        }
    }
}
