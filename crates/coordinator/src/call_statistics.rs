//! Calls of a gateway since its last report, by kind and by the version of the service that the caller speaks.

use crate::protocol::wire;
use crate::registrar::UNVERSIONED;
use chalkdeck_access::Call;
use rustc_hash::{FxHashMap, FxHasher};
use std::hash::{Hash, Hasher};

/// Kinds of calls, and uses of versions, in one report; calls of further ones are left out of it.
const MAX_ENTRIES: usize = 2_048;
/// Longer names of versions count as [`UNVERSIONED`].
const MAX_VERSION_BYTES: usize = 256;

/// Calls since the last report.
#[derive(Debug, Default)]
pub struct CallStatistics {
    /// By the hash of what tells one kind from another.
    call_counts: FxHashMap<u64, wire::CallCount>,
    version_calls: FxHashMap<u64, wire::VersionCalls>,
    /// Calls that were left out as there was no room for their kind.
    pub dropped_calls: u64,
}

fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = FxHasher::default();
    parts.hash(&mut hasher);
    hasher.finish()
}

/// The service in a path of gRPC; `None`: it is another path.
fn grpc_service(path: &str) -> Option<&str> {
    let (service, _) = path.strip_prefix('/')?.split_once('/')?;
    (!service.is_empty()).then_some(service)
}

/// The entry under a key, made first if there is room; `None`: there is none.
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
    /// Counts a call. `version`: of its service, as the caller gives it.
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
            None => self.dropped_calls += 1,
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
            None => self.dropped_calls += 1,
        }
    }

    /// Whether no call came since the last report.
    pub fn is_empty(&self) -> bool {
        self.call_counts.is_empty() && self.version_calls.is_empty()
    }

    /// Moves all of it into a report, which is sent until it is acknowledged and counts once.
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
