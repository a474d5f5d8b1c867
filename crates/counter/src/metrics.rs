//! Metrics of one partition of the counter.

use crate::state::CounterState;
use chalkdeck_net::grpc::Code;
use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;

/// Number of gRPC status codes.
const STATUS_CODE_COUNT: i32 = 17;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct StatusLabel {
    status: String,
}

/// Gauges that are updated when the metrics are scraped.
#[derive(Default)]
struct Gauges {
    names: Gauge,
    callers: Gauge,
    pending: Gauge,
    position: Gauge,
    epoch: Gauge,
    log_closed: Gauge,
}

impl Gauges {
    fn register(&self, registry: &mut Registry) {
        let mut register = |name: &str, help: &str, gauge: &Gauge| {
            registry.register(name, help, gauge.clone());
        };
        register("names", "Names in memory", &self.names);
        register(
            "callers",
            "Callers whose numbers are remembered",
            &self.callers,
        );
        register("waiting", "Adds that wait for a batch", &self.pending);
        register(
            "position",
            "Adds counted by this incarnation",
            &self.position,
        );
        register("epoch", "Starts of this incarnation", &self.epoch);
        register(
            "log_closed",
            "1: the disk failed and nothing more is counted",
            &self.log_closed,
        );
    }
}

/// The metrics and their registry.
pub(crate) struct Metrics {
    registry: Registry,
    /// Indexed by the number of the gRPC status code.
    responses: Vec<Counter>,
    batch_sizes: Histogram,
    write_seconds: Histogram,
    gauges: Gauges,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let responses_by_status: Family<StatusLabel, Counter> = Family::default();
        let response_counter = |number: i32| {
            let status = format!("{:?}", Code::from_number(number)).to_lowercase();
            responses_by_status
                .get_or_create(&StatusLabel { status })
                .clone()
        };
        let responses = (0..STATUS_CODE_COUNT).map(response_counter).collect();
        let batch_sizes = Histogram::new(exponential_buckets(1.0, 2.0, 15));
        let write_seconds = Histogram::new(exponential_buckets(0.000_05, 2.0, 18));
        let gauges = Gauges::default();
        let mut registry = Registry::with_prefix("chalkdeck_counter");
        registry.register(
            "answers",
            "Adds by the status of their answer",
            responses_by_status,
        );
        registry.register("batch_adds", "Adds in one batch", batch_sizes.clone());
        registry.register_with_unit(
            "write",
            "A batch on the disk",
            Unit::Seconds,
            write_seconds.clone(),
        );
        gauges.register(&mut registry);
        Metrics {
            registry,
            responses,
            batch_sizes,
            write_seconds,
            gauges,
        }
    }

    /// Counts a response by its status.
    pub(crate) fn record_response(&self, code: Code) {
        self.responses[code as usize].inc();
    }

    /// Records the size of a batch.
    pub(crate) fn record_batch(&self, increments: usize) {
        self.batch_sizes.observe(increments as f64);
    }

    /// Records how long it took to write a batch.
    pub(crate) fn record_write(&self, elapsed: Duration) {
        self.write_seconds.observe(elapsed.as_secs_f64());
    }

    /// Sets whether the log is closed.
    pub(crate) fn set_log_closed(&self, is_closed: bool) {
        self.gauges.log_closed.set(i64::from(is_closed));
    }

    /// Encodes the metrics in the Prometheus text format.
    pub(crate) fn text(&self, state: &CounterState, epoch: u64, pending: usize) -> String {
        self.gauges.names.set(state.name_count() as i64);
        self.gauges.callers.set(state.caller_count() as i64);
        self.gauges.pending.set(pending as i64);
        self.gauges.position.set(state.position() as i64);
        self.gauges.epoch.set(epoch as i64);
        let mut out = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}

#[cfg(test)]
mod tests;
