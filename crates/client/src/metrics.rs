//! Statistics of a client for its own program, and as Prometheus metrics.

use crate::core::Outcome;
use chalkdeck_time::TimeDelta;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};
use std::sync::atomic::AtomicU64;

/// Counts since the start of a client. The number of completed calls is the sum of `answered`, `rejected`, `failed` and `dropped`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Attempts that were sent.
    pub attempts: u64,
    /// Connections that were established.
    pub connects: u64,
    /// Calls that were answered.
    pub answered: u64,
    /// Calls that were rejected or never ran, for which a new call is safe.
    pub rejected: u64,
    /// Calls that failed or exceeded their deadlines.
    pub failed: u64,
    /// Calls that were cancelled, or exceeded the limit of open calls.
    pub dropped: u64,
}

/// The metrics of a client.
#[derive(Debug)]
pub(crate) struct Metrics {
    attempts: Counter,
    connects: Counter,
    answered: Counter,
    rejected: Counter,
    failed: Counter,
    dropped: Counter,
    open_calls: Gauge,
    retry_budget: Gauge<f64, AtomicU64>,
    call_seconds: Histogram,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics {
            attempts: Counter::default(),
            connects: Counter::default(),
            answered: Counter::default(),
            rejected: Counter::default(),
            failed: Counter::default(),
            dropped: Counter::default(),
            open_calls: Gauge::default(),
            retry_budget: Gauge::default(),
            call_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 15)),
        }
    }
}

impl Metrics {
    pub(crate) fn record_attempt(&self) {
        self.attempts.inc();
    }

    pub(crate) fn record_connect(&self) {
        self.connects.inc();
    }

    pub(crate) fn record_call(&self, outcome: Outcome, elapsed: TimeDelta) {
        let counter = match outcome {
            Outcome::Answered => &self.answered,
            Outcome::Rejected { .. } | Outcome::NotSent => &self.rejected,
            Outcome::Failed | Outcome::DeadlineExceeded { .. } => &self.failed,
            Outcome::TooManyCalls | Outcome::Cancelled => &self.dropped,
        };
        counter.inc();
        self.call_seconds.observe(elapsed.as_secs_f64());
    }

    pub(crate) fn set_open_calls(&self, open_calls: usize) {
        self.open_calls.set(open_calls as i64);
    }

    pub(crate) fn set_retry_budget(&self, tokens: f64) {
        self.retry_budget.set(tokens);
    }

    pub(crate) fn stats(&self) -> Stats {
        Stats {
            attempts: self.attempts.get(),
            connects: self.connects.get(),
            answered: self.answered.get(),
            rejected: self.rejected.get(),
            failed: self.failed.get(),
            dropped: self.dropped.get(),
        }
    }

    /// Registers the metrics. Dashboards depend on these names.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let client = registry.sub_registry_with_prefix("chalkdeck_client");
        for (name, help, counter) in [
            ("tries", "Tries that were sent", &self.attempts),
            ("connects", "Connections that came to stand", &self.connects),
            ("answered", "Calls that ended by an answer", &self.answered),
            ("refused", "Calls refused or never sent on", &self.rejected),
            (
                "failed",
                "Calls that failed or ran out of time",
                &self.failed,
            ),
            ("dropped", "Calls called off, or too many", &self.dropped),
        ] {
            client.register(name, help, counter.clone());
        }
        client.register("open", "Calls that have not ended", self.open_calls.clone());
        client.register(
            "retry_budget",
            "Further tries that the client may make now",
            self.retry_budget.clone(),
        );
        client.register_with_unit(
            "call",
            "From begin to end",
            Unit::Seconds,
            self.call_seconds.clone(),
        );
    }
}
