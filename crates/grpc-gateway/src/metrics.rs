//! The metrics of one gateway, in the text format of Prometheus.
//!
//! Dashboards and alerts read the names of metrics and the values of labels, so these stay when a field or variant is renamed.

use crate::counter_client::StateChange;
use chalkdeck::api::Outcome;
use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

/// The upper bound of the first bucket of call durations; each further bound is a multiple of the one before.
const FIRST_BUCKET_SECONDS: f64 = 0.000_25;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 16;

/// The labels of completed calls. The field names are the label names.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabels {
    class: String,
    plan: String,
    end: &'static str,
}

/// The only label of a metric. The field name is the label name.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabel {
    kind: String,
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallEnd {
    Served,
    Rejected,
    Failed,
    /// The client cancelled it or disconnected.
    Cancelled,
}

const ALL_CALL_ENDS: [CallEnd; 4] = [
    CallEnd::Served,
    CallEnd::Rejected,
    CallEnd::Failed,
    CallEnd::Cancelled,
];

impl CallEnd {
    /// The value of the label `end`.
    fn label(self) -> &'static str {
        match self {
            CallEnd::Served => "served",
            CallEnd::Rejected => "refused",
            CallEnd::Failed => "failed",
            CallEnd::Cancelled => "gone",
        }
    }
}

/// The counter of the calls of a class and a plan that end in one way.
struct EndCounter {
    end: CallEnd,
    counter: Counter,
}

/// The counter of one outcome.
struct OutcomeCounter {
    outcome: Outcome,
    counter: Counter,
}

/// All metrics of a gateway.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) accepted_calls: Counter,
    pub(crate) resp_requests: Counter,
    pub(crate) queue_rejections: Counter,
    pub(crate) queued_requests: Gauge,
    /// By class, then by plan, so that a counter is found by indices and not by its labels.
    completed_calls: Vec<Vec<Vec<EndCounter>>>,
    attempts: Vec<OutcomeCounter>,
    counter_calls: Vec<OutcomeCounter>,
    counter_state_changes: Family<KindLabel, Counter>,
    rejected_input: Family<KindLabel, Counter>,
    pub(crate) open_calls: Gauge,
    pub(crate) connections: Gauge,
    pub(crate) endpoints: Gauge,
    pub(crate) endpoint_list_failures: Counter,
    /// When the endpoint list in force was read, in seconds since the Unix epoch; its age is the time since then.
    pub(crate) endpoint_list_read_at: Gauge,
    /// The time from a call's head to its final answer, in seconds.
    pub(crate) call_duration: Histogram,
}

