//! The failover plan on its way to the decisions: when it is computed, and what of it is passed on.

use super::SiteMonitor;
use crate::gateway_server::{GatewayServer, TimerPurpose};
use chalkdeck::api::{self, ZoneId, ZoneShare};
use chalkdeck_site_failover::{
    EndpointConcurrency, EndpointId, Event, FailoverPlan, SheddingThreshold, SitePlan, SiteState,
};

/// How often the plan is computed again, in microseconds.
const PLAN_INTERVAL: u64 = 25_000;
/// Figures that changed by a smaller part than this are not passed on.
const MIN_RELATIVE_CHANGE: f64 = 0.005;
/// Changes are relative to at least this, so that tiny figures don't count as changed.
const MIN_REFERENCE: f64 = 0.05;

impl GatewayServer {
    /// Reports the endpoints' concurrency and computes the plan again.
    pub(crate) fn refresh_site_plan(&mut self) {
        self.set_timer(PLAN_INTERVAL, TimerPurpose::SitePlanRefresh);
        let now = self.now();
        let Some(sites) = &mut self.sites else { return };
        let reported: Vec<EndpointConcurrency> = self
            .decisions
            .engine
            .endpoint_concurrency()
            .map(|reported| EndpointConcurrency {
                endpoint: EndpointId(reported.endpoint.0),
                in_flight: reported.in_flight,
                limit: reported.limit,
            })
            .collect();
        sites.handle(now, Event::ConcurrencyReported(&reported));
        self.apply_site_plan();
    }

    /// Passes the plan to the decisions if it has changed.
    pub(super) fn apply_site_plan(&mut self) {
        let now = self.now();
        let Some(sites) = &mut self.sites else { return };
        let mut plan = sites.plan(now);
        if !self.settings.is_site_shedding_enabled {
            plan.threshold = SheddingThreshold::ADMIT_ALL;
        }
        let applied = sites.applied_plan.as_ref();
        if applied.is_some_and(|applied| is_unchanged(applied, &plan)) {
            return;
        }
        sites.log_state_changes(&plan);
        let event = shares_event(&plan);
        sites.replace_applied_plan(plan);
        self.decisions.push(event);
    }
}

impl SiteMonitor {
    fn log_state_changes(&self, plan: &FailoverPlan) {
        let applied = self
            .applied_plan
            .as_ref()
            .map_or(&[][..], |applied| &applied.sites);
        for site_plan in &plan.sites {
            let before = applied
                .iter()
                .find(|applied| applied.site == site_plan.site)
                .map(|applied| applied.state);
            if before != Some(site_plan.state) {
                tracing::info!(
                    site = self.site_name(site_plan.site),
                    state = site_plan.state.name(),
                    evidence = %site_plan.evidence,
                    "site state changed"
                );
            }
        }
    }

    /// Also forgets the names of sites that the plan no longer has.
    fn replace_applied_plan(&mut self, plan: FailoverPlan) {
        self.names
            .retain(|id, _| plan.sites.iter().any(|site_plan| site_plan.site == *id));
        self.applied_plan = Some(plan);
    }
}

fn shares_event(plan: &FailoverPlan) -> api::Event {
    let zone_share = |site_plan: &SitePlan| ZoneShare {
        zone: ZoneId(site_plan.site.0),
        share: site_plan.share,
        accepts_overflow: site_plan.state == SiteState::Serving,
    };
    api::Event::ZoneSharesChanged {
        shares: plan.sites.iter().map(zone_share).collect(),
        threshold: api::SheddingThreshold {
            admit_above: plan.threshold.admit_above,
            reject_below: plan.threshold.reject_below,
            admit_fraction: plan.threshold.admit_fraction,
        },
    }
}

/// Whether the decisions need not be given the new plan.
fn is_unchanged(old: &FailoverPlan, new: &FailoverPlan) -> bool {
    old.sites.len() == new.sites.len()
        && old
            .sites
            .iter()
            .zip(&new.sites)
            .all(|(old, new)| is_site_unchanged(old, new))
        && is_threshold_unchanged(&old.threshold, &new.threshold)
}

fn is_site_unchanged(old: &SitePlan, new: &SitePlan) -> bool {
    old.site == new.site && old.state == new.state && is_near(old.share, new.share)
}

fn is_threshold_unchanged(old: &SheddingThreshold, new: &SheddingThreshold) -> bool {
    old.admit_above == new.admit_above
        && old.reject_below == new.reject_below
        && is_near(old.admit_fraction, new.admit_fraction)
}

fn is_near(old: f64, new: f64) -> bool {
    let reference = old.abs().max(new.abs()).max(MIN_REFERENCE);
    (old - new).abs() <= MIN_RELATIVE_CHANGE * reference
}
