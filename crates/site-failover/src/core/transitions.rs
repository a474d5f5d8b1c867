//! Updates the states of sites from what is observed of them.

use super::FailoverCore;
use crate::ramp::RecoveryRamp;
use crate::site::{ramp_start, sustainable_fraction, Site};
use crate::state::{next_state, Observations};
use crate::{SiteId, SiteState};
use chalkdeck_time::{TimeDelta, Timestamp};

/// Sites that stop responding within this time of each other are assumed to be behind the same network partition.
const PARTITION_WINDOW: TimeDelta = TimeDelta::from_secs(2);

impl FailoverCore {
    /// Updates the states of all sites as of `now`.
    pub(super) fn update_states(&mut self, now: Timestamp) {
        // All next states are computed from the same observations before any of them is entered.
        let next_states: Vec<(SiteId, SiteState)> = self
            .sites
            .values()
            .map(|site| (site.id, next_state(site.state, self.observe(now, site))))
            .collect();
        for (id, state) in next_states {
            self.apply_state(now, id, state);
        }
        self.responsive_weight = self
            .sites
            .values()
            .filter(|site| !site.state.is_out_of_service())
            .map(|site| site.responsive_weight)
            .sum();
    }

    fn apply_state(&mut self, now: Timestamp, id: SiteId, state: SiteState) {
        let seed = self.ramp_seed(id);
        let Some(site) = self.sites.get_mut(&id) else {
            return;
        };
        let sustainable = sustainable_fraction(&self.settings, site, now);
        site.capacity.advance(now);
        if state != site.state {
            let is_new_loss = state.is_out_of_service() && !site.state.is_out_of_service();
            if is_new_loss {
                site.backoff.record_loss(now);
            }
            site.enter_state(now, state);
            if state == SiteState::Returning {
                site.ramp = Some(RecoveryRamp::new(now, seed, ramp_start(sustainable)));
            }
        }
        if state == SiteState::Serving {
            site.ramp = None;
        }
        if let Some(ramp) = &mut site.ramp {
            ramp.advance(now, sustainable);
        }
        site.responsive_weight = site.weights().responsive;
    }

    fn observe(&self, now: Timestamp, site: &Site) -> Observations {
        let is_unresponsive = site.is_unresponsive(now);
        let after_entering = site.state_since + TimeDelta::from_micros(1);
        Observations {
            is_unresponsive,
            is_doubtful: site.is_doubtful(now),
            is_partitioned: is_unresponsive && self.is_partitioned_from(now, site),
            is_backoff_over: now >= site.backoff.until(),
            has_responded: site.has_responded_since(after_entering),
            is_ramping: site.ramp.is_some(),
            is_ramp_complete: self.is_ramp_complete(now, site),
        }
    }

    fn is_ramp_complete(&self, now: Timestamp, site: &Site) -> bool {
        let sustainable = sustainable_fraction(&self.settings, site, now);
        site.ramp
            .as_ref()
            .is_some_and(|ramp| ramp.is_complete(now, sustainable))
    }

    /// Whether this gateway may be partitioned from the other sites: most of them do not respond either, while its own site does.
    /// With only two sites, a failing counter must confirm it.
    fn is_partitioned_from(&self, now: Timestamp, site: &Site) -> bool {
        if !self.is_own_site_responding(now, site) || site.weights().listed <= 0.0 {
            return false;
        }
        let mut other_sites = 0;
        let mut silent_sites = 0;
        for other in self
            .sites
            .values()
            .filter(|other| self.is_partition_evidence(other))
        {
            other_sites += 1;
            if is_recently_silent(now, other) {
                silent_sites += 1;
            }
        }
        match other_sites {
            0 => false,
            1 => self.is_counter_failing(now),
            _ => silent_sites * 2 > other_sites,
        }
    }

    /// Whether the gateway's own site has responded recently. False if `site` is that site.
    fn is_own_site_responding(&self, now: Timestamp, site: &Site) -> bool {
        let own = self.settings.own_site;
        let since = now - PARTITION_WINDOW;
        own != site.id
            && self
                .sites
                .get(&own)
                .is_some_and(|own| own.has_responded_since(since))
    }

    /// Whether a site's silence counts as evidence of a partition. Sites that the list or an operator took out of service don't
    /// count, nor does the gateway's own site.
    fn is_partition_evidence(&self, site: &Site) -> bool {
        site.id != self.settings.own_site
            && site.state != SiteState::HeldOut
            && site.weights().listed > 0.0
    }

    fn is_counter_failing(&self, now: Timestamp) -> bool {
        let Some(last_failure) = self.counter.last_failure else {
            return false;
        };
        let is_recent = now < last_failure + PARTITION_WINDOW;
        is_recent
            && self
                .counter
                .last_reply
                .is_none_or(|last_reply| last_reply < last_failure)
    }
}

fn is_recently_silent(now: Timestamp, site: &Site) -> bool {
    let left_service_recently =
        site.state.is_out_of_service() && now < site.state_since + PARTITION_WINDOW;
    site.is_doubtful(now) || site.is_unresponsive(now) || left_service_recently
}
