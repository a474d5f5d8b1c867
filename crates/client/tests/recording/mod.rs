//! Simulates a core with callers and gateways in a closed loop, and computes a digest of its actions.

use chalkdeck_client::core::{Action, AttemptOutcome, CallId, ClientCore, Event, GatewayId};
use chalkdeck_client::{Idempotency, Outcome, Settings, TimeDelta, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::{self, Display};

/// Minimum number of events that are simulated per seed.
pub const EVENTS_PER_SEED: u64 = 20_000;
/// A millisecond in microseconds.
const MILLISECOND: u64 = 1_000;
/// A second in microseconds.
const SECOND: u64 = 1_000_000;

/// The names of the counts in the recorded file.
const COUNT_NAMES: [&str; 13] = [
    "events",
    "connect",
    "send",
    "retry",
    "cancel_attempt",
    "answered",
    "rejected",
    "not_sent",
    "failed",
    "deadline_sent",
    "deadline_unsent",
    "full",
    "cancelled",
];

/// The result of one seed: one line of the recorded file.
pub struct Summary {
    seed: u64,
    counts: BTreeMap<&'static str, u64>,
    digest: u64,
}

impl Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed={}", self.seed)?;
        for kind in COUNT_NAMES {
            write!(f, " {kind}={}", self.counts.get(kind).copied().unwrap_or(0))?;
        }
        write!(f, " digest={:016x}", self.digest)
    }
}

/// Simulates one seed.
pub fn simulate(seed: u64) -> Summary {
    let mut simulation = Simulation::new(seed);
    simulation.handle(Event::GatewaysListed {
        count: simulation.gateways,
    });
    while simulation.count("events") < EVENTS_PER_SEED {
        simulation.step();
    }
    Summary {
        seed,
        counts: simulation.counts,
        digest: simulation.digest.0,
    }
}

/// An FNV-1a hash over the texts of all actions, wake times and retry budgets.
struct Digest(u64);

impl Digest {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    fn add(&mut self, text: &str) {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(Digest::PRIME);
        }
    }
}

/// A scheduled event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    ConnectEnds { gateway: usize },
    AttemptEnds { call: u64, attempt: u32 },
    ResponseStarts { call: u64 },
    CallerCancels { call: u64 },
}

/// How all gateways behave. It changes at random times.
#[derive(Clone, Copy)]
enum Health {
    Good,
    /// Most attempts are rejected.
    Rejecting,
    /// Most attempts fail.
    Failing,
    /// Connections are lost, and no new ones can be established.
    Unreachable,
    /// Responses take long.
    Slow,
}

struct Simulation {
    rng: fastrand::Rng,
    core: ClientCore,
    health: Health,
    now: u64,
    next_call: u64,
    gateways: usize,
    scheduled: BinaryHeap<Reverse<(u64, ScheduledEvent)>>,
    counts: BTreeMap<&'static str, u64>,
    digest: Digest,
}

