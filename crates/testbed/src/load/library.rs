//! Open-loop load through the client library, with one client for each customer. The library decides about retries.

use crate::common::event_log::{CallOutcome, Entry, EventLog};
use crate::common::load_stats::LoadStats;
use crate::load::plain::{pick_kind, weighted_customers, Customer};
use anyhow::Context;
use bytes::Bytes;
use chalkdeck_client::{Call, Client, Idempotency, Outcome, Reply, Settings, TimeDelta};
use chalkdeck_net::clock::monotonic_micros;
use chalkdeck_net::signals::Signals;
use chalkdeck_proto::chalkdeck::config::v1::{class, Class};
use chalkdeck_proto::chalkdeck::lab::v1::{Load as LoadSpec, Mix};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// Configuration of a load through the client library.
pub struct LibraryLoadConfig {
    pub gateways: Vec<SocketAddr>,
    pub spec: LoadSpec,
    /// For each kind of call, whether the library may retry it.
    pub idempotency: Vec<Idempotency>,
    pub seconds: f64,
    /// Keeps this many calls outstanding instead of sending at a rate, from one client for all customers.
    pub outstanding: Option<usize>,
    pub seed: u64,
    pub prefix: String,
}

/// A call that has ended. Times are in microseconds.
struct EndedCall {
    id: String,
    plan: String,
    due_at: u64,
    ended_at: u64,
    deadline: u64,
    reply: Reply,
}

struct LibraryLoad<'a> {
    config: &'a LibraryLoadConfig,
    customers: Vec<Customer>,
    clients: Vec<Client>,
    total_share: f64,
    last_call_number: u64,
    log: EventLog,
    stats: LoadStats,
    rng: fastrand::Rng,
    ended_sender: Sender<EndedCall>,
    ended_calls: Receiver<EndedCall>,
    open_calls: u64,
}

/// Sends for the configured time, then waits for the last calls to end.
pub fn run(
    config: &LibraryLoadConfig,
    signals: &Signals,
    log: EventLog,
) -> anyhow::Result<LoadStats> {
    let customers = weighted_customers(&config.spec);
    let client_count = if config.outstanding.is_some() {
        1
    } else {
        customers.len() as u64
    };
    let clients = (0..client_count).map(|i| {
        let settings = Settings {
            seed: config.seed ^ (i << 32),
            ..Settings::default()
        };
        Client::start(settings, config.gateways.clone()).context("a client")
    });
    let clients = clients.collect::<anyhow::Result<Vec<Client>>>()?;
    let (ended_sender, ended_calls) = channel();
    let total_share = config.spec.mix.iter().map(|m| m.share).sum();
    let rng = fastrand::Rng::with_seed(config.seed);
    let (last_call_number, open_calls, stats) = (0, 0, LoadStats::default());
    let mut load = LibraryLoad {
        config,
        customers,
        clients,
        total_share,
        last_call_number,
        log,
        stats,
        rng,
        ended_sender,
        ended_calls,
        open_calls,
    };
    match config.outstanding {
        Some(count) => load.keep_outstanding(count as u64, signals),
        None => load.send_at_rate(signals),
    }
    load.wait_for_open_calls();
    Ok(load.stats)
}

