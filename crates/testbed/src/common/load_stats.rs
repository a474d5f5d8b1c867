//! Statistics of a load: calls by plan and outcome, and latencies.

use crate::common::event_log::CallOutcome;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Calls of the customers of one plan.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PlanStats {
    pub sent: u64,
    /// Calls by the way they ended for the client.
    pub ends: BTreeMap<CallOutcome, u64>,
    /// Calls that ended after the client's deadline, except those without a response.
    pub late: u64,
}

/// What a load generator counts and measures.
#[derive(Clone, Debug)]
pub struct LoadStats {
    pub plans: BTreeMap<String, PlanStats>,
    pub seconds: f64,
    /// Connections that were established.
    pub connects: u64,
    /// Calls that were not sent because no connection could take them.
    pub unsent: u64,
    /// Bytes of response bodies.
    pub bytes: u64,
    /// Calls that callers made, each counted once, and the attempts that were sent for them.
    pub calls: u64,
    pub attempts: u64,
    served_latencies_us: Histogram<u64>,
}

impl Default for LoadStats {
    fn default() -> LoadStats {
        let mut served_latencies_us =
            Histogram::new(3).expect("a histogram accepts three significant digits");
        served_latencies_us.auto(true);
        LoadStats {
            plans: BTreeMap::new(),
            seconds: 0.0,
            connects: 0,
            unsent: 0,
            bytes: 0,
            calls: 0,
            attempts: 0,
            served_latencies_us,
        }
    }
}

/// The statistics as they are written to a JSON file; its keys are the names of the fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadSummary {
    pub seconds: f64,
    pub sent: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub lost: u64,
    pub silent: u64,
    pub other: u64,
    pub late: u64,
    pub unsent: u64,
    pub connects: u64,
    /// Calls that callers made, each counted once.
    pub firsts: u64,
    /// Attempts that were sent for them.
    pub tries: u64,
    /// CPU time of the load generator itself, in seconds.
    pub cpu_s: f64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub p999_us: u64,
    pub plans: BTreeMap<String, PlanStats>,
}

impl LoadStats {
    /// Counts a call that was sent for a customer of the plan.
    pub fn record_sent(&mut self, plan: &str) {
        self.plan_mut(plan).sent += 1;
    }
    /// Counts a call that ended, and its latency if it was served.
    pub fn record_end(&mut self, plan: &str, outcome: CallOutcome, latency_us: u64, is_late: bool) {
        let stats = self.plan_mut(plan);
        *stats.ends.entry(outcome).or_default() += 1;
        stats.late += u64::from(is_late && outcome != CallOutcome::Silent);
        if outcome == CallOutcome::Served {
            // Can't fail: the histogram resizes itself.
            let _ = self.served_latencies_us.record(latency_us.max(1));
        }
    }
    fn plan_mut(&mut self, plan: &str) -> &mut PlanStats {
        if !self.plans.contains_key(plan) {
            self.plans.insert(plan.to_string(), PlanStats::default());
        }
        self.plans
            .get_mut(plan)
            .expect("the entry was inserted above")
    }
    /// A quantile of the latency of served calls, in microseconds.
    pub fn latency_quantile_us(&self, quantile: f64) -> u64 {
        self.served_latencies_us.value_at_quantile(quantile)
    }
    pub fn summary(&self) -> LoadSummary {
        let sum = |outcome: CallOutcome| {
            self.plans
                .values()
                .filter_map(|p| p.ends.get(&outcome))
                .sum()
        };
        LoadSummary {
            seconds: self.seconds,
            sent: self.plans.values().map(|p| p.sent).sum(),
            served: sum(CallOutcome::Served),
            refused: sum(CallOutcome::Refused),
            failed: sum(CallOutcome::Failed),
            lost: sum(CallOutcome::Lost),
            silent: sum(CallOutcome::Silent),
            other: sum(CallOutcome::Other),
            late: self.plans.values().map(|p| p.late).sum(),
            unsent: self.unsent,
            connects: self.connects,
            firsts: self.calls,
            tries: self.attempts,
            cpu_s: crate::common::process::cpu_seconds(std::process::id()).unwrap_or(0.0),
            p50_us: self.latency_quantile_us(0.5),
            p99_us: self.latency_quantile_us(0.99),
            p999_us: self.latency_quantile_us(0.999),
            plans: self.plans.clone(),
        }
    }
    /// The main statistics in one line, for a terminal.
    pub fn to_line(&self) -> String {
        let s = self.summary();
        format!(
            "calls={} served={} refused={} failed={} lost={} silent={} p50={:.1}ms p99={:.1}ms",
            s.sent,
            s.served,
            s.refused,
            s.failed,
            s.lost,
            s.silent,
            s.p50_us as f64 / 1e3,
            s.p99_us as f64 / 1e3
        )
    }
}
