//! What the gateways' decisions promise of a method, and what subscribers rely on beside it.

use std::fmt;

/// What a retry of a call does. The order is from the strongest promise to the weakest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Idempotency {
    /// It has no further effect.
    Idempotent,
    /// It has no further effect within the scope and the window of its idempotency key.
    Keyed,
    /// It has its effect again.
    NonIdempotent,
}

/// The servers that deduplicate retries of one idempotency key. The order is from the smallest scope to the largest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyScope {
    /// Those of one cell.
    Cell,
    /// Those of one zone.
    Zone,
    /// All servers.
    All,
}

/// What is promised of one method.
#[derive(Clone, Debug, PartialEq)]
pub struct Promise {
    /// What a retry does.
    pub idempotency: Idempotency,
    /// Which servers deduplicate retries of a key.
    pub key_scope: KeyScope,
    /// For how long they do, in milliseconds.
    pub key_window_ms: u64,
    /// The latency objective in milliseconds.
    pub latency_objective_ms: u64,
    /// The longest that a call may take, in milliseconds.
    pub deadline_ms: u64,
    /// What a call takes from the quota.
    pub units: f64,
    /// The value of an answer in time, which orders what is shed.
    pub value: f64,
}

/// What the subscribers of a version rely on beside its promises.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SubscriberBounds {
    /// How long retries of one call last at its clients, in milliseconds; `None` for as long as the promised window.
    pub longest_retry_ms: Option<u64>,
    /// The smallest burst of the callers' plans, in units; `None` if no plan limits it.
    pub smallest_burst: Option<f64>,
}

impl Promise {
    /// Value for each unit: when a site is lost, the calls with the least of it are shed first.
    pub(crate) fn value_per_unit(&self) -> f64 {
        self.value / self.units.max(f64::MIN_POSITIVE)
    }
}

/// As publishers read it; part of the wire format.
impl fmt::Display for Idempotency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Idempotency::Idempotent => "Safe",
            Idempotency::Keyed => "Keyed",
            Idempotency::NonIdempotent => "Unsafe",
        })
    }
}

/// As publishers read it; part of the wire format.
impl fmt::Display for KeyScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            KeyScope::Cell => "Cell",
            KeyScope::Zone => "Zone",
            KeyScope::All => "All",
        })
    }
}
