//! Contract versions in use: those that customers subscribe to, and those that gateways saw calls of.

use super::contracts::{MAX_SERVICES, MAX_VERSIONS};
use super::{done, rejected, ReplicatedState};
use crate::protocol::{wire, CommandResponse, ResponseCode};

/// Versions in use of one service; more than can be admitted, as some never were.
const MAX_VERSIONS_IN_USE: usize = 2 * MAX_VERSIONS;
/// Bytes of a name.
const MAX_NAME_BYTES: usize = 256;

impl ReplicatedState {
    /// Whether there is no room for another service with versions in use.
    fn is_full_for_service(&self, service: &str) -> bool {
        self.versions_in_use.len() >= MAX_SERVICES && !self.versions_in_use.contains_key(service)
    }

    /// Gateways saw calls of a version.
    pub(super) fn record_version_use(&mut self, calls: &wire::VersionCalls) {
        if self.is_full_for_service(&calls.service) {
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
        let is_known_user = known_uses.is_some_and(|uses| uses.contains_key(&calls.customer));
        let is_retired = in_use.retired.contains_key(&calls.version);
        in_use.record_calls(&calls.version, &calls.customer, calls.calls, self.time_ms);
        // A judgement rests on who uses what.
        if !is_known_user || is_retired {
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
        if self.is_full_for_service(&subscribe.service) {
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
