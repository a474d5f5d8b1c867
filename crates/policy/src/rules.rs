//! Every decision of a gateway. What it is told and what it may do stands in `src/api.rs`.
//!
//! Order: constants, admission, the life of a request, choice of a server, health, guards of the rules.

use crate::api::*;
pub use crate::state::DecisionEngine;
use crate::state::*;

/// The source's breaker: failures in a row that open it, and its cooldown.
const FAILURES_TO_OPEN: f64 = 3.0;
const COOLDOWN: TimeDelta = TimeDelta::from_micros(5_000_000);
/// Share of requests that ask: at first, and when a probe was answered, so many over the gateways; the least.
/// Answers `ASK_SLOW` of the calls' time later than usual leave it; none, or twice that, move it `ASK_STEP`.
const ASK_FIRST: f64 = 30.0;
const LEAST_PART: f64 = 0.05;
const ASK_SLOW: f64 = 0.12;
const ASK_STEP: f64 = 0.2;
/// How long a customer that was heard to be over its quota counts as such for requests that don't ask.
const REMEMBER: TimeDelta = TimeDelta::from_micros(15_000_000);
/// The share of repeats that ask is the share of first tries to this power.
const REPEAT_POWER: f64 = 3.0;
/// How long after a refusal the like of it counts as its repeat.
const REPEAT_SPAN: TimeDelta = TimeDelta::from_micros(1_000_000);
/// Part of a cap's places that unheard starts may fill: heard ones need the others, and starts bunch.
const PLACES_UNHEARD: f64 = 0.5;
/// Life of one count of attempts out, so that what a killed gateway held is forgotten; of idle customers.
const EPOCH: TimeDelta = TimeDelta::from_micros(5_000_000);
const FORGET: TimeDelta = TimeDelta::from_micros(120_000_000);
/// Weights of the newest sample, and window, in smoothed figures; time over which flow is averaged.
const SMOOTH: f64 = 0.1;
const CARRY: f64 = 0.3;
const FLOW_SPAN: f64 = 2.0;
/// Deterministic subsetting: servers in a gateway's own part of the fleet, at least, and for each unit a
/// second that it sends on. More spreads its load better, fewer lets it learn of each in a second or two.
const REACH_LEAST: f64 = 8.0;
const REACH_FLOW: f64 = 1.0;
/// Servers that one choice looks at where the part is larger than this.
const DRAWN: usize = 48;
/// Attempts that all gateways together may have out at one server when learning starts; no gateway starts
/// with more than `LIMIT_START` of them. Low: a bound that must first be cut costs late answers.
const FLEET_START: f64 = 6.0;
/// Bounds on attempts out at one server: where learning starts, the least, what a late answer leaves of it,
/// what an early one adds. All but the cut are scaled to the gateway's part (`scale`).
const LIMIT_START: f64 = 2.0;
const LIMIT_LEAST: f64 = 0.1;
const LIMIT_CUT: f64 = 0.7;
const LIMIT_GROW: f64 = 0.03;
/// An answer that takes, with twice the server's usual time, more than this part of the aim says that it
/// holds too much; one earlier than the second, while the bound was in use, that it could hold more.
const LATE_PART: f64 = 0.85;
const GROW_PART: f64 = 0.25;
/// What a late answer leaves of the part that passes, fully from this share of late ones on; what others add,
/// and add after a long time without any, the fewer were late.
const PASS_CUT: f64 = 0.85;
const PASS_LATE: f64 = 0.05;
const PASS_GROW: f64 = 0.01;
const PASS_BACK: f64 = 1.6;
/// The longest retry-after of what is shed, as part of the aim.
const HINT_PART: f64 = 0.3;
/// Attempts that a gateway with a small part may have out, whatever the bounds: some come at the same moment.
const FEW_OUT: f64 = 2.0;
/// In overload (less than this part passes) a gateway with a small part may have out this part of its calm
/// mean over so many seconds, with so many attempt seconds saved up. An early answer raises that mean.
const OVERLOAD_PASS: f64 = 0.4;
const OVERLOAD_OUT: f64 = 0.5;
const CALM_SPAN: f64 = 10.0;
const FLIGHT_SAVED: f64 = 0.5;
const CALM_GROW: f64 = 1.03;
/// Share of failed or late attempts over all servers below which trouble lies with single servers.
const CALM_SHARE: f64 = 0.15;
/// Outlier ejection: share of failures (one passes after seconds unseen, else four), first rest, doublings.
const EJECT_SHARE: f64 = 0.3;
const EJECT_FIRST: TimeDelta = TimeDelta::from_micros(1_000_000);
const EJECT_DOUBLINGS: u32 = 3;
/// Connects to a server that fail for longer than this, with no answer between, tell of a restart.
const UNREACHED: TimeDelta = TimeDelta::from_micros(700_000);
/// A server that turned a request away is left alone for this long.
const REST: TimeDelta = TimeDelta::from_micros(100_000);
/// How long leave to send to a cold server holds where many gateways share it.
const COLD_LEAVE: TimeDelta = TimeDelta::from_micros(250_000);
/// Retry budget: further attempts earned by each request, and the most saved up.
const RETRY_SHARE: f64 = 0.2;
const RETRY_SAVED: f64 = 20.0;
/// Part of the aim left for a further attempt when the first is given up early, and tried at the least.
const SPARE_PART: f64 = 0.3;
/// Quick answers of a server since an attempt was sent there that prove that the attempt went astray alone,
/// how many times its usual time the server is given before that, and the least wait as part of the aim.
const QUICK_SINCE: u64 = 3;
const STRAY_TIMES: f64 = 6.0;
const STRAY_PART: f64 = 0.35;
/// What a server outside the zone that was drawn counts as worse.
const ELSEWHERE: f64 = 4.0;
/// Longest wait for a free server, as part of the aim, and how often held requests are looked at.
const HOLD_PART: f64 = 0.3;
const HOLD_STEP: TimeDelta = TimeDelta::from_micros(10_000);

/// A breaker over one way to the counter.
#[derive(Debug, Default)]
pub(crate) struct Breaker {
    streak: f64,
    opened: Option<Timestamp>,
    probing: bool,
}

impl Breaker {
    fn ready(&self, now: Timestamp) -> bool {
        self.opened
            .is_none_or(|at| !self.probing && now >= at + COOLDOWN)
    }
    /// A call is made; after the cooldown it is the half-open probe.
    fn ask(&mut self) {
        self.probing |= self.opened.is_some();
    }
    fn failure(&mut self, now: Timestamp, probe: bool) {
        self.streak += 1.0;
        if (self.opened.is_none() && self.streak >= FAILURES_TO_OPEN) || (probe && self.probing) {
            (self.opened, self.probing) = (Some(now), false);
        }
    }
    /// Guards against a slow counter that answers now and then: while closed, a success halves the streak
    /// instead of clearing it, so that mostly failing calls still open the breaker.
    fn success(&mut self, probe: bool) {
        if probe && self.probing {
            *self = Breaker::default();
        } else if self.opened.is_none() {
            self.streak /= 2.0;
        }
    }
}

fn ask_first(set: &Settings) -> f64 {
    (ASK_FIRST / f64::from(set.gateways)).min(1.0)
}

