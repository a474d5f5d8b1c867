//! One gateway in a closed loop with simulated clients, counter and endpoints; what it does is digested.

mod peers;
mod settings;

use chalkdeck::api::*;
use chalkdeck::DecisionEngine;
use peers::{CounterState, EndpointSimulation};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::{self, Display};

/// Events that one seed plays.
pub const EVENTS_PER_SEED: u64 = 20_000;
pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;

/// The result of one seed, as one line of the recorded file.
pub struct Summary {
    seed: u64,
    counts: BTreeMap<&'static str, u64>,
    digest: u64,
}

impl Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed={}", self.seed)?;
        for kind in [
            "events",
            "send",
            "refuse",
            "fail",
            "cancel",
            "count",
            "timer",
            "grant",
            "subscribe",
        ] {
            write!(f, " {kind}={}", self.counts.get(kind).copied().unwrap_or(0))?;
        }
        write!(f, " digest={:016x}", self.digest)
    }
}

/// Plays a seed and returns its result.
pub fn play(seed: u64) -> Summary {
    let mut world = World::new(seed);
    while world.counts.get("events").copied().unwrap_or(0) < EVENTS_PER_SEED {
        world.step();
    }
    Summary {
        seed,
        counts: world.counts,
        digest: world.digest.0,
    }
}

/// FNV-1a over the texts of all actions.
struct Digest(u64);

