//! Simulation of one gateway with clients, a counter and endpoints. A digest covers all actions of the
//! gateway.

mod settings;
mod simulated_services;

use chalkdeck::api::*;
use chalkdeck::DecisionEngine;
use simulated_services::{SimulatedCounter, SimulatedEndpoint};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::{self, Display};

/// Number of events in the run of one seed.
pub const EVENTS_PER_SEED: u64 = 20_000;
pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;

/// The result of one seed, which is one line of the recorded file.
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

/// Runs the simulation of a seed and returns its result.
pub fn run_seed(seed: u64) -> Summary {
    let mut simulation = Simulation::new(seed);
    while simulation.counts.get("events").copied().unwrap_or(0) < EVENTS_PER_SEED {
        simulation.step();
    }
    Summary {
        seed,
        counts: simulation.counts,
        digest: simulation.digest.0,
    }
}

/// FNV-1a hash over the texts of all actions.
struct Digest(u64);

impl Digest {
    fn add(&mut self, text: &str) {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// An event that the simulation has scheduled.
#[derive(Clone, Debug)]
enum ScheduledEvent {
    RequestArrives(IncomingRequest),
    NextArrival,
    TimerFires(TimerId),
    AttemptEnds {
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
    },
    CounterReplies {
        key: CounterKey,
        outcome: Outcome,
        total: f64,
    },
    ClientDisconnects(RequestId),
    StreamStarts(RequestId),
    BodyDiscarded(RequestId),
    UnitsSettled(RequestId),
    EndpointListChanges,
    ZoneSharesChange,
    FaultsChange,
}

struct OpenAttempt {
    endpoint: EndpointId,
    sent_at: u64,
    is_open: bool,
}

struct OpenRequest {
    incoming: IncomingRequest,
    attempts: Vec<OpenAttempt>,
    is_answered: bool,
}

pub struct Simulation {
    engine: DecisionEngine,
    settings: Settings,
    random: fastrand::Rng,
    now: u64,
    last_sequence: u64,
    scheduled: BTreeMap<(u64, u64), ScheduledEvent>,
    requests: HashMap<u64, OpenRequest>,
    endpoints: BTreeMap<u64, SimulatedEndpoint>,
    counter: SimulatedCounter,
    has_zone_shares: bool,
    arrivals_per_second: f64,
    customer_count: u64,
    next_request_id: u64,
    counts: BTreeMap<&'static str, u64>,
    digest: Digest,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut random = fastrand::Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let settings = settings::draw(&mut random);
        let engine = DecisionEngine::new(seed, settings.clone()).expect("valid settings");
        let endpoint_count = [3, 12, 60, 200][random.usize(..4)];
        let mut simulation = Simulation {
            engine,
            has_zone_shares: random.f64() < 0.3,
            arrivals_per_second: [4.0, 30.0, 200.0][random.usize(..3)],
            customer_count: [3, 20, 400][random.usize(..3)],
            settings,
            random,
            now: 1_000 * SECOND,
            last_sequence: 0,
            scheduled: BTreeMap::new(),
            requests: HashMap::new(),
            endpoints: (0..endpoint_count)
                .map(|i| (i, SimulatedEndpoint::default()))
                .collect(),
            counter: SimulatedCounter::default(),
            next_request_id: 1,
            counts: BTreeMap::new(),
            digest: Digest(0xcbf2_9ce4_8422_2325),
        };
        let entries = (0..endpoint_count)
            .map(|i| simulated_services::entry(i, EndpointState::InService, None))
            .collect();
        simulation.handle(Event::EndpointsUpdated {
            scope: UpdateScope::Complete,
            entries,
        });
        simulation.schedule(0, ScheduledEvent::NextArrival);
        simulation.schedule(2 * SECOND, ScheduledEvent::EndpointListChanges);
        simulation.schedule(SECOND, ScheduledEvent::FaultsChange);
        if simulation.has_zone_shares {
            simulation.schedule(3 * SECOND, ScheduledEvent::ZoneSharesChange);
        }
        simulation
    }

    fn schedule(&mut self, after: u64, event: ScheduledEvent) {
        self.schedule_at(self.now + after, event);
    }

    fn schedule_at(&mut self, at: u64, event: ScheduledEvent) {
        self.last_sequence += 1;
        self.scheduled.insert((at, self.last_sequence), event);
    }

    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_insert(0) += 1;
    }

