//! Windows of a quota, and this gateway's view of a customer's shared count in one window.

use crate::api::{CustomerId, Plan, TimeDelta, Timestamp};
use crate::counter::calls::CounterPurpose;
use crate::hash::mix_bits;

#[cfg(test)]
mod tests;

/// Length of an epoch of the concurrency count. Slots that a killed gateway counted are freed when
/// it ends.
pub(crate) const CONCURRENCY_EPOCH: TimeDelta = TimeDelta::from_secs(5);
/// Differences between totals up to this are rounding errors, in units.
pub(crate) const UNITS_TOLERANCE: f64 = 0.5;
/// Length and allowance of a window under a hard ceiling, as a fraction of those without one,
/// because the allowances of two consecutive windows can be used back to back.
const CEILING_WINDOW_FRACTION: f64 = 0.5;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Length of a plan's window, and the units that it admits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaWindow {
    pub(crate) length: TimeDelta,
    pub(crate) allowance: f64,
}

impl QuotaWindow {
    /// The window of a plan with a rate. It admits one burst in the time that refills one. Under a
    /// ceiling, both are halved.
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

/// Position of a point in time within a customer's windows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowPosition {
    /// Number of the window.
    pub(crate) index: u64,
    /// Time until its end.
    pub(crate) remaining: TimeDelta,
}

impl WindowPosition {
    /// Computes the position. The customer's hash offsets its windows, so that the windows of
    /// different customers don't end together.
    pub(crate) fn at(now: Timestamp, customer: CustomerId, length: TimeDelta) -> WindowPosition {
        let length = length.as_micros();
        let shifted = now.as_micros() + mix_bits(customer.0) % length;
        WindowPosition {
            index: shifted / length,
            remaining: TimeDelta::from_micros(length - shifted % length),
        }
    }
}

/// The window before the current one, for replies that arrive after its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PreviousWindow {
    pub(crate) index: u64,
    /// The total that the bucket level of the current window accounts for.
    pub(crate) charged_total: f64,
}

/// This gateway's view of a customer's shared count in one window or epoch.
#[derive(Debug, Default)]
pub(crate) struct WindowCounter {
    /// Number of the window.
    pub(crate) index: u64,
    /// Own units that the counter has confirmed.
    pub(crate) posted: f64,
    /// Own units that no call has posted yet; negative if units have to be refunded.
    pub(crate) unposted: f64,
    /// Own units that calls in flight post after they were used.
    pub(crate) posting: f64,
    /// The last total that the counter returned.
    pub(crate) last_total: f64,
    /// When it was returned; `None` if no total of this window is known.
    pub(crate) last_total_at: Option<Timestamp>,
    /// Level of the customer's token bucket at `bucket_refilled_at`, when the total was
    /// `bucket_level_total`.
    pub(crate) bucket_level: f64,
    pub(crate) bucket_level_total: f64,
    pub(crate) bucket_refilled_at: Timestamp,
    /// The window whose bucket level this one carries over; `None` if it follows no other.
    pub(crate) previous: Option<PreviousWindow>,
}

impl WindowCounter {
    /// The last known total, plus own units that it does not contain yet.
    pub(crate) fn known_total(&self) -> f64 {
        self.last_total + self.unposted + self.posting
    }

    /// Own units that the last total does not contain yet.
    pub(crate) fn unconfirmed(&self) -> f64 {
        self.unposted + self.posting
    }

    /// Level of the customer's token bucket at a given total. The bucket refills at the plan's
    /// rate, up to its burst.
    pub(crate) fn available(&self, now: Timestamp, total: f64, plan: &Plan) -> f64 {
        let filled = self.bucket_level + plan.rate * (now - self.bucket_refilled_at).as_secs_f64();
        filled.min(plan.burst) - (total - self.bucket_level_total)
    }

    /// Whether the last total is no older than the timeout, and so as recent as the reply to a call
    /// made now could be.
    pub(crate) fn is_total_recent(&self, now: Timestamp, timeout: TimeDelta) -> bool {
        self.last_total_at.is_some_and(|at| now < at + timeout)
    }

    /// Moves unposted units into a call in flight.
    pub(crate) fn begin_posting(&mut self, units: f64) {
        self.unposted -= units;
        self.posting += units;
    }

    /// Removes the units of a call that has ended.
    pub(crate) fn end_posting(&mut self, units: f64) {
        self.posting -= units;
    }

    /// Records an add that was counted, and returns the own units that the counter lost. A total
    /// below the own units proves that the counter lost its state, so the difference becomes
    /// unposted again and is included in the known total.
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

    /// Charges the bucket for units of the previous window that a total shows which was returned
    /// after its end. Returns whether the total belongs to that window.
    pub(crate) fn charge_previous(&mut self, window_index: u64, total: f64) -> bool {
        let previous = self.previous.as_mut();
        let Some(previous) = previous.filter(|previous| previous.index == window_index) else {
            return false;
        };
        self.bucket_level -= (total - previous.charged_total).max(0.0);
        previous.charged_total = previous.charged_total.max(total);
        true
    }

    /// Records a total that the counter returned now.
    pub(crate) fn observe_total(&mut self, now: Timestamp, total: f64, plan: &Plan) {
        self.last_total = total;
        self.last_total_at = Some(now);
        let known_total = self.known_total();
        self.bucket_level = self.available(now, known_total, plan);
        self.bucket_level_total = known_total;
        self.bucket_refilled_at = now;
    }
}
