//! Kinds of calls that a gateway saw since its last report, and versions that were spoken.

use chalkdeck_access::Call;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use rustc_hash::{FxHashMap, FxHasher};
use std::hash::{Hash, Hasher};

/// The version that calls without one count under.
pub use crate::registrar::UNVERSIONED;

/// Kinds, and uses of versions, that one report tells; calls of further ones wait for a later report's room.
const MOST: usize = 2_048;

/// What came since the last report.
#[derive(Debug, Default)]
pub struct Counted {
    seen: FxHashMap<u64, wire::SeenKind>,
    spoke: FxHashMap<u64, wire::Spoke>,
    /// Calls whose kind had no room any more.
    pub left_out: u64,
}

fn key(parts: &[&str]) -> u64 {
    let mut hasher = FxHasher::default();
    parts.hash(&mut hasher);
    hasher.finish()
}

/// The service in a path of gRPC; none: it is another path.
fn service_of(path: &str) -> Option<&str> {
    path.strip_prefix('/')?
        .split_once('/')
        .map(|(service, _)| service)
        .filter(|s| !s.is_empty())
}

impl Counted {
    /// A call came. `version`: of its service, as its caller tells it.
    pub fn came(&mut self, customer: &str, call: &Call, version: Option<&str>) {
        let kind = key(&[customer, call.caller_region, call.path, call.class]);
        if self.seen.len() < MOST || self.seen.contains_key(&kind) {
            let new = || wire::SeenKind {
                customer: customer.into(),
                caller_region: call.caller_region.into(),
                gateway_region: call.gateway_region.into(),
                path: call.path.into(),
                class: call.class.into(),
                count: 0,
            };
            self.seen.entry(kind).or_insert_with(new).count += 1;
        } else {
            self.left_out += 1;
        }
        let Some(service) = service_of(call.path) else {
            return;
        };
        let version = version
            .filter(|v| !v.is_empty() && v.len() <= 256)
            .unwrap_or(UNVERSIONED);
        let of = key(&[customer, service, version]);
        if self.spoke.len() < MOST || self.spoke.contains_key(&of) {
            let new = || wire::Spoke {
                customer: customer.into(),
                service: service.into(),
                version: version.into(),
                calls: 0,
            };
            self.spoke.entry(of).or_insert_with(new).calls += 1;
        } else {
            self.left_out += 1;
        }
    }
    /// Whether nothing came.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty() && self.spoke.is_empty()
    }
    /// All of it, for a report that is repeated until it is taken, and then counts once; from here on it counts anew.
    pub fn report(&mut self) -> (Vec<wire::Spoke>, Vec<wire::SeenKind>) {
        let spoke = self.spoke.drain().map(|(_, s)| s).collect();
        let seen = self.seen.drain().map(|(_, s)| s).collect();
        (spoke, seen)
    }
}

#[cfg(test)]
mod tests;
