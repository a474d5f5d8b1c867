//! How much work a site takes from this gateway, learnt from its answers: a limit that falls with late answers, but never below
//! what the site has evidently got done, and grows while answers are early.

use chalkdeck_time::{TimeDelta, Timestamp};

/// Time constant in seconds of the average rate.
const RATE_SECONDS: f64 = 2.0;
/// An answer that took more than this part of its objective has waited at the site.
const UNSTRAINED_PART: f64 = 0.4;
/// An answer that took this part of its objective or more counts as fully strained.
const STRAINED_PART: f64 = 0.8;
/// What a fully strained answer takes off the limit.
const DECREASE: f64 = 0.04;
/// What an early answer adds to the limit.
const INCREASE: f64 = 0.004;
/// The limit is at least this part of the throughput.
const MIN_PART_OF_THROUGHPUT: f64 = 0.85;
/// The limit is met where at least this part of it is in use.
const IN_USE_PART: f64 = 0.8;
/// The limit is forgotten where less than this part of it is in use.
const UNUSED_PART: f64 = 0.25;
/// What a limit that is not met grows by in a second.
const IDLE_INCREASE_PER_SECOND: f64 = 0.05;

/// How strained an answer is that took `latency` with this objective: 0 for an early one to 1 for a late one.
pub fn strain(latency: TimeDelta, objective: TimeDelta) -> f64 {
    strain_between(latency, objective, UNSTRAINED_PART, STRAINED_PART)
}

/// Strain that begins at the part `unstrained` of the objective and is full at the part `strained`.
pub(crate) fn strain_between(
    latency: TimeDelta,
    objective: TimeDelta,
    unstrained: f64,
    strained: f64,
) -> f64 {
    let part = latency.as_micros() as f64 / objective.as_micros().max(1) as f64;
    ((part - unstrained) / (strained - unstrained)).clamp(0.0, 1.0)
}

/// A rate in units a second, averaged with exponential decay.
#[derive(Clone, Debug, Default)]
pub struct DecayingRate {
    weighted_units: f64,
    updated_at: Timestamp,
}

impl DecayingRate {
    /// Adds units at that time.
    pub fn add(&mut self, now: Timestamp, units: f64) {
        self.weighted_units = self.weighted_units * self.decay(now) + units;
        self.updated_at = now.max(self.updated_at);
    }

    /// The rate in units a second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        self.weighted_units * self.decay(now) / RATE_SECONDS
    }

    fn decay(&self, now: Timestamp) -> f64 {
        (-(now - self.updated_at).as_secs_f64() / RATE_SECONDS).exp()
    }
}

/// What was learnt of a site's capacity.
#[derive(Clone, Debug, Default)]
pub struct LearnedCapacity {
    throughput: DecayingRate,
    limit: Option<f64>,
    advanced_at: Timestamp,
}

impl LearnedCapacity {
    /// Units a second that may go to the site; `None` if no limit was met.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Units a second that the site answers.
    pub fn throughput(&self, now: Timestamp) -> f64 {
        self.throughput.per_second(now)
    }

    /// Takes an answer with its [`strain`] into account. A limit is not learnt from a throughput of less than `min_limit`, nor set
    /// lower.
    pub fn record_answer(&mut self, now: Timestamp, units: f64, strain: f64, min_limit: f64) {
        self.throughput.add(now, units);
        let throughput = self.throughput(now);
        if strain > 0.0 && throughput >= min_limit {
            let before = self.limit.unwrap_or(throughput);
            let lowered = before * (1.0 - DECREASE * strain);
            let limit = lowered
                .max(throughput * MIN_PART_OF_THROUGHPUT)
                .max(min_limit);
            self.limit = Some(limit);
        } else if let Some(limit) = &mut self.limit {
            if throughput > *limit * IN_USE_PART {
                *limit *= 1.0 + INCREASE;
            }
        }
    }

    /// Lets time pass: a limit that is not met grows and is forgotten in the end, so that load returns from its detours.
    pub fn advance(&mut self, now: Timestamp) {
        let elapsed = (now - self.advanced_at).as_secs_f64();
        self.advanced_at = now;
        let throughput = self.throughput(now);
        let Some(limit) = &mut self.limit else {
            return;
        };
        if throughput >= *limit * IN_USE_PART {
            return;
        }
        *limit *= 1.0 + IDLE_INCREASE_PER_SECOND * elapsed.min(1.0);
        if throughput < *limit * UNUSED_PART {
            self.limit = None;
        }
    }

    /// Forgets the limit.
    pub fn reset(&mut self) {
        self.limit = None;
    }
}
