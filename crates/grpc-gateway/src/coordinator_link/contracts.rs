//! Holds back endpoints whose contract version was not admitted: they get no new requests.

use super::CoordinatorLink;
use crate::base::listed_endpoint::ListedEndpoint;
use chalkdeck::api::EndpointState;
use chalkdeck_contract::{hold_back, EndpointContract};

impl CoordinatorLink {
    /// Marks the endpoints of a list whose contract version was not admitted as draining. Keeps the list as it was read,
    /// to apply it again when other versions are admitted.
    pub(super) fn hold_back(&mut self, endpoints: &mut [ListedEndpoint]) {
        self.listed_endpoints = endpoints.to_vec();
        let state = self.agent.session().state();
        let contracts = endpoints.iter().map(|endpoint| EndpointContract {
            is_in_service: endpoint.entry.state == EndpointState::InService,
            contract: endpoint.contract.as_deref(),
        });
        let result = hold_back(contracts, |service, version| state.admits(service, version));
        self.held_back_addresses.clear();
        for (endpoint, &is_held_back) in endpoints.iter_mut().zip(&result.is_held_back) {
            if is_held_back {
                endpoint.entry.state = EndpointState::Draining;
                self.held_back_addresses.push(endpoint.address.to_string());
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
