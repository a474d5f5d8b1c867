//! Settings of a gateway, and their validation.

use super::{TimeDelta, ZoneId};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It carries an idempotency key: endpoints that share a key store drop repeats of it within
    /// the key window.
    Keyed,
    /// It must not run more than once.
    NonIdempotent,
}

/// Which endpoints share a store of idempotency keys, and so drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns the full priority weight.
    pub latency_objective: TimeDelta,
    /// How long a client waits for the answer, over all attempts.
    pub deadline: TimeDelta,
    /// Priority of a request relative to others.
    pub priority_weight: f64,
    /// Fraction of the weight that an answer after the latency objective earns.
    pub late_priority_weight: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Which endpoints deduplicate keyed requests.
    pub key_scope: KeyScope,
    /// How long an endpoint remembers an idempotency key.
    pub key_window: TimeDelta,
    /// Whether the response is a stream.
    pub is_streaming: bool,
    /// Whether requests are only admitted or rejected. The caller does the work, so no endpoint is
    /// selected.
    pub is_admission_only: bool,
}

/// A plan. Its limits apply to each customer, over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Refill rate of the quota, in units per second; 0 for no quota.
    pub rate: f64,
    /// Burst size of the quota, in units.
    pub burst: f64,
    /// Maximum number of requests in flight; 0 for no limit.
    pub max_concurrency: f64,
    /// Factor on the priority weight of requests.
    pub priority_multiplier: f64,
    /// Fraction of the priority weight that a request over the quota earns.
    pub over_quota_weight: f64,
    /// Fraction of the priority weight that forwarding a request over the quota costs.
    pub over_quota_cost: f64,
    /// Refill rate of the hard ceiling, in units per second; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// Burst size of the ceiling, in units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling may be exceeded without a violation.
    pub ceiling_slack: f64,
}

/// Settings of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// This gateway's index among them, from 0.
    pub gateway_index: u32,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Whether two attempts of one request may be in flight together.
    pub allow_hedging: bool,
    /// Whether attempts may be cancelled.
    pub allow_cancel: bool,
    /// Whether endpoints may be probed for their load.
    pub allow_probes: bool,
    /// Whether rejections carry a retry-after.
    pub send_retry_after: bool,
    /// The longest retry-after that clients honor.
    pub max_retry_after: TimeDelta,
    /// Whether the counter service is used.
    pub use_counter: bool,
    /// Timeout of a counter call.
    pub counter_timeout: TimeDelta,
    /// Maximum cost of one request, in units.
    pub max_request_units: f64,
    /// Number of customers whose state is held at once; `None` for 65,536. Each takes about half a
    /// kilobyte, and at the limit the one that has rested longest is dropped.
    pub max_customers: Option<usize>,
    /// Whether updates of the endpoint list require
    /// [`Action::Subscribe`](super::Action::Subscribe).
    pub requires_subscription: bool,
    /// How long after it was confirmed the endpoint list shows which endpoint listens at an address;
    /// `None` if its source does not confirm it.
    pub max_list_age: Option<TimeDelta>,
    /// Timeout of connection establishment, and so the longest delay before an attempt reaches its
    /// endpoint.
    pub dial_timeout: TimeDelta,
    /// How long after the deadline a final answer is still accepted.
    pub answer_slack: TimeDelta,
    /// Fraction of its capacity that an endpoint has at its start.
    pub slow_start_min_capacity: f64,
    /// Time from its start until an endpoint has its full capacity.
    pub slow_start_duration: TimeDelta,
    /// An endpoint in slow start fails under a load of this many times its current capacity that
    /// lasts for `overload_duration`.
    pub overload_multiple: f64,
    /// How long that load must last for the endpoint to fail.
    pub overload_duration: TimeDelta,
    /// Maximum delay of a timer, and the shortest time between two events that are not caused by
    /// input.
    pub timer_resolution: TimeDelta,
}

/// Why settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The number of gateways is 0, or the index is not below it.
    #[error("gateways: expected at least one, and this one's number below it")]
    Gateways,
    /// The maximum number of attempts is 0.
    #[error("max_attempts: expected at least 1")]
    MaxAttempts,
    /// A setting of slow start or of request cost is negative or not finite. The message uses the
    /// names in the settings files.
    #[error("cold_from, fall_multiple, most_units: expected numbers of 0 or more")]
    Capacity,
    /// A class has a weight that is negative or not finite, or has no deadline.
    #[error("class: expected a worth of 0 or more and a deadline above 0")]
    Class,
    /// A plan has a number that is negative or not finite.
    #[error("plan: expected numbers of 0 or more")]
    Plan,
    /// A plan has a rate but no burst.
    #[error("plan: expected a burst above 0 where there is a rate")]
    Burst,
}

/// Whether a number is finite and not negative.
fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

impl Class {
    fn check(&self) -> Result<(), SettingsError> {
        let has_valid_weights =
            is_amount(self.priority_weight) && is_amount(self.late_priority_weight);
        if has_valid_weights && self.deadline > TimeDelta::ZERO {
            Ok(())
        } else {
            Err(SettingsError::Class)
        }
    }
}

impl Plan {
    fn check(&self) -> Result<(), SettingsError> {
        let amounts = [
            self.rate,
            self.burst,
            self.max_concurrency,
            self.ceiling_rate,
            self.ceiling_burst,
            self.ceiling_slack,
            self.priority_multiplier,
            self.over_quota_weight,
            self.over_quota_cost,
        ];
        if !amounts.into_iter().all(is_amount) {
            return Err(SettingsError::Plan);
        }
        let quota_lacks_burst = self.rate > 0.0 && self.burst <= 0.0;
        let ceiling_lacks_burst = self.ceiling_rate > 0.0 && self.ceiling_burst <= 0.0;
        if quota_lacks_burst || ceiling_lacks_burst {
            return Err(SettingsError::Burst);
        }
        Ok(())
    }
}

impl Settings {
    /// Validates the settings. Returns the first problem that it finds.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.gateways == 0 || self.gateway_index >= self.gateways {
            return Err(SettingsError::Gateways);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::MaxAttempts);
        }
        let amounts = [
            self.slow_start_min_capacity,
            self.overload_multiple,
            self.max_request_units,
        ];
        if !amounts.into_iter().all(is_amount) {
            return Err(SettingsError::Capacity);
        }
        self.classes.iter().try_for_each(Class::check)?;
        self.plans.iter().try_for_each(Plan::check)
    }
}
