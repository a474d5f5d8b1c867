//! How much of the offered work is admitted: less when clients wait too long, for an answer or in vain for a free endpoint, and
//! more while they do not.

use crate::capacity::{strain, strain_between};
use crate::{CompletedRequest, FinalAnswer};

/// A rejection after more than this part of the objective was for want of capacity; one that a quota causes comes sooner.
const UNSTRAINED_REJECTION: f64 = 0.15;
/// A rejection after this part of the objective or more counts as fully strained.
const STRAINED_REJECTION: f64 = 0.3;
/// What a fully strained answer takes off the level.
const DECREASE_SERVED: f64 = 0.04;
/// What a fully strained rejection takes off the level.
const DECREASE_REJECTED: f64 = 0.15;
/// What an early answer adds to the level.
const INCREASE: f64 = 0.003;
/// The least level.
const MIN_LEVEL: f64 = 0.05;
/// The level is at least this part of what the sites bear.
const MIN_PART_OF_BORNE: f64 = 0.9;

/// The part of the offered work that is admitted, 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLevel(pub f64);

impl Default for AdmissionLevel {
    fn default() -> AdmissionLevel {
        AdmissionLevel(1.0)
    }
}

impl AdmissionLevel {
    /// Takes a request's final answer into account. `borne` is the recent throughput as a part of the offered load; it keeps a
    /// short congestion from shedding work for long.
    pub fn record_completion(&mut self, request: CompletedRequest, borne: f64) {
        let CompletedRequest {
            answer,
            latency,
            objective,
        } = request;
        let strain = match answer {
            FinalAnswer::Served => strain(latency, objective),
            FinalAnswer::Rejected => {
                strain_between(latency, objective, UNSTRAINED_REJECTION, STRAINED_REJECTION)
            }
        };
        let decrease = match answer {
            FinalAnswer::Served => DECREASE_SERVED,
            FinalAnswer::Rejected => DECREASE_REJECTED,
        };
        // An early rejection comes from a quota and is evidence of nothing.
        let is_early_answer = answer == FinalAnswer::Served && strain == 0.0;
        let increase = if is_early_answer { INCREASE } else { 0.0 };
        let level = self.0 * (1.0 - decrease * strain) + increase;
        self.0 = level.max(MIN_PART_OF_BORNE * borne).clamp(MIN_LEVEL, 1.0);
    }
}
