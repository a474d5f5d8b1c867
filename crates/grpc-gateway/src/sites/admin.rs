//! Operators' overrides of sites, which arrive on the admin port of one gateway, or at all gateways through the coordinator.

use super::monitor::site_of;
use super::SiteMonitor;
use crate::base::errors::SiteRequestError;
use crate::base::listed_endpoint::zone_id_of;
use crate::gateway_server::GatewayServer;
use crate::site_overrides::SiteServiceState;
use chalkdeck_site_failover::{Event, SiteOverride};
use chalkdeck_time::Timestamp;

const STATUS_PATH: &str = "/sites";
const OVERRIDE_PREFIX: &str = "/sites/";

impl GatewayServer {
    /// Applies and persists an override received from the coordinator. If its site is still unknown, it takes effect with
    /// the first endpoint list that names it.
    pub(crate) fn apply_site_override(&mut self, site_name: &str, action: &str) {
        let now = self.now();
        let Some(sites) = &mut self.sites else { return };
        let site_override = parse_override(action).unwrap_or(SiteOverride::Restore);
        let persisted = sites
            .overrides
            .persist(site_name, service_state_of(site_override));
        if let Err(error) = persisted {
            tracing::error!(
                site = site_name,
                site_override = action,
                %error,
                "site override not persisted: it lasts until this gateway restarts"
            );
        }
        tracing::warn!(
            site = site_name,
            site_override = action,
            "site override received from the coordinator"
        );
        sites.set_override(now, site_name, site_override);
        self.apply_site_plan();
    }

    /// Handles a request to `/sites`, `/sites/drain/NAME`, `/sites/hold/NAME` or `/sites/let-back/NAME`. Returns the status as JSON.
    ///
    /// # Errors
    /// Site failover is not enabled, the path or the site is unknown, or the override could not be persisted.
    pub(crate) fn answer_site_request(&mut self, path: &str) -> Result<String, SiteRequestError> {
        let now = self.now();
        let sites = self.sites.as_mut().ok_or(SiteRequestError::NotEnabled)?;
        let override_request = path
            .strip_prefix(OVERRIDE_PREFIX)
            .and_then(|rest| rest.split_once('/'));
        if let Some((action, site_name)) = override_request {
            sites.apply_operator_override(now, action, site_name)?;
        } else if path != STATUS_PATH {
            return Err(SiteRequestError::UnknownPath);
        }
        let status = sites.status(now, &self.settings);
        self.apply_site_plan();
        // Numbers and texts can always be encoded as JSON.
        Ok(serde_json::to_string(&status).unwrap_or_default())
    }
}

impl SiteMonitor {
    fn apply_operator_override(
        &mut self,
        now: Timestamp,
        action: &str,
        site_name: &str,
    ) -> Result<(), SiteRequestError> {
        let site_override = parse_override(action)
            .ok_or_else(|| SiteRequestError::UnknownOverride(action.to_string()))?;
        self.require_known_site(site_name)?;
        self.overrides
            .persist(site_name, service_state_of(site_override))?;
        tracing::warn!(
            site = site_name,
            site_override = action,
            "site override received from an operator"
        );
        self.set_override(now, site_name, site_override);
        Ok(())
    }

    fn require_known_site(&self, site_name: &str) -> Result<(), SiteRequestError> {
        let known_name = self.site_names.get(&site_of(zone_id_of(site_name)));
        if known_name.is_some_and(|known_name| known_name == site_name) {
            return Ok(());
        }
        let known: Vec<&str> = self.site_names.values().map(String::as_str).collect();
        Err(SiteRequestError::UnknownSite {
            known: known.join(", "),
            found: site_name.to_string(),
        })
    }

    fn set_override(&mut self, now: Timestamp, site_name: &str, site_override: SiteOverride) {
        let event = Event::OverrideSet {
            site: site_of(zone_id_of(site_name)),
            site_override,
        };
        self.handle(now, event);
    }
}

/// The override of this name on the admin port and in the shared state.
fn parse_override(action: &str) -> Option<SiteOverride> {
    match action {
        "drain" => Some(SiteOverride::Drain),
        "hold" => Some(SiteOverride::HoldOut),
        "let-back" => Some(SiteOverride::Restore),
        _ => None,
    }
}

fn service_state_of(site_override: SiteOverride) -> SiteServiceState {
    match site_override {
        SiteOverride::Drain | SiteOverride::HoldOut => SiteServiceState::OutOfService,
        SiteOverride::Restore => SiteServiceState::InService,
    }
}
