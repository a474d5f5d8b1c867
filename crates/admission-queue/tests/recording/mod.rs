//! Simulates a queue in a closed loop with clients and servers, and computes a digest of its verdicts.

use chalkdeck_admission_queue::{CustomerId, FairQueue, Request, RequestId, Settings, Verdict};
use chalkdeck_time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::fmt::{self, Display};

/// Minimum number of calls of the queue for one seed.
pub const CALLS_PER_SEED: u64 = 20_000;
/// A millisecond in microseconds, the unit of all times in the simulation.
const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000_000;
/// The customer that sends far more than all others in [`Traffic::Flood`].
const FLOODING_CUSTOMER: u64 = 7;
/// The customer whose requests all take long to serve.
const SLOW_CUSTOMER: u64 = 8;

/// The counts of a summary, in the order of the recorded line.
const KINDS: [&str; 10] = [
    "calls",
    "admitted",
    "rejected_at_once",
    "rejected_later",
    "cancelled",
    "completed",
    "wakes",
    "full",
    "crowded",
    "reseed_periods",
];

/// The result of one seed, as one line of the recorded file.
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

/// Simulates a seed and returns the result.
pub fn run_seed(seed: u64) -> Summary {
    let mut simulation = Simulation::new(seed);
    while simulation.count("calls") < CALLS_PER_SEED {
        simulation.step();
    }
    let elapsed = simulation.now - SECOND;
    let reseed_periods = elapsed / simulation.settings.reseed_interval.as_micros();
    simulation.counts.insert("reseed_periods", reseed_periods);
    Summary {
        seed,
        counts: simulation.counts,
        digest: simulation.digest.0,
    }
}

/// FNV-1a over the texts of all verdicts and states.
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

/// The traffic pattern, which changes at random.
#[derive(Clone, Copy)]
enum Traffic {
    /// A few requests of a few customers.
    Light,
    /// One customer sends far more than all others.
    Flood,
    /// Each request is from another customer.
    ManyCustomers,
    /// Some customers with heavy traffic and different weights.
    HeavyCustomers,
    /// One customer whose requests take long to serve.
    SlowCustomer,
}

/// A request that a server is processing.
struct InService {
    id: u64,
    ends_at: u64,
}

struct Simulation {
    rng: fastrand::Rng,
    settings: Settings,
    queue: FairQueue,
    traffic: Traffic,
    now: u64,
    next_id: u64,
    customers: BTreeMap<u64, u64>,
    waiting: Vec<u64>,
    in_service: Vec<InService>,
    counts: BTreeMap<&'static str, u64>,
    digest: Digest,
}

