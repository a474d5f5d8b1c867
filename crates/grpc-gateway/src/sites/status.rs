//! What the admin port shows under `/sites`.
//!
//! The JSON names are read by operators' tools, so they stay whatever the fields are called.

use super::SiteMonitor;
use crate::base::settings::Settings;
use chalkdeck_site_failover::SitePlan;
use chalkdeck_time::Timestamp;
use serde::{Deserialize, Serialize};

/// One site as the admin port shows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SiteStatus {
    /// The zone's name.
    pub site: String,
    /// The name of its state.
    pub state: String,
    /// How long it has been in that state, in seconds.
    #[serde(rename = "for_s")]
    pub state_seconds: f64,
    /// Why it is in that state.
    pub evidence: String,
    /// Part of the load that it should bear.
    pub share: f64,
    /// Learned capacity in units a second that this gateway may use; `None`: no limit was met.
    #[serde(rename = "room")]
    pub capacity: Option<f64>,
    /// Part of its capacity that it is given while it recovers.
    #[serde(rename = "pace")]
    pub ramp: f64,
    /// Attempts in flight.
    #[serde(rename = "out")]
    pub in_flight: f64,
    /// The most attempts that may be in flight.
    #[serde(rename = "places")]
    pub concurrency_limit: f64,
}

/// What the admin port shows under `/sites`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SitesStatus {
    /// The gateway's own site.
    #[serde(rename = "own")]
    pub own_site: String,
    /// Part of the offered work that the sites can bear.
    #[serde(rename = "level")]
    pub admission: f64,
    /// Requests with less value for each unit are rejected.
    #[serde(rename = "floor")]
    pub reject_below: f64,
    /// All sites.
    pub sites: Vec<SiteStatus>,
}

impl SiteMonitor {
    /// The state of all sites by the plan of `now`.
    pub(super) fn status(&mut self, now: Timestamp, settings: &Settings) -> SitesStatus {
        let plan = self.plan(now);
        let site_status = |site_plan: &SitePlan| self.site_status(now, site_plan);
        SitesStatus {
            own_site: settings.zone_name.clone(),
            admission: plan.admission_level,
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
            ramp: plan.ramp_fraction,
            in_flight: plan.concurrency.in_flight,
            concurrency_limit: plan.concurrency.limit,
        }
    }
}
