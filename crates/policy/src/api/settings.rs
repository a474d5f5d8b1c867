//! Settings of a gateway, and their check.

use super::{TimeDelta, ZoneId};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may.
    Idempotent,
    /// It carries an idempotency key: endpoints that share keys drop a repeat within the key
    /// window.
    Keyed,
    /// It must not.
    NonIdempotent,
}

/// Which endpoints share the keys of keyed requests, and so drop their repeats.
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
    /// How long a client waits, all attempts together.
    pub deadline: TimeDelta,
    /// What a request is worth against others.
    pub priority_weight: f64,
    /// The part of the weight that an answer after the latency objective earns.
    pub late_priority_weight: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Which endpoints drop repeats of keyed requests.
    pub key_scope: KeyScope,
    /// How long they drop them.
    pub key_window: TimeDelta,
    /// The response is a stream.
    pub is_streaming: bool,
    /// Requests are admitted or rejected, but the caller does the work: no endpoint is selected.
    pub is_admission_only: bool,
}

/// A plan. Its limits hold for each customer over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second of the quota; 0: no quota.
    pub rate: f64,
    /// The most units the quota saves up.
    pub burst: f64,
    /// Requests in flight at once; 0: no such limit.
    pub max_concurrency: f64,
    /// Multiplies the priority weight of requests.
    pub priority_multiplier: f64,
    /// Part of the priority weight that a request beyond the quota earns.
    pub over_quota_weight: f64,
    /// Part of the priority weight that forwarding a request beyond the quota costs.
    pub over_quota_cost: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// The most units the ceiling saves up.
    pub ceiling_burst: f64,
    /// Units by which the ceiling may be exceeded.
    pub ceiling_slack: f64,
}

/// Settings of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// This gateway's index among them.
    pub gateway_index: u32,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// The most attempts for one request.
    pub max_attempts: usize,
    /// Two attempts of one request may be in flight together.
    pub allow_hedging: bool,
    /// Attempts may be cancelled.
    pub allow_cancel: bool,
    /// Endpoints may be probed.
    pub allow_probes: bool,
    /// Rejections carry a retry-after.
    pub send_retry_after: bool,
    /// The longest retry-after that a client follows.
    pub max_retry_after: TimeDelta,
    /// The counter service may be called.
    pub use_counter: bool,
    /// A call to the counter has failed after this.
    pub counter_timeout: TimeDelta,
    /// The most units that a request may have.
    pub max_request_units: f64,
    /// Updates of the endpoint list come only after
    /// [`Action::Subscribe`](super::Action::Subscribe).
    pub requires_subscription: bool,
    /// A connection that is not established by then has failed: an attempt reaches its endpoint
    /// this much later at the most.
    pub dial_timeout: TimeDelta,
    /// How long past its deadline a final answer still counts.
    pub answer_slack: TimeDelta,
    /// An endpoint that starts has at least this part of its capacity.
    pub slow_start_min_capacity: f64,
    /// An endpoint has its full capacity this long after its start.
    pub slow_start_duration: TimeDelta,
    /// An endpoint in slow start fails under this many times its present capacity,
    pub overload_multiple: f64,
    /// if it lasts for this long.
    pub overload_duration: TimeDelta,
    /// Timers fire at most this late; the shortest time between two events that are not caused by
    /// input.
    pub timer_resolution: TimeDelta,
}

/// Settings that make no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// No gateways, or an index that is not below their number.
    #[error("gateways: expected at least one, and this one's number below it")]
    Gateways,
    /// No attempt is allowed.
    #[error("max_attempts: expected at least 1")]
    MaxAttempts,
    /// A number about slow start or request sizes is negative or not finite. The text has the names
    /// of the settings files.
    #[error("cold_from, fall_multiple, most_units: expected numbers of 0 or more")]
    Capacity,
    /// A class with a weight that is negative or not finite, or without a deadline.
    #[error("class: expected a worth of 0 or more and a deadline above 0")]
    Class,
    /// A plan with a number that is negative or not finite.
    #[error("plan: expected numbers of 0 or more")]
    Plan,
    /// A plan with a rate but no burst.
    #[error("plan: expected a burst above 0 where there is a rate")]
    Burst,
}

/// Whether a number may stand for an amount: finite and not negative.
fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

impl Class {
    fn check(&self) -> Result<(), SettingsError> {
        let has_sound_weights =
            is_amount(self.priority_weight) && is_amount(self.late_priority_weight);
        if has_sound_weights && self.deadline > TimeDelta::ZERO {
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
    /// Whether these settings make sense; the first that does not is the error.
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
