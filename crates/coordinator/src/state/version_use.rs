//! Contract versions in use: those that customers subscribe to, and those that gateways report calls of.

use super::contracts::{MAX_SERVICES, MAX_VERSIONS};
use super::{done, rejected, ReplicatedState};
use crate::protocol::{wire, CommandResponse, ResponseCode};

/// Maximum number of versions in use of one service. Larger than the number of admitted versions, as calls may name versions that
/// were never admitted.
const MAX_VERSIONS_IN_USE: usize = 2 * MAX_VERSIONS;
/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 256;

impl ReplicatedState {
    /// Whether a service is new and the maximum number of services with versions in use is reached.
    fn exceeds_service_limit(&self, service: &str) -> bool {
        self.versions_in_use.len() >= MAX_SERVICES && !self.versions_in_use.contains_key(service)
    }

    /// Records calls of a version that a gateway reported.
    pub(super) fn record_version_use(&mut self, calls: &wire::VersionCalls) {
        if self.exceeds_service_limit(&calls.service) {
            return;
        }
        let in_use = self
            .versions_in_use
            .entry(calls.service.clone())
            .or_default();
        let known_uses = in_use.uses.get(&calls.version);
        if in_use.uses.len() >= MAX_VERSIONS_IN_USE && known_uses.is_none() {
            return;
        }
        let is_known_customer = known_uses.is_some_and(|uses| uses.contains_key(&calls.customer));
        let is_retired = in_use.retired.contains_key(&calls.version);
        in_use.record_calls(&calls.version, &calls.customer, calls.calls, self.time_ms);
        // Judgements depend on which customers use which versions.
        if !is_known_customer || is_retired {
            self.contract_revision += 1;
        }
    }

    pub(super) fn subscribe(&mut self, subscribe: &wire::Subscribe) -> CommandResponse {
        let names = [&subscribe.customer, &subscribe.service, &subscribe.version];
        if names
            .iter()
            .any(|name| name.is_empty() || name.len() > MAX_NAME_BYTES)
        {
            return rejected(
                ResponseCode::Refused,
                "expected a customer, a service and a version, of 256 bytes at most",
            );
        }
        if self.exceeds_service_limit(&subscribe.service) {
            let reason = format!("{MAX_SERVICES} services are spoken");
            return rejected(ResponseCode::Full, reason);
        }
        self.contract_revision += 1;
        let repeats_ms = Some(subscribe.repeats_ms).filter(|repeats| *repeats > 0);
        self.versions_in_use
            .entry(subscribe.service.clone())
            .or_default()
            .declare(
                &subscribe.version,
                &subscribe.customer,
                !subscribe.cancelled,
                repeats_ms,
            );
        done()
    }
}
