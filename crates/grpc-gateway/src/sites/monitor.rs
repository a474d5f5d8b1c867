//! The failover core, with the names of its sites and the operators' overrides.

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

/// The failover core of one gateway, with the names of its sites and the operators' overrides.
pub(crate) struct SiteMonitor {
    core: FailoverCore,
    pub(super) site_names: BTreeMap<SiteId, String>,
    /// The plan that was last passed to the decision engine; `None`: none was.
    pub(super) applied_plan: Option<FailoverPlan>,
    pub(super) overrides: SiteOverrides,
}

impl SiteMonitor {
    /// A monitor that knows the gateway's own site and the persisted overrides.
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
            site_names: BTreeMap::from([(own_site, settings.zone_name.clone())]),
            applied_plan: None,
            overrides,
        })
    }

    /// Reports a new endpoint list to the core, and applies the persisted overrides to its sites.
    pub(super) fn update_endpoints(&mut self, now: Timestamp, endpoints: &[ListedEndpoint]) {
        for endpoint in endpoints {
            let site = site_of(endpoint.entry.zone);
            self.site_names.insert(site, endpoint.zone_name.clone());
        }
        let entries: Vec<EndpointEntry> = endpoints.iter().map(endpoint_entry).collect();
        self.handle(now, Event::EndpointListUpdated(&entries));
        // An override that was persisted before a restart takes effect with the first list that names its site.
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

    /// Computes the plan as of `now`.
    pub(super) fn plan(&mut self, now: Timestamp) -> FailoverPlan {
        self.core.plan(now)
    }

    /// The name of a site; empty if it is unknown.
    pub(super) fn site_name(&self, site: SiteId) -> &str {
        self.site_names.get(&site).map_or("", |name| name)
    }
}

/// The site of a zone: each zone is one site of the failover core.
pub(super) fn site_of(zone: ZoneId) -> SiteId {
    SiteId(zone.0)
}

fn endpoint_entry(endpoint: &ListedEndpoint) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(endpoint.entry.endpoint.0),
        site: site_of(endpoint.entry.zone),
        is_in_service: endpoint.entry.state == EndpointState::InService,
        weight: endpoint.entry.weight,
        started_at: endpoint.entry.started_at,
    }
}
