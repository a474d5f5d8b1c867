//! Simulates one gateway in a closed loop with several sites, and computes a digest of its plans.

mod sites;

use chalkdeck_site_failover::{
    AttemptEvidence, CompletedRequest, EndedAttempt, EndpointConcurrency, EndpointId, Event,
    FailoverCore, FailoverPlan, FailoverSettings, FinalAnswer, SiteId, SiteOverride, SiteState,
};
use chalkdeck_time::{TimeDelta, Timestamp};
use fastrand::Rng;
use sites::{Behavior, SimulatedSites};
use std::collections::BTreeMap;
use std::fmt::{self, Display};

/// The events of one seed.
pub const EVENTS_PER_SEED: u64 = 6_000;
/// The names of all states, as operators read them.
pub const STATES: [&str; 6] = [
    "serving",
    "doubtful",
    "lost",
    "cut off from here",
    "returning",
    "held out",
];
/// A millisecond in microseconds, the unit of all times in the simulation.
pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
/// The latency objective of every request, in microseconds.
const OBJECTIVE: u64 = 500 * MILLISECOND;
/// A plan is computed and digested each time after this many events.
const EVENTS_PER_PLAN: u64 = 4;
/// The id of an endpoint and of a site that no list contains.
const UNKNOWN_ID: u32 = 999;

/// The result of one seed, as one line of the recorded file.
pub struct Summary {
    seed: u64,
    events: u64,
    plans: u64,
    counts: BTreeMap<String, u64>,
    digest: u64,
}

impl Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed={} events={} plans={}",
            self.seed, self.events, self.plans
        )?;
        let kinds = STATES.iter().copied().chain(["shedding", "limited"]);
        for kind in kinds {
            let count = self.counts.get(kind).copied().unwrap_or(0);
            write!(f, " {}={count}", kind.replace(' ', "-"))?;
        }
        write!(f, " digest={:016x}", self.digest)
    }
}

/// Simulates a seed and returns the result.
pub fn run_seed(seed: u64) -> Summary {
    let mut simulation = Simulation::new(seed);
    while simulation.events < EVENTS_PER_SEED {
        simulation.step();
    }
    Summary {
        seed,
        events: simulation.events,
        plans: simulation.plans,
        counts: simulation.counts,
        digest: simulation.digest.0,
    }
}

/// FNV-1a over the numbers of all plans.
struct Digest(u64);

impl Digest {
    fn add_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    fn add(&mut self, number: u64) {
        self.add_bytes(&number.to_le_bytes());
    }
    fn add_f64(&mut self, number: f64) {
        self.add(number.to_bits());
    }
}

/// An attempt in flight, with the outcome that it will have.
struct PendingAttempt {
    endpoint: u64,
    evidence: AttemptEvidence,
    latency: u64,
    units: f64,
}

