//! Which versions of a service are in use: declared by subscribers, or seen in calls by gateways. Times are milliseconds of the
//! replicated clock.

use std::collections::BTreeMap;

/// The most customers that are counted for one version; calls of further ones are counted together.
const MAX_CUSTOMERS: usize = 10_000;
/// The customer that stands for further ones.
const OTHER_CUSTOMERS: &str = "(others)";

/// One customer's use of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionUse {
    /// Whether the customer declared that it subscribes.
    pub is_declared: bool,
    /// Calls that gateways saw.
    pub calls: u64,
    /// The time of the last call; `None` if there was none.
    pub last_call_ms: Option<u64>,
    /// How long retries of one of its calls last, where it declared that.
    pub longest_retry_ms: Option<u64>,
}

/// A customer that uses a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionUser {
    /// The customer.
    pub customer: String,
    /// Its use of the version.
    pub version_use: VersionUse,
}

/// The versions of one service that are in use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionsInUse {
    /// By version, then by customer.
    pub uses: BTreeMap<String, BTreeMap<String, VersionUse>>,
    /// Versions that an operator retired, and when.
    pub retired: BTreeMap<String, u64>,
}

impl VersionsInUse {
    fn use_of(&mut self, version: &str, customer: &str) -> &mut VersionUse {
        let uses = self.uses.entry(version.to_string()).or_default();
        let is_full = uses.len() >= MAX_CUSTOMERS && !uses.contains_key(customer);
        let customer = if is_full { OTHER_CUSTOMERS } else { customer };
        uses.entry(customer.to_string()).or_default()
    }

    /// A customer subscribes to a version, or no longer does.
    pub fn declare(
        &mut self,
        version: &str,
        customer: &str,
        is_declared: bool,
        longest_retry_ms: Option<u64>,
    ) {
        let version_use = self.use_of(version, customer);
        version_use.is_declared = is_declared;
        version_use.longest_retry_ms = longest_retry_ms;
    }

    /// Gateways saw calls.
    pub fn record_calls(&mut self, version: &str, customer: &str, calls: u64, now_ms: u64) {
        // Calls that are reported after a retirement count as later, also within one step of the clock.
        let now_ms = match self.retired.get(version) {
            Some(retired_ms) => now_ms.max(retired_ms + 1),
            None => now_ms,
        };
        let version_use = self.use_of(version, customer);
        version_use.calls += calls;
        version_use.last_call_ms = version_use.last_call_ms.max(Some(now_ms));
    }

    /// An operator retires a version: it is no longer in use, whatever was declared and seen until now.
    pub fn retire(&mut self, version: &str, now_ms: u64) {
        let mut retired_ms = now_ms;
        if let Some(uses) = self.uses.get_mut(version) {
            for version_use in uses.values_mut() {
                version_use.is_declared = false;
                let last_call_ms = version_use.last_call_ms.unwrap_or(0);
                retired_ms = retired_ms.max(last_call_ms);
            }
        }
        self.retired.insert(version.to_string(), retired_ms);
    }

    /// The customers that use a version now: those that declared it, and those whose last call is less than `dead_after_ms` ago and
    /// later than the version's retirement.
    pub fn users(&self, version: &str, now_ms: u64, dead_after_ms: u64) -> Vec<VersionUser> {
        let retired_ms = self.retired.get(version).copied();
        let is_recent = |last_call_ms: u64| {
            let is_alive = now_ms.saturating_sub(last_call_ms) < dead_after_ms;
            is_alive && retired_ms.is_none_or(|retired_ms| last_call_ms > retired_ms)
        };
        let uses = self.uses.get(version).into_iter().flatten();
        uses.filter(|(_, of)| of.is_declared || of.last_call_ms.is_some_and(is_recent))
            .map(|(customer, version_use)| VersionUser {
                customer: customer.clone(),
                version_use: version_use.clone(),
            })
            .collect()
    }

    /// The versions that some customer uses now.
    pub fn versions(&self, now_ms: u64, dead_after_ms: u64) -> Vec<String> {
        let versions = self.uses.keys();
        versions
            .filter(|version| !self.users(version, now_ms, dead_after_ms).is_empty())
            .cloned()
            .collect()
    }

    /// Retired versions that were called after their retirement.
    pub fn called_after_retirement(&self) -> Vec<String> {
        let is_called = |version: &str, retired_ms: u64| {
            let mut uses = self.uses.get(version).into_iter().flatten();
            uses.any(|(_, version_use)| version_use.last_call_ms > Some(retired_ms))
        };
        self.retired
            .iter()
            .filter(|(version, retired_ms)| is_called(version, **retired_ms))
            .map(|(version, _)| version.clone())
            .collect()
    }
}