    /// Runs the next scheduled event.
    fn step(&mut self) {
        let ((at, _), event) = self
            .scheduled
            .pop_first()
            .expect("the next arrival is always scheduled");
        self.now = self.now.max(at);
        match event {
            ScheduledEvent::NextArrival => self.draw_arrival(),
            ScheduledEvent::RequestArrives(incoming) => self.handle_arrival(incoming),
            ScheduledEvent::TimerFires(id) => self.handle(Event::Timer(id)),
            ScheduledEvent::AttemptEnds {
                id,
                attempt,
                outcome,
            } => self.end_attempt(id, attempt, outcome),
            ScheduledEvent::CounterReplies {
                key,
                outcome,
                total,
            } => self.handle(Event::CounterReplied {
                key,
                outcome,
                total,
            }),
            ScheduledEvent::ClientDisconnects(id) => self.disconnect_client(id),
            ScheduledEvent::StreamStarts(id) => {
                if self
                    .requests
                    .get(&id.0)
                    .is_some_and(|request| !request.is_answered)
                {
                    self.handle(Event::ResponseStarted(id));
                }
            }
            ScheduledEvent::BodyDiscarded(id) => self.handle(Event::BodyDiscarded(id)),
            ScheduledEvent::UnitsSettled(id) => {
                let units = self.random.f64() * 5.0;
                self.handle(Event::UnitsSettled { request: id, units });
            }
            ScheduledEvent::EndpointListChanges => self.change_endpoint_list(),
            ScheduledEvent::ZoneSharesChange => self.change_zone_shares(),
            ScheduledEvent::FaultsChange => self.change_faults(),
        }
    }

    fn handle(&mut self, event: Event) {
        self.count("events");
        let mut actions = Vec::new();
        self.engine
            .handle(Timestamp::from_micros(self.now), event, &mut actions);
        for action in &actions {
            self.execute(action);
        }
    }

    fn record(&mut self, kind: &'static str, text: &str) {
        self.count(kind);
        self.digest.add(&format!("{} {kind} {text}\n", self.now));
    }

    fn execute(&mut self, action: &Action) {
        match *action {
            Action::SendAttempt {
                request,
                endpoint,
                deadline,
            } => {
                let deadline = deadline.as_micros();
                self.record("send", &format!("{} {} {deadline}", request.0, endpoint.0));
                self.send(request, endpoint, deadline);
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
                self.schedule(20 * MILLISECOND, ScheduledEvent::UnitsSettled(id));
                self.schedule(60 * MILLISECOND, ScheduledEvent::ClientDisconnects(id));
            }
            Action::CancelAttempt { request, attempt } => {
                self.record("cancel", &format!("{} {attempt}", request.0));
                let event = ScheduledEvent::AttemptEnds {
                    id: request,
                    attempt,
                    outcome: Outcome::Cancelled,
                };
                self.schedule(MILLISECOND, event);
            }
            Action::AddToCounter {
                key,
                amount,
                time_to_live,
            } => {
                let time_to_live = time_to_live.as_micros();
                self.record("count", &format!("{} {amount} {time_to_live}", key.0));
                self.add_to_counter(key, amount);
            }
            Action::SetTimer { timer: id, after } => {
                self.record("timer", &format!("{} {}", id.0, after.as_micros()));
                self.schedule(after.as_micros(), ScheduledEvent::TimerFires(id));
            }
            // Its event has no effect any more, whether it comes or not. Here it comes.
            Action::CancelTimer(_) => {}
            Action::Subscribe => {
                self.record("subscribe", "");
                if self.random.f64() < 0.5 {
                    self.schedule(700 * MILLISECOND, ScheduledEvent::EndpointListChanges);
                }
            }
            Action::Probe(endpoint) => self.record("probe", &endpoint.0.to_string()),
            Action::FetchEndpoints => self.record("fetch", ""),
        }
    }

    fn add_to_counter(&mut self, key: CounterKey, amount: f64) {
        let timeout = self.settings.counter_timeout.as_micros();
        let reply = self
            .counter
            .add(key, amount, self.now, timeout, &mut self.random);
        let event = ScheduledEvent::CounterReplies {
            key,
            outcome: reply.outcome,
            total: reply.total,
        };
        self.schedule_at(reply.at, event);
    }

    fn draw_arrival(&mut self) {
        let gap = -(1.0 - self.random.f64()).ln() / self.arrivals_per_second;
        self.schedule((gap * 1e6) as u64 + 1, ScheduledEvent::NextArrival);
        let class = ClassId(self.random.usize(..self.settings.classes.len()));
        let customer = (self.random.f64().powi(2) * self.customer_count as f64) as u64;
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
        self.handle_arrival(incoming);
    }

    fn handle_arrival(&mut self, mut incoming: IncomingRequest) {
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        incoming.id = id;
        let request = OpenRequest {
            incoming: incoming.clone(),
            attempts: Vec::new(),
            is_answered: false,
        };
        self.requests.insert(id.0, request);
        if self.random.f64() < 0.05 {
            let after = self.random.u64(..2 * SECOND);
            self.schedule(after, ScheduledEvent::ClientDisconnects(id));
        }
        if self.random.f64() < 0.05 {
            self.schedule(30 * MILLISECOND, ScheduledEvent::BodyDiscarded(id));
        }
        self.handle(Event::RequestArrived(incoming));
    }

