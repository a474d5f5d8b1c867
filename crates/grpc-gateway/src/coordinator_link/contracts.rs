//! Endpoints whose contract version was not admitted get no new requests.

use super::CoordinatorLink;
use crate::base::listed_endpoint::ListedEndpoint;
use chalkdeck::api::EndpointState;
use chalkdeck_contract::{hold_back, ServerContract};

impl CoordinatorLink {
    /// Remembers the list and marks endpoints whose contract version was not admitted as draining.
    pub(super) fn hold_back(&mut self, servers: &mut [ListedEndpoint]) {
        self.listed = servers.to_vec();
        let state = self.agent.session().state();
        let contracts = servers.iter().map(|server| ServerContract {
            is_in_service: server.entry.state == EndpointState::InService,
            contract: server.contract.as_deref(),
        });
        let result = hold_back(contracts, |service, version| state.admits(service, version));
        self.held_back.clear();
        for (server, &is_held_back) in servers.iter_mut().zip(&result.is_held_back) {
            if is_held_back {
                server.entry.state = EndpointState::Draining;
                self.held_back.push(server.address.to_string());
            }
        }
        let was_last_resort = self.is_last_resort;
        self.is_last_resort = result.is_last_resort;
        if self.is_last_resort && !was_last_resort {
            tracing::error!(
                "no endpoint in service has an admitted contract version: using all of them"
            );
        }
    }
}