impl DecisionEngine {
    /// A gateway as it starts, knowing nothing but its settings.
    pub fn new(seed: u64, set: Settings) -> Result<DecisionEngine, SettingsError> {
        set.check()?;
        let rng = fastrand::Rng::with_seed(seed);
        let (retries, ask) = (RETRY_SAVED, ask_first(&set));
        let mut new = DecisionEngine {
            set,
            rng,
            retries,
            ask,
            pass: 1.0,
            ..DecisionEngine::default()
        };
        // Goes out with the first event, whichever that is.
        new.timer(Timer::Sweep, FORGET);
        new.out
            .extend(new.set.requires_subscription.then_some(Action::Subscribe));
        Ok(new)
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        self.pass_time(now);
        match event {
            Event::EndpointsUpdated { scope, entries } => self.on_servers(scope, entries),
            Event::ZoneSharesChanged {
                shares,
                threshold: floor,
            } => (self.sites, self.floor) = (shares, Some(floor)),
            Event::RequestArrived(arrival) => self.on_request(arrival),
            Event::Timer(timer) => self.on_timer(timer),
            Event::ResponseStarted(id) => self
                .requests
                .get_mut(&id)
                .into_iter()
                .for_each(|r| r.streaming = true),
            Event::ClientDisconnected(id) => self.finish(id, None),
            Event::UnitsSettled { request: id, units } => self.settle(id, units),
            Event::BodyDiscarded(id) => self
                .requests
                .get_mut(&id)
                .into_iter()
                .for_each(|r| r.body_gone = true),
            Event::ProbeCompleted { .. } => {}
            Event::CounterReplied {
                key: name,
                outcome,
                total,
            } => self.on_counted(name, outcome, total),
            Event::AttemptEnded(end) => self.on_attempt(end),
        }
        out.append(&mut self.out);
    }

    /// Keeps the mean of attempts out in calm, and the budget of time in flight that overload leaves of it.
    fn pass_time(&mut self, now: Timestamp) {
        let gone = (now - self.now).as_secs_f64();
        self.now = self.now.max(now);
        let servers = self.ring.len().max(1) as f64;
        let most_out = OVERLOAD_OUT * self.calm_out * servers;
        self.flight = (self.flight + (most_out - self.out_now) * gone).min(FLIGHT_SAVED);
        if !self.overloaded() {
            self.calm_out +=
                (1.0 - (-gone / CALM_SPAN).exp()) * (self.out_now / servers - self.calm_out);
            self.flight = self.flight.max(0.0);
        }
    }

    fn overloaded(&self) -> bool {
        self.pass < OVERLOAD_PASS && self.sparse() && self.floor.is_none()
    }

    fn timer(&mut self, timer: Timer, after: TimeDelta) {
        self.serial += 1;
        let id = TimerId(self.serial);
        self.timers.insert(id, timer);
        self.out.push(Action::SetTimer { timer: id, after });
    }

    fn on_timer(&mut self, id: TimerId) {
        match self.timers.remove(&id) {
            // Every request has its answer by its deadline.
            Some(Timer::Deadline(id))
                if self.requests.get(&id).is_none_or(|r| r.done || r.streaming) => {}
            Some(Timer::Deadline(id)) => self.refuse(id),
            Some(Timer::Stray(id, attempt)) => self.stray(id, attempt),
            Some(Timer::Held) => {
                self.hold_timer = false;
                self.serve_held();
            }
            Some(Timer::Resubscribe) => self
                .out
                .extend(self.set.requires_subscription.then_some(Action::Subscribe)),
            Some(Timer::Sweep) => {
                self.customers
                    .retain(|_, c| c.used + FORGET >= self.now || c.out > 0.0);
                self.timer(Timer::Sweep, FORGET);
            }
            None => {}
        }
    }

    // ---- admission ----

    /// Window length and what it admits: one burst in the burst's time; under a ceiling halves of both.
    fn window_of(&self, plan: usize) -> (TimeDelta, f64) {
        let p = &self.set.plans[plan];
        let part = if p.ceiling_rate > 0.0 { 0.5 } else { 1.0 };
        (
            TimeDelta::from_micros(((p.burst / p.rate) * part * 1e6).max(1.0) as u64),
            p.burst * part,
        )
    }

    /// The current window (or epoch) of a customer; the customer's hash shifts its edges, so that not all
    /// windows end at once.
    fn span(&self, customer: CustomerId, length: TimeDelta) -> (u64, TimeDelta) {
        let shifted = self.now.as_micros() + mix(customer.0) % length.as_micros();
        (
            shifted / length.as_micros(),
            TimeDelta::from_micros(length.as_micros() - shifted % length.as_micros()),
        )
    }

    /// Brings a customer's counts to the present window and epoch.
    fn roll(&mut self, id: CustomerId) {
        let Some(plan) = self.customers.get(&id).map(|c| c.plan) else {
            return;
        };
        let (now, rate, burst) = (
            self.now,
            self.set.plans[plan].rate,
            self.set.plans[plan].burst,
        );
        let length = if rate > 0.0 {
            self.window_of(plan).0
        } else {
            EPOCH
        };
        let (span, epoch) = (self.span(id, length).0, self.span(id, EPOCH).0);
        let Some(c) = self.customers.get_mut(&id) else {
            return;
        };
        if c.window.span != span {
            c.heard = (
                c.heard.0 * (1.0 - CARRY) + c.window.posted,
                c.heard.1 * (1.0 - CARRY) + c.window.seen,
            );
            // The store as followed from the last window; after a gap the window's plain allowance speaks.
            let (follows, known) = (c.window.span + 1 == span, c.window.known());
            let store = if follows {
                c.window.level(now, known, rate, burst)
            } else {
                burst
            };
            c.window = Tally {
                span,
                store,
                at: now,
                ..Tally::default()
            };
        }
        if c.epoch.span != epoch {
            c.epoch = Tally {
                span: epoch,
                owed: c.out,
                ..Tally::default()
            };
        }
    }