    fn retry_later(&mut self, id: RequestId, after: u64) {
        let Some(request) = self.requests.get_mut(&id.0) else {
            return;
        };
        request.is_answered = true;
        let incoming = request.incoming.clone();
        if incoming.is_retry || self.random.f64() < 0.5 {
            return;
        }
        let is_retry = self.random.f64() < 0.7;
        let deadline = Timestamp::from_micros(
            self.now + after + self.settings.classes[incoming.class.0].deadline.as_micros(),
        );
        self.schedule(
            after,
            ScheduledEvent::RequestArrives(IncomingRequest {
                is_retry,
                deadline,
                ..incoming
            }),
        );
    }

    fn disconnect_client(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id.0) {
            request.is_answered = true;
        }
        self.handle(Event::ClientDisconnected(id));
    }

    fn send(&mut self, id: RequestId, endpoint: EndpointId, deadline: u64) {
        let Some(request) = self.requests.get_mut(&id.0) else {
            return;
        };
        request.attempts.push(OpenAttempt {
            endpoint,
            sent_at: self.now,
            is_open: true,
        });
        let attempt = request.attempts.len() - 1;
        let is_stream = self.settings.classes[request.incoming.class.0].is_streaming;
        let state = self.endpoints.entry(endpoint.0).or_default();
        let (outcome, elapsed) = state.serve(self.now, &mut self.random);
        let (outcome, at) = if self.now + elapsed >= deadline {
            (Outcome::Timeout, deadline)
        } else {
            (outcome, self.now + elapsed)
        };
        if is_stream && outcome == Outcome::Ok {
            self.schedule_at(self.now + elapsed / 2, ScheduledEvent::StreamStarts(id));
        }
        self.schedule_at(
            at,
            ScheduledEvent::AttemptEnds {
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
        let Some(open) = request
            .attempts
            .get_mut(attempt)
            .filter(|attempt| attempt.is_open)
        else {
            return;
        };
        open.is_open = false;
        let (endpoint, elapsed) = (
            open.endpoint,
            TimeDelta::from_micros(self.now - open.sent_at),
        );
        request.is_answered |= outcome == Outcome::Ok;
        let is_request_finished = request.is_answered;
        if let Some(state) = self.endpoints.get_mut(&endpoint.0) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
        let settled_units =
            (outcome == Outcome::Ok && self.random.f64() < 0.1).then(|| self.random.f64() * 4.0);
        let load_report = LoadReport::default();
        let result = AttemptResult {
            request: id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            is_request_finished,
            settled_units,
            load_report,
        };
        self.handle(Event::AttemptEnded(result));
    }

    fn change_endpoint_list(&mut self) {
        self.schedule(1_500 * MILLISECOND, ScheduledEvent::EndpointListChanges);
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
        for id in changed {
            let state = match self.random.u32(..8) {
                0 => EndpointState::Draining,
                1 => EndpointState::Removed,
                _ => EndpointState::InService,
            };
            let is_restarted = self.random.f64() < 0.3;
            let started_at = is_restarted.then(|| self.now - self.random.u64(..SECOND));
            if is_restarted {
                self.endpoints.insert(id, SimulatedEndpoint::default());
            }
            entries.push(simulated_services::entry(id, state, started_at));
        }
        self.handle(Event::EndpointsUpdated {
            scope: UpdateScope::Incremental,
            entries,
        });
    }

    fn change_zone_shares(&mut self) {
        self.schedule(500 * MILLISECOND, ScheduledEvent::ZoneSharesChange);
        let first_zone_share = self.random.f64();
        let zone_share = |zone: u32, share: f64, accepts_overflow: bool| ZoneShare {
            zone: ZoneId(zone),
            share,
            accepts_overflow,
        };
        let accepts_overflow = self.random.f64() < 0.9;
        let shares = vec![
            zone_share(0, first_zone_share, accepts_overflow),
            zone_share(1, 1.0 - first_zone_share, true),
        ];
        let reject_below = if self.random.f64() < 0.5 { 0.0 } else { 0.2 };
        let threshold = SheddingThreshold {
            admit_above: reject_below + 0.3,
            reject_below,
            admit_fraction: self.random.f64(),
        };
        self.handle(Event::ZoneSharesChanged { shares, threshold });
    }

    fn change_faults(&mut self) {
        self.schedule(900 * MILLISECOND, ScheduledEvent::FaultsChange);
        self.counter.draw_fault(&mut self.random);
        let is_overload = self.random.f64() < 0.15;
        for state in self.endpoints.values_mut() {
            state.draw_fault(is_overload, &mut self.random);
        }
    }
}