struct Simulation {
    rng: Rng,
    core: FailoverCore,
    now: u64,
    sites: SimulatedSites,
    /// Attempts in flight by the time of their end and their number.
    pending: BTreeMap<(u64, u64), PendingAttempt>,
    next_attempt: u64,
    is_counter_answering: bool,
    events: u64,
    plans: u64,
    counts: BTreeMap<String, u64>,
    digest: Digest,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = Rng::with_seed(seed);
        let settings = FailoverSettings {
            own_site: SiteId(0),
            gateway_index: rng.u32(0..20),
            gateway_count: rng.u32(1..120),
            slow_start_min_capacity: 0.1 + rng.f64() * 0.5,
            slow_start_duration: TimeDelta::from_secs(rng.u64(1..8)),
            overload_multiple: 1.0 + rng.f64() * 2.0,
        };
        let now = SECOND;
        let sites = SimulatedSites::new(&mut rng);
        let mut simulation = Simulation {
            rng,
            core: FailoverCore::new(settings),
            now,
            sites,
            pending: BTreeMap::new(),
            next_attempt: 0,
            is_counter_answering: true,
            events: 0,
            plans: 0,
            counts: BTreeMap::new(),
            digest: Digest(0xcbf2_9ce4_8422_2325),
        };
        simulation.publish_list();
        simulation
    }

    fn handle(&mut self, at: u64, event: Event) {
        self.core.handle(Timestamp::from_micros(at), event);
        self.events += 1;
        if self.events.is_multiple_of(EVENTS_PER_PLAN) {
            self.plan(at);
        }
    }

    fn plan(&mut self, at: u64) -> FailoverPlan {
        let plan = self.core.plan(Timestamp::from_micros(at));
        self.plans += 1;
        self.digest_plan(&plan);
        plan
    }

    fn step(&mut self) {
        self.advance();
        match self.rng.u32(0..1_000) {
            0..700 => self.send_request(),
            700..790 => self.report_concurrency(),
            790..890 => self.complete_request(),
            890..930 => self.call_counter(),
            930..955 => self.publish_list(),
            955..962 => self.set_override(),
            962..967 => self.is_counter_answering = !self.is_counter_answering,
            967..970 => self.sites.change_list(&mut self.rng),
            _ => self.sites.change_behavior(&mut self.rng, self.now),
        }
    }

    /// Advances the clock and delivers the outcomes that are due.
    fn advance(&mut self) {
        self.now += match self.rng.u32(0..2_000) {
            0 => 700 * SECOND,
            1..6 => self.rng.u64(1..150) * SECOND,
            6..60 => self.rng.u64(1..2_000) * MILLISECOND,
            _ => self.rng.u64(0..30) * MILLISECOND,
        };
        while let Some(entry) = self.pending.first_entry().filter(|e| e.key().0 <= self.now) {
            let (at, _) = *entry.key();
            let attempt = entry.remove();
            let ended = EndedAttempt {
                endpoint: EndpointId(attempt.endpoint),
                evidence: attempt.evidence,
                latency: TimeDelta::from_micros(attempt.latency),
                objective: TimeDelta::from_micros(OBJECTIVE),
                units: attempt.units,
            };
            self.handle(at, Event::AttemptEnded(ended));
        }
    }

    fn send_request(&mut self) {
        let weight_per_unit = match self.rng.u32(0..20) {
            0 => 0.0,
            n => f64::from(n) * self.rng.f64() * 10.0,
        };
        let units = 0.5 + self.rng.f64() * 4.0;
        let offered = Event::RequestOffered {
            weight_per_unit,
            units,
        };
        self.handle(self.now, offered);
        let plan = self.plan(self.now);
        if self.rng.f64() >= plan.threshold.admitted_fraction(weight_per_unit) {
            return self.report_completion(FinalAnswer::Rejected, OBJECTIVE / 4);
        }
        let endpoint = match self.rng.u32(0..100) {
            0 => u64::from(UNKNOWN_ID),
            1..25 => self.sites.draw_endpoint(&mut self.rng),
            _ => self.draw_endpoint_by_share(&plan),
        };
        self.handle(self.now, Event::AttemptSent(EndpointId(endpoint)));
        let (latency, evidence) = self.draw_outcome(endpoint);
        let attempt = PendingAttempt {
            endpoint,
            evidence,
            latency,
            units,
        };
        self.next_attempt += 1;
        self.pending
            .insert((self.now + latency, self.next_attempt), attempt);
    }

    fn draw_endpoint_by_share(&mut self, plan: &FailoverPlan) -> u64 {
        let mut draw = self.rng.f64();
        let site = plan.sites.iter().find(|site_plan| {
            draw -= site_plan.share;
            draw < 0.0
        });
        match site {
            Some(site_plan) => self.sites.draw_endpoint_of(site_plan.site.0, &mut self.rng),
            None => self.sites.draw_endpoint(&mut self.rng),
        }
    }

    fn draw_outcome(&mut self, endpoint: u64) -> (u64, AttemptEvidence) {
        if self.rng.u32(0..60) == 0 {
            return (self.rng.u64(1..OBJECTIVE), AttemptEvidence::Cancelled);
        }
        match self.sites.behavior(endpoint) {
            Behavior::Answers { mean_latency } => {
                let latency = mean_latency / 2 + self.rng.u64(0..mean_latency);
                (latency, AttemptEvidence::Answered)
            }
            Behavior::Rejects => (2 * MILLISECOND, AttemptEvidence::Rejected),
            Behavior::Silent => (OBJECTIVE, AttemptEvidence::TimedOut),
            Behavior::Refuses => (MILLISECOND, AttemptEvidence::Unreachable),
        }
    }

    fn report_concurrency(&mut self) {
        let mut in_flight: BTreeMap<u64, f64> = BTreeMap::new();
        for attempt in self.pending.values() {
            *in_flight.entry(attempt.endpoint).or_default() += 1.0;
        }
        let limit = f64::from(self.rng.u32(1..12));
        let reported: Vec<EndpointConcurrency> = in_flight
            .iter()
            .map(|(endpoint, in_flight)| EndpointConcurrency {
                endpoint: EndpointId(*endpoint),
                in_flight: *in_flight,
                limit,
            })
            .collect();
        self.handle(self.now, Event::ConcurrencyReported(&reported));
    }

    fn complete_request(&mut self) {
        let max_latency = match self.rng.u32(0..6) {
            0 => OBJECTIVE * 6 / 5,
            _ => OBJECTIVE / 3,
        };
        let latency = self.rng.u64(0..max_latency);
        let answer = match self.rng.u32(0..10) {
            0 => FinalAnswer::Rejected,
            _ => FinalAnswer::Served,
        };
        self.report_completion(answer, latency);
    }

    fn report_completion(&mut self, answer: FinalAnswer, latency: u64) {
        let completed = CompletedRequest {
            answer,
            latency: TimeDelta::from_micros(latency),
            objective: TimeDelta::from_micros(OBJECTIVE),
        };
        self.handle(self.now, Event::RequestCompleted(completed));
    }

    fn call_counter(&mut self) {
        let event = if self.is_counter_answering {
            Event::CounterReplied
        } else {
            Event::CounterFailed
        };
        self.handle(self.now, event);
    }

    fn publish_list(&mut self) {
        let entries = self.sites.entries(self.now);
        self.handle(self.now, Event::EndpointListUpdated(&entries));
    }

    fn set_override(&mut self) {
        let site = match self.rng.u32(0..20) {
            0 => UNKNOWN_ID,
            _ => self.sites.draw_site(&mut self.rng),
        };
        let site_override = match self.rng.u32(0..8) {
            0 => SiteOverride::Drain,
            1 => SiteOverride::HoldOut,
            _ => SiteOverride::Restore,
        };
        let event = Event::OverrideSet {
            site: SiteId(site),
            site_override,
        };
        self.handle(self.now, event);
    }

    fn count(&mut self, kind: &str) {
        *self.counts.entry(kind.to_string()).or_default() += 1;
    }

    fn digest_plan(&mut self, plan: &FailoverPlan) {
        self.digest.add_f64(plan.admission_level);
        self.digest.add_f64(plan.threshold.admit_above);
        self.digest.add_f64(plan.threshold.reject_below);
        self.digest.add_f64(plan.threshold.admit_fraction);
        if plan.threshold.admit_above > 0.0 {
            self.count("shedding");
        }
        if plan
            .sites
            .iter()
            .any(|site_plan| site_plan.capacity.is_some())
        {
            self.count("limited");
        }
        for site_plan in &plan.sites {
            self.count(site_plan.state.name());
            self.digest.add(u64::from(site_plan.site.0));
            self.digest.add_bytes(site_plan.state.name().as_bytes());
            self.digest
                .add(u64::from(site_plan.state == SiteState::Serving));
            self.digest.add(site_plan.state_since.as_micros());
            self.digest.add(site_plan.evidence.listed_endpoints as u64);
            self.digest.add(site_plan.evidence.silent_endpoints as u64);
            self.digest.add(site_plan.evidence.silence.as_micros());
            self.digest.add(u64::from(site_plan.evidence.losses));
            self.digest
                .add(site_plan.evidence.backoff_until.as_micros());
            self.digest
                .add_bytes(site_plan.evidence.to_string().as_bytes());
            self.digest.add_f64(site_plan.share);
            self.digest.add_f64(site_plan.capacity.unwrap_or(-1.0));
            self.digest.add_f64(site_plan.ramp_fraction);
            self.digest.add_f64(site_plan.concurrency.in_flight);
            self.digest.add_f64(site_plan.concurrency.limit);
        }
    }
}
