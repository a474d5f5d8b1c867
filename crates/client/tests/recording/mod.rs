//! A core in a closed loop with simulated callers and gateways; its actions are digested.

use chalkdeck_client::core::{Action, CallId, Core, Event, Outcome, Repeat, Settings, TryEnd};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::{self, Display};

/// Events that one seed plays at least.
pub const EVENTS_PER_SEED: u64 = 20_000;
const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000_000;

const KINDS: [&str; 13] = [
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

/// What one seed came to, as one line of the recorded file.
pub struct Summary {
    seed: u64,
    counts: BTreeMap<&'static str, u64>,
    digest: u64,
}

impl Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed={}", self.seed)?;
        for kind in KINDS {
            write!(f, " {kind}={}", self.counts.get(kind).copied().unwrap_or(0))?;
        }
        write!(f, " digest={:016x}", self.digest)
    }
}

/// Plays a seed and returns what it came to.
pub fn play(seed: u64) -> Summary {
    let mut simulation = Simulation::new(seed);
    simulation.push(Event::Gateways(simulation.gateways));
    while simulation.count("events") < EVENTS_PER_SEED {
        simulation.step();
    }
    Summary {
        seed,
        counts: simulation.counts,
        digest: simulation.digest.0,
    }
}

/// FNV-1a over the texts of all actions.
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

/// What happens at a time of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Pending {
    ConnectEnds { gateway: usize },
    AttemptEnds { call: u64, attempt: u32 },
    ResponseStarts { call: u64 },
    CallerCancels { call: u64 },
}

/// How gateways behave; changes now and then.
#[derive(Clone, Copy)]
enum Health {
    Good,
    /// Most attempts are rejected.
    Rejecting,
    /// Most attempts fail.
    Failing,
    /// Connections are lost and not made.
    Unreachable,
    /// Answers take long.
    Slow,
}

struct Simulation {
    rng: fastrand::Rng,
    core: Core,
    health: Health,
    now: u64,
    next_call: u64,
    gateways: usize,
    pending: BinaryHeap<Reverse<(u64, Pending)>>,
    counts: BTreeMap<&'static str, u64>,
    digest: Digest,
}

