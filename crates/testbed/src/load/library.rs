//! Open-loop load through the client library: one client for each customer, a call's tries are the library's.

use crate::common::event_log::{CallOutcome, Entry, EventLog};
use crate::common::load_stats::LoadStats;
use crate::load::calls::{customers, kind_at, Customer};
use anyhow::Context;
use bytes::Bytes;
use chalkdeck_client::{Call, Client, Idempotency, Outcome, Reply, Settings, TimeDelta};
use chalkdeck_net::clock::monotonic_micros;
use chalkdeck_net::signals::Signals;
use chalkdeck_proto::chalkdeck::config::v1::{class, Class};
use chalkdeck_proto::chalkdeck::lab::v1::{Load as Shape, Mix};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// What the load does.
pub struct Plan {
    pub gateways: Vec<SocketAddr>,
    pub shape: Shape,
    /// For each place of the mix, whether its calls may go again.
    pub repeats: Vec<Idempotency>,
    pub seconds: f64,
    /// Instead of a rate, so many calls out at all times, from one client for all customers.
    pub outstanding: Option<usize>,
    pub seed: u64,
    pub prefix: String,
}

/// A call's end, with the time at which it was due.
struct Ended {
    id: String,
    plan: String,
    due: u64,
    at: u64,
    deadline: u64,
    reply: Reply,
}

struct Load<'a> {
    plan: &'a Plan,
    customers: Vec<Customer>,
    clients: Vec<Client>,
    mixed: f64,
    serial: u64,
    log: EventLog,
    figures: LoadStats,
    rng: fastrand::Rng,
    ended: Sender<Ended>,
    inbox: Receiver<Ended>,
    open: u64,
}

/// Sends for the planned time and waits for the last ends.
pub fn run(plan: &Plan, signals: &Signals, log: EventLog) -> anyhow::Result<LoadStats> {
    let customers = customers(&plan.shape);
    let count = if plan.outstanding.is_some() {
        1
    } else {
        customers.len() as u64
    };
    let clients = (0..count).map(|i| {
        let settings = Settings {
            seed: plan.seed ^ (i << 32),
            ..Settings::default()
        };
        Client::start(settings, plan.gateways.clone()).context("a client")
    });
    let clients = clients.collect::<anyhow::Result<Vec<Client>>>()?;
    let (ended, inbox) = channel();
    let mixed = plan.shape.mix.iter().map(|m| m.share).sum();
    let rng = fastrand::Rng::with_seed(plan.seed);
    let (serial, open, figures) = (0, 0, LoadStats::default());
    let mut load = Load {
        plan,
        customers,
        clients,
        mixed,
        serial,
        log,
        figures,
        rng,
        ended,
        inbox,
        open,
    };
    match plan.outstanding {
        Some(most) => load.keep_out(most as u64, signals),
        None => load.send_all(signals),
    }
    load.wait();
    Ok(load.figures)
}

