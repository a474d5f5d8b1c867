//! What a service version promises for a method, and what its subscribers rely on in addition.

use std::fmt;

/// The effect of retrying a call. The variants are ordered from the strongest promise to the weakest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Idempotency {
    /// A retry has no further effect.
    Idempotent,
    /// A retry has no further effect within the scope and the window of its idempotency key.
    Keyed,
    /// A retry has its effect again.
    NonIdempotent,
}

/// The endpoints that together deduplicate retries with one idempotency key. The variants are ordered from the smallest scope to the
/// largest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyScope {
    /// The endpoints of one cell.
    Cell,
    /// The endpoints of one zone.
    Zone,
    /// All endpoints.
    All,
}

/// What a service version promises for one method, by the gateways' settings for the method's class and route.
#[derive(Clone, Debug, PartialEq)]
pub struct Promise {
    /// The effect of retrying a call.
    pub idempotency: Idempotency,
    /// The endpoints that together deduplicate retries with one idempotency key.
    pub key_scope: KeyScope,
    /// How long the endpoints deduplicate retries, in milliseconds.
    pub key_window_ms: u64,
    /// The latency objective in milliseconds.
    pub latency_objective_ms: u64,
    /// Maximum time that a call may take, in milliseconds.
    pub deadline_ms: u64,
    /// The units that a call takes from the quota.
    pub units: f64,
    /// The priority weight of a call that is answered in time; decides which calls are shed first.
    pub priority_weight: f64,
}

/// What the subscribers of a version rely on in addition to its promises.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SubscriberBounds {
    /// The longest time after the first attempt at which a client retries a call, in milliseconds; `None` means the window that the
    /// old version promises.
    pub longest_retry_ms: Option<u64>,
    /// The smallest burst among the callers' plans, in units; `None` if no plan limits bursts.
    pub smallest_burst: Option<f64>,
}

impl Promise {
    /// The priority weight of a call per unit. When a site is lost, the calls with the lowest weight per unit are shed first.
    pub(crate) fn weight_per_unit(&self) -> f64 {
        self.priority_weight / self.units.max(f64::MIN_POSITIVE)
    }
}

/// The text in reports to publishers; part of the wire format.
impl fmt::Display for Idempotency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Idempotency::Idempotent => "Safe",
            Idempotency::Keyed => "Keyed",
            Idempotency::NonIdempotent => "Unsafe",
        })
    }
}

/// The text in reports to publishers; part of the wire format.
impl fmt::Display for KeyScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            KeyScope::Cell => "Cell",
            KeyScope::Zone => "Zone",
            KeyScope::All => "All",
        })
    }
}