impl LibraryLoad<'_> {
    fn send_at_rate(&mut self, signals: &Signals) {
        let start = monotonic_micros();
        let until = start + (self.config.seconds * 1e6) as u64;
        let mut due_at = start;
        while due_at < until && !signals.is_stop_requested() {
            let now = monotonic_micros();
            if due_at > now {
                self.receive_ended(Duration::from_micros((due_at - now).min(20_000)));
                continue;
            }
            self.send(due_at);
            due_at += (-self.rng.f64().max(1e-12).ln() / self.config.spec.rate * 1e6) as u64;
        }
        self.stats.seconds = (monotonic_micros() - start) as f64 / 1e6;
    }

    fn keep_outstanding(&mut self, count: u64, signals: &Signals) {
        let start = monotonic_micros();
        let until = start + (self.config.seconds * 1e6) as u64;
        while monotonic_micros() < until && !signals.is_stop_requested() {
            while self.open_calls < count {
                self.send(monotonic_micros());
            }
            self.receive_ended(Duration::from_millis(20));
        }
        self.stats.seconds = (monotonic_micros() - start) as f64 / 1e6;
    }

    fn wait_for_open_calls(&mut self) {
        let max_timeout_ms = self
            .config
            .spec
            .mix
            .iter()
            .map(|m| u64::from(m.timeout_ms))
            .max()
            .unwrap_or(0);
        let wait_until = monotonic_micros() + (max_timeout_ms + 1_000) * 1_000;
        while self.open_calls > 0 && monotonic_micros() < wait_until {
            self.receive_ended(Duration::from_millis(20));
        }
        self.log.flush();
    }

    fn send(&mut self, due_at: u64) {
        let position = self.rng.f64();
        let i = self
            .customers
            .partition_point(|c| c.cumulative_share < position)
            .min(self.customers.len() - 1);
        let kind = pick_kind(&self.config.spec.mix, self.rng.f64() * self.total_share);
        let (mix, idempotency) = (
            self.config.spec.mix[kind].clone(),
            self.config.idempotency[kind],
        );
        self.last_call_number += 1;
        let id = format!("{}{}", self.config.prefix, self.last_call_number);
        let key = if mix.keyed {
            format!("{:032x}", self.rng.u128(..))
        } else {
            String::new()
        };
        let (customer, plan) = (
            self.customers[i].name.clone(),
            self.customers[i].plan.clone(),
        );
        let t = monotonic_micros();
        let deadline = t + u64::from(mix.timeout_ms) * 1_000;
        self.log.append(&Entry::Call {
            t,
            id: id.clone(),
            customer: customer.clone(),
            path: mix.path.clone(),
            key: key.clone(),
            units: 1.0,
            deadline,
            gateway: 0,
        });
        self.stats.record_sent(&plan);
        self.stats.calls += 1;
        self.open_calls += 1;
        let call = new_call(
            &mix,
            idempotency,
            &id,
            customer,
            key,
            self.config.spec.body_bytes as usize,
        );
        let ended_sender = self.ended_sender.clone();
        let client = i % self.clients.len();
        self.clients[client].start_call(call, move |reply| {
            let ended_at = monotonic_micros();
            drop(ended_sender.send(EndedCall {
                id,
                plan,
                due_at,
                ended_at,
                deadline,
                reply,
            }));
        });
    }

    fn receive_ended(&mut self, timeout: Duration) {
        let Ok(first) = self.ended_calls.recv_timeout(timeout) else {
            return;
        };
        self.on_end(first);
        while let Ok(next) = self.ended_calls.try_recv() {
            self.on_end(next);
        }
    }

    fn on_end(&mut self, ended: EndedCall) {
        let EndedCall {
            id,
            plan,
            due_at,
            ended_at,
            deadline,
            reply,
        } = ended;
        self.open_calls -= 1;
        self.stats.attempts += u64::from(reply.attempts);
        let outcome = match reply.outcome {
            Outcome::Answered => CallOutcome::Served,
            Outcome::Rejected { .. } | Outcome::NotSent => CallOutcome::Refused,
            Outcome::Failed | Outcome::DeadlineExceeded { .. } => CallOutcome::Failed,
            Outcome::TooManyCalls | Outcome::Cancelled => CallOutcome::Other,
        };
        let status = reply.status.map_or(-1, |c| c as i32);
        self.log.append(&Entry::Answer {
            t: ended_at,
            id,
            end: outcome,
            status,
            pushback: None,
        });
        self.stats.record_end(
            &plan,
            outcome,
            ended_at.saturating_sub(due_at),
            ended_at > deadline && outcome == CallOutcome::Served,
        );
    }
}

/// The idempotency that a class allows its clients to rely on. Keys are deduplicated within the group of their class, and a
/// client can't choose the cell of a retry. So unless all servers deduplicate a key, only gateways retry a call that may have
/// run.
pub fn idempotency_of(class: &Class, is_keyed: bool) -> Idempotency {
    match class.effect() {
        class::Effect::Safe => Idempotency::Idempotent,
        class::Effect::Keyed if is_keyed && class.group() == class::Group::All => {
            Idempotency::Keyed {
                key_window: TimeDelta::from_millis(u64::from(class.window_ms)),
            }
        }
        _ => Idempotency::NonIdempotent,
    }
}

fn new_call(
    mix: &Mix,
    idempotency: Idempotency,
    id: &str,
    customer: String,
    key: String,
    message_bytes: usize,
) -> Call {
    Call {
        path: mix.path.clone(),
        message: Bytes::from(vec![b'c'; message_bytes]),
        metadata: vec![
            ("x-call-id".into(), id.into()),
            ("x-customer".into(), customer),
        ],
        idempotency,
        key: Some(key).filter(|k| !k.is_empty()),
        timeout: Duration::from_millis(u64::from(mix.timeout_ms)),
    }
}
