//! The failover core together with the names of its sites and the operators' overrides.

use crate::base::errors::SiteOverridesError;
use crate::base::listed_endpoint::{zone_id_of, ListedEndpoint};
use crate::base::settings::Settings;
use crate::site_overrides::SiteOverrides;
use chalkdeck::api::{EndpointState, ZoneId};
use chalkdeck_site_failover::{
    EndpointEntry, EndpointId, Event, FailoverCore, FailoverPlan, FailoverSettings, SiteId,
    SiteOverride,
};
use chalkdeck_time::Timestamp;
use std::collections::BTreeMap;

/// The failover core of one gateway, with the names of its sites.
pub(crate) struct SiteMonitor {
    core: FailoverCore,
    pub(super) names: BTreeMap<SiteId, String>,
    /// The plan that the decisions have last been given.
    pub(super) applied_plan: Option<FailoverPlan>,
    pub(super) overrides: SiteOverrides,
}

impl SiteMonitor {
    /// Begins with the gateway's own site and the persisted overrides.
    ///
    /// # Errors
    /// The file of overrides can't be read or parsed.
    pub(crate) fn new(settings: &Settings) -> Result<SiteMonitor, SiteOverridesError> {
        let own_site = site_of(settings.policy.zone);
        let core = FailoverCore::new(FailoverSettings {
            own_site,
            gateway_index: settings.policy.gateway_index,
            gateway_count: settings.policy.gateways,
            slow_start_min_capacity: settings.policy.slow_start_min_capacity,
            slow_start_duration: settings.policy.slow_start_duration,
            overload_multiple: settings.policy.overload_multiple,
        });
        let overrides = SiteOverrides::load(settings.site_overrides_file.as_deref())?;
        Ok(SiteMonitor {
            core,
            names: BTreeMap::from([(own_site, settings.zone_name.clone())]),
            applied_plan: None,
            overrides,
        })
    }

    /// Takes over a new endpoint list.
    pub(super) fn update_endpoints(&mut self, now: Timestamp, servers: &[ListedEndpoint]) {
        for server in servers {
            let site = site_of(server.entry.zone);
            self.names.insert(site, server.zone_name.clone());
        }
        let entries: Vec<EndpointEntry> = servers.iter().map(endpoint_entry).collect();
        self.handle(now, Event::EndpointListUpdated(&entries));
        // An override of an earlier process counts from the first list that names its site on.
        for name in self.overrides.out_of_service() {
            let event = Event::OverrideSet {
                site: site_of(zone_id_of(name)),
                site_override: SiteOverride::HoldOut,
            };
            self.core.handle(now, event);
        }
    }

    /// Passes an event to the failover core.
    pub(super) fn handle(&mut self, now: Timestamp, event: Event) {
        self.core.handle(now, event);
    }

    /// The plan as of `now`.
    pub(super) fn plan(&mut self, now: Timestamp) -> FailoverPlan {
        self.core.plan(now)
    }

    /// The name of a site; empty if no list has named it.
    pub(super) fn site_name(&self, site: SiteId) -> &str {
        self.names.get(&site).map_or("", |name| name)
    }
}

/// Zones are the sites of the failover core.
pub(super) fn site_of(zone: ZoneId) -> SiteId {
    SiteId(zone.0)
}

fn endpoint_entry(server: &ListedEndpoint) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(server.entry.endpoint.0),
        site: site_of(server.entry.zone),
        in_service: server.entry.state == EndpointState::InService,
        weight: server.entry.weight,
        started_at: server.entry.started_at,
    }
}