impl Metrics {
    /// Registers all metrics. The counters of every class with every plan exist from the start, at zero.
    pub(crate) fn new(classes: &[String], plans: &[String]) -> Metrics {
        let completed_calls = Family::default();
        let attempts = Family::default();
        let counter_calls = Family::default();
        let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT);
        let mut metrics = Metrics {
            registry: Registry::with_prefix("chalkdeck"),
            accepted_calls: Counter::default(),
            resp_requests: Counter::default(),
            queue_rejections: Counter::default(),
            queued_requests: Gauge::default(),
            completed_calls: counters_by_class(&completed_calls, classes, plans),
            attempts: counters_by_outcome(&attempts),
            counter_calls: counters_by_outcome(&counter_calls),
            counter_state_changes: Family::default(),
            rejected_input: Family::default(),
            open_calls: Gauge::default(),
            connections: Gauge::default(),
            endpoints: Gauge::default(),
            endpoint_list_failures: Counter::default(),
            endpoint_list_read_at: Gauge::default(),
            call_duration: Histogram::new(buckets),
        };
        metrics.register_arrival_metrics();
        metrics.register_outcome_metrics(completed_calls, attempts, counter_calls);
        metrics.register_gateway_metrics();
        metrics
    }

    fn register_arrival_metrics(&mut self) {
        let registry = &mut self.registry;
        registry.register("calls_taken", "Calls taken", self.accepted_calls.clone());
        registry.register(
            "resp_asks",
            "Requests that came over RESP",
            self.resp_requests.clone(),
        );
        registry.register(
            "door_refused",
            "Requests refused at the door",
            self.queue_rejections.clone(),
        );
        registry.register(
            "door_waiting",
            "Requests that wait at the door",
            self.queued_requests.clone(),
        );
    }

    fn register_outcome_metrics(
        &mut self,
        completed_calls: Family<CallLabels, Counter>,
        attempts: Family<KindLabel, Counter>,
        counter_calls: Family<KindLabel, Counter>,
    ) {
        let registry = &mut self.registry;
        registry.register(
            "calls_ended",
            "Calls by class, plan and end",
            completed_calls,
        );
        registry.register("attempts", "Attempts by how they ended", attempts);
        registry.register(
            "counter_calls",
            "Calls to the counter by how they ended",
            counter_calls,
        );
        registry.register(
            "counter_news",
            "Changes of the counter's counts as its answers tell them",
            self.counter_state_changes.clone(),
        );
        registry.register(
            "calls_rejected",
            "Input that is no call, by what was wrong",
            self.rejected_input.clone(),
        );
    }

    fn register_gateway_metrics(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "calls_open",
            "Calls without their answer",
            self.open_calls.clone(),
        );
        registry.register(
            "connections",
            "Connections of all kinds",
            self.connections.clone(),
        );
        registry.register("servers", "Servers on the list", self.endpoints.clone());
        registry.register(
            "server_list_failures",
            "Server lists that could not be read",
            self.endpoint_list_failures.clone(),
        );
        registry.register(
            "server_list_read_timestamp_seconds",
            "When the server list in force was read",
            self.endpoint_list_read_at.clone(),
        );
        registry.register(
            "call_seconds",
            "Time from a call's head to its final answer",
            self.call_duration.clone(),
        );
    }

    /// Counts a completed call; `class` and `plan` are indices.
    pub(crate) fn call_completed(&self, class: usize, plan: usize, end: CallEnd) {
        let counters = &self.completed_calls[class][plan];
        if let Some(matching) = counters.iter().find(|counter| counter.end == end) {
            matching.counter.inc();
        }
    }

    /// Counts an attempt that has ended.
    pub(crate) fn attempt_ended(&self, outcome: Outcome) {
        count_outcome(&self.attempts, outcome);
    }

    /// Counts a call to the counter that has ended.
    pub(crate) fn counter_call_ended(&self, outcome: Outcome) {
        count_outcome(&self.counter_calls, outcome);
    }

    /// Counts a change of the counter's state.
    pub(crate) fn counter_state_changed(&self, change: StateChange) {
        let kind = state_change_label(change).to_string();
        self.counter_state_changes
            .get_or_create(&KindLabel { kind })
            .inc();
    }

    /// Counts input that is not accepted as a call; `kind` is the value of the label and names the reason.
    pub(crate) fn input_rejected(&self, kind: &str) {
        let kind = kind.to_string();
        self.rejected_input.get_or_create(&KindLabel { kind }).inc();
    }

    /// All metrics in the text format.
    pub(crate) fn text(&self) -> String {
        let mut output = String::new();
        match text::encode(&mut output, &self.registry) {
            Ok(()) => output,
            Err(error) => format!("# {error}\n"),
        }
    }
}

fn counters_by_class(
    family: &Family<CallLabels, Counter>,
    classes: &[String],
    plans: &[String],
) -> Vec<Vec<Vec<EndCounter>>> {
    let of_class = |class: &String| {
        plans
            .iter()
            .map(|plan| counters_by_end(family, class, plan))
            .collect()
    };
    classes.iter().map(of_class).collect()
}

fn counters_by_end(
    family: &Family<CallLabels, Counter>,
    class: &str,
    plan: &str,
) -> Vec<EndCounter> {
    let of_end = |end: CallEnd| {
        let labels = CallLabels {
            class: class.to_string(),
            plan: plan.to_string(),
            end: end.label(),
        };
        let counter = family.get_or_create(&labels).clone();
        EndCounter { end, counter }
    };
    ALL_CALL_ENDS.into_iter().map(of_end).collect()
}

fn counters_by_outcome(family: &Family<KindLabel, Counter>) -> Vec<OutcomeCounter> {
    let of_outcome = |outcome: Outcome| {
        let kind = outcome_label(outcome).to_string();
        let counter = family.get_or_create(&KindLabel { kind }).clone();
        OutcomeCounter { outcome, counter }
    };
    ALL_OUTCOMES.into_iter().map(of_outcome).collect()
}

const ALL_OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NeverSent,
];

/// The value of the label `kind` for an outcome.
fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Rejected => "full",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "connectfailed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NeverSent => "moot",
    }
}

/// The value of the label `kind` for a state change.
fn state_change_label(change: StateChange) -> &'static str {
    match change {
        StateChange::Recovered => "recovered",
        StateChange::LostTotals => "emptied",
        StateChange::RolledBack => "wentback",
    }
}

fn count_outcome(counters: &[OutcomeCounter], outcome: Outcome) {
    if let Some(matching) = counters.iter().find(|counter| counter.outcome == outcome) {
        matching.counter.inc();
    }
}
