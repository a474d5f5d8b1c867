//! Plain metrics of one gateway.

use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

/// A class, a plan and how the call ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct Call {
    pub(crate) class: String,
    pub(crate) plan: String,
    pub(crate) end: &'static str,
}

/// One label.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct Kind {
    pub(crate) kind: String,
}

pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) taken: Counter,
    pub(crate) ended: Family<Call, Counter>,
    pub(crate) attempts: Family<Kind, Counter>,
    pub(crate) counts: Family<Kind, Counter>,
    pub(crate) rejected: Family<Kind, Counter>,
    pub(crate) open: Gauge,
    pub(crate) connections: Gauge,
    pub(crate) servers: Gauge,
    pub(crate) list_failures: Counter,
    pub(crate) took: Histogram,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let mut m = Metrics {
            registry: Registry::with_prefix("chalkdeck"),
            taken: Counter::default(),
            ended: Family::default(),
            attempts: Family::default(),
            counts: Family::default(),
            rejected: Family::default(),
            open: Gauge::default(),
            connections: Gauge::default(),
            servers: Gauge::default(),
            list_failures: Counter::default(),
            took: Histogram::new(exponential_buckets(0.000_25, 2.0, 16)),
        };
        let r = &mut m.registry;
        r.register("calls_taken", "Calls taken", m.taken.clone());
        r.register("calls_ended", "Calls by class, plan and end", m.ended.clone());
        r.register("attempts", "Attempts by how they ended", m.attempts.clone());
        r.register("counter_calls", "Calls to the counter by how they ended", m.counts.clone());
        r.register("calls_rejected", "Input that is no call, by what was wrong", m.rejected.clone());
        r.register("calls_open", "Calls without their answer", m.open.clone());
        r.register("connections", "Connections of all kinds", m.connections.clone());
        r.register("servers", "Servers on the list", m.servers.clone());
        r.register("server_list_failures", "Server lists that could not be read", m.list_failures.clone());
        r.register("call_seconds", "Time from a call's head to its final answer", m.took.clone());
        m
    }

    pub(crate) fn text(&self) -> String {
        let mut out = String::new();
        match text::encode(&mut out, &self.registry) {
            Ok(()) => out,
            Err(e) => format!("# {e}\n"),
        }
    }
}
