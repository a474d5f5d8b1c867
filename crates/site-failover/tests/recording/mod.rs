//! One gateway in a closed loop with simulated sites; the plans that it makes are digested.

mod sites;

use chalkdeck_site_failover::{
    AttemptEvidence, CompletedRequest, EndedAttempt, EndpointConcurrency, EndpointId, Event,
    FailoverCore, FailoverPlan, FailoverSettings, FinalAnswer, SiteId, SiteOverride, SiteState,
};
use chalkdeck_time::{TimeDelta, Timestamp};
use fastrand::Rng;
use sites::{Condition, SimulatedSites};
use std::collections::BTreeMap;
use std::fmt::{self, Display};

/// Events that one seed plays.
pub const EVENTS_PER_SEED: u64 = 6_000;
/// Texts of all states, as operators read them.
pub const STATES: [&str; 6] = [
    "serving",
    "doubtful",
    "lost",
    "cut off from here",
    "returning",
    "held out",
];
pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
/// The latency objective of every request.
const OBJECTIVE: u64 = 500 * MILLISECOND;
/// A plan is taken and digested after so many events.
const EVENTS_PER_PLAN: u64 = 4;
/// A server and a site that no list names.
const UNKNOWN: u32 = 999;

/// What one seed came to, as one line of the recorded file.
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