fn random_settings(rng: &mut fastrand::Rng) -> Settings {
    let initial_backoff = TimeDelta::from_micros(rng.u64(MILLISECOND..60 * MILLISECOND));
    let initial_reconnect_window = TimeDelta::from_micros(rng.u64(50 * MILLISECOND..SECOND));
    Settings {
        max_attempts: rng.u32(1..6),
        initial_backoff,
        max_backoff: initial_backoff * rng.u64(1..40),
        retry_jitter: 2.0 * rng.f64(),
        retry_budget: 20.0 * rng.f64(),
        retry_budget_refill: rng.f64() / 2.0,
        initial_reconnect_window,
        max_reconnect_window: initial_reconnect_window * rng.u64(1..20),
        connect_timeout: TimeDelta::from_secs(1),
        keepalive_interval: TimeDelta::ZERO,
        ejection_time: TimeDelta::from_micros(rng.u64(10 * MILLISECOND..SECOND)),
        max_in_flight_per_gateway: rng.usize(1..40),
        max_pending: rng.usize(2..60),
        min_time_left: TimeDelta::from_micros(rng.u64(0..10 * MILLISECOND)),
        seed: rng.u64(..),
    }
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = random_settings(&mut rng);
        let gateways = rng.usize(1..6);
        Simulation {
            core: ClientCore::new(settings).expect("valid settings"),
            rng,
            health: Health::Good,
            now: SECOND,
            next_call: 1,
            gateways,
            scheduled: BinaryHeap::new(),
            counts: BTreeMap::new(),
            digest: Digest(Digest::OFFSET_BASIS),
        }
    }

    fn count(&self, kind: &'static str) -> u64 {
        self.counts.get(kind).copied().unwrap_or(0)
    }

    fn increment(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// Runs the next step that is due: a scheduled event, the core's wake time, or a new call.
    fn step(&mut self) {
        let call_at = self.now + self.rng.u64(100..6 * MILLISECOND);
        let scheduled_at = self.scheduled.peek().map(|Reverse((at, _))| *at);
        let wake_at = self.next_wake();
        let at = [scheduled_at, wake_at, Some(call_at)]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(call_at);
        self.now = self.now.max(at);
        if scheduled_at == Some(at) {
            self.run_scheduled_event();
        } else if wake_at == Some(at) {
            self.handle(Event::Tick);
        } else {
            self.start_call();
        }
        if self.rng.u16(..300) == 0 {
            self.change_health();
        }
        if self.rng.u16(..800) == 0 {
            self.gateways = self.rng.usize(1..6);
            let count = self.gateways;
            self.handle(Event::GatewaysListed { count });
        }
        if self.rng.u16(..500) == 0 {
            self.step_clock_back();
        }
    }

    fn change_health(&mut self) {
        self.health = match self.rng.u8(..6) {
            0 => Health::Rejecting,
            1 => Health::Failing,
            2 => Health::Unreachable,
            3 => Health::Slow,
            _ => Health::Good,
        };
        if let Health::Unreachable = self.health {
            for gateway in 0..self.gateways {
                self.handle(Event::Disconnected {
                    gateway: GatewayId(gateway),
                });
            }
        }
    }

    /// Gives the core one event with an earlier time, for which it has to use the latest time that it has seen.
    fn step_clock_back(&mut self) {
        let now = self.now;
        self.now -= self.rng.u64(..SECOND / 2);
        self.handle(Event::Tick);
        self.now = now;
    }

    fn start_call(&mut self) {
        let call = self.next_call;
        self.next_call += 1;
        let idempotency = match self.rng.u8(..4) {
            0 => Idempotency::NonIdempotent,
            1 => Idempotency::Keyed {
                key_window: TimeDelta::from_micros(self.rng.u64(10 * MILLISECOND..2 * SECOND)),
            },
            _ => Idempotency::Idempotent,
        };
        let timeout = self.rng.u64(MILLISECOND..2 * SECOND);
        if self.rng.u8(..12) == 0 {
            let at = self.now + self.rng.u64(..SECOND / 10);
            self.schedule(at, ScheduledEvent::CallerCancels { call });
        }
        self.handle(Event::CallStarted {
            call: CallId(call),
            idempotency,
            deadline: Timestamp::from_micros(self.now + timeout),
        });
    }

    fn schedule(&mut self, at: u64, event: ScheduledEvent) {
        self.scheduled.push(Reverse((at, event)));
    }

    fn run_scheduled_event(&mut self) {
        let Some(Reverse((_, event))) = self.scheduled.pop() else {
            return;
        };
        match event {
            ScheduledEvent::ConnectEnds { gateway } => {
                let gateway = GatewayId(gateway);
                if matches!(self.health, Health::Unreachable) || self.rng.u8(..10) == 0 {
                    self.handle(Event::Disconnected { gateway });
                } else {
                    self.handle(Event::Connected { gateway });
                }
            }
            ScheduledEvent::AttemptEnds { call, attempt } => {
                let outcome = self.random_outcome();
                self.handle(Event::AttemptEnded {
                    call: CallId(call),
                    attempt,
                    outcome,
                });
            }
            ScheduledEvent::ResponseStarts { call } => {
                self.handle(Event::RetryRuledOut { call: CallId(call) });
            }
            ScheduledEvent::CallerCancels { call } => {
                self.handle(Event::CallCancelled { call: CallId(call) });
            }
        }
    }

    fn random_outcome(&mut self) -> AttemptOutcome {
        let answered_percent = match self.health {
            Health::Good | Health::Slow => 95,
            Health::Rejecting | Health::Failing => 20,
            Health::Unreachable => 0,
        };
        if self.rng.u8(..100) < answered_percent {
            return AttemptOutcome::Answered;
        }
        let kind = match self.health {
            Health::Rejecting => self.rng.u8(..2),
            Health::Failing | Health::Unreachable => self.rng.u8(2..4),
            Health::Good | Health::Slow => self.rng.u8(..4),
        };
        match kind {
            0 => AttemptOutcome::Rejected {
                retry_after: Some(TimeDelta::from_micros(self.rng.u64(..SECOND / 2))),
            },
            1 => AttemptOutcome::Rejected { retry_after: None },
            2 => AttemptOutcome::NotProcessed,
            _ => AttemptOutcome::MayHaveRun,
        }
    }

    /// Gives the core an event and executes the resulting actions.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        let now = Timestamp::from_micros(self.now);
        self.core.handle(now, event, &mut actions);
        self.increment("events");
        for action in actions {
            self.execute(&action);
        }
        let wake = self.next_wake();
        let budget = self.core.retry_budget().to_bits();
        self.digest.add(&format!("wake {wake:?} budget {budget};"));
    }

    fn next_wake(&self) -> Option<u64> {
        self.core.next_wake().map(Timestamp::as_micros)
    }

    fn execute(&mut self, action: &Action) {
        match *action {
            Action::Connect {
                gateway: GatewayId(gateway),
            } => {
                self.increment("connect");
                self.digest.add(&format!("connect {gateway};"));
                let at = self.now + self.rng.u64(..50 * MILLISECOND);
                self.schedule(at, ScheduledEvent::ConnectEnds { gateway });
            }
            Action::SendAttempt {
                call,
                attempt,
                gateway: GatewayId(gateway),
                time_left,
            } => {
                let time_left_micros = time_left.as_micros();
                self.increment("send");
                if attempt > 0 {
                    self.increment("retry");
                }
                self.digest.add(&format!(
                    "send {} {attempt} {gateway} {time_left_micros};",
                    call.0
                ));
                self.schedule_attempt(call.0, attempt);
            }
            Action::CancelAttempt { call, attempt } => {
                self.increment("cancel_attempt");
                self.digest.add(&format!("cancel {} {attempt};", call.0));
            }
            Action::CompleteCall { call, outcome } => {
                let kind = outcome_name(outcome);
                self.increment(kind);
                let retry_after = match outcome {
                    Outcome::Rejected { retry_after } => retry_after.map(TimeDelta::as_micros),
                    _ => None,
                };
                self.digest
                    .add(&format!("{kind} {} {retry_after:?};", call.0));
            }
        }
    }

    fn schedule_attempt(&mut self, call: u64, attempt: u32) {
        let longest = match self.health {
            Health::Slow => 2 * SECOND,
            _ => 60 * MILLISECOND,
        };
        let ends_at = self.now + self.rng.u64(MILLISECOND..longest);
        if self.rng.u8(..10) == 0 {
            let starts_at = self.now + self.rng.u64(..ends_at - self.now);
            self.schedule(starts_at, ScheduledEvent::ResponseStarts { call });
        }
        self.schedule(ends_at, ScheduledEvent::AttemptEnds { call, attempt });
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Rejected { .. } => "rejected",
        Outcome::NotSent => "not_sent",
        Outcome::Failed => "failed",
        Outcome::DeadlineExceeded { may_have_run: true } => "deadline_sent",
        Outcome::DeadlineExceeded {
            may_have_run: false,
        } => "deadline_unsent",
        Outcome::TooManyCalls => "full",
        Outcome::Cancelled => "cancelled",
    }
}