fn draw_settings(rng: &mut fastrand::Rng) -> Settings {
    Settings {
        max_in_flight: rng.usize(20..400),
        max_admitted_per_turn: rng.usize(4..64),
        max_queued: rng.usize(30..600),
        max_queued_per_queue: rng.usize(5..100),
        max_wait: TimeDelta::from_micros(rng.u64(10 * MILLISECOND..300 * MILLISECOND)),
        max_wait_fraction: 0.02 + 0.4 * rng.f64(),
        dedicated_queues: rng.usize(2..32),
        shared_queues: rng.usize(1..32),
        quantum: 0.5 + 8.0 * rng.f64(),
        reseed_interval: TimeDelta::from_micros(rng.u64(20 * MILLISECOND..SECOND / 2)),
        retry_jitter: rng.f64(),
        seed: rng.u64(..),
    }
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = draw_settings(&mut rng);
        Simulation {
            rng,
            queue: FairQueue::new(settings.clone()),
            settings,
            traffic: Traffic::Light,
            now: SECOND,
            next_id: 1,
            customers: BTreeMap::new(),
            waiting: Vec::new(),
            in_service: Vec::new(),
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

    fn step(&mut self) {
        self.now += self.rng.u64(200..4 * MILLISECOND);
        if self.rng.u8(..40) == 0 {
            self.change_traffic();
        }
        self.complete_requests();
        for _ in 0..self.arrivals() {
            self.offer();
        }
        if self.rng.u8(..4) == 0 {
            self.cancel();
        }
        if self.rng.u8(..8) != 0 {
            self.turn();
        }
        self.record_next_wake();
    }

    fn change_traffic(&mut self) {
        self.traffic = match self.rng.u8(..5) {
            0 => Traffic::Light,
            1 => Traffic::Flood,
            2 => Traffic::ManyCustomers,
            3 => Traffic::HeavyCustomers,
            _ => Traffic::SlowCustomer,
        };
    }

    fn arrivals(&mut self) -> usize {
        match self.traffic {
            Traffic::Light => self.rng.usize(0..4),
            Traffic::Flood => self.rng.usize(5..60),
            Traffic::ManyCustomers => self.rng.usize(5..50),
            Traffic::HeavyCustomers => self.rng.usize(5..40),
            Traffic::SlowCustomer => self.rng.usize(2..30),
        }
    }

    fn draw_customer(&mut self) -> u64 {
        match self.traffic {
            Traffic::Light => self.rng.u64(100..140),
            Traffic::Flood if self.rng.u8(..5) > 0 => FLOODING_CUSTOMER,
            Traffic::ManyCustomers => self.rng.u64(..),
            Traffic::SlowCustomer if self.rng.u8(..3) > 0 => SLOW_CUSTOMER,
            // Customers with low ids are more frequent.
            _ => 10 + (40.0 * self.rng.f64().powi(3)) as u64,
        }
    }

    fn draw_request(&mut self) -> Request {
        let customer = self.draw_customer();
        let id = self.next_id;
        self.next_id += 1;
        self.customers.insert(id, customer);
        let weight = [0.1, 0.5, 1.0, 1.0, 3.0, 10.0][(customer % 6) as usize];
        let units = match self.rng.u8(..4) {
            0 => 0.25 + 20.0 * self.rng.f64(),
            1 => f64::from(self.rng.u8(1..8)),
            _ => 1.0,
        };
        let time_left = self.rng.u64(5 * MILLISECOND..3 * SECOND);
        let quota_reset = match self.rng.u8(..5) {
            0 => self.rng.u64(..2 * SECOND),
            _ => 0,
        };
        Request {
            id: RequestId(id),
            customer: CustomerId(customer),
            weight,
            units,
            deadline: Timestamp::from_micros(self.now + time_left),
            quota_reset: TimeDelta::from_micros(quota_reset),
        }
    }

    fn offer(&mut self) {
        let request = self.draw_request();
        let queued_before = self.queue.queued();
        let verdict = self.queue.offer(Timestamp::from_micros(self.now), request);
        self.increment("calls");
        self.waiting.push(request.id.0);
        if let Some(verdict) = verdict {
            self.apply_verdict(verdict, "rejected_at_once");
        }
        if queued_before == self.settings.max_queued {
            self.increment("full");
        }
        self.digest_state("offer");
    }

    fn turn(&mut self) {
        let mut verdicts = Vec::new();
        self.queue
            .admit(Timestamp::from_micros(self.now), &mut verdicts);
        self.increment("calls");
        for verdict in verdicts {
            self.apply_verdict(verdict, "rejected_later");
        }
        if self.queue.in_flight() * 2 > self.settings.max_in_flight {
            self.increment("crowded");
        }
        self.digest_state("turn");
    }

    fn apply_verdict(&mut self, verdict: Verdict, rejection_kind: &'static str) {
        match verdict {
            Verdict::Admit { id: RequestId(id) } => {
                self.increment("admitted");
                self.digest.add(&format!("admit {id};"));
                self.waiting.retain(|other| *other != id);
                let ends_at = self.now + self.draw_service_time(id);
                self.in_service.push(InService { id, ends_at });
            }
            Verdict::Reject {
                id: RequestId(id),
                retry_after,
            } => {
                self.increment(rejection_kind);
                self.digest
                    .add(&format!("reject {id} {};", retry_after.as_micros()));
                self.waiting.retain(|other| *other != id);
            }
        }
    }

    fn draw_service_time(&mut self, id: u64) -> u64 {
        if self.customers[&id] == SLOW_CUSTOMER {
            return self.rng.u64(SECOND / 2..3 * SECOND);
        }
        self.rng.u64(MILLISECOND..60 * MILLISECOND)
    }

    fn complete_requests(&mut self) {
        let now = self.now;
        let (completed, remaining): (Vec<InService>, Vec<InService>) = self
            .in_service
            .drain(..)
            .partition(|request| request.ends_at <= now);
        self.in_service = remaining;
        for request in completed {
            self.queue.complete(RequestId(request.id));
            self.increment("calls");
            self.increment("completed");
        }
    }

    /// Cancels a request, which may already have its verdict.
    fn cancel(&mut self) {
        let id = if self.waiting.is_empty() {
            self.rng.u64(..self.next_id)
        } else {
            self.waiting[self.rng.usize(..self.waiting.len())]
        };
        let was_waiting = self.queue.cancel(RequestId(id));
        self.increment("calls");
        if was_waiting {
            self.increment("cancelled");
            self.waiting.retain(|other| *other != id);
        }
        self.digest_state(&format!("cancel {id} {was_waiting}"));
    }

    fn record_next_wake(&mut self) {
        let wake = self.queue.next_wake(Timestamp::from_micros(self.now));
        self.increment("calls");
        if let Some(at) = wake {
            self.increment("wakes");
            self.digest.add(&format!("wake {};", at.as_micros()));
        }
    }

    fn digest_state(&mut self, call: &str) {
        let queued = self.queue.queued();
        let in_flight = self.queue.in_flight();
        self.digest
            .add(&format!("{call} {} {queued} {in_flight};", self.now));
    }
}
