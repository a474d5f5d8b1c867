//! Figures of a load: calls by plan and end, and latencies.

use crate::parts::log::End;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Calls of one plan.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Plan {
    pub sent: u64,
    pub ends: BTreeMap<End, u64>,
    /// Answers that came after the client's deadline.
    pub late: u64,
}

/// What a load saw.
#[derive(Clone, Debug)]
pub struct Figures {
    pub plans: BTreeMap<String, Plan>,
    pub seconds: f64,
    pub connects: u64,
    pub unsent: u64,
    pub bytes: u64,
    /// Calls as their callers made them, and tries that were sent for them.
    pub firsts: u64,
    pub tries: u64,
    served: Histogram<u64>,
}

impl Default for Figures {
    fn default() -> Figures {
        let mut served = Histogram::new(3).expect("three digits are within what the library takes");
        served.auto(true);
        Figures {
            plans: BTreeMap::new(),
            seconds: 0.0,
            connects: 0,
            unsent: 0,
            bytes: 0,
            firsts: 0,
            tries: 0,
            served,
        }
    }
}

/// What is kept of figures as text.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
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
    pub firsts: u64,
    pub tries: u64,
    /// Processor time of the load itself, in seconds.
    pub cpu_s: f64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub p999_us: u64,
    pub plans: BTreeMap<String, Plan>,
}

impl Figures {
    pub fn sent(&mut self, plan: &str) {
        self.of(plan).sent += 1;
    }
    pub fn ended(&mut self, plan: &str, end: End, took: u64, late: bool) {
        let of = self.of(plan);
        *of.ends.entry(end).or_default() += 1;
        of.late += u64::from(late && end != End::Silent);
        if end == End::Served {
            // It grows as it needs to.
            let _ = self.served.record(took.max(1));
        }
    }
    fn of(&mut self, plan: &str) -> &mut Plan {
        if !self.plans.contains_key(plan) {
            self.plans.insert(plan.to_string(), Plan::default());
        }
        self.plans.get_mut(plan).expect("it was put there")
    }
    /// A quantile of the time to a served answer, in microseconds.
    pub fn quantile(&self, q: f64) -> u64 {
        self.served.value_at_quantile(q)
    }
    pub fn summary(&self) -> Summary {
        let sum = |end: End| self.plans.values().filter_map(|p| p.ends.get(&end)).sum();
        Summary {
            seconds: self.seconds,
            sent: self.plans.values().map(|p| p.sent).sum(),
            served: sum(End::Served),
            refused: sum(End::Refused),
            failed: sum(End::Failed),
            lost: sum(End::Lost),
            silent: sum(End::Silent),
            other: sum(End::Other),
            late: self.plans.values().map(|p| p.late).sum(),
            unsent: self.unsent,
            connects: self.connects,
            firsts: self.firsts,
            tries: self.tries,
            cpu_s: crate::parts::process::cpu_seconds(std::process::id()).unwrap_or(0.0),
            p50_us: self.quantile(0.5),
            p99_us: self.quantile(0.99),
            p999_us: self.quantile(0.999),
            plans: self.plans.clone(),
        }
    }
    /// One line for a terminal.
    pub fn line(&self) -> String {
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
