//! Plain metrics of one gateway.

use crate::counter_client::StateChange;
use chalkdeck::api::Outcome;
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

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum End {
    Served,
    Refused,
    Failed,
    Gone,
}

/// Counters by outcome, found without a look-up.
type ByOutcome = Vec<(Outcome, Counter)>;

pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) taken: Counter,
    pub(crate) resp_asks: Counter,
    pub(crate) door_refused: Counter,
    pub(crate) door_waiting: Gauge,
    /// By class, then plan, then end.
    ended: Vec<Vec<[Counter; 4]>>,
    attempts: ByOutcome,
    counts: ByOutcome,
    news: Family<Kind, Counter>,
    pub(crate) rejected: Family<Kind, Counter>,
    pub(crate) open: Gauge,
    pub(crate) connections: Gauge,
    pub(crate) servers: Gauge,
    pub(crate) list_failures: Counter,
    pub(crate) took: Histogram,
}

impl Metrics {
    pub(crate) fn new(classes: &[String], plans: &[String]) -> Metrics {
        let (ended, attempts, counts) = (Family::default(), Family::default(), Family::default());
        let by_plan = |class: &String| {
            plans
                .iter()
                .map(|plan| by_end(&ended, class, plan))
                .collect()
        };
        let mut m = Metrics {
            registry: Registry::with_prefix("chalkdeck"),
            taken: Counter::default(),
            resp_asks: Counter::default(),
            door_refused: Counter::default(),
            door_waiting: Gauge::default(),
            ended: classes.iter().map(by_plan).collect(),
            attempts: by_outcome(&attempts),
            counts: by_outcome(&counts),
            news: Family::default(),
            rejected: Family::default(),
            open: Gauge::default(),
            connections: Gauge::default(),
            servers: Gauge::default(),
            list_failures: Counter::default(),
            took: Histogram::new(exponential_buckets(0.000_25, 2.0, 16)),
        };
        let r = &mut m.registry;
        r.register("calls_taken", "Calls taken", m.taken.clone());
        r.register(
            "resp_asks",
            "Requests that came over RESP",
            m.resp_asks.clone(),
        );
        r.register(
            "door_refused",
            "Requests refused at the door",
            m.door_refused.clone(),
        );
        r.register(
            "door_waiting",
            "Requests that wait at the door",
            m.door_waiting.clone(),
        );
        r.register("calls_ended", "Calls by class, plan and end", ended);
        r.register("attempts", "Attempts by how they ended", attempts);
        r.register(
            "counter_calls",
            "Calls to the counter by how they ended",
            counts,
        );
        r.register(
            "counter_news",
            "Changes of the counter's counts as its answers tell them",
            m.news.clone(),
        );
        r.register(
            "calls_rejected",
            "Input that is no call, by what was wrong",
            m.rejected.clone(),
        );
        r.register("calls_open", "Calls without their answer", m.open.clone());
        r.register(
            "connections",
            "Connections of all kinds",
            m.connections.clone(),
        );
        r.register("servers", "Servers on the list", m.servers.clone());
        r.register(
            "server_list_failures",
            "Server lists that could not be read",
            m.list_failures.clone(),
        );
        r.register(
            "call_seconds",
            "Time from a call's head to its final answer",
            m.took.clone(),
        );
        m
    }

    pub(crate) fn ended(&self, class: usize, plan: usize, end: End) {
        self.ended[class][plan][end as usize].inc();
    }
    pub(crate) fn attempt(&self, outcome: Outcome) {
        inc(&self.attempts, outcome);
    }
    pub(crate) fn counter_call(&self, outcome: Outcome) {
        inc(&self.counts, outcome);
    }

    pub(crate) fn counter_state_change(&self, change: StateChange) {
        let kind = state_change_label(change).to_string();
        self.news.get_or_create(&Kind { kind }).inc();
    }

    pub(crate) fn text(&self) -> String {
        let mut out = String::new();
        match text::encode(&mut out, &self.registry) {
            Ok(()) => out,
            Err(e) => format!("# {e}\n"),
        }
    }
}

fn by_end(family: &Family<Call, Counter>, class: &str, plan: &str) -> [Counter; 4] {
    ["served", "refused", "failed", "gone"].map(|end| {
        let labels = Call {
            class: class.to_string(),
            plan: plan.to_string(),
            end,
        };
        family.get_or_create(&labels).clone()
    })
}

fn by_outcome(family: &Family<Kind, Counter>) -> ByOutcome {
    let counter = |outcome: Outcome| {
        let kind = outcome_label(outcome).to_string();
        family.get_or_create(&Kind { kind }).clone()
    };
    ALL_OUTCOMES.into_iter().map(|o| (o, counter(o))).collect()
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

/// The value of the label `kind`. Dashboards go by it, so it stays whatever the variants are called.
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

/// The value of the label `kind` of a state change.
fn state_change_label(change: StateChange) -> &'static str {
    match change {
        StateChange::Recovered => "recovered",
        StateChange::Emptied => "emptied",
        StateChange::WentBack => "wentback",
    }
}

fn inc(counters: &ByOutcome, outcome: Outcome) {
    if let Some((_, counter)) = counters.iter().find(|c| c.0 == outcome) {
        counter.inc();
    }
}
