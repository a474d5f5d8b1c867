//! Computes the plan from the states and capacities of the sites.

use super::{FailoverCore, MIN_LEARNING_FRACTION, MIN_LOAD_UNITS_PER_SECOND, MIN_TOTAL_WEIGHT};
use crate::distribution::{distribute, SiteCapacity};
use crate::ramp::RecoveryRamp;
use crate::site::Site;
use crate::{FailoverPlan, SitePlan, SiteState};
use chalkdeck_time::Timestamp;

/// The fraction of its proportional load, or of its limit if that is lower, that a doubtful site still gets.
const DOUBTFUL_FRACTION: f64 = 0.25;
/// Probes per second that all gateways together send to a site that is out of service.
const TOTAL_PROBES_PER_SECOND: f64 = 20.0;
/// Minimum time between two probes of a site by one gateway.
const MIN_PROBE_INTERVAL_SECONDS: f64 = 0.25;
/// Maximum time between two probes of a site by one gateway.
const MAX_PROBE_INTERVAL_SECONDS: f64 = 4.0;
/// Maximum share of a gateway's load that probes of one site may take.
const MAX_PROBE_SHARE: f64 = 0.02;

impl FailoverCore {
    /// Updates the states of all sites and returns the plan as of `now`.
    pub fn plan(&mut self, now: Timestamp) -> FailoverPlan {
        self.update_states(now);
        self.offered_by_weight.decay(now);
        let load = self
            .offered_load
            .per_second(now)
            .max(MIN_LOAD_UNITS_PER_SECOND);
        let capacities: Vec<SiteCapacity> = self
            .sites
            .values()
            .map(|site| self.site_capacity(now, site, load))
            .collect();
        let mut shares = distribute(load, &capacities);
        self.reserve_probes(load, &mut shares);
        let admission_level = self.admission_level.0;
        FailoverPlan {
            sites: self
                .sites
                .values()
                .zip(shares)
                .map(|(site, share)| site_plan(now, site, share))
                .collect(),
            admission_level,
            threshold: self.offered_by_weight.threshold(admission_level),
        }
    }

    fn site_capacity(&self, now: Timestamp, site: &Site, load: f64) -> SiteCapacity {
        let weights = site.weights();
        let proportional_load =
            load * weights.responsive / self.responsive_weight.max(MIN_TOTAL_WEIGHT);
        let limit = current_limit(now, site, proportional_load);
        let capacity = match site.state {
            _ if weights.listed <= 0.0 || site.state.is_out_of_service() => 0.0,
            SiteState::Doubtful => limit.min(proportional_load) * DOUBTFUL_FRACTION,
            SiteState::Returning => limit.min(proportional_load * ramp_fraction(site)),
            _ => limit,
        };
        // If all sites are lost, the load is distributed by the weights of their listed endpoints; a held-out site still gets none.
        let weight = if site.state == SiteState::HeldOut {
            0.0
        } else {
            weights.listed.max(weights.responsive)
        };
        SiteCapacity {
            capacity,
            weight,
            is_own_site: site.id == self.settings.own_site,
        }
    }

    /// Reserves a small share of the load as probes of sites that are lost or recovering, so that their recovery is noticed.
    fn reserve_probes(&self, load: f64, shares: &mut [f64]) {
        let any_share = shares.iter().any(|share| *share > 0.0);
        let any_in_service = self
            .sites
            .values()
            .any(|site| !site.state.is_out_of_service());
        if !any_share || !any_in_service {
            return;
        }
        let interval = (f64::from(self.settings.gateway_count) / TOTAL_PROBES_PER_SECOND)
            .clamp(MIN_PROBE_INTERVAL_SECONDS, MAX_PROBE_INTERVAL_SECONDS);
        let probe_share = (1.0 / interval / load).min(MAX_PROBE_SHARE);
        let probed_sites = self.sites.values().filter(|site| is_probed(site)).count();
        let reserved = probe_share * probed_sites as f64;
        for (share, site) in shares.iter_mut().zip(self.sites.values()) {
            let own_probes = if is_probed(site) { probe_share } else { 0.0 };
            *share = *share * (1.0 - reserved) + own_probes;
        }
    }
}

fn site_plan(now: Timestamp, site: &Site, share: f64) -> SitePlan {
    SitePlan {
        site: site.id,
        state: site.state,
        state_since: site.state_since,
        evidence: site.evidence(now),
        share,
        capacity: site.capacity.limit(),
        ramp_fraction: ramp_fraction(site),
        concurrency: site.concurrency,
    }
}

/// The units per second that the site can take; infinite if no limit is known. The limit of a full site is at most its current
/// throughput, though at least a fraction of its proportional load, whatever limit was learned before.
fn current_limit(now: Timestamp, site: &Site, proportional_load: f64) -> f64 {
    let learned = site.capacity.limit().unwrap_or(f64::INFINITY);
    if !site.is_full() {
        return learned;
    }
    let answered = site.capacity.throughput(now);
    learned.min(answered.max(proportional_load * MIN_LEARNING_FRACTION))
}

fn ramp_fraction(site: &Site) -> f64 {
    site.ramp.as_ref().map_or(1.0, RecoveryRamp::fraction)
}

fn is_probed(site: &Site) -> bool {
    let may_come_back = matches!(
        site.state,
        SiteState::Lost | SiteState::CutOff | SiteState::Returning
    );
    may_come_back && site.weights().listed > 0.0
}
