//! Settings of a gateway, and their check.

use super::{TimeDelta, ZoneId};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// Carries a key; the servers of one group drop a repeat within the window.
    Keyed,
    /// Must not run twice.
    NonIdempotent,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_objective: TimeDelta,
    /// How long a client waits, all tries together.
    pub deadline: TimeDelta,
    /// What a request is worth.
    pub priority_weight: f64,
    /// The part of the worth that an answer after the aim earns.
    pub late_priority_weight: f64,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// Who drops repeats, where keyed.
    pub key_scope: KeyScope,
    /// How long they drop them, where keyed.
    pub key_window: TimeDelta,
    /// The answer comes as a stream.
    pub is_streaming: bool,
    /// The caller does the work itself and asks for leave only: no server is chosen.
    pub admission_only: bool,
}

/// A plan. Its quota holds for each customer over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second; 0: no quota on the rate.
    pub rate: f64,
    /// The most units the quota's store holds.
    pub burst: f64,
    /// Attempts out at once; 0: no such cap.
    pub max_concurrency: f64,
    /// Multiplies the worth.
    pub priority_multiplier: f64,
    /// Part of the worth earned beyond the quota.
    pub over_quota_weight: f64,
    /// Part of the worth lost by sending on beyond the quota.
    pub over_quota_cost: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// The most units the ceiling's store holds.
    pub ceiling_burst: f64,
    /// How far that store may fall below nothing.
    pub ceiling_slack: f64,
}

/// What a gateway is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// This gateway's number among them.
    pub gateway_index: u32,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// The most attempts for one request.
    pub max_attempts: usize,
    /// Two attempts of one request may be out together.
    pub allow_hedging: bool,
    /// Attempts may be called off.
    pub allow_cancel: bool,
    /// Servers may be probed.
    pub allow_probes: bool,
    /// Clients receive a retry-after.
    pub send_retry_after: bool,
    /// The longest retry-after that a client follows.
    pub max_retry_after: TimeDelta,
    /// The counter service may be called.
    pub use_counter: bool,
    /// A count call ends unanswered after this.
    pub counter_timeout: TimeDelta,
    /// The largest request in units.
    pub max_request_units: f64,
    /// List changes must be asked for.
    pub requires_subscription: bool,
    /// A connection to a server that does not stand by then has failed: an attempt reaches its
    /// server that much later at most.
    pub dial_timeout: TimeDelta,
    /// How long past its deadline a final answer still counts.
    pub answer_slack: TimeDelta,
    /// A server starts at no less than this part of its capacity.
    pub slow_start_min_capacity: f64,
    /// A server is warm after this.
    pub slow_start_duration: TimeDelta,
    /// A cold server falls over when sent this many times its present capacity,
    pub overload_multiple: f64,
    /// for this long.
    pub overload_duration: TimeDelta,
    /// The shortest gap between two calls of the module.
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
