//! Contracts of services that were admitted.

use super::{done, rejected, ReplicatedState};
use crate::protocol::{wire, AdmittedContract, CommandResponse, ResponseCode};
use crate::session::ServiceVersion;

/// Services with contracts, and services with versions in use.
pub(super) const MAX_SERVICES: usize = 500;
/// Admitted versions of one service.
pub(super) const MAX_VERSIONS: usize = 64;

impl ReplicatedState {
    /// Whether a contract is named, differs from none that was admitted under its name, and has room.
    pub(super) fn check_contract(&self, contract: &wire::Contract) -> Result<(), CommandResponse> {
        if contract.service.is_empty() || contract.version.is_empty() {
            return Err(rejected(
                ResponseCode::Refused,
                "expected the service's name and the version's",
            ));
        }
        if contract.descriptors.len() > chalkdeck_contract::MAX_DESCRIPTOR_BYTES {
            let reason = format!("descriptors: {} bytes", contract.descriptors.len());
            return Err(rejected(ResponseCode::Full, reason));
        }
        let admitted = self.contracts.get(&key_of(contract));
        if admitted.is_some_and(|admitted| admitted.contract.as_ref() != Some(contract)) {
            let reason = format!(
                "{} {} was admitted with another text",
                contract.service, contract.version
            );
            return Err(rejected(ResponseCode::Refused, reason));
        }
        self.check_room_for_contract(&contract.service)
    }

    fn check_room_for_contract(&self, service: &str) -> Result<(), CommandResponse> {
        let services = || self.contracts.keys().map(|key| &key.service);
        let version_count = services().filter(|known| *known == service).count();
        let mut distinct_services: Vec<&String> = services().collect();
        distinct_services.dedup();
        let is_new_service = version_count == 0;
        let has_no_service_left = is_new_service && distinct_services.len() >= MAX_SERVICES;
        if version_count < MAX_VERSIONS && !has_no_service_left {
            return Ok(());
        }
        let reason =
            format!("{MAX_SERVICES} services with {MAX_VERSIONS} versions each: retire one");
        Err(rejected(ResponseCode::Full, reason))
    }

    /// Admits a contract, and returns the state's version with it.
    pub(super) fn admit_contract(
        &mut self,
        contract: &wire::Contract,
    ) -> Result<u64, CommandResponse> {
        self.check_contract(contract)?;
        self.contract_revision += 1;
        let changed = self.next_version();
        let admitted = AdmittedContract {
            contract: Some(contract.clone()),
            changed,
            admitted_ms: self.time_ms,
            retired: false,
        };
        self.contracts.insert(key_of(contract), admitted);
        Ok(changed)
    }

    /// An operator says that a version counts as unused.
    pub(super) fn retire_version(&mut self, retire: &wire::RetireVersion) -> CommandResponse {
        let key = ServiceVersion {
            service: retire.service.clone(),
            version: retire.version.clone(),
        };
        let is_in_use = self.versions_in_use.contains_key(&key.service);
        if !self.contracts.contains_key(&key) && !is_in_use {
            let reason = format!("{} {} is not known", key.service, key.version);
            return rejected(ResponseCode::Refused, reason);
        }
        self.contract_revision += 1;
        self.versions_in_use
            .entry(key.service.clone())
            .or_default()
            .retire(&key.version, self.time_ms);
        let changed = self.next_version();
        if let Some(admitted) = self.contracts.get_mut(&key) {
            admitted.retired = true;
            admitted.changed = changed;
        }
        done()
    }
}

/// The name that a contract is admitted under.
pub(super) fn key_of(contract: &wire::Contract) -> ServiceVersion {
    ServiceVersion {
        service: contract.service.clone(),
        version: contract.version.clone(),
    }
}