impl Digest {
    fn add(&mut self, text: &str) {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// What happens in the world at a time of its own.
#[derive(Clone, Debug)]
enum Pending {
    Arrives(IncomingRequest),
    NextArrival,
    TimerDue(TimerId),
    AttemptEnds {
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
    },
    CounterAnswers {
        key: CounterKey,
        outcome: Outcome,
        total: f64,
    },
    ClientLeaves(RequestId),
    StreamStarts(RequestId),
    BodyDiscarded(RequestId),
    UnitsSettled(RequestId),
    ListMoves,
    ZoneSharesMove,
    FaultsMove,
}

struct OpenAttempt {
    endpoint: EndpointId,
    sent: u64,
    is_open: bool,
}

struct OpenRequest {
    incoming: IncomingRequest,
    attempts: Vec<OpenAttempt>,
    is_answered: bool,
}

pub struct World {
    engine: DecisionEngine,
    settings: Settings,
    random: fastrand::Rng,
    now: u64,
    sequence: u64,
    pending: BTreeMap<(u64, u64), Pending>,
    requests: HashMap<u64, OpenRequest>,
    endpoints: BTreeMap<u64, EndpointSimulation>,
    counter: CounterState,
    has_zone_shares: bool,
    arrivals_per_second: f64,
    customers: u64,
    next_request: u64,
    counts: BTreeMap<&'static str, u64>,
    digest: Digest,
}

impl World {
    fn new(seed: u64) -> World {
        let mut random = fastrand::Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let settings = settings::draw(&mut random);
        let engine = DecisionEngine::new(seed, settings.clone()).expect("sound settings");
        let endpoint_count = [3, 12, 60, 200][random.usize(..4)];
        let mut world = World {
            engine,
            has_zone_shares: random.f64() < 0.3,
            arrivals_per_second: [4.0, 30.0, 200.0][random.usize(..3)],
            customers: [3, 20, 400][random.usize(..3)],
            settings,
            random,
            now: 1_000 * SECOND,
            sequence: 0,
            pending: BTreeMap::new(),
            requests: HashMap::new(),
            endpoints: (0..endpoint_count)
                .map(|i| (i, EndpointSimulation::default()))
                .collect(),
            counter: CounterState::default(),
            next_request: 1,
            counts: BTreeMap::new(),
            digest: Digest(0xcbf2_9ce4_8422_2325),
        };
        let entries = (0..endpoint_count)
            .map(|i| peers::entry(i, EndpointState::InService, None))
            .collect();
        world.handle(Event::EndpointsUpdated {
            scope: UpdateScope::Complete,
            entries,
        });
        world.schedule(0, Pending::NextArrival);
        world.schedule(2 * SECOND, Pending::ListMoves);
        world.schedule(SECOND, Pending::FaultsMove);
        if world.has_zone_shares {
            world.schedule(3 * SECOND, Pending::ZoneSharesMove);
        }
        world
    }

    fn schedule(&mut self, after: u64, what: Pending) {
        self.schedule_at(self.now + after, what);
    }

    fn schedule_at(&mut self, at: u64, what: Pending) {
        self.sequence += 1;
        self.pending.insert((at, self.sequence), what);
    }

    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_insert(0) += 1;
    }

    /// Lets the next thing happen.
    fn step(&mut self) {
        let ((at, _), what) = self.pending.pop_first().expect("something always goes on");
        self.now = self.now.max(at);
        match what {
            Pending::NextArrival => self.draw_arrival(),
            Pending::Arrives(incoming) => self.arrive(incoming),
            Pending::TimerDue(id) => self.handle(Event::Timer(id)),
            Pending::AttemptEnds {
                id,
                attempt,
                outcome,
            } => self.end_attempt(id, attempt, outcome),
            Pending::CounterAnswers {
                key,
                outcome,
                total,
            } => self.handle(Event::CounterReplied {
                key,
                outcome,
                total,
            }),
            Pending::ClientLeaves(id) => self.client_leaves(id),
            Pending::StreamStarts(id) => {
                if self.requests.get(&id.0).is_some_and(|r| !r.is_answered) {
                    self.handle(Event::ResponseStarted(id));
                }
            }
            Pending::BodyDiscarded(id) => self.handle(Event::BodyDiscarded(id)),
            Pending::UnitsSettled(id) => {
                let units = self.random.f64() * 5.0;
                self.handle(Event::UnitsSettled { request: id, units });
            }
            Pending::ListMoves => self.move_list(),
            Pending::ZoneSharesMove => self.move_zone_shares(),
            Pending::FaultsMove => self.move_faults(),
        }
    }

    fn handle(&mut self, event: Event) {
        self.count("events");
        let mut actions = Vec::new();
        self.engine
            .handle(Timestamp::from_micros(self.now), event, &mut actions);
        for action in &actions {
            self.carry_out(action);
        }
    }

    fn record(&mut self, kind: &'static str, text: &str) {
        self.count(kind);
        self.digest.add(&format!("{} {kind} {text}\n", self.now));
    }

    fn carry_out(&mut self, action: &Action) {
        match *action {
            Action::SendAttempt {
                request,
                endpoint,
                deadline,
            } => {
                let until = deadline.as_micros();
                self.record("send", &format!("{} {} {until}", request.0, endpoint.0));
                self.send(request, endpoint, until);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let retry_after = retry_after.map(|wait| wait.as_micros());
                self.record("refuse", &format!("{} {retry_after:?}", request.0));
                self.retry_later(request, retry_after.unwrap_or(300 * MILLISECOND));
            }
            Action::Fail(id) => {
                self.record("fail", &id.0.to_string());
                self.retry_later(id, 300 * MILLISECOND);
            }
            Action::Grant(id) => {
                self.record("grant", &id.0.to_string());
                self.schedule(20 * MILLISECOND, Pending::UnitsSettled(id));
                self.schedule(60 * MILLISECOND, Pending::ClientLeaves(id));
            }
            Action::CancelAttempt { request, attempt } => {
                self.record("cancel", &format!("{} {attempt}", request.0));
                let what = Pending::AttemptEnds {
                    id: request,
                    attempt,
                    outcome: Outcome::Cancelled,
                };
                self.schedule(MILLISECOND, what);
            }
            Action::AddToCounter {
                key,
                amount,
                time_to_live,
            } => {
                let life = time_to_live.as_micros();
                self.record("count", &format!("{} {amount} {life}", key.0));
                self.add_to_counter(key, amount);
            }
            Action::SetTimer { timer: id, after } => {
                self.record("timer", &format!("{} {}", id.0, after.as_micros()));
                self.schedule(after.as_micros(), Pending::TimerDue(id));
            }
            Action::Subscribe => {
                self.record("subscribe", "");
                if self.random.f64() < 0.5 {
                    self.schedule(700 * MILLISECOND, Pending::ListMoves);
                }
            }
            Action::Probe(endpoint) => self.record("probe", &endpoint.0.to_string()),
            Action::FetchEndpoints => self.record("fetch", ""),
        }
    }

    fn add_to_counter(&mut self, key: CounterKey, amount: f64) {
        let timeout = self.settings.counter_timeout.as_micros();
        let answer = self
            .counter
            .add(key, amount, self.now, timeout, &mut self.random);
        let what = Pending::CounterAnswers {
            key,
            outcome: answer.outcome,
            total: answer.total,
        };
        self.schedule_at(answer.at, what);
    }

    fn draw_arrival(&mut self) {
        let gap = -(1.0 - self.random.f64()).ln() / self.arrivals_per_second;
        self.schedule((gap * 1e6) as u64 + 1, Pending::NextArrival);
        let class = ClassId(self.random.usize(..self.settings.classes.len()));
        let customer = (self.random.f64().powi(2) * self.customers as f64) as u64;
        let customer_gateways = if self.random.f64() < 0.5 {
            self.settings.gateways
        } else {
            1
        };
        let incoming = IncomingRequest {
            id: RequestId(0),
            class,
            plan: PlanId(customer as usize % self.settings.plans.len()),
            customer: CustomerId(customer),
            customer_gateways,
            deadline: Timestamp::from_micros(
                self.now + self.settings.classes[class.0].deadline.as_micros(),
            ),
            units: f64::from(self.random.u32(1..=4)),
            is_retry: false,
        };
        self.arrive(incoming);
    }

    fn arrive(&mut self, mut incoming: IncomingRequest) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        incoming.id = id;
        let request = OpenRequest {
            incoming: incoming.clone(),
            attempts: Vec::new(),
            is_answered: false,
        };
        self.requests.insert(id.0, request);
        if self.random.f64() < 0.05 {
            let after = self.random.u64(..2 * SECOND);
            self.schedule(after, Pending::ClientLeaves(id));
        }
        if self.random.f64() < 0.05 {
            self.schedule(30 * MILLISECOND, Pending::BodyDiscarded(id));
        }
        self.handle(Event::RequestArrived(incoming));
    }