fn draw_settings(rng: &mut fastrand::Rng) -> Settings {
    let backoff_first = rng.u64(MILLISECOND..60 * MILLISECOND);
    let reconnect_first = rng.u64(50 * MILLISECOND..SECOND);
    Settings {
        tries: rng.u32(1..6),
        backoff_first,
        backoff_most: backoff_first * rng.u64(1..40),
        spread: 2.0 * rng.f64(),
        budget: 20.0 * rng.f64(),
        earn: rng.f64() / 2.0,
        reconnect_first,
        reconnect_most: reconnect_first * rng.u64(1..20),
        connect_timeout: SECOND,
        keepalive: 0,
        rest: rng.u64(10 * MILLISECOND..SECOND),
        outstanding: rng.usize(1..40),
        queue: rng.usize(2..60),
        least_left: rng.u64(0..10 * MILLISECOND),
        seed: rng.u64(..),
    }
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = draw_settings(&mut rng);
        let gateways = rng.usize(1..6);
        Simulation {
            core: Core::new(settings).expect("sound settings"),
            rng,
            health: Health::Good,
            now: SECOND,
            next_call: 1,
            gateways,
            pending: BinaryHeap::new(),
            counts: BTreeMap::new(),
            digest: Digest(Digest::OFFSET_BASIS),
        }
    }

    fn count(&self, kind: &'static str) -> u64 {
        self.counts.get(kind).copied().unwrap_or(0)
    }

    fn add(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// The next thing that is due: something pending, the core's wake, or a call.
    fn step(&mut self) {
        let call_at = self.now + self.rng.u64(100..6 * MILLISECOND);
        let pending_at = self.pending.peek().map(|Reverse((at, _))| *at);
        let wake_at = self.core.next_wake();
        let at = [pending_at, wake_at, Some(call_at)]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(call_at);
        self.now = self.now.max(at);
        if pending_at == Some(at) {
            self.run_pending();
        } else if wake_at == Some(at) {
            self.push(Event::Tick);
        } else {
            self.begin_call();
        }
        if self.rng.u16(..300) == 0 {
            self.change_health();
        }
        if self.rng.u16(..800) == 0 {
            self.gateways = self.rng.usize(1..6);
            self.push(Event::Gateways(self.gateways));
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
                self.push(Event::Lost(gateway));
            }
        }
    }

    /// One event with an earlier time, which the core takes for the present.
    fn step_clock_back(&mut self) {
        let now = self.now;
        self.now -= self.rng.u64(..SECOND / 2);
        self.push(Event::Tick);
        self.now = now;
    }

    fn begin_call(&mut self) {
        let call = self.next_call;
        self.next_call += 1;
        let repeat = match self.rng.u8(..4) {
            0 => Repeat::Unsafe,
            1 => Repeat::Keyed {
                window: self.rng.u64(10 * MILLISECOND..2 * SECOND),
            },
            _ => Repeat::Safe,
        };
        let timeout = self.rng.u64(MILLISECOND..2 * SECOND);
        if self.rng.u8(..12) == 0 {
            let at = self.now + self.rng.u64(..SECOND / 10);
            self.schedule(at, Pending::CallerCancels { call });
        }
        self.push(Event::Call(CallId(call), repeat, self.now + timeout));
    }

    fn schedule(&mut self, at: u64, pending: Pending) {
        self.pending.push(Reverse((at, pending)));
    }

    fn run_pending(&mut self) {
        let Some(Reverse((_, pending))) = self.pending.pop() else {
            return;
        };
        match pending {
            Pending::ConnectEnds { gateway } => {
                if matches!(self.health, Health::Unreachable) || self.rng.u8(..10) == 0 {
                    self.push(Event::Lost(gateway));
                } else {
                    self.push(Event::Connected(gateway));
                }
            }
            Pending::AttemptEnds { call, attempt } => {
                let end = self.draw_end();
                self.push(Event::Ended(CallId(call), attempt, end));
            }
            Pending::ResponseStarts { call } => self.push(Event::Started(CallId(call))),
            Pending::CallerCancels { call } => self.push(Event::Cancel(CallId(call))),
        }
    }

    fn draw_end(&mut self) -> TryEnd {
        let good = match self.health {
            Health::Good | Health::Slow => 95,
            Health::Rejecting | Health::Failing => 20,
            Health::Unreachable => 0,
        };
        if self.rng.u8(..100) < good {
            return TryEnd::Answered;
        }
        let kind = match self.health {
            Health::Rejecting => self.rng.u8(..2),
            Health::Failing | Health::Unreachable => self.rng.u8(2..4),
            Health::Good | Health::Slow => self.rng.u8(..4),
        };
        match kind {
            0 => TryEnd::Refused(Some(self.rng.u64(..SECOND / 2))),
            1 => TryEnd::Refused(None),
            2 => TryEnd::NeverRan,
            _ => TryEnd::MayHaveRun,
        }
    }

    /// Gives the core an event and carries out what it answers.
    fn push(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        self.add("events");
        for action in actions {
            self.carry_out(&action);
        }
        let wake = self.core.next_wake();
        let budget = self.core.budget().to_bits();
        self.digest.add(&format!("wake {wake:?} budget {budget};"));
    }

    fn carry_out(&mut self, action: &Action) {
        match *action {
            Action::Connect(gateway) => {
                self.add("connect");
                self.digest.add(&format!("connect {gateway};"));
                let at = self.now + self.rng.u64(..50 * MILLISECOND);
                self.schedule(at, Pending::ConnectEnds { gateway });
            }
            Action::Send {
                call,
                number,
                gateway,
                left,
            } => {
                self.add("send");
                if number > 0 {
                    self.add("retry");
                }
                self.digest
                    .add(&format!("send {} {number} {gateway} {left};", call.0));
                self.schedule_attempt(call.0, number);
            }
            Action::CallOff(call, number) => {
                self.add("cancel_attempt");
                self.digest.add(&format!("cancel {} {number};", call.0));
            }
            Action::Finish(call, outcome) => {
                let kind = kind_of(outcome);
                self.add(kind);
                let retry_after = match outcome {
                    Outcome::Refused(retry_after) => retry_after,
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
            self.schedule(starts_at, Pending::ResponseStarts { call });
        }
        self.schedule(ends_at, Pending::AttemptEnds { call, attempt });
    }
}

fn kind_of(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Refused(_) => "rejected",
        Outcome::NotSent => "not_sent",
        Outcome::Failed => "failed",
        Outcome::Deadline { sent: true } => "deadline_sent",
        Outcome::Deadline { sent: false } => "deadline_unsent",
        Outcome::Full => "full",
        Outcome::Cancelled => "cancelled",
    }
}
