//! Counts a gateway's calls since its last report, by kind (customer, caller's region, path and class) and by the service version
//! that the caller uses.

use crate::protocol::wire;
use crate::registrar::UNVERSIONED;
use chalkdeck_access::Call;
use rustc_hash::{FxHashMap, FxHasher};
use std::hash::{Hash, Hasher};

/// Maximum number of kinds of calls, and of service versions, in one report. Calls beyond that are not counted.
const MAX_ENTRIES: usize = 2_048;
/// Maximum length of a version name. Calls with a longer name are counted as [`UNVERSIONED`].
const MAX_VERSION_BYTES: usize = 256;

/// Call counts since the last report.
#[derive(Debug, Default)]
pub struct CallStatistics {
    /// Keyed by the hash of customer, caller's region, path and class.
    call_counts: FxHashMap<u64, wire::CallCount>,
    version_calls: FxHashMap<u64, wire::VersionCalls>,
    /// Number of increments that were dropped because a map had reached [`MAX_ENTRIES`].
    pub dropped_increments: u64,
}

fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = FxHasher::default();
    parts.hash(&mut hasher);
    hasher.finish()
}

/// The service name in a gRPC path; `None` if the path is not of the form `/service/method`.
fn grpc_service(path: &str) -> Option<&str> {
    let (service, _) = path.strip_prefix('/')?.split_once('/')?;
    (!service.is_empty()).then_some(service)
}

/// The entry of a key, which is created if it is missing; `None` if it is missing and the map has reached [`MAX_ENTRIES`].
fn entry_within_limit<T>(
    entries: &mut FxHashMap<u64, T>,
    key: u64,
    create: impl FnOnce() -> T,
) -> Option<&mut T> {
    if entries.len() >= MAX_ENTRIES && !entries.contains_key(&key) {
        return None;
    }
    Some(entries.entry(key).or_insert_with(create))
}

impl CallStatistics {
    /// Counts a call. `version` is the service version that the caller states.
    pub fn record(&mut self, customer: &str, call: &Call, version: Option<&str>) {
        self.record_call_count(customer, call);
        if let Some(service) = grpc_service(call.path) {
            let version = version
                .filter(|v| !v.is_empty() && v.len() <= MAX_VERSION_BYTES)
                .unwrap_or(UNVERSIONED);
            self.record_version_use(customer, service, version);
        }
    }

    fn record_call_count(&mut self, customer: &str, call: &Call) {
        let key = hash_parts(&[customer, call.caller_region, call.path, call.class]);
        let create = || wire::CallCount {
            customer: customer.into(),
            caller_region: call.caller_region.into(),
            gateway_region: call.gateway_region.into(),
            path: call.path.into(),
            class: call.class.into(),
            count: 0,
        };
        match entry_within_limit(&mut self.call_counts, key, create) {
            Some(call_count) => call_count.count += 1,
            None => self.dropped_increments += 1,
        }
    }

    fn record_version_use(&mut self, customer: &str, service: &str, version: &str) {
        let key = hash_parts(&[customer, service, version]);
        let create = || wire::VersionCalls {
            customer: customer.into(),
            service: service.into(),
            version: version.into(),
            calls: 0,
        };
        match entry_within_limit(&mut self.version_calls, key, create) {
            Some(version_calls) => version_calls.calls += 1,
            None => self.dropped_increments += 1,
        }
    }

    /// Whether no call was counted since the last report.
    pub fn is_empty(&self) -> bool {
        self.call_counts.is_empty() && self.version_calls.is_empty()
    }

    /// Moves all counts into a report. The report is resent until it is acknowledged, and is applied only once.
    pub fn drain_into(&mut self, report: &mut wire::Report) {
        report.version_calls.extend(
            self.version_calls
                .drain()
                .map(|(_, version_calls)| version_calls),
        );
        report
            .call_counts
            .extend(self.call_counts.drain().map(|(_, call_count)| call_count));
    }
}

#[cfg(test)]
mod tests;
