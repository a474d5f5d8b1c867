//! Tracks which versions of a service are in use: declared by subscribers, or seen in calls by gateways. Times are milliseconds of
//! the replicated clock.

use std::collections::BTreeMap;

/// Maximum number of customers that are tracked separately for one version; the use by further customers is tracked together.
const MAX_CUSTOMERS_PER_VERSION: usize = 10_000;
/// Represents all customers beyond [`MAX_CUSTOMERS_PER_VERSION`].
const OTHER_CUSTOMERS: &str = "(others)";

/// One customer's use of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionUse {
    /// Whether the customer declared a subscription to the version.
    pub is_declared: bool,
    /// The number of calls that gateways saw.
    pub calls: u64,
    /// The time of the last call; `None` if there was none.
    pub last_call_ms: Option<u64>,
    /// The longest time after the first attempt at which the customer retries a call, if it declared one.
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

/// The use and the retirements of the versions of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionsInUse {
    /// The use of each version by each customer: by version, then by customer.
    pub uses: BTreeMap<String, BTreeMap<String, VersionUse>>,
    /// The versions that an operator retired, with the time of the retirement.
    pub retired: BTreeMap<String, u64>,
}

impl VersionsInUse {
    /// The use of a version by a customer; adds an entry if there is none.
    fn version_use_mut(&mut self, version: &str, customer: &str) -> &mut VersionUse {
        let uses = self.uses.entry(version.to_string()).or_default();
        let is_over_limit = uses.len() >= MAX_CUSTOMERS_PER_VERSION && !uses.contains_key(customer);
        let customer = if is_over_limit {
            OTHER_CUSTOMERS
        } else {
            customer
        };
        uses.entry(customer.to_string()).or_default()
    }

    /// Records whether a customer subscribes to a version, and for how long it retries calls.
    pub fn declare(
        &mut self,
        version: &str,
        customer: &str,
        is_declared: bool,
        longest_retry_ms: Option<u64>,
    ) {
        let version_use = self.version_use_mut(version, customer);
        version_use.is_declared = is_declared;
        version_use.longest_retry_ms = longest_retry_ms;
    }

    /// Records calls that gateways saw.
    pub fn record_calls(&mut self, version: &str, customer: &str, calls: u64, now_ms: u64) {
        // Calls that are reported after a retirement count as later, even in the same clock step.
        let now_ms = match self.retired.get(version) {
            Some(retired_ms) => now_ms.max(retired_ms + 1),
            None => now_ms,
        };
        let version_use = self.version_use_mut(version, customer);
        version_use.calls += calls;
        version_use.last_call_ms = version_use.last_call_ms.max(Some(now_ms));
    }

    /// Retires a version on behalf of an operator: earlier subscriptions and calls no longer count as use.
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

    /// The customers that use a version now: those that declared it, and those whose last call is less than `unused_after_ms` ago and
    /// later than the version's retirement.
    pub fn users(&self, version: &str, now_ms: u64, unused_after_ms: u64) -> Vec<VersionUser> {
        let retired_ms = self.retired.get(version).copied();
        let counts_as_use = |last_call_ms: u64| {
            let is_recent = now_ms.saturating_sub(last_call_ms) < unused_after_ms;
            is_recent && retired_ms.is_none_or(|retired_ms| last_call_ms > retired_ms)
        };
        let uses = self.uses.get(version).into_iter().flatten();
        uses.filter(|(_, version_use)| {
            version_use.is_declared || version_use.last_call_ms.is_some_and(counts_as_use)
        })
        .map(|(customer, version_use)| VersionUser {
            customer: customer.clone(),
            version_use: version_use.clone(),
        })
        .collect()
    }

    /// The versions that at least one customer uses now.
    pub fn versions(&self, now_ms: u64, unused_after_ms: u64) -> Vec<String> {
        let versions = self.uses.keys();
        versions
            .filter(|version| !self.users(version, now_ms, unused_after_ms).is_empty())
            .cloned()
            .collect()
    }

    /// The retired versions that were called after their retirement.
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