    fn on_request(&mut self, a: IncomingRequest) {
        let (id, now, customer, plan) = (a.id, self.now, a.customer, a.plan.0);
        if a.class.0 >= self.set.classes.len() || plan >= self.set.plans.len() {
            return self.out.push(Action::Reject {
                request: id,
                retry_after: None,
            });
        }
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_SAVED);
        // Before the deadline by two ticks: a timer may come one late, and the answer takes one.
        self.timer(
            Timer::Deadline(id),
            a.deadline - now - self.set.timer_resolution - self.set.timer_resolution,
        );
        let c = self.customers.entry(customer).or_default();
        if c.used == Timestamp::ZERO {
            c.beyond.at = now; // Starts empty: an earlier life of this gateway may have spent it.
        }
        (c.plan, c.spread, c.used) = (plan, f64::from(a.customer_gateways.max(1)), now);
        // Where clients do not mark repeats: the like of what was refused here a moment ago.
        let alike =
            |r: &Refusal| r.class == a.class && r.units == a.units && now < r.at + REPEAT_SPAN;
        let resent = a.is_retry || c.refused.as_ref().is_some_and(alike);
        self.requests.insert(
            id,
            Request {
                a: IncomingRequest {
                    is_retry: resent,
                    ..a
                },
                arrived: now,
                ..Request::default()
            },
        );
        self.roll(customer);
        if !self.set.classes[a.class.0].admission_only && self.shed(id) {
            let wait = self.soon(a.class);
            return self.finish(
                id,
                Some(Action::Reject {
                    request: id,
                    retry_after: wait,
                }),
            );
        }
        match self.set.plans[plan].rate > 0.0 {
            true => self.ask_window(id),
            false => self.ask_place(id),
        }
    }

    fn worth(&self, r: &Request) -> f64 {
        self.set.classes[r.a.class.0].priority_weight
            * self.set.plans[r.a.plan.0].priority_multiplier
    }

    /// Adaptive throttling before the servers: refuses by chance as many as came back late of late, those
    /// worth little first. Guards against overload where a gateway has too few attempts out to bound them.
    fn shed(&mut self, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id) else {
            return false;
        };
        let worth = self.worth(r);
        // Where sites are watched there is one order over all gateways: worth for the room it takes.
        if let Some(floor) = self.floor {
            let dense = worth / r.a.units;
            return dense < floor.reject_below
                || dense < floor.admit_above && self.rng.f64() >= floor.admit_fraction;
        }
        self.usual_worth += SMOOTH / 3.0 * (worth - self.usual_worth);
        let power = if worth > 0.0 {
            (self.usual_worth / worth).powi(2)
        } else {
            f64::MAX
        };
        self.sparse() && self.rng.f64() > self.pass.powf(power)
    }

    /// When to come back after a refusal that no window ends: soon, or the answer misses the aim; spread by
    /// chance and later the more is shed, so that repeats do not arrive as one wave.
    fn soon(&mut self, class: ClassId) -> Option<TimeDelta> {
        let wait = self.set.classes[class.0]
            .latency_objective
            .mul_f64(HINT_PART * self.rng.f64() * (1.0 - self.pass));
        self.set.send_retry_after.then_some(
            wait.max(self.set.timer_resolution)
                .min(self.set.max_retry_after),
        )
    }

    /// What a customer's quota has room for by a total of the shared count.
    fn room(&self, customer: CustomerId, total: f64) -> f64 {
        let Some(c) = self.customers.get(&customer) else {
            return 0.0;
        };
        let p = &self.set.plans[c.plan];
        c.window.level(self.now, total, p.rate, p.burst)
    }

    /// The counter says nothing of this customer for a while: then the local bucket alone decides.
    fn silent(&self, customer: CustomerId) -> bool {
        let own_open = self
            .customers
            .get(&customer)
            .is_some_and(|c| c.breaker.opened.is_some());
        !self.set.use_counter || self.breaker.opened.is_some() || own_open
    }

    /// For how many like it a request is to ask, with the share to this power; none: it is not to. Guards
    /// against a counter that our own calls drown, slow or near its capacity.
    fn asks(&mut self, power: f64) -> Option<f64> {
        let chance = if self.breaker.opened.is_some() {
            1.0
        } else {
            self.ask.powf(power)
        };
        (self.rng.f64() < chance).then_some(1.0 / chance)
    }

    fn may_call(&mut self, customer: CustomerId) -> bool {
        let (now, common) = (self.now, &mut self.breaker);
        let Some(c) = self.customers.get_mut(&customer) else {
            return false;
        };
        let ready = self.set.use_counter && common.ready(now) && c.breaker.ready(now);
        [common, &mut c.breaker]
            .into_iter()
            .filter(|_| ready)
            .for_each(Breaker::ask);
        ready
    }

    /// The ordinary path: one add on the customer's window before anything is sent on.
    fn ask_window(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let (customer, units, resent, worth) = (
            r.a.customer,
            r.a.units,
            r.a.is_retry,
            self.worth(r) * r.a.units,
        );
        let weight = if self.usual_asked > 0.0 {
            SMOOTH / 3.0
        } else {
            1.0
        };
        self.usual_asked += weight * (worth - self.usual_asked);
        let c = &self.customers[&customer];
        let total = c.window.known();
        if self.room(customer, total) < units && self.breaker.opened.is_none() && total > 0.0 {
            return self.refuse(id); // Known full: a call could only tell the same.
        }
        let burst = self.set.plans[c.plan].burst;
        // Those worth most ask first, repeats last, as they were refused a moment ago. Those that ask stand
        // in the count for those that do not, so that it tells what all use.
        let power = (self.usual_asked / worth.max(f64::MIN_POSITIVE)).min(100.0);
        match self.asks(power * if resent { REPEAT_POWER } else { 1.0 }) {
            Some(number) if self.may_call(customer) => {
                let like = ((number - 1.0) * units).min(burst - units).max(0.0);
                self.call(Purpose::Window, customer, Some(id), units, like);
            }
            asks => self.decide(id, Purpose::Window, None, asks.is_some()),
        }
    }

    fn ask_place(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let customer = r.a.customer;
        let power = if self.usual_asked > 0.0 {
            REPEAT_POWER
        } else {
            1.0
        }; // A place takes two calls.
        if self.set.plans[r.a.plan.0].max_concurrency <= 0.0 {
            self.admit(id);
        } else if self.asks(power).is_some() && self.may_call(customer) {
            self.call(Purpose::Open, customer, Some(id), 1.0, 0.0);
        } else {
            self.decide_place(id, None);
        }
    }

    /// One add: the request's units, those `like` it that do not ask, and what we owe.
    fn call(
        &mut self,
        purpose: Purpose,
        id: CustomerId,
        request: Option<RequestId>,
        units: f64,
        like: f64,
    ) {
        let Some(c) = self.customers.get_mut(&id) else {
            return;
        };
        let plan = c.plan;
        let (span, extra) = match purpose {
            Purpose::Window => (c.window.span, c.window.owed),
            Purpose::Open => (c.epoch.span, c.epoch.owed),
        };
        if units + extra == 0.0 && request.is_none() {
            return;
        }
        let tally = if purpose == Purpose::Open {
            &mut c.epoch
        } else {
            &mut c.window
        };
        (tally.owed, tally.posting) = (tally.owed - extra, tally.posting + extra);
        let length = if purpose == Purpose::Open {
            EPOCH
        } else {
            self.window_of(plan).0
        };
        let name =
            CounterKey(mix(mix(id.0) ^ mix(span << 1 | u64::from(purpose == Purpose::Open))) >> 1);
        let probe =
            request.is_some() && (self.breaker.probing || self.customers[&id].breaker.probing);
        let (sent, amount, customer) = (self.now, units + like + extra, id);
        let call = Call {
            sent,
            purpose,
            customer,
            span,
            request,
            amount,
            extra,
            like,
            probe,
        };
        self.calls.entry(name).or_default().push_back(call);
        request
            .and_then(|id| self.requests.get_mut(&id))
            .into_iter()
            .for_each(|r| r.asking += 1);
        self.out.push(Action::AddToCounter {
            key: name,
            amount,
            time_to_live: (length + length).min(TimeDelta::from_micros(60_000_000)),
        });
    }

    /// A line that builds up at the counter makes asking rarer before calls fail, by half at most, once for
    /// calls that were out together. A quick answer counts for those that did not ask, too, at most fourfold.
    fn ask_by(&mut self, took: TimeDelta) {
        let line = took.as_secs_f64() - self.no_line;
        self.no_line += if line < 0.0 || self.no_line == 0.0 {
            line
        } else {
            line * SMOOTH / 100.0
        };
        let slow = line.max(0.0) / (self.set.counter_timeout.as_secs_f64() * ASK_SLOW).max(1e-9);
        let step = (1.0 + ASK_STEP * (1.0 - slow)).max(0.5);
        if slow < 1.0 {
            self.ask *= step.powf(1.0 / self.ask).min(4.0);
        } else if self.now >= self.ask_cut + self.set.counter_timeout {
            (self.ask, self.ask_cut) = (self.ask * step, self.now);
        }
        self.ask = self.ask.clamp(LEAST_PART, 1.0);
    }

    /// Guards against one hot name that fills its part of the counter: failures of the same customer in a row
    /// count once for the common breaker, while that customer's own breaker opens.
    fn call_failed(&mut self, customer: CustomerId, outcome: Outcome, probe: bool) {
        let now = self.now;
        // A call that its connection took along says nothing of a counter that answered others a moment ago.
        let broken = !matches!(outcome, Outcome::Timeout | Outcome::Rejected);
        if broken && !probe && now < self.heard_at + self.set.counter_timeout {
            return;
        }
        self.ask_by(self.set.counter_timeout);
        if self.last_failed != Some(customer) || probe {
            self.breaker.failure(now, probe);
        }
        self.last_failed = Some(customer);
        self.customers
            .get_mut(&customer)
            .into_iter()
            .for_each(|c| c.breaker.failure(now, probe));
    }

    fn on_counted(&mut self, name: CounterKey, outcome: Outcome, total: f64) {
        let Some(call) = self
            .calls
            .get_mut(&name)
            .and_then(|queue| queue.pop_front())
        else {
            return;
        };
        if self.calls.get(&name).is_some_and(|queue| queue.is_empty()) {
            self.calls.remove(&name);
        }
        call.request
            .and_then(|id| self.requests.get_mut(&id))
            .into_iter()
            .for_each(|r| r.asking -= 1);
        self.roll(call.customer);
        let plan = self.customers.get(&call.customer).map_or(0, |c| c.plan);
        let (now, rate, burst) = (
            self.now,
            self.set.plans[plan].rate,
            self.set.plans[plan].burst,
        );
        let Some(c) = self.customers.get_mut(&call.customer) else {
            return;
        };
        let tally = if call.purpose == Purpose::Window {
            &mut c.window
        } else {
            &mut c.epoch
        };
        let current = tally.span == call.span;
        if current {
            tally.posting -= call.extra;
        }
        let mut heard = None;
        if outcome == Outcome::Ok {
            if current {
                tally.posted += call.amount;
                // Guards against an emptied counter: a total below our own adds proves lost memory; our spend
                // goes back on and is reckoned with here until it has.
                let lost = tally.posted - total;
                if lost > 0.5 && call.purpose == Purpose::Window {
                    (tally.owed, tally.posted) = (tally.owed + lost, total);
                    c.beyond.level -= lost; // Others may spend it again: under a ceiling that is paid for.
                }
                tally.seen = total;
                let known = tally.known();
                tally.store = tally.level(now, known, rate, burst);
                (tally.base, tally.at) = (known, now);
            }
            heard = Some(
                total - call.like
                    + if current {
                        tally.owed + tally.posting
                    } else {
                        0.0
                    },
            );
            c.breaker.success(call.probe);
            if c.spread * self.set.max_request_units <= self.set.plans[plan].burst {
                c.bucket = None;
            }
            self.ask = if call.probe {
                ask_first(&self.set)
            } else {
                self.ask
            };
            self.ask_by(now - call.sent);
            (self.last_failed, self.heard_at) = (None, now);
            self.breaker.success(call.probe);
            if let Some(r) = call.request.and_then(|id| self.requests.get_mut(&id)) {
                r.counted =
                    (call.purpose == Purpose::Window).then_some((call.span, r.a.units + call.like));
            }
        } else {
            tally.owed += if current && outcome.never_ran() {
                call.extra
            } else {
                0.0
            };
            self.call_failed(call.customer, outcome, call.probe);
        }
        call.request
            .into_iter()
            .for_each(|id| self.decide(id, call.purpose, heard, true));
        let owed = self
            .customers
            .get(&call.customer)
            .is_some_and(|c| c.window.owed > 0.5);
        if owed && call.purpose == Purpose::Window && heard.is_some() {
            self.call(Purpose::Window, call.customer, None, 0.0, 0.0);
        }
        call.request.into_iter().for_each(|id| self.let_go(id));
    }

    fn take_back(&mut self, customer: CustomerId, span: u64, units: f64) {
        self.roll(customer);
        let Some(c) = self.customers.get_mut(&customer) else {
            return;
        };
        if c.window.span != span {
            return;
        }
        c.window.owed -= units;
        let total = c.window.known();
        // Nobody could use a scrap of room: then it goes back with the next call.
        if self.breaker.opened.is_none() && self.room(customer, total) >= 1.0 {
            self.call(Purpose::Window, customer, None, 0.0, 0.0);
        }
    }

    /// Decides a request by the total heard, unasked by the last one, where the counter fails by the share.
    fn decide(&mut self, id: RequestId, purpose: Purpose, heard: Option<f64>, asked: bool) {
        if purpose == Purpose::Open {
            return self.decide_place(id, heard);
        }
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let (customer, units, plan) = (r.a.customer, r.a.units, r.a.plan.0);
        let (resent, done) = (r.a.is_retry, r.done);
        let full = self.customers[&customer]
            .full
            .is_some_and(|at| self.now < at + REMEMBER);
        let ok = match heard {
            _ if done => return,
            // Under a ceiling what a counter forgot is paid off first.
            Some(total) if self.room(customer, total) < 0.0 => false,
            Some(total) if total <= self.window_of(plan).1 => self.beyond_take(customer, plan, 0.0),
            Some(_) => self.beyond_take(customer, plan, units),
            // A repeat was refused a moment ago, here or elsewhere: it must be heard.
            None if resent && !self.silent(customer) => false,
            None if !asked && !self.silent(customer) => {
                !full && self.beyond_take(customer, plan, units)
            }
            None => {
                self.beyond_take(customer, plan, units) && self.local_take(customer, plan, units)
            }
        };
        if let Some(c) = self
            .customers
            .get_mut(&customer)
            .filter(|_| heard.is_some())
        {
            c.full = (!ok).then_some(self.now);
        }
        match ok {
            true => self.ask_place(id),
            false => self.refuse(id),
        }
    }

    /// Guards the hard ceiling wherever the plain window does not speak for what is sent on: unheard, by what
    /// a gateway believes was left over, or beyond the quota. Each gateway may send so only its part of what
    /// the ceiling holds above the quota; plain windows stay within the quota, so the sum keeps the ceiling
    /// whatever single gateways believe. May hurt one that has all the traffic.
    fn beyond_take(&mut self, customer: CustomerId, plan: usize, units: f64) -> bool {
        let (now, p) = (self.now, &self.set.plans[plan]);
        let Some(c) = self
            .customers
            .get_mut(&customer)
            .filter(|_| p.ceiling_rate > 0.0)
        else {
            return true;
        };
        (c.beyond.rate, c.beyond.depth) = (
            (p.ceiling_rate - p.rate).max(0.0) / c.spread,
            (p.ceiling_burst - p.burst).max(0.0) / c.spread,
        );
        c.beyond.take(now, units)
    }

    /// The local bucket decides where the counter fails: the customer's rate over its gateways, from the
    /// part of what the store was last known to hold; under a ceiling `beyond_take` stands before it. Guards
    /// against refusing customers with few units, for whom a share from empty admits nothing for seconds.
    fn local_take(&mut self, customer: CustomerId, plan: usize, units: f64) -> bool {
        let (now, most_units, p) = (self.now, self.set.max_request_units, &self.set.plans[plan]);
        let Some(c) = self.customers.get_mut(&customer) else {
            return false;
        };
        let left = c
            .window
            .level(now, c.window.known(), p.rate, p.burst)
            .max(0.0);
        // Half by the gateways it can come through, half by what this one was seen to carry: sums to one.
        let carried = if c.heard.1 > 0.0 {
            (c.heard.0 / c.heard.1).clamp(0.0, 1.0)
        } else {
            1.0 / c.spread
        };
        let share = (carried + 1.0 / c.spread) / 2.0;
        // Guards against shares of less than one request, which would refuse everything: at least that much.
        let (level, depth) = (
            (left * share).max(most_units),
            (p.burst * share).max(most_units),
        );
        let rate = p.rate * share;
        let ok = c
            .bucket
            .get_or_insert(TokenBucket {
                level,
                depth,
                rate,
                at: now,
            })
            .take(now, units);
        c.window.owed += if ok { units } else { 0.0 };
        ok
    }

    fn decide_place(&mut self, id: RequestId, heard: Option<f64>) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let (customer, plan, done) = (r.a.customer, &self.set.plans[r.a.plan.0], r.done);
        let Some(c) = self.customers.get(&customer) else {
            return;
        };
        let ok = match heard {
            Some(total) => total <= plan.max_concurrency,
            None if r.a.is_retry && !self.silent(customer) => false,
            None if plan.max_concurrency >= c.spread => {
                c.out < (plan.max_concurrency / c.spread).floor()
            }
            None => self.unheard_place(customer),
        };
        match ok && !done {
            true => self.admit(id),
            false => self.refuse(id),
        }
        self.sync_places(customer);
    }

    /// Less than one place for each gateway, unheard: starts are paced so that all gateways together fill a
    /// part of the places at the present time to answer, not hundreds of them a place each. Starts with one,
    /// for customers with few requests at a gateway; may hurt where one sends much through many at first.
    fn unheard_place(&mut self, customer: CustomerId) -> bool {
        let (now, held) = (self.now, self.latency.max(1.0) / 1e6);
        let Some(c) = self.customers.get_mut(&customer) else {
            return false;
        };
        let rate = PLACES_UNHEARD * self.set.plans[c.plan].max_concurrency / c.spread / held;
        let places = c.places.get_or_insert(TokenBucket {
            level: 1.0,
            depth: 1.0,
            rate,
            at: now,
        });
        places.rate = rate;
        places.take(now, 1.0)
    }

    /// Puts the shared count of attempts out right where it says more than is out: a place let go.
    fn sync_places(&mut self, customer: CustomerId) {
        self.roll(customer);
        let Some(c) = self.customers.get_mut(&customer) else {
            return;
        };
        let surplus = c.epoch.posted + c.epoch.posting + c.epoch.owed - c.out;
        if surplus > 0.5 && self.breaker.opened.is_none() {
            c.epoch.owed -= surplus;
            self.call(Purpose::Open, customer, None, 0.0, 0.0);
        }
    }

    // ---- the life of a request ----

    fn admit(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        if self.set.plans[r.a.plan.0].max_concurrency > 0.0 {
            r.holds_place = true;
            self.customers
                .get_mut(&r.a.customer)
                .into_iter()
                .for_each(|c| c.out += 1.0);
        }
        if self.set.classes[r.a.class.0].admission_only {
            // Its units stay counted and its place held; from here on it has no deadline.
            (r.streaming, r.counted) = (true, None);
            return self.out.push(Action::Grant(id));
        }
        self.dispatch(id);
    }

    /// What a granted request cost beside what was reserved goes onto the count with the next call.
    fn settle(&mut self, id: RequestId, units: f64) {
        let Some(r) = self
            .requests
            .get_mut(&id)
            .filter(|r| r.streaming && !r.done)
        else {
            return;
        };
        let customer = r.a.customer;
        let units = units.clamp(0.0, self.set.max_request_units);
        let more = units - std::mem::replace(&mut r.a.units, units);
        self.roll(customer);
        self.customers
            .get_mut(&customer)
            .into_iter()
            .for_each(|c| c.window.owed += more);
    }

    /// Attempts out at each listed server, and the most that there may be.
    pub fn endpoint_concurrency(&self) -> impl Iterator<Item = EndpointConcurrency> + '_ {
        let scale = self.scale();
        let listed = self.ring.iter().map(|&place| self.servers.at(place));
        listed.map(move |(id, s)| EndpointConcurrency {
            endpoint: *id,
            in_flight: s.out,
            limit: s.limit * scale,
        })
    }

    /// A look at a customer's quota, which changes nothing and asks nobody.
    pub fn quota_status(&self, now: Timestamp, customer: CustomerId, plan: PlanId) -> QuotaStatus {
        let p = &self.set.plans[plan.0];
        if p.rate <= 0.0 {
            let out = self.customers.get(&customer).map_or(0.0, |c| c.out);
            return QuotaStatus {
                limit: p.max_concurrency,
                remaining: (p.max_concurrency - out).max(0.0),
                resets_in: TimeDelta::from_micros(0),
            };
        }
        let (length, quota) = self.window_of(plan.0);
        let shifted = now.as_micros() + mix(customer.0) % length.as_micros();
        let known = self
            .customers
            .get(&customer)
            .filter(|c| c.window.span == shifted / length.as_micros());
        let left = known.map_or(quota, |c| self.room(customer, c.window.known()));
        let reset = TimeDelta::from_micros(length.as_micros() - shifted % length.as_micros());
        QuotaStatus {
            limit: quota,
            remaining: left.clamp(0.0, p.burst),
            resets_in: reset,
        }
    }

    /// Sends the next attempt, or holds the request until a server is free.
    fn dispatch(&mut self, id: RequestId) {
        if let Some(server) = self.pick(id) {
            return self.send(id, server);
        }
        if let Some(r) = self
            .requests
            .get_mut(&id)
            .filter(|r| r.held_since.is_none())
        {
            r.held_since = Some(self.now);
            self.held.push(id);
        }
        self.watch_held();
    }

    fn watch_held(&mut self) {
        if !self.held.is_empty() && !self.hold_timer {
            self.hold_timer = true;
            self.timer(Timer::Held, HOLD_STEP);
        }
    }

    fn send(&mut self, id: RequestId, server: EndpointId) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let class = &self.set.classes[r.a.class.0];
        // An attempt at a server out of line is given up while another could still meet the aim. Guards
        // against servers that fall silent. Nowhere else: given up by the clock alone is work done twice, and
        // that tips a full fleet into a jam. May hurt the first request at each silent server: it waits.
        let again = class.idempotency != Idempotency::NonIdempotent
            && !class.is_streaming
            && r.attempts.len() + 1 < self.set.max_attempts
            && (class.idempotency == Idempotency::Idempotent || class.key_scope == KeyScope::All)
            && self.fail_share < CALM_SHARE
            && self
                .servers
                .get(server)
                .is_some_and(|s| s.trial || s.fail_share > 2.0 * self.fail_share);
        let early = r.arrived + class.latency_objective.mul_f64(1.0 - SPARE_PART);
        let until = if again && early > now + class.latency_objective.mul_f64(SPARE_PART) {
            early
        } else {
            r.a.deadline
        };
        let s = self.servers.get(server);
        let (quick, usual) = s.map_or((0, 0.0), |s| (s.quick, s.latency));
        r.attempts.push(Attempt {
            server,
            sent: now,
            out: true,
            may_have_run: false,
            quick,
        });
        let number = r.attempts.len() - 1;
        r.held_since = None;
        r.counted = None;
        let (units, until) = (r.a.units, until.min(r.a.deadline));
        let look = TimeDelta::from_micros((usual * STRAY_TIMES) as u64)
            .max(class.latency_objective.mul_f64(STRAY_PART));
        let look = (class.idempotency == Idempotency::Idempotent
            && !class.is_streaming
            && now + look < early)
            .then_some(look);
        self.flow.level = self.flow_rate() * FLOW_SPAN + units;
        self.flow.at = now;
        if let Some(s) = self.servers.get_mut(server) {
            s.out += 1.0;
            self.out_now += 1.0;
            s.cold_room.level -= units;
        }
        self.out.push(Action::SendAttempt {
            request: id,
            endpoint: server,
            deadline: until,
        });
        look.into_iter()
            .for_each(|look| self.timer(Timer::Stray(id, number), look));
    }

    /// Whether an attempt alone is late, not its server, which answered others quickly since it was sent.
    fn is_stray(&self, a: &Attempt) -> bool {
        self.servers
            .get(a.server)
            .is_some_and(|s| s.quick >= a.quick + QUICK_SINCE)
    }

    /// Calls an attempt off that went astray, so that the request goes again. Guards against connections that
    /// fall silent while their servers work; never acts where all answers are late, as in a jam. May hurt
    /// one long piece of work among short ones.
    fn stray(&mut self, id: RequestId, attempt: usize) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.done && !r.streaming) else {
            return;
        };
        let astray = r
            .attempts
            .get(attempt)
            .is_some_and(|a| a.out && self.is_stray(a));
        let room = r.attempts.len() < self.set.max_attempts && self.retries >= 1.0;
        if astray && room && self.set.allow_cancel {
            self.out.push(Action::CancelAttempt {
                request: id,
                attempt,
            });
        }
    }

    fn serve_held(&mut self) {
        let now = self.now;
        let mut waiting = std::mem::take(&mut self.held);
        waiting.retain(|id| {
            self.requests
                .get(id)
                .is_some_and(|r| !r.done && r.held_since.is_some())
        });
        // In overload the least worth for its work waits longest and is refused first.
        let room = |r: &Request| if self.floor.is_some() { r.a.units } else { 1.0 };
        let dense = |r: &Request| (self.worth(r) / room(r) * 1e6) as u64;
        waiting.sort_by_key(|id| (std::cmp::Reverse(dense(&self.requests[id])), *id));
        for id in waiting {
            let r = &self.requests[&id];
            let longest = self.set.classes[r.a.class.0]
                .latency_objective
                .mul_f64(HOLD_PART);
            let overdue = r.held_since.is_some_and(|at| now >= at + longest);
            if let Some(server) = self.pick(id) {
                self.send(id, server);
            } else if overdue {
                self.refuse(id);
            } else {
                self.held.push(id);
            }
        }
        self.watch_held();
    }

    /// Refuses with a retry-after where that is allowed, or fails.
    fn refuse(&mut self, id: RequestId) {
        let Some(class) = self.requests.get(&id).map(|r| r.a.class) else {
            return;
        };
        let soon = self.soon(class);
        let r = &self.requests[&id];
        let (p, c) = (&self.set.plans[r.a.plan.0], &self.customers[&r.a.customer]);
        let short = r.a.units - c.window.level(self.now, c.window.known(), p.rate, p.burst);
        let refill = TimeDelta::from_micros((short.max(0.0) / p.rate * 1e6) as u64);
        let wait = soon
            .filter(|_| p.rate > 0.0)
            .map(|s| s.max(refill).min(self.set.max_retry_after));
        let answer = if self.may_refuse(r) {
            Action::Reject {
                request: id,
                retry_after: wait,
            }
        } else {
            Action::Fail(id)
        };
        if let Some(c) = self.customers.get_mut(&r.a.customer) {
            c.refused = Some(Refusal {
                class: r.a.class,
                units: r.a.units,
                at: self.now,
            });
        }
        self.finish(id, Some(answer));
    }

    /// The request has its final answer; what is still out is called off.
    fn finish(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        if !r.done {
            r.done = true;
            self.out.extend(answer);
            let recall = self.set.allow_cancel && !r.streaming;
            let still_out = r
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, a)| a.out && recall);
            self.out
                .extend(still_out.map(|(i, _)| Action::CancelAttempt {
                    request: id,
                    attempt: i,
                }));
        }
        self.let_go(id);
    }

    /// Forgets a finished request once nothing of it is out, and frees its place.
    fn let_go(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.done && !r.is_out()) else {
            return;
        };
        let customer = r.a.customer;
        let (held, counted) = (std::mem::take(&mut r.holds_place), r.counted.take());
        // A call still out needs to know whether the request went on.
        if r.asking == 0 {
            self.requests.remove(&id);
        }
        counted
            .into_iter()
            .for_each(|(span, units)| self.take_back(customer, span, units));
        if held {
            self.customers
                .get_mut(&customer)
                .into_iter()
                .for_each(|c| c.out -= 1.0);
            self.sync_places(customer);
        }
    }

    fn on_attempt(&mut self, end: AttemptResult) {
        let (id, outcome) = (end.id, end.outcome);
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let named = r.attempts.get_mut(end.attempt);
        let Some(a) = named.filter(|a| a.out && a.server == end.endpoint) else {
            return;
        };
        a.out = false;
        a.may_have_run = !outcome.never_ran();
        let sent = a.clone();
        let (aim, was_done) = (self.set.classes[r.a.class.0].latency_objective, r.done);
        r.done |= end.request_finished || outcome == Outcome::Ok;
        let (answered, in_time) = (r.done, self.now < r.arrived + aim);
        let settled = end
            .settled_units
            .filter(|_| outcome == Outcome::Ok && !was_done);
        if let (Some(units), Some(c)) = (settled, self.customers.get_mut(&r.a.customer)) {
            c.window.owed += units - r.a.units;
        }
        let stray = outcome != Outcome::Ok && self.is_stray(&sent);
        self.judge(end.endpoint, outcome, end.elapsed, aim, stray);
        if answered {
            self.let_go(id);
        } else if in_time && self.may_repeat(id) && self.retries >= 1.0 {
            self.retries -= 1.0;
            self.dispatch(id);
        } else if self.requests.get(&id).is_some_and(|r| !r.is_out()) {
            self.refuse(id);
        }
        if !self.held.is_empty() {
            self.serve_held();
        }
    }

    // ---- choice of a server ----

    /// How many servers are in this gateway's own part of the fleet.
    fn reach(&self) -> usize {
        (REACH_LEAST + REACH_FLOW * self.flow_rate()).min(self.ring.len() as f64) as usize
    }

    /// This gateway's part in the bound at one server: one where few gateways share it, else by how many do.
    fn scale(&self) -> f64 {
        let sharing =
            f64::from(self.set.gateways) * self.reach() as f64 / self.ring.len().max(1) as f64;
        (FLEET_START / LIMIT_START / sharing.max(1e-9)).min(1.0)
    }

    /// So many gateways share the servers that bounds start below one attempt and say little.
    fn sparse(&self) -> bool {
        LIMIT_START * self.scale() < 1.0
    }

    /// The listed servers, this gateway's own part of the fleet first. Guards against learning nothing of any
    /// server where each gateway sees few requests. The golden ratio spreads the parts evenly, also those of
    /// gateways in a row, through which one customer comes.
    fn own_part_first(&self) -> impl Iterator<Item = &(EndpointId, Server)> + '_ {
        let (before, own) = self.ring.split_at(self.own_start());
        own.iter()
            .chain(before)
            .map(|&place| self.servers.at(place))
    }

    fn own_start(&self) -> usize {
        let start = (f64::from(self.set.gateway_index) * 0.618_033_988_749_895).fract()
            * self.ring.len() as f64;
        (start as usize).min(self.ring.len())
    }

    /// The sum of the bounds of the own part's healthy servers. Over a large part it is looked at again with
    /// each tick only, as it moves by one answer among hundreds.
    fn most_out(&mut self, reach: usize) -> f64 {
        if reach > DRAWN && self.now < self.summed.0 + self.set.timer_resolution {
            return self.summed.1;
        }
        let scale = self.scale();
        let fit = self
            .own_part_first()
            .take(reach)
            .map(|(_, s)| s)
            .filter(|s| self.healthy(s));
        let most: f64 = fit.map(|s| s.limit * scale).sum();
        self.summed = (self.now, most);
        most
    }

    /// The allowed server with the least expected wait, beyond the own part only if that has none.
    fn pick(&mut self, id: RequestId) -> Option<EndpointId> {
        self.warm_up();
        let (salt, toward) = (self.rng.u64(..), self.toward());
        let (reach, scale) = (self.reach(), self.scale());
        // Bounds may fall below one (many gateways): what is out in all stays within their sum.
        let most = self.most_out(reach);
        let r = self.requests.get(&id)?;
        let any_healthy = most > 0.0 || self.servers.values().any(|s| s.listed && self.healthy(s));
        if most > 0.0 && self.out_now >= most.max(if self.sparse() { FEW_OUT } else { 1.0 }) {
            return None;
        }
        // Guards against jams that feed themselves: many gateways with an attempt or two each keep servers
        // full though most is shed. In overload time in flight is a budget by each gateway's own calm mean:
        // where answers take ten times as long a tenth is sent. May hurt where servers hang, not jam.
        if self.overloaded() && self.flight <= 0.0 {
            return None;
        }
        let mut best: Option<(f64, EndpointId)> = None;
        let mut look = |at: &(EndpointId, Server)| {
            let score = self.score(r, at, scale, any_healthy, salt, toward);
            best = score
                .filter(|score| best.is_none_or(|(b, _)| *score < b))
                .map(|s| (s, at.0))
                .or(best);
            best.is_some()
        };
        // Of a large part some are drawn: the best of many is hardly better, and a look at all costs more
        // the larger the fleet is. All are looked at where none of those will do.
        let (start, len) = (self.own_start(), self.ring.len());
        let drawn = if reach > DRAWN { DRAWN } else { 0 };
        let places = (0..drawn).map(|i| self.ring[(start + (salt as usize + i) % reach) % len]);
        if places.filter(|&place| look(self.servers.at(place))).count() > 0 {
            return best.map(|(_, sid)| sid);
        }
        for (i, entry) in self.own_part_first().enumerate() {
            if look(entry) && i + 1 >= reach {
                break;
            }
        }
        best.map(|(_, sid)| sid)
    }

    /// The zone that a request goes to first, drawn by what each should bear; none: sites are not watched.
    fn toward(&mut self) -> Option<ZoneId> {
        let mut draw = if self.sites.is_empty() {
            1.0
        } else {
            self.rng.f64()
        };
        let mut drawn = self.sites.iter().skip_while(|s| {
            draw -= s.share;
            draw >= 0.0
        });
        drawn.next().map(|s| s.zone)
    }

    /// The expected wait at a server against others (`fit`: some is healthy); none: it may not be asked now.
    fn score(
        &self,
        r: &Request,
        at: &(EndpointId, Server),
        scale: f64,
        fit: bool,
        salt: u64,
        toward: Option<ZoneId>,
    ) -> Option<f64> {
        let (sid, s) = at;
        // With nothing healthy left, one at a time to whatever is listed.
        let most = if fit {
            (s.limit * scale).floor().max(1.0)
        } else {
            1.0
        };
        if s.out >= most || fit && !self.healthy(s) || !self.may_send(r, s) {
            return None;
        }
        let slow = if self.latency > 0.0 {
            (s.latency / self.latency).clamp(0.7, 2.0)
        } else {
            1.0
        };
        let tried = r.attempts.iter().filter(|a| a.server == *sid).count() as f64;
        // Elsewhere than drawn only where that zone has no place, and never to one that is closed.
        let closed = || {
            self.sites
                .iter()
                .any(|z| z.zone == s.zone && !z.accepts_overflow)
        };
        let far = match toward {
            None => f64::from(u8::from(s.zone != self.set.zone)) * 0.05 * scale,
            Some(zone) if zone == s.zone => 0.0,
            Some(_) if closed() => return None,
            Some(_) => ELSEWHERE,
        };
        let mut score = (s.out + 1.0) * slow / s.weight * (1.0 + 3.0 * s.fail_share) + 4.0 * tried;
        score *= 1.0 + 0.1 * (mix(salt ^ sid.0) as f64 / u64::MAX as f64) + far;
        // A server on trial is asked sooner, or one that failed would never be tried again.
        Some(
            score
                * if s.trial && r.attempts.is_empty() {
                    0.3
                } else {
                    1.0
                },
        )
    }

    fn healthy(&self, s: &Server) -> bool {
        self.now >= s.ejected_until && (!s.trial || s.out < 1.0)
    }

    // ---- health and cold starts ----

    fn judge(
        &mut self,
        server: EndpointId,
        outcome: Outcome,
        took: TimeDelta,
        aim: TimeDelta,
        stray: bool,
    ) {
        let now = self.now;
        let (jitter, scale, overloaded) =
            (0.75 + 0.5 * self.rng.f64(), self.scale(), self.overloaded());
        let Some(s) = self.servers.get_mut(server) else {
            return;
        };
        s.out = (s.out - 1.0).max(0.0);
        self.out_now = (self.out_now - 1.0).max(0.0);
        // Guards against servers that hold too much and work worse for it, by overload or by a trouble of
        // their own: the bound gives way fast and comes back slowly. May hurt just after short stalls.
        let held = took + TimeDelta::from_micros(2 * s.latency as u64);
        let late =
            matches!(outcome, Outcome::Ok | Outcome::Cancelled) && held > aim.mul_f64(LATE_PART);
        let unheard = matches!(outcome, Outcome::Cancelled | Outcome::Timeout) && stray;
        let jammed = !unheard && (late || matches!(outcome, Outcome::Rejected | Outcome::Timeout));
        s.quick += u64::from(outcome == Outcome::Ok && took < aim.mul_f64(GROW_PART));
        // A late answer now and then is the work's own time: the more of them come, the more each one tells.
        // Guards against a throttle outlasting its cause where few answers come: good news weighs by the time
        // since the last, here and in a server's usual time.
        let fresh = 1.0
            - (-(now - std::mem::replace(&mut self.judged, now)).as_secs_f64() / FLOW_SPAN).exp();
        let news = if jammed { SMOOTH } else { SMOOTH.max(fresh) };
        self.late_share += news * (f64::from(u8::from(jammed)) - self.late_share);
        let late = (self.late_share / PASS_LATE).min(1.0);
        let (cut, back) = (
            1.0 - (1.0 - PASS_CUT) * late,
            PASS_GROW.max(PASS_BACK * fresh * (1.0 - late)),
        );
        self.pass = if jammed {
            self.pass * cut
        } else {
            self.pass + back
        }
        .clamp(LEAST_PART, 1.0);
        if jammed {
            s.limit = (s.limit * LIMIT_CUT).max(LIMIT_LEAST);
        } else if outcome == Outcome::Ok
            && s.out + 1.0 >= (s.limit * scale).floor()
            && took < aim.mul_f64(GROW_PART)
        {
            s.limit += LIMIT_GROW;
            self.calm_out *= if overloaded { CALM_GROW } else { 1.0 };
        }
        let ill = !matches!(
            outcome,
            Outcome::Ok | Outcome::Cancelled | Outcome::NeverSent
        ) || took > aim;
        // One connection may break while a request goes out: the second in a row tells of the server.
        let unmade = outcome == Outcome::ConnectFailed;
        let alone = unmade && s.unreached.is_none();
        if unmade {
            s.unreached = Some((s.unreached.map_or(now, |(first, _)| first), now));
        }
        let bad = ill && !unheard && !alone;
        self.fail_share += SMOOTH / 3.0 * (f64::from(u8::from(bad)) - self.fail_share);
        // Guards against jams at single servers that nobody notices: late answers count as failures do, and
        // the longer ago the last evidence, the more the newest weighs, so a gateway that sees a server once
        // in seconds puts it aside at once. May hurt one after a long piece of work: it rests for a second.
        let weight = SMOOTH.max(1.0 - (-(now - s.judged).as_secs_f64() / FLOW_SPAN).exp());
        s.judged = now;
        s.fail_share += weight * (f64::from(u8::from(bad)) - s.fail_share);
        if outcome == Outcome::Ok {
            let sample = took.as_micros() as f64;
            for (smooth, weight) in [(&mut s.latency, weight), (&mut self.latency, SMOOTH)] {
                *smooth = if *smooth == 0.0 {
                    sample
                } else {
                    *smooth + weight * (sample - *smooth)
                };
            }
            if !bad && std::mem::take(&mut s.trial) {
                s.fail_share = 0.0; // The trial is passed.
            } else if !bad {
                s.ejections = 0;
            }
            // Guards against a restart that the list has not told yet: connects failed for a while, no answer
            // between, and now it answers, so it is taken to be cold.
            let unreached = s
                .unreached
                .take()
                .is_some_and(|(first, last)| last - first > UNREACHED);
            if unreached && s.cold_since.is_none() {
                s.cold_since = Some(now);
                self.cold += 1;
                s.cold_room = TokenBucket {
                    level: 0.0,
                    depth: 1.0,
                    rate: 0.0,
                    at: now,
                };
            }
        }
        if !bad {
            return;
        }
        if outcome == Outcome::Rejected {
            s.ejected_until = s.ejected_until.max(now + REST);
            return;
        }
        // Outlier ejection. Guards against servers that fail fast, hang or are unreachable; a server is out
        // of line only against the others, or overload would eject them one by one.
        let out_of_line = unmade || s.fail_share > EJECT_SHARE.max(2.0 * self.fail_share);
        if now >= s.ejected_until && (out_of_line || s.trial) {
            s.ejected_until = now + EJECT_FIRST.mul_f64(f64::from(1 << s.ejections) * jitter);
            s.ejections = (s.ejections + 1).min(EJECT_DOUBLINGS);
            s.trial = true;
        }
    }

    /// Units a second that this gateway sends on, over the last moments.
    fn flow_rate(&self) -> f64 {
        self.flow.level / FLOW_SPAN * (-(self.now - self.flow.at).as_secs_f64() / FLOW_SPAN).exp()
    }

    /// Guards against pushing over a cold server: it is given the work that a warm one of its size gets from
    /// this gateway, times the part of its capacity that it must have by now. Warm servers bear that load,
    /// and each gateway scales its own, so the sum stays in proportion.
    fn warm_up(&mut self) {
        let (now, set) = (self.now, &self.set);
        if self.cold == 0 {
            return;
        }
        let many = self.sparse();
        let usable = |s: &&Server| s.listed && now >= s.ejected_until;
        let warm: f64 = self
            .servers
            .values()
            .filter(usable)
            .filter(|s| s.cold_since.is_none())
            .map(|s| s.weight)
            .sum();
        let all: f64 = self
            .servers
            .values()
            .filter(|s| s.listed)
            .map(|s| s.weight)
            .sum();
        let per_weight = self.flow_rate()
            / if warm * 3.0 >= all {
                warm
            } else {
                all.max(1e-9)
            };
        for s in self.servers.values_mut() {
            let Some(since) = s.cold_since else { continue };
            if now >= since + set.slow_start_duration {
                s.cold_since = None;
                self.cold -= 1;
                continue;
            }
            let part = set.slow_start_min_capacity
                + (1.0 - set.slow_start_min_capacity)
                    * ((now - since).as_secs_f64() / set.slow_start_duration.as_secs_f64());
            s.cold_room.rate =
                per_weight * s.weight * part * (set.overload_multiple / 2.0).min(1.0);
            s.cold_room.fill(now);
            // Guards against hundreds of gateways that each saved up one request: unused, leave soon lapses.
            if many && s.cold_room.level > s.cold_room.rate * COLD_LEAVE.as_secs_f64() {
                s.cold_room.level = -set.max_request_units;
            }
        }
    }

    fn on_servers(&mut self, scope: UpdateScope, entries: Vec<EndpointEntry>) {
        if scope == UpdateScope::Unavailable {
            let wait = TimeDelta::from_micros(500_000 + self.rng.u64(0..500_000));
            return self.timer(Timer::Resubscribe, wait);
        }
        if scope == UpdateScope::Complete {
            self.servers.values_mut().for_each(|s| s.listed = false);
        }
        let (now, cold, units) = (
            self.now,
            self.set.slow_start_duration,
            self.set.max_request_units,
        );
        for e in entries {
            let new = || Server {
                limit: LIMIT_START,
                ..Server::default()
            };
            let s = self.servers.get_or_insert(e.endpoint, new);
            let started = e.started_at.filter(|&at| now < at + cold);
            if started.is_some_and(|started| s.cold_since.is_none_or(|at| at < started)) {
                // A new life: nothing held against the old one counts, and it starts slowly.
                *s = Server {
                    out: s.out,
                    ..new()
                };
                let level = -units * (1.0 + self.rng.f64()); // Seeded: gateways do not all send at once.
                s.cold_room = TokenBucket {
                    level,
                    depth: 1.0,
                    rate: 0.0,
                    at: now,
                };
            }
            s.cold_since = started.or(s.cold_since);
            (s.zone, s.cell, s.weight) =
                (e.zone, e.cell, if e.weight > 0.0 { e.weight } else { 1.0 });
            s.listed = e.state == EndpointState::InService;
        }
        self.ring = self.servers.listed();
        self.cold = self
            .servers
            .values()
            .filter(|s| s.cold_since.is_some())
            .count();
        self.summed = (Timestamp::ZERO, 0.0);
        self.serve_held();
    }

    // ---- guards of the rules: every send and every refusal passes here ----

    fn may_repeat(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|r| self.servers.values().any(|s| self.may_send(r, s)))
    }

    /// Whether this request may go to this server now: lists and drains, effect, copies, cold servers.
    fn may_send(&self, r: &Request, s: &Server) -> bool {
        let class = &self.set.classes[r.a.class.0];
        let over = r.done
            || r.streaming
            || self.now >= r.a.deadline
            || r.attempts.len() >= self.set.max_attempts;
        let pushed = s.cold_since.is_some() && s.cold_room.level <= 0.0;
        let second = r.is_out() && !self.set.allow_hedging;
        // Half a body must not pass for a whole one: what is no longer held went with the first attempt.
        let bodiless = r.body_gone && !r.attempts.is_empty();
        if over || pushed || second || bodiless || !s.listed {
            return false;
        }
        let mut ran = r.attempts.iter().filter(|a| a.out || a.may_have_run);
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => ran.next().is_none(),
            // The window counts from the first send that may have run; a repeat may wait for its connection.
            Idempotency::Keyed => ran.all(|a| {
                self.now
                    + self.set.timer_resolution
                    + self.set.timer_resolution
                    + self.set.dial_timeout
                    < a.sent + class.key_window
                    && self
                        .servers
                        .get(a.server)
                        .is_some_and(|first| match class.key_scope {
                            KeyScope::All => true,
                            KeyScope::Zone => first.zone == s.zone,
                            KeyScope::Cell => first.cell == s.cell,
                        })
            }),
        }
    }

    /// Whether trying again is harmless for the client.
    fn may_refuse(&self, r: &Request) -> bool {
        let class = &self.set.classes[r.a.class.0];
        let ran = r.attempts.iter().any(|a| a.out || a.may_have_run);
        !r.streaming
            && match class.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::Keyed => !ran || class.key_scope == KeyScope::All,
                Idempotency::NonIdempotent => !ran,
            }
    }
}
