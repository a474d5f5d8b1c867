//! Applies endpoint updates from discovery and from the configuration.

use super::{GatewayServer, TimerPurpose};
use crate::discovery::DiscoveryAction;
use crate::endpoint_list::EndpointList;
use chalkdeck::api::{EndpointEntry, Event, UpdateScope};

impl GatewayServer {
    pub(super) fn execute_discovery_action(&mut self, action: DiscoveryAction) {
        match action {
            DiscoveryAction::UpdateEndpoints(list) => self.apply_endpoint_update(list),
            DiscoveryAction::ConfirmEndpoints(at) => {
                self.decisions.push(Event::EndpointsConfirmed(at));
            }
            DiscoveryAction::SetCallTimer { after, call } => {
                self.set_timer(after, TimerPurpose::DiscoveryTimeout(call));
            }
        }
    }

    /// Applies an update to the connections and reports it to the decision engine, unless it is an incremental update without endpoints,
    /// which changes nothing.
    pub(super) fn apply_endpoint_update(&mut self, list: EndpointList) {
        self.endpoints.apply_update(&mut self.engine, &list);
        let scope = list.scope;
        let entries: Vec<EndpointEntry> = list
            .endpoints
            .into_iter()
            .map(|endpoint| endpoint.entry)
            .collect();
        if scope == UpdateScope::Complete || !entries.is_empty() {
            self.decisions
                .push(Event::EndpointsUpdated { scope, entries });
        }
    }
}