    fn retry_later(&mut self, id: RequestId, after: u64) {
        let Some(request) = self.requests.get_mut(&id.0) else {
            return;
        };
        request.is_answered = true;
        let again = request.incoming.clone();
        if again.is_retry || self.random.f64() < 0.5 {
            return;
        }
        let is_retry = self.random.f64() < 0.7;
        let deadline = Timestamp::from_micros(
            self.now + after + self.settings.classes[again.class.0].deadline.as_micros(),
        );
        self.schedule(
            after,
            Pending::Arrives(IncomingRequest {
                is_retry,
                deadline,
                ..again
            }),
        );
    }

    fn client_leaves(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id.0) {
            request.is_answered = true;
        }
        self.handle(Event::ClientDisconnected(id));
    }

    fn send(&mut self, id: RequestId, endpoint: EndpointId, until: u64) {
        let Some(request) = self.requests.get_mut(&id.0) else {
            return;
        };
        request.attempts.push(OpenAttempt {
            endpoint,
            sent: self.now,
            is_open: true,
        });
        let attempt = request.attempts.len() - 1;
        let is_stream = self.settings.classes[request.incoming.class.0].is_streaming;
        let state = self.endpoints.entry(endpoint.0).or_default();
        let (outcome, elapsed) = state.serve(self.now, &mut self.random);
        let (outcome, at) = if self.now + elapsed >= until {
            (Outcome::Timeout, until)
        } else {
            (outcome, self.now + elapsed)
        };
        if is_stream && outcome == Outcome::Ok {
            self.schedule_at(self.now + elapsed / 2, Pending::StreamStarts(id));
        }
        self.schedule_at(
            at,
            Pending::AttemptEnds {
                id,
                attempt,
                outcome,
            },
        );
    }

    fn end_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id.0) else {
            return;
        };
        let Some(open) = request.attempts.get_mut(attempt).filter(|a| a.is_open) else {
            return;
        };
        open.is_open = false;
        let (endpoint, elapsed) = (open.endpoint, TimeDelta::from_micros(self.now - open.sent));
        request.is_answered |= outcome == Outcome::Ok;
        let ended = request.is_answered;
        if let Some(state) = self.endpoints.get_mut(&endpoint.0) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
        let settled =
            (outcome == Outcome::Ok && self.random.f64() < 0.1).then(|| self.random.f64() * 4.0);
        let report = LoadReport::default();
        let end = AttemptResult {
            request: id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            is_request_finished: ended,
            settled_units: settled,
            load_report: report,
        };
        self.handle(Event::AttemptEnded(end));
    }

    fn move_list(&mut self) {
        self.schedule(1_500 * MILLISECOND, Pending::ListMoves);
        if self.random.f64() < 0.1 {
            return self.handle(Event::EndpointsUpdated {
                scope: UpdateScope::Unavailable,
                entries: Vec::new(),
            });
        }
        let changed: BTreeSet<u64> = (0..2)
            .map(|_| self.random.u64(..self.endpoints.len() as u64 + 1))
            .collect();
        let mut entries = Vec::new();
        for number in changed {
            let state_in_list = match self.random.u32(..8) {
                0 => EndpointState::Draining,
                1 => EndpointState::Removed,
                _ => EndpointState::InService,
            };
            let restarted = self.random.f64() < 0.3;
            let started = restarted.then(|| self.now - self.random.u64(..SECOND));
            if restarted {
                self.endpoints.insert(number, EndpointSimulation::default());
            }
            entries.push(peers::entry(number, state_in_list, started));
        }
        self.handle(Event::EndpointsUpdated {
            scope: UpdateScope::Incremental,
            entries,
        });
    }

    fn move_zone_shares(&mut self) {
        self.schedule(500 * MILLISECOND, Pending::ZoneSharesMove);
        let north = self.random.f64();
        let share = |zone: u32, share: f64, open: bool| ZoneShare {
            zone: ZoneId(zone),
            share,
            accepts_overflow: open,
        };
        let open = self.random.f64() < 0.9;
        let shares = vec![share(0, north, open), share(1, 1.0 - north, true)];
        let from = if self.random.f64() < 0.5 { 0.0 } else { 0.2 };
        let threshold = SheddingThreshold {
            admit_above: from + 0.3,
            reject_below: from,
            admit_fraction: self.random.f64(),
        };
        self.handle(Event::ZoneSharesChanged { shares, threshold });
    }

    fn move_faults(&mut self) {
        self.schedule(900 * MILLISECOND, Pending::FaultsMove);
        self.counter.draw_fault(&mut self.random);
        let overload = self.random.f64() < 0.15;
        for state in self.endpoints.values_mut() {
            state.draw_fault(overload, &mut self.random);
        }
    }
}
