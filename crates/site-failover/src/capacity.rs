//! The capacity that a site has for this gateway, learned from its answers: a limit in units per second that late answers lower,
//! though not far below the site's measured throughput, and that grows while answers are early.

use chalkdeck_time::{TimeDelta, Timestamp};

/// Time constant, in seconds, of the exponential decay of rates.
const RATE_TIME_CONSTANT_SECONDS: f64 = 2.0;
/// An answer that took more than this fraction of its latency objective has waited at the site.
const UNCONGESTED_FRACTION: f64 = 0.4;
/// An answer that took this fraction of its latency objective or more counts as fully congested.
const CONGESTED_FRACTION: f64 = 0.8;
/// The fraction of the limit that a fully congested answer takes off.
const LIMIT_DECREASE: f64 = 0.04;
/// The fraction of the limit that an early answer adds.
const LIMIT_INCREASE: f64 = 0.004;
/// The limit is at least this fraction of the throughput.
const MIN_FRACTION_OF_THROUGHPUT: f64 = 0.85;
/// The limit is reached if at least this fraction of it is in use.
const IN_USE_FRACTION: f64 = 0.8;
/// The limit is dropped if less than this fraction of it is in use.
const UNUSED_FRACTION: f64 = 0.25;
/// The fraction by which a limit that is not reached grows in a second.
const IDLE_LIMIT_INCREASE_PER_SECOND: f64 = 0.05;

/// The congestion that an answer indicates by its latency in relation to the latency objective: from 0 for an early answer to 1
/// for a late one.
pub fn congestion(latency: TimeDelta, objective: TimeDelta) -> f64 {
    congestion_between(latency, objective, UNCONGESTED_FRACTION, CONGESTED_FRACTION)
}

/// Congestion that rises from 0 at the fraction `uncongested` of the latency objective to 1 at the fraction `congested`.
pub(crate) fn congestion_between(
    latency: TimeDelta,
    objective: TimeDelta,
    uncongested: f64,
    congested: f64,
) -> f64 {
    let fraction = latency.as_micros() as f64 / objective.as_micros().max(1) as f64;
    ((fraction - uncongested) / (congested - uncongested)).clamp(0.0, 1.0)
}

/// A rate in units per second, averaged with exponential decay.
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

    /// The rate in units per second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        self.weighted_units * self.decay(now) / RATE_TIME_CONSTANT_SECONDS
    }

    fn decay(&self, now: Timestamp) -> f64 {
        (-(now - self.updated_at).as_secs_f64() / RATE_TIME_CONSTANT_SECONDS).exp()
    }
}

/// The learned capacity of a site.
#[derive(Clone, Debug, Default)]
pub struct LearnedCapacity {
    throughput: DecayingRate,
    limit: Option<f64>,
    advanced_at: Timestamp,
}

impl LearnedCapacity {
    /// The units per second that may be sent to the site; `None` if no limit was reached.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// The units per second that the site answers.
    pub fn throughput(&self, now: Timestamp) -> f64 {
        self.throughput.per_second(now)
    }

    /// Records an answer with its [`congestion`]; a rejection counts as an answer of no units. A throughput below `min_limit` sets
    /// no limit, and no limit is set below `min_limit`.
    pub fn record_answer(&mut self, now: Timestamp, units: f64, congestion: f64, min_limit: f64) {
        self.throughput.add(now, units);
        let throughput = self.throughput(now);
        if congestion > 0.0 && throughput >= min_limit {
            let previous = self.limit.unwrap_or(throughput);
            let lowered = previous * (1.0 - LIMIT_DECREASE * congestion);
            let limit = lowered
                .max(throughput * MIN_FRACTION_OF_THROUGHPUT)
                .max(min_limit);
            self.limit = Some(limit);
        } else if let Some(limit) = &mut self.limit {
            if throughput > *limit * IN_USE_FRACTION {
                *limit *= 1.0 + LIMIT_INCREASE;
            }
        }
    }

    /// Advances to `now`: a limit that is not reached grows and is eventually dropped, so that load that was sent to other sites
    /// returns.
    pub fn advance(&mut self, now: Timestamp) {
        let elapsed = (now - self.advanced_at).as_secs_f64();
        self.advanced_at = now;
        let throughput = self.throughput(now);
        let Some(limit) = &mut self.limit else {
            return;
        };
        if throughput >= *limit * IN_USE_FRACTION {
            return;
        }
        *limit *= 1.0 + IDLE_LIMIT_INCREASE_PER_SECOND * elapsed.min(1.0);
        if throughput < *limit * UNUSED_FRACTION {
            self.limit = None;
        }
    }

    /// Drops the limit.
    pub fn reset(&mut self) {
        self.limit = None;
    }
}