impl Load<'_> {
    fn send_all(&mut self, signals: &Signals) {
        let begin = monotonic_micros();
        let until = begin + (self.plan.seconds * 1e6) as u64;
        let mut due = begin;
        while due < until && !signals.is_stop_requested() {
            let now = monotonic_micros();
            if due > now {
                self.hear(Duration::from_micros((due - now).min(20_000)));
                continue;
            }
            self.send(due);
            due += (-self.rng.f64().max(1e-12).ln() / self.plan.shape.rate * 1e6) as u64;
        }
        self.figures.seconds = (monotonic_micros() - begin) as f64 / 1e6;
    }

    fn keep_out(&mut self, most: u64, signals: &Signals) {
        let begin = monotonic_micros();
        let until = begin + (self.plan.seconds * 1e6) as u64;
        while monotonic_micros() < until && !signals.is_stop_requested() {
            while self.open < most {
                self.send(monotonic_micros());
            }
            self.hear(Duration::from_millis(20));
        }
        self.figures.seconds = (monotonic_micros() - begin) as f64 / 1e6;
    }

    fn wait(&mut self) {
        let longest = self
            .plan
            .shape
            .mix
            .iter()
            .map(|m| u64::from(m.timeout_ms))
            .max()
            .unwrap_or(0);
        let give_up = monotonic_micros() + (longest + 1_000) * 1_000;
        while self.open > 0 && monotonic_micros() < give_up {
            self.hear(Duration::from_millis(20));
        }
        self.log.flush();
    }

    fn send(&mut self, due: u64) {
        let place = self.rng.f64();
        let i = self
            .customers
            .partition_point(|c| c.upto < place)
            .min(self.customers.len() - 1);
        let kind = kind_at(&self.plan.shape.mix, self.rng.f64() * self.mixed);
        let (mix, repeat) = (self.plan.shape.mix[kind].clone(), self.plan.repeats[kind]);
        self.serial += 1;
        let id = format!("{}{}", self.plan.prefix, self.serial);
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
        self.figures.record_sent(&plan);
        self.figures.calls += 1;
        self.open += 1;
        let call = call_of(
            &mix,
            repeat,
            &id,
            customer,
            key,
            self.plan.shape.body_bytes as usize,
        );
        let ended = self.ended.clone();
        let client = i % self.clients.len();
        self.clients[client].start_call(call, move |reply| {
            let at = monotonic_micros();
            drop(ended.send(Ended {
                id,
                plan,
                due,
                at,
                deadline,
                reply,
            }));
        });
    }

    fn hear(&mut self, wait: Duration) {
        let Ok(first) = self.inbox.recv_timeout(wait) else {
            return;
        };
        self.on_end(first);
        while let Ok(more) = self.inbox.try_recv() {
            self.on_end(more);
        }
    }

    fn on_end(&mut self, ended: Ended) {
        let Ended {
            id,
            plan,
            due,
            at,
            deadline,
            reply,
        } = ended;
        self.open -= 1;
        self.figures.attempts += u64::from(reply.attempts);
        let end = match reply.outcome {
            Outcome::Answered => CallOutcome::Served,
            Outcome::Rejected { .. } | Outcome::NotSent => CallOutcome::Refused,
            Outcome::Failed | Outcome::DeadlineExceeded { .. } => CallOutcome::Failed,
            Outcome::TooManyCalls | Outcome::Cancelled => CallOutcome::Other,
        };
        let status = reply.status.map_or(-1, |c| c as i32);
        self.log.append(&Entry::Answer {
            t: at,
            id,
            end,
            status,
            pushback: None,
        });
        self.figures.record_end(
            &plan,
            end,
            at.saturating_sub(due),
            at > deadline && end == CallOutcome::Served,
        );
    }
}

/// What a class allows its client. A key is dropped by its group only, and a client does not choose the cell: unless every
/// server drops it, what may have run is left to the gateways to repeat.
pub fn repeat_of(class: &Class, keyed: bool) -> Idempotency {
    match class.effect() {
        class::Effect::Safe => Idempotency::Idempotent,
        class::Effect::Keyed if keyed && class.group() == class::Group::All => Idempotency::Keyed {
            key_window: TimeDelta::from_millis(u64::from(class.window_ms)),
        },
        _ => Idempotency::NonIdempotent,
    }
}

fn call_of(
    mix: &Mix,
    repeat: Idempotency,
    id: &str,
    customer: String,
    key: String,
    bytes: usize,
) -> Call {
    Call {
        path: mix.path.clone(),
        message: Bytes::from(vec![b'c'; bytes]),
        metadata: vec![
            ("x-call-id".into(), id.into()),
            ("x-customer".into(), customer),
        ],
        idempotency: repeat,
        key: Some(key).filter(|k| !k.is_empty()),
        timeout: Duration::from_millis(u64::from(mix.timeout_ms)),
    }
}