/// Plays a seed and returns what it came to.
pub fn play(seed: u64) -> Summary {
    let mut player = Player::new(seed);
    while player.events < EVENTS_PER_SEED {
        player.step();
    }
    Summary {
        seed,
        events: player.events,
        plans: player.plans,
        counts: player.counts,
        digest: player.digest.0,
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

/// An attempt without its outcome yet.
struct OpenAttempt {
    server: u64,
    evidence: AttemptEvidence,
    took: u64,
    units: f64,
}

struct Player {
    random: Rng,
    core: FailoverCore,
    now: u64,
    sites: SimulatedSites,
    /// By the time of their ends and a number.
    open: BTreeMap<(u64, u64), OpenAttempt>,
    next_attempt: u64,
    counter_answers: bool,
    events: u64,
    plans: u64,
    counts: BTreeMap<String, u64>,
    digest: Digest,
}

impl Player {
    fn new(seed: u64) -> Player {
        let mut random = Rng::with_seed(seed);
        let settings = FailoverSettings {
            own_site: SiteId(0),
            gateway_index: random.u32(0..20),
            gateway_count: random.u32(1..120),
            slow_start_min_capacity: 0.1 + random.f64() * 0.5,
            slow_start_duration: TimeDelta::from_secs(random.u64(1..8)),
            overload_multiple: 1.0 + random.f64() * 2.0,
        };
        let now = SECOND;
        let sites = SimulatedSites::new(&mut random);
        let mut player = Player {
            random,
            core: FailoverCore::new(settings),
            now,
            sites,
            open: BTreeMap::new(),
            next_attempt: 0,
            counter_answers: true,
            events: 0,
            plans: 0,
            counts: BTreeMap::new(),
            digest: Digest(0xcbf2_9ce4_8422_2325),
        };
        player.list();
        player
    }

    fn tell(&mut self, at: u64, event: Event) {
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
        match self.random.u32(0..1_000) {
            0..700 => self.request(),
            700..790 => self.report_places(),
            790..890 => self.final_answer(),
            890..930 => self.ask_counter(),
            930..955 => self.list(),
            955..962 => self.operator_override(),
            962..967 => self.counter_answers = !self.counter_answers,
            967..970 => self.sites.remove_or_add(&mut self.random),
            _ => self.sites.change(&mut self.random, self.now),
        }
    }

    /// Moves the clock on and delivers the outcomes that are due.
    fn advance(&mut self) {
        self.now += match self.random.u32(0..2_000) {
            0 => 700 * SECOND,
            1..6 => self.random.u64(1..150) * SECOND,
            6..60 => self.random.u64(1..2_000) * MILLISECOND,
            _ => self.random.u64(0..30) * MILLISECOND,
        };
        while let Some(entry) = self.open.first_entry().filter(|e| e.key().0 <= self.now) {
            let (at, _) = *entry.key();
            let attempt = entry.remove();
            let ended = EndedAttempt {
                endpoint: EndpointId(attempt.server),
                evidence: attempt.evidence,
                latency: TimeDelta::from_micros(attempt.took),
                objective: TimeDelta::from_micros(OBJECTIVE),
                units: attempt.units,
            };
            self.tell(at, Event::AttemptEnded(ended));
        }
    }

    fn request(&mut self) {
        let worth = match self.random.u32(0..20) {
            0 => 0.0,
            n => f64::from(n) * self.random.f64() * 10.0,
        };
        let units = 0.5 + self.random.f64() * 4.0;
        let offered = Event::RequestOffered {
            value_per_unit: worth,
            units,
        };
        self.tell(self.now, offered);
        let plan = self.plan(self.now);
        if self.random.f64() >= plan.threshold.admitted_fraction(worth) {
            return self.complete(FinalAnswer::Rejected, OBJECTIVE / 4);
        }
        let server = match self.random.u32(0..100) {
            0 => u64::from(UNKNOWN),
            1..25 => self.sites.any_server(&mut self.random),
            _ => self.server_by_share(&plan),
        };
        self.tell(self.now, Event::AttemptSent(EndpointId(server)));
        let (took, evidence) = self.outcome(server);
        let attempt = OpenAttempt {
            server,
            evidence,
            took,
            units,
        };
        self.next_attempt += 1;
        self.open
            .insert((self.now + took, self.next_attempt), attempt);
    }

    fn server_by_share(&mut self, plan: &FailoverPlan) -> u64 {
        let mut draw = self.random.f64();
        let site = plan.sites.iter().find(|view| {
            draw -= view.share;
            draw < 0.0
        });
        match site {
            Some(view) => self.sites.server_of(view.site.0, &mut self.random),
            None => self.sites.any_server(&mut self.random),
        }
    }

    fn outcome(&mut self, server: u64) -> (u64, AttemptEvidence) {
        if self.random.u32(0..60) == 0 {
            return (self.random.u64(1..OBJECTIVE), AttemptEvidence::Cancelled);
        }
        match self.sites.condition(server) {
            Condition::Answers { latency } => {
                let took = latency / 2 + self.random.u64(0..latency);
                (took, AttemptEvidence::Answered)
            }
            Condition::Full => (2 * MILLISECOND, AttemptEvidence::Rejected),
            Condition::Silent => (OBJECTIVE, AttemptEvidence::TimedOut),
            Condition::Refuses => (MILLISECOND, AttemptEvidence::Unreachable),
        }
    }

    fn report_places(&mut self) {
        let mut open: BTreeMap<u64, f64> = BTreeMap::new();
        for attempt in self.open.values() {
            *open.entry(attempt.server).or_default() += 1.0;
        }
        let most = f64::from(self.random.u32(1..12));
        let reported: Vec<EndpointConcurrency> = open
            .iter()
            .map(|(server, in_flight)| EndpointConcurrency {
                endpoint: EndpointId(*server),
                in_flight: *in_flight,
                limit: most,
            })
            .collect();
        self.tell(self.now, Event::ConcurrencyReported(&reported));
    }

    fn final_answer(&mut self) {
        let most = match self.random.u32(0..6) {
            0 => OBJECTIVE * 6 / 5,
            _ => OBJECTIVE / 3,
        };
        let waited = self.random.u64(0..most);
        let answer = match self.random.u32(0..10) {
            0 => FinalAnswer::Rejected,
            _ => FinalAnswer::Served,
        };
        self.complete(answer, waited);
    }

    fn complete(&mut self, answer: FinalAnswer, waited: u64) {
        let completed = CompletedRequest {
            answer,
            latency: TimeDelta::from_micros(waited),
            objective: TimeDelta::from_micros(OBJECTIVE),
        };
        self.tell(self.now, Event::RequestCompleted(completed));
    }

    fn ask_counter(&mut self) {
        let event = if self.counter_answers {
            Event::CounterAnswered
        } else {
            Event::CounterFailed
        };
        self.tell(self.now, event);
    }

    fn list(&mut self) {
        let lines = self.sites.list(self.now);
        self.tell(self.now, Event::EndpointListUpdated(&lines));
    }

    fn operator_override(&mut self) {
        let site = match self.random.u32(0..20) {
            0 => UNKNOWN,
            _ => self.sites.any_site(&mut self.random),
        };
        let site_override = match self.random.u32(0..8) {
            0 => SiteOverride::Drain,
            1 => SiteOverride::HoldOut,
            _ => SiteOverride::Restore,
        };
        let event = Event::OverrideSet {
            site: SiteId(site),
            site_override,
        };
        self.tell(self.now, event);
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
        if plan.sites.iter().any(|view| view.capacity.is_some()) {
            self.count("limited");
        }
        for view in &plan.sites {
            self.count(view.state.name());
            self.digest.add(u64::from(view.site.0));
            self.digest.add_bytes(view.state.name().as_bytes());
            self.digest.add(u64::from(view.state == SiteState::Serving));
            self.digest.add(view.state_since.as_micros());
            self.digest.add(view.evidence.listed_endpoints as u64);
            self.digest.add(view.evidence.silent_endpoints as u64);
            self.digest.add(view.evidence.silence.as_micros());
            self.digest.add(u64::from(view.evidence.losses));
            self.digest.add(view.evidence.backoff_until.as_micros());
            self.digest.add_bytes(view.evidence.to_string().as_bytes());
            self.digest.add_f64(view.share);
            self.digest.add_f64(view.capacity.unwrap_or(-1.0));
            self.digest.add_f64(view.ramp_fraction);
            self.digest.add_f64(view.concurrency.in_flight);
            self.digest.add_f64(view.concurrency.limit);
        }
    }
}
