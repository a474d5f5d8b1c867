//! Windows of a quota and a customer's shared count in one of them.

use crate::api::{CustomerId, Plan, TimeDelta, Timestamp};
use crate::counter::calls::CounterPurpose;
use crate::hash::mix_bits;

#[cfg(test)]
mod tests;

/// Life of one count of attempts in flight: what a killed gateway counted there is forgotten after
/// it.
pub(crate) const CONCURRENCY_EPOCH: TimeDelta = TimeDelta::from_secs(5);
/// Differences of totals up to this are rounding, in units.
pub(crate) const UNITS_TOLERANCE: f64 = 0.5;
/// Length and allowance of a window under a hard ceiling, as part of those without one: two windows
/// may be used in a row.
const CEILING_WINDOW_FRACTION: f64 = 0.5;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// How long a window of a plan lasts, and the units that it admits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaWindow {
    pub(crate) length: TimeDelta,
    pub(crate) allowance: f64,
}

impl QuotaWindow {
    /// The window of a plan with a rate: it admits one burst in the time that fills one; under a
    /// ceiling half of both.
    pub(crate) fn for_plan(plan: &Plan) -> QuotaWindow {
        let fraction = if plan.ceiling_rate > 0.0 {
            CEILING_WINDOW_FRACTION
        } else {
            1.0
        };
        let micros = ((plan.burst / plan.rate) * fraction * MICROS_PER_SECOND).max(1.0);
        QuotaWindow {
            length: TimeDelta::from_micros(micros as u64),
            allowance: plan.burst * fraction,
        }
    }
}

/// Where a point in time lies among a customer's windows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowPosition {
    /// Number of the window.
    pub(crate) index: u64,
    /// Time to its end.
    pub(crate) remaining: TimeDelta,
}

impl WindowPosition {
    /// The customer's hash shifts the edges of its windows, so that not all windows end at once.
    pub(crate) fn at(now: Timestamp, customer: CustomerId, length: TimeDelta) -> WindowPosition {
        let length = length.as_micros();
        let shifted = now.as_micros() + mix_bits(customer.0) % length;
        WindowPosition {
            index: shifted / length,
            remaining: TimeDelta::from_micros(length - shifted % length),
        }
    }
}

/// This gateway's side of a customer's shared count in one window (or epoch).
#[derive(Debug, Default)]
pub(crate) struct WindowCounter {
    /// Number of the window.
    pub(crate) index: u64,
    /// Own units known to have been counted.
    pub(crate) posted: f64,
    /// Own units that no call has carried yet; negative: units to give back.
    pub(crate) unposted: f64,
    /// Own late units that calls in flight carry.
    pub(crate) posting: f64,
    /// The last total that was answered.
    pub(crate) last_total: f64,
    /// When it was answered; `None`: no total of this window is known.
    pub(crate) answered_at: Option<Timestamp>,
    /// Units of the customer's token bucket when the total was `bucket_level_total`, at `bucket_refilled_at`.
    pub(crate) bucket_level: f64,
    pub(crate) bucket_level_total: f64,
    pub(crate) bucket_refilled_at: Timestamp,
}

impl WindowCounter {
    /// The total as far as it is known here, with our own units that it does not have yet.
    pub(crate) fn known_total(&self) -> f64 {
        self.last_total + self.unposted + self.posting
    }

    /// Our own units that the last total does not have yet.
    pub(crate) fn unconfirmed(&self) -> f64 {
        self.unposted + self.posting
    }

    /// Units in the customer's token bucket by a total, filled at the plan's rate up to its burst
    /// since the last total.
    pub(crate) fn available(&self, now: Timestamp, total: f64, plan: &Plan) -> f64 {
        let filled = self.bucket_level + plan.rate * (now - self.bucket_refilled_at).as_secs_f64();
        filled.min(plan.burst) - (total - self.bucket_level_total)
    }

    /// Whether the last total is as recent as the answer to a call could be.
    pub(crate) fn is_total_recent(&self, now: Timestamp, timeout: TimeDelta) -> bool {
        self.answered_at.is_some_and(|at| now < at + timeout)
    }

    /// A call carries these unposted units.
    pub(crate) fn begin_posting(&mut self, units: f64) {
        self.unposted -= units;
        self.posting += units;
    }

    /// The call that carried these units has ended.
    pub(crate) fn end_posting(&mut self, units: f64) {
        self.posting -= units;
    }

    /// An add was counted. Returns the own units that the counter lost: a total below them proves
    /// that it lost its memory, so they are posted again and reckoned with here until then.
    pub(crate) fn confirm_add(&mut self, amount: f64, total: f64, purpose: CounterPurpose) -> f64 {
        self.posted += amount;
        let lost = self.posted - total;
        if lost <= UNITS_TOLERANCE || purpose != CounterPurpose::Quota {
            return 0.0;
        }
        self.unposted += lost;
        self.posted = total;
        lost
    }

    /// Takes a total that was answered now.
    pub(crate) fn observe_total(&mut self, now: Timestamp, total: f64, plan: &Plan) {
        self.last_total = total;
        self.answered_at = Some(now);
        let known_total = self.known_total();
        self.bucket_level = self.available(now, known_total, plan);
        self.bucket_level_total = known_total;
        self.bucket_refilled_at = now;
    }
}
