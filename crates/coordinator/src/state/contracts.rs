//! Admitted contracts of services.

use super::{done, rejected, ReplicatedState};
use crate::protocol::{wire, AdmittedContract, CommandResponse, ResponseCode};
use crate::session::ServiceVersion;

/// Maximum number of services with contracts, and of services with versions in use.
pub(super) const MAX_SERVICES: usize = 500;
/// Maximum number of admitted versions of one service.
pub(super) const MAX_VERSIONS: usize = 64;

impl ReplicatedState {
    /// Checks that a contract has a service and a version, does not differ from one that was admitted under the same names, and does
    /// not exceed the limits.
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
        let admitted = self.contracts.get(&contract_key(contract));
        if admitted.is_some_and(|admitted| admitted.contract.as_ref() != Some(contract)) {
            let reason = format!(
                "{} {} was admitted with another text",
                contract.service, contract.version
            );
            return Err(rejected(ResponseCode::Refused, reason));
        }
        self.check_contract_capacity(&contract.service)
    }

    fn check_contract_capacity(&self, service: &str) -> Result<(), CommandResponse> {
        let services = || self.contracts.keys().map(|key| &key.service);
        let version_count = services().filter(|known| *known == service).count();
        let mut distinct_services: Vec<&String> = services().collect();
        distinct_services.dedup();
        let is_new_service = version_count == 0;
        let exceeds_service_limit = is_new_service && distinct_services.len() >= MAX_SERVICES;
        if version_count < MAX_VERSIONS && !exceeds_service_limit {
            return Ok(());
        }
        let reason =
            format!("{MAX_SERVICES} services with {MAX_VERSIONS} versions each: retire one");
        Err(rejected(ResponseCode::Full, reason))
    }

    /// Admits a contract and returns the version of the state that contains it.
    pub(super) fn admit_contract(
        &mut self,
        contract: &wire::Contract,
    ) -> Result<u64, CommandResponse> {
        self.check_contract(contract)?;
        self.contract_revision += 1;
        let changed = self.increment_version();
        let admitted = AdmittedContract {
            contract: Some(contract.clone()),
            changed,
            admitted_ms: self.time_ms,
            retired: false,
        };
        self.contracts.insert(contract_key(contract), admitted);
        Ok(changed)
    }

    /// Marks a version as retired at an operator's request; it then counts as unused.
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
        let changed = self.increment_version();
        if let Some(admitted) = self.contracts.get_mut(&key) {
            admitted.retired = true;
            admitted.changed = changed;
        }
        done()
    }
}

/// The service and the version that a contract is stored under.
pub(super) fn contract_key(contract: &wire::Contract) -> ServiceVersion {
    ServiceVersion {
        service: contract.service.clone(),
        version: contract.version.clone(),
    }
}
