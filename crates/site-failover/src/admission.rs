//! Admission control: the fraction of the offered units that is admitted. It falls when requests wait too long, whether they are
//! then answered or rejected because no endpoint is free, and rises while answers are early.

use crate::capacity::{congestion, congestion_between};
use crate::{CompletedRequest, FinalAnswer};

/// A rejection after more than this fraction of the latency objective was due to a lack of capacity; quota rejections come sooner.
const UNCONGESTED_REJECTION_FRACTION: f64 = 0.15;
/// A rejection after this fraction of the latency objective or more counts as fully congested.
const CONGESTED_REJECTION_FRACTION: f64 = 0.3;
/// The fraction of the level that a fully congested answer takes off.
const LEVEL_DECREASE_SERVED: f64 = 0.04;
/// The fraction of the level that a fully congested rejection takes off.
const LEVEL_DECREASE_REJECTED: f64 = 0.15;
/// What an early answer adds to the level.
const LEVEL_INCREASE: f64 = 0.003;
/// Minimum level.
const MIN_LEVEL: f64 = 0.05;
/// The level is at least this fraction of the throughput in relation to the offered load.
const MIN_FRACTION_OF_THROUGHPUT: f64 = 0.9;

/// The fraction of the offered units that is admitted, 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLevel(pub f64);

impl Default for AdmissionLevel {
    fn default() -> AdmissionLevel {
        AdmissionLevel(1.0)
    }
}

impl AdmissionLevel {
    /// Records a request's final answer. `throughput_ratio` is the recent throughput in relation to the offered load; it bounds the
    /// level from below, so that short congestion does not shed load that the sites can serve.
    pub fn record_completion(&mut self, request: CompletedRequest, throughput_ratio: f64) {
        let CompletedRequest {
            answer,
            latency,
            objective,
        } = request;
        let congestion = match answer {
            FinalAnswer::Served => congestion(latency, objective),
            FinalAnswer::Rejected => congestion_between(
                latency,
                objective,
                UNCONGESTED_REJECTION_FRACTION,
                CONGESTED_REJECTION_FRACTION,
            ),
        };
        let decrease = match answer {
            FinalAnswer::Served => LEVEL_DECREASE_SERVED,
            FinalAnswer::Rejected => LEVEL_DECREASE_REJECTED,
        };
        // An early rejection is due to a quota and says nothing about capacity.
        let is_early_answer = answer == FinalAnswer::Served && congestion == 0.0;
        let increase = if is_early_answer { LEVEL_INCREASE } else { 0.0 };
        let level = self.0 * (1.0 - decrease * congestion) + increase;
        self.0 = level
            .max(MIN_FRACTION_OF_THROUGHPUT * throughput_ratio)
            .clamp(MIN_LEVEL, 1.0);
    }
}
