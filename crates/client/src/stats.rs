//! Figures of a client: a snapshot for its own program, and metrics in the Prometheus form.

use crate::core::Outcome;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};

/// What a client has done since its start. `calls` that ended are the sum of the ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Tries that were sent.
    pub tries: u64,
    /// Connections that came to stand.
    pub connects: u64,
    /// Ended by an answer.
    pub answered: u64,
    /// Refused, or never sent on: it may be called again.
    pub refused: u64,
    /// Failed, or out of time.
    pub failed: u64,
    /// Called off, or too many.
    pub dropped: u64,
}

#[derive(Debug)]
pub(crate) struct Counters {
    tries: Counter,
    connects: Counter,
    answered: Counter,
    refused: Counter,
    failed: Counter,
    dropped: Counter,
    pub(crate) open: Gauge,
    pub(crate) budget: Gauge<f64, std::sync::atomic::AtomicU64>,
    took: Histogram,
}

impl Default for Counters {
    fn default() -> Counters {
        Counters {
            tries: Counter::default(),
            connects: Counter::default(),
            answered: Counter::default(),
            refused: Counter::default(),
            failed: Counter::default(),
            dropped: Counter::default(),
            open: Gauge::default(),
            budget: Gauge::default(),
            took: Histogram::new(exponential_buckets(0.001, 2.0, 15)),
        }
    }
}

impl Counters {
    pub(crate) fn tried(&self) {
        self.tries.inc();
    }
    pub(crate) fn connected(&self) {
        self.connects.inc();
    }
    pub(crate) fn ended(&self, outcome: Outcome, took: u64) {
        let counter = match outcome {
            Outcome::Answered => &self.answered,
            Outcome::Refused(_) | Outcome::NotSent => &self.refused,
            Outcome::Failed | Outcome::Deadline { .. } => &self.failed,
            Outcome::Full | Outcome::Cancelled => &self.dropped,
        };
        counter.inc();
        self.took.observe(took as f64 / 1e6);
    }
    pub(crate) fn read(&self) -> Stats {
        Stats {
            tries: self.tries.get(),
            connects: self.connects.get(),
            answered: self.answered.get(),
            refused: self.refused.get(),
            failed: self.failed.get(),
            dropped: self.dropped.get(),
        }
    }
    pub(crate) fn register(&self, registry: &mut Registry) {
        let client = registry.sub_registry_with_prefix("chalkdeck_client");
        for (name, help, counter) in [
            ("tries", "Tries that were sent", &self.tries),
            ("connects", "Connections that came to stand", &self.connects),
            ("answered", "Calls that ended by an answer", &self.answered),
            ("refused", "Calls refused or never sent on", &self.refused),
            (
                "failed",
                "Calls that failed or ran out of time",
                &self.failed,
            ),
            ("dropped", "Calls called off, or too many", &self.dropped),
        ] {
            client.register(name, help, counter.clone());
        }
        client.register("open", "Calls that have not ended", self.open.clone());
        client.register(
            "retry_budget",
            "Further tries that the client may make now",
            self.budget.clone(),
        );
        client.register_with_unit(
            "call",
            "From begin to end",
            Unit::Seconds,
            self.took.clone(),
        );
    }
}
