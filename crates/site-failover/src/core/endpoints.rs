//! Handling of a new endpoint list.

use super::FailoverCore;
use crate::ramp::{RampStart, RecoveryRamp};
use crate::site::{warm_fraction, Site};
use crate::{EndpointEntry, EndpointId, SiteId, SiteState};
use chalkdeck_time::{TimeDelta, Timestamp};
use std::collections::HashMap;

/// A site without an endpoint in the list is removed after this time in one state.
const UNLISTED_SITE_RETENTION: TimeDelta = TimeDelta::from_secs(600);

impl FailoverCore {
    pub(super) fn on_endpoint_list(&mut self, now: Timestamp, entries: &[EndpointEntry]) {
        let new_sites = self.update_endpoints(entries);
        self.remove_unlisted(now, entries);
        for site in new_sites {
            self.start_cold_site(now, site);
        }
        self.update_states(now);
    }

    /// Updates all endpoints from the entries of the list. Returns the sites that were not known before.
    fn update_endpoints(&mut self, entries: &[EndpointEntry]) -> Vec<SiteId> {
        for site in self.sites.values_mut() {
            for endpoint in site.endpoints.values_mut() {
                endpoint.is_in_service = false;
            }
        }
        let mut new_sites = Vec::new();
        for entry in entries {
            if !self.sites.contains_key(&entry.site) {
                new_sites.push(entry.site);
            }
            let site = self
                .sites
                .entry(entry.site)
                .or_insert_with(|| Site::new(entry.site));
            let endpoint = site.endpoints.entry(entry.endpoint).or_default();
            endpoint.update(entry);
            self.site_by_endpoint.insert(entry.endpoint, entry.site);
        }
        new_sites
    }

    /// Removes endpoints and sites that the list no longer contains, so that the maps do not outgrow the list. A site stays for
    /// [`UNLISTED_SITE_RETENTION`], so that its losses are remembered, and for as long as an operator's override holds it out.
    fn remove_unlisted(&mut self, now: Timestamp, entries: &[EndpointEntry]) {
        let listed: HashMap<EndpointId, SiteId> = entries
            .iter()
            .map(|entry| (entry.endpoint, entry.site))
            .collect();
        for site in self.sites.values_mut() {
            let id = site.id;
            site.endpoints
                .retain(|endpoint, _| listed.get(endpoint) == Some(&id));
        }
        self.site_by_endpoint
            .retain(|endpoint, _| listed.contains_key(endpoint));
        self.sites.retain(|_, site| {
            !site.endpoints.is_empty()
                || site.state == SiteState::HeldOut
                || now < site.state_since + UNLISTED_SITE_RETENTION
        });
    }

    /// Starts a recovery ramp for a site that is new to this gateway if some of its endpoints are cold.
    fn start_cold_site(&mut self, now: Timestamp, id: SiteId) {
        let seed = self.ramp_seed(id);
        let Some(site) = self.sites.get_mut(&id) else {
            return;
        };
        let warm = warm_fraction(&self.settings, site, now);
        if warm < 1.0 {
            site.enter_state(now, SiteState::Returning);
            let mut ramp = RecoveryRamp::new(now, seed, RampStart::Cold);
            ramp.raise_to(warm);
            site.ramp = Some(ramp);
        }
    }
}
