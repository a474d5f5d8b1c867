//! How the plan follows from the states and capacities of the sites.

use super::{FailoverCore, LEARNING_PART, MIN_LOAD, MIN_TOTAL_WEIGHT};
use crate::distribution::{distribute, SiteCapacity};
use crate::ramp::RecoveryRamp;
use crate::site::Site;
use crate::{FailoverPlan, SitePlan, SiteState};
use chalkdeck_time::Timestamp;

/// The part of an even load that a doubtful site is still given.
const DOUBTFUL_PART: f64 = 0.25;
/// Probes a second that all gateways together send to a site that is out.
const FLEET_PROBES_PER_SECOND: f64 = 20.0;
/// The least and the longest time in seconds between two probes of one gateway.
const MIN_PROBE_INTERVAL: f64 = 0.25;
const MAX_PROBE_INTERVAL: f64 = 4.0;
/// The most that probes of one site may take of a gateway's load.
const MAX_PROBE_SHARE: f64 = 0.02;

impl FailoverCore {
    /// Updates all states and returns the plan that holds from `now` on.
    pub fn plan(&mut self, now: Timestamp) -> FailoverPlan {
        self.update_states(now);
        self.offers_by_value.decay(now);
        let load = self.offered.per_second(now).max(MIN_LOAD);
        let capacities: Vec<SiteCapacity> = self
            .sites
            .values()
            .map(|site| self.site_capacity(now, site, load))
            .collect();
        let mut shares = distribute(load, &capacities);
        self.reserve_probes(load, &mut shares);
        let admission = self.admission.0;
        FailoverPlan {
            sites: self
                .sites
                .values()
                .zip(shares)
                .map(|(site, share)| site_plan(now, site, share))
                .collect(),
            admission,
            threshold: self.offers_by_value.threshold(admission),
        }
    }

    fn site_capacity(&self, now: Timestamp, site: &Site, load: f64) -> SiteCapacity {
        let weights = site.weights();
        let even_load = load * weights.responsive / self.responsive_weight.max(MIN_TOTAL_WEIGHT);
        let limit = limit_now(now, site, even_load);
        let capacity = match site.state {
            _ if weights.listed <= 0.0 || site.state.is_out() => 0.0,
            SiteState::Doubtful => limit.min(even_load) * DOUBTFUL_PART,
            SiteState::Returning => limit.min(even_load * ramp_part(site)),
            _ => limit,
        };
        // Where all sites are lost their listed weights distribute the load, but an override holds.
        let weight = if site.state == SiteState::HeldOut {
            0.0
        } else {
            weights.listed.max(weights.responsive)
        };
        SiteCapacity {
            capacity,
            weight,
            is_near: site.id == self.settings.own_site,
        }
    }

    /// Takes a little of the load for sites that are out or recover, so that their return is noticed.
    fn reserve_probes(&self, load: f64, shares: &mut [f64]) {
        let any_share = shares.iter().any(|share| *share > 0.0);
        let any_in = self.sites.values().any(|site| !site.state.is_out());
        if !any_share || !any_in {
            return;
        }
        let interval = (f64::from(self.settings.gateways) / FLEET_PROBES_PER_SECOND)
            .clamp(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL);
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
        since: site.since,
        evidence: site.evidence(now),
        share,
        capacity: site.capacity.limit(),
        ramp: ramp_part(site),
        concurrency: site.concurrency,
    }
}

/// Units a second that the site takes; infinite where no limit is known. A full site takes what it answers and no more, whatever
/// was learnt before.
fn limit_now(now: Timestamp, site: &Site, even_load: f64) -> f64 {
    let learned = site.capacity.limit().unwrap_or(f64::INFINITY);
    if !site.is_full() {
        return learned;
    }
    let answered = site.capacity.throughput(now);
    learned.min(answered.max(even_load * LEARNING_PART))
}

fn ramp_part(site: &Site) -> f64 {
    site.ramp.as_ref().map_or(1.0, RecoveryRamp::part)
}

fn is_probed(site: &Site) -> bool {
    let may_come_back = matches!(
        site.state,
        SiteState::Lost | SiteState::CutOff | SiteState::Returning
    );
    may_come_back && site.weights().listed > 0.0
}
