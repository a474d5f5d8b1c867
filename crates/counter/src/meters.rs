//! Metrics of one part.

use crate::state::Counts;
use chalkdeck_net::grpc::Code;
use chalkdeck_wal::state::Identity;
use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Status {
    status: String,
}

pub(crate) struct Meters {
    registry: Registry,
    /// By the number of the code.
    answers: Vec<Counter>,
    batches: Histogram,
    wrote: Histogram,
    names: Gauge,
    callers: Gauge,
    waiting: Gauge,
    position: Gauge,
    epoch: Gauge,
    closed: Gauge,
}

impl Meters {
    pub(crate) fn new() -> Meters {
        let statuses: Family<Status, Counter> = Family::default();
        let answer = |n: i32| {
            let status = format!("{:?}", Code::of(n)).to_lowercase();
            statuses.get_or_create(&Status { status }).clone()
        };
        let mut m = Meters {
            registry: Registry::with_prefix("chalkdeck_counter"),
            answers: (0..17).map(answer).collect(),
            batches: Histogram::new(exponential_buckets(1.0, 2.0, 15)),
            wrote: Histogram::new(exponential_buckets(0.000_05, 2.0, 18)),
            names: Gauge::default(),
            callers: Gauge::default(),
            waiting: Gauge::default(),
            position: Gauge::default(),
            epoch: Gauge::default(),
            closed: Gauge::default(),
        };
        m.registry
            .register("answers", "Adds by the status of their answer", statuses);
        m.registry
            .register("batch_adds", "Adds in one batch", m.batches.clone());
        m.registry.register_with_unit(
            "write",
            "A batch on the disk",
            Unit::Seconds,
            m.wrote.clone(),
        );
        for (name, help, gauge) in [
            ("names", "Names in memory", &m.names),
            (
                "callers",
                "Callers whose numbers are remembered",
                &m.callers,
            ),
            ("waiting", "Adds that wait for a batch", &m.waiting),
            ("position", "Adds counted by this incarnation", &m.position),
            ("epoch", "Starts of this incarnation", &m.epoch),
            (
                "log_closed",
                "1: the disk failed and nothing more is counted",
                &m.closed,
            ),
        ] {
            m.registry.register(name, help, gauge.clone());
        }
        m
    }
    pub(crate) fn answered(&self, code: Code) {
        self.answers[code as usize].inc();
    }
    pub(crate) fn batch(&self, adds: usize) {
        self.batches.observe(adds as f64);
    }
    pub(crate) fn wrote(&self, took: Duration) {
        self.wrote.observe(took.as_secs_f64());
    }
    pub(crate) fn closed(&self, closed: bool) {
        self.closed.set(i64::from(closed));
    }
    pub(crate) fn text(&self, counts: &Counts, identity: Identity, waiting: usize) -> String {
        self.names.set(counts.names() as i64);
        self.callers.set(counts.callers.len() as i64);
        self.waiting.set(waiting as i64);
        self.position.set(counts.position() as i64);
        self.epoch.set(identity.epoch as i64);
        let mut out = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}
