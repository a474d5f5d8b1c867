//! Token bucket.

use crate::api::Timestamp;

#[cfg(test)]
mod tests;

/// Units that accumulate at a rate, up to a capacity. Its level may be negative: that debt is
/// filled up first.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenBucket {
    /// Units in the bucket at `refilled_at`.
    pub(crate) level: f64,
    /// The most units in it.
    pub(crate) capacity: f64,
    /// Units a second.
    pub(crate) rate: f64,
    /// When the level was last brought up to date.
    pub(crate) refilled_at: Timestamp,
}

impl TokenBucket {
    /// Brings the level up to date.
    pub(crate) fn refill(&mut self, now: Timestamp) {
        let filled = self.level + self.rate * (now - self.refilled_at).as_secs_f64();
        self.level = filled.min(self.capacity);
        self.refilled_at = now.max(self.refilled_at);
    }

    /// Takes units if all of them are there.
    pub(crate) fn try_take(&mut self, now: Timestamp, units: f64) -> bool {
        self.refill(now);
        let is_enough = self.level >= units;
        if is_enough {
            self.level -= units;
        }
        is_enough
    }
}
