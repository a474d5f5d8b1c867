//! Computes the failover plan at an interval and passes it to the decision engine if it has changed.

use super::SiteMonitor;
use crate::gateway_server::{GatewayServer, TimerPurpose};
use chalkdeck::api::{self, ZoneId, ZoneShare};
use chalkdeck_site_failover::{
    EndpointConcurrency, EndpointId, Event, FailoverPlan, SheddingThreshold, SitePlan, SiteState,
};

/// The interval at which the plan is computed.
const PLAN_INTERVAL_MICROS: u64 = 25_000;
/// A smaller relative change of a share or fraction does not count as a change.
const MIN_RELATIVE_CHANGE: f64 = 0.005;
/// The least value that a change is relative to, so that small changes of tiny values do not count.
const MIN_CHANGE_REFERENCE: f64 = 0.05;

impl GatewayServer {
    /// Reports the endpoints' concurrency to the failover core, and computes and applies the plan. Runs at an interval.
    pub(crate) fn refresh_site_plan(&mut self) {
        self.set_timer(PLAN_INTERVAL_MICROS, TimerPurpose::SitePlanRefresh);
        let now = self.now();
        let Some(sites) = &mut self.sites else { return };
        let concurrency: Vec<EndpointConcurrency> = self
            .decisions
            .engine
            .endpoint_concurrency()
            .map(|endpoint| EndpointConcurrency {
                endpoint: EndpointId(endpoint.endpoint.0),
                in_flight: endpoint.in_flight,
                limit: endpoint.limit,
            })
            .collect();
        sites.handle(now, Event::ConcurrencyReported(&concurrency));
        self.apply_site_plan();
    }

    /// Computes the plan and passes it to the decision engine if it has changed.
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
        let event = zone_shares_changed(&plan);
        sites.replace_applied_plan(plan);
        self.decisions.push(event);
    }
}

impl SiteMonitor {
    fn log_state_changes(&self, plan: &FailoverPlan) {
        let applied_sites = self
            .applied_plan
            .as_ref()
            .map_or(&[][..], |applied| &applied.sites);
        for site_plan in &plan.sites {
            let old_state = applied_sites
                .iter()
                .find(|applied| applied.site == site_plan.site)
                .map(|applied| applied.state);
            if old_state != Some(site_plan.state) {
                tracing::info!(
                    site = self.site_name(site_plan.site),
                    state = site_plan.state.name(),
                    evidence = %site_plan.evidence,
                    "site state changed"
                );
            }
        }
    }

    /// Stores the plan as applied, and removes the names of sites that it no longer contains.
    fn replace_applied_plan(&mut self, plan: FailoverPlan) {
        self.site_names
            .retain(|id, _| plan.sites.iter().any(|site_plan| site_plan.site == *id));
        self.applied_plan = Some(plan);
    }
}

/// The event by which the decision engine receives a plan.
fn zone_shares_changed(plan: &FailoverPlan) -> api::Event {
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

/// Whether the plans differ too little for the new one to be passed to the decision engine.
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
    old.site == new.site && old.state == new.state && is_nearly_equal(old.share, new.share)
}

fn is_threshold_unchanged(old: &SheddingThreshold, new: &SheddingThreshold) -> bool {
    old.admit_above == new.admit_above
        && old.reject_below == new.reject_below
        && is_nearly_equal(old.admit_fraction, new.admit_fraction)
}

fn is_nearly_equal(old: f64, new: f64) -> bool {
    let reference = old.abs().max(new.abs()).max(MIN_CHANGE_REFERENCE);
    (old - new).abs() <= MIN_RELATIVE_CHANGE * reference
}
