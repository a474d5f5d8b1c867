//! Token bucket.

use crate::api::Timestamp;

#[cfg(test)]
mod tests;

/// Bucket of units that refills at a constant rate up to its capacity. A negative level is a debt
/// that has to be refilled before units are available.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenBucket {
    /// Units in the bucket at `refilled_at`.
    pub(crate) level: f64,
    /// Maximum level.
    pub(crate) capacity: f64,
    /// Refill rate, in units per second.
    pub(crate) rate: f64,
    /// When the level was last updated.
    pub(crate) refilled_at: Timestamp,
}

impl TokenBucket {
    /// Updates the level to the current time.
    pub(crate) fn refill(&mut self, now: Timestamp) {
        let filled = self.level + self.rate * (now - self.refilled_at).as_secs_f64();
        self.level = filled.min(self.capacity);
        self.refilled_at = now.max(self.refilled_at);
    }

    /// Takes the units if the level covers all of them, and returns whether it did.
    pub(crate) fn try_take(&mut self, now: Timestamp, units: f64) -> bool {
        self.refill(now);
        let is_enough = self.level >= units;
        if is_enough {
            self.level -= units;
        }
        is_enough
    }
}
