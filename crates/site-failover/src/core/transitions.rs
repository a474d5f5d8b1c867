//! How the states of sites follow from what is observed.

use super::FailoverCore;
use crate::ramp::RecoveryRamp;
use crate::site::{bearable_part, ramp_start, Site};
use crate::state::{next_state, Observations};
use crate::{SiteId, SiteState};
use chalkdeck_time::{TimeDelta, Timestamp};

/// Sites that fall silent within this time of each other are taken to be behind one network partition.
const PARTITION_WINDOW: TimeDelta = TimeDelta::from_secs(2);

impl FailoverCore {
    /// Moves the states on by what is known now.
    pub(super) fn update_states(&mut self, now: Timestamp) {
        // All states follow from the same observations, so none is entered before all are known.
        let next_states: Vec<(SiteId, SiteState)> = self
            .sites
            .values()
            .map(|site| (site.id, next_state(site.state, self.observe(now, site))))
            .collect();
        for (id, state) in next_states {
            self.move_site(now, id, state);
        }
        self.responsive_weight = self
            .sites
            .values()
            .filter(|site| !site.state.is_out())
            .map(|site| site.responsive_weight)
            .sum();
    }

    fn move_site(&mut self, now: Timestamp, id: SiteId, state: SiteState) {
        let seed = self.ramp_seed(id);
        let Some(site) = self.sites.get_mut(&id) else {
            return;
        };
        let bearable = bearable_part(&self.settings, site, now);
        site.capacity.advance(now);
        if state != site.state {
            let is_new_loss = state.is_out() && !site.state.is_out();
            if is_new_loss {
                site.hold_out.record_loss(now);
            }
            site.enter(now, state);
            if state == SiteState::Returning {
                site.ramp = Some(RecoveryRamp::new(now, seed, ramp_start(bearable)));
            }
        }
        if state == SiteState::Serving {
            site.ramp = None;
        }
        if let Some(ramp) = &mut site.ramp {
            ramp.advance(now, bearable);
        }
        site.responsive_weight = site.weights().responsive;
    }

    fn observe(&self, now: Timestamp, site: &Site) -> Observations {
        let is_silent = site.is_silent(now);
        let after_entering = site.since + TimeDelta::from_micros(1);
        Observations {
            is_silent,
            is_doubtful: site.is_doubtful(now),
            is_partitioned: is_silent && self.is_partitioned_from(now, site),
            is_hold_out_over: now >= site.hold_out.until(),
            has_answered: site.is_heard_since(after_entering),
            is_ramping: site.ramp.is_some(),
            is_ramp_complete: self.is_ramp_complete(now, site),
        }
    }

    fn is_ramp_complete(&self, now: Timestamp, site: &Site) -> bool {
        let bearable = bearable_part(&self.settings, site, now);
        site.ramp
            .as_ref()
            .is_some_and(|ramp| ramp.is_complete(now, bearable))
    }

    /// Whether other sites are silent, too, while the gateway's own answers: then this gateway may be partitioned from them. With
    /// only two sites, a silent counter must confirm it.
    fn is_partitioned_from(&self, now: Timestamp, site: &Site) -> bool {
        if !self.is_own_site_heard(now, site) || site.weights().listed <= 0.0 {
            return false;
        }
        let mut others = 0;
        let mut silent = 0;
        for other in self.sites.values().filter(|other| self.is_witness(other)) {
            others += 1;
            if is_recently_silent(now, other) {
                silent += 1;
            }
        }
        match others {
            0 => false,
            1 => self.is_counter_silent(now),
            _ => silent * 2 > others,
        }
    }

    /// Whether the gateway's own site, unless it is the one in question, answered lately.
    fn is_own_site_heard(&self, now: Timestamp, site: &Site) -> bool {
        let own = self.settings.own_site;
        let since = now - PARTITION_WINDOW;
        own != site.id
            && self
                .sites
                .get(&own)
                .is_some_and(|own| own.is_heard_since(since))
    }

    /// Whether a site's silence is evidence of a partition. Sites that the list or an operator took out are no evidence.
    fn is_witness(&self, site: &Site) -> bool {
        site.id != self.settings.own_site
            && site.state != SiteState::HeldOut
            && site.weights().listed > 0.0
    }

    fn is_counter_silent(&self, now: Timestamp) -> bool {
        let Some(failed) = self.counter.failed else {
            return false;
        };
        let is_recent = now < failed + PARTITION_WINDOW;
        is_recent
            && self
                .counter
                .answered
                .is_none_or(|answered| answered < failed)
    }
}

fn is_recently_silent(now: Timestamp, site: &Site) -> bool {
    let went_out_lately = site.state.is_out() && now < site.since + PARTITION_WINDOW;
    site.is_doubtful(now) || site.is_silent(now) || went_out_lately
}
