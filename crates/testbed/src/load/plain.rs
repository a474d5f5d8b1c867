//! A load generator with plain gRPC clients: open-loop load from many customers. Latencies are measured from the time at
//! which a call was due, so that a generator that falls behind does not hide it (coordinated omission).

use crate::common::control;
use crate::common::event_log::{CallOutcome, Entry, EventLog};
use crate::common::load_stats::LoadStats;
use chalkdeck_net::clock::monotonic_micros;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::signals::Signals;
use chalkdeck_net::{ConnId, Engine, Event, Limits, StreamId};
use chalkdeck_proto::chalkdeck::lab::v1::{Load as LoadSpec, Mix};
use http::{HeaderMap, HeaderValue};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Delay before a connection that failed or was lost is opened again.
const RECONNECT_US: u64 = 200_000;
/// How long after its deadline a client still waits for a response, so that late ones are recorded.
const LATE_RESPONSE_WAIT_US: u64 = 250_000;

/// Configuration of a load generator.
pub struct LoadConfig {
    pub gateways: Vec<SocketAddr>,
    pub spec: LoadSpec,
    pub seconds: f64,
    pub seed: u64,
    /// Keeps this many calls outstanding instead of sending at a rate (closed loop).
    pub outstanding: Option<usize>,
    pub connections: usize,
    /// Prefix of the ids of all calls.
    pub prefix: String,
    pub control: Option<SocketAddr>,
    /// Prints statistics every second.
    pub print_stats: bool,
    /// How often a call is retried at once, regardless of the retry delay that it was given.
    pub naive_retries: u32,
    /// For each kind of call, whether a failed call that a server may have run is retried after the `naive_retries` command.
    pub may_retry: Vec<bool>,
}

pub(crate) struct Customer {
    pub(crate) name: String,
    pub(crate) plan: String,
    /// Upper bound of its range of shares, which divide 0..1 among all customers.
    pub(crate) cumulative_share: f64,
}

/// A call that has not ended. Times are in microseconds.
struct OpenCall {
    id: String,
    customer: usize,
    kind: usize,
    due_at: u64,
    deadline: u64,
    conn: ConnId,
    key: String,
    /// Number of this attempt, where 0 is the first one.
    retry: u32,
    has_response: bool,
}

struct GatewayConn {
    gateway: usize,
    /// Whether the connection is established.
    up: bool,
}

/// Additional calls of some customers.
#[derive(Default)]
struct Burst {
    customers: Vec<usize>,
    rate: f64,
}

enum Timer {
    SendNext,
    SendBurst,
    Connect(usize),
    GiveUp(StreamId),
    PrintStats,
}

/// A running load generator.
pub struct LoadGenerator {
    engine: Engine,
    config: LoadConfig,
    customers: Vec<Customer>,
    conns: HashMap<ConnId, GatewayConn>,
    conns_by_gateway: Vec<Vec<ConnId>>,
    open_calls: HashMap<StreamId, OpenCall>,
    timers: HashMap<u64, Timer>,
    last_timer: u64,
    last_call_number: u64,
    next_call_at: u64,
    burst: Burst,
    next_burst_call_at: u64,
    shift_to: Option<usize>,
    naive_retries: u32,
    /// Whether the class of a failed call decides if it is retried; otherwise all failed calls are.
    retries_by_class: bool,
    log: EventLog,
    rng: fastrand::Rng,
    pub stats: LoadStats,
    is_stopping: bool,
    total_share: f64,
    control: Option<SocketAddr>,
}

impl LoadGenerator {
    pub fn start(config: LoadConfig, log: EventLog) -> std::io::Result<LoadGenerator> {
        let mut engine = Engine::new()?;
        let control = match config.control {
            Some(address) => Some(engine.listen(address, Limits::default(), false, true)?.1),
            None => None,
        };
        let customers = weighted_customers(&config.spec);
        let conns_by_gateway = vec![Vec::new(); config.gateways.len()];
        let total_share = config.spec.mix.iter().map(|m| m.share).sum();
        let mut load = LoadGenerator {
            engine,
            customers,
            conns: HashMap::new(),
            conns_by_gateway,
            open_calls: HashMap::new(),
            timers: HashMap::new(),
            last_timer: 0,
            last_call_number: 0,
            next_call_at: 0,
            burst: Burst::default(),
            next_burst_call_at: 0,
            shift_to: None,
            naive_retries: config.naive_retries,
            retries_by_class: false,
            log,
            rng: fastrand::Rng::with_seed(config.seed),
            stats: LoadStats::default(),
            is_stopping: false,
            total_share,
            control,
            config,
        };
        for gateway in 0..load.config.gateways.len() {
            (0..load.config.connections).for_each(|_| load.connect(gateway));
        }
        Ok(load)
    }

    /// The address of its control port.
    pub fn control(&self) -> Option<SocketAddr> {
        self.control
    }

    /// Sends for the configured time, then waits for the last responses.
    pub fn run(&mut self, signals: &Signals) -> std::io::Result<()> {
        let mut events = Vec::new();
        let connect_deadline = self.engine.now() + 5_000_000;
        while self.conns.values().any(|l| !l.up) && self.engine.now() < connect_deadline {
            self.turn(&mut events)?;
        }
        let start = self.engine.now();
        let until = start + (self.config.seconds * 1e6) as u64;
        self.next_call_at = start;
        self.schedule(start, Timer::SendNext);
        self.schedule(start + 1_000_000, Timer::PrintStats);
        while !signals.is_stop_requested() && self.engine.now() < until {
            self.turn(&mut events)?;
        }
        self.stats.seconds = (self.engine.now() - start) as f64 / 1e6;
        self.is_stopping = true;
        let max_timeout_us = self
            .config
            .spec
            .mix
            .iter()
            .map(|m| u64::from(m.timeout_ms))
            .max()
            .unwrap_or(0)
            * 1_000;
        let wait_until = self.engine.now() + max_timeout_us + 2 * LATE_RESPONSE_WAIT_US;
        while !self.open_calls.is_empty() && self.engine.now() < wait_until {
            self.turn(&mut events)?;
        }
        self.log.flush();
        Ok(())
    }

    /// Holds its connections for the configured time and sends nothing.
    pub fn hold_idle(&mut self, signals: &Signals) -> std::io::Result<()> {
        let mut events = Vec::new();
        let until = self.engine.now() + (self.config.seconds * 1e6) as u64;
        while !signals.is_stop_requested() && self.engine.now() < until {
            self.turn(&mut events)?;
        }
        Ok(())
    }

    fn turn(&mut self, events: &mut Vec<Event>) -> std::io::Result<()> {
        self.engine.turn(20_000, events)?;
        for event in events.drain(..) {
            self.on_event(event);
        }
        Ok(())
    }

    fn schedule(&mut self, at: u64, event: Timer) {
        self.last_timer += 1;
        self.timers.insert(self.last_timer, event);
        self.engine.set_timer(at, self.last_timer);
    }

    fn connect(&mut self, gateway: usize) {
        let limits = Limits {
            max_streams: 10_000,
            ..Limits::default()
        };
        match self.engine.connect(self.config.gateways[gateway], limits) {
            Ok(conn) => {
                self.conns.insert(conn, GatewayConn { gateway, up: false });
                self.conns_by_gateway[gateway].push(conn);
            }
            Err(_) => self.schedule(self.engine.now() + RECONNECT_US, Timer::Connect(gateway)),
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Connected { conn } => {
                self.stats.connects += 1;
                self.conns
                    .get_mut(&conn)
                    .into_iter()
                    .for_each(|l| l.up = true);
            }
            Event::Closed { conn, .. } => {
                let Some(closed) = self.conns.remove(&conn) else {
                    return;
                };
                self.conns_by_gateway[closed.gateway].retain(|c| *c != conn);
                self.schedule(
                    self.engine.now() + RECONNECT_US,
                    Timer::Connect(closed.gateway),
                );
            }
            Event::ResponseHead {
                stream,
                head,
                is_end_stream,
            } => {
                if let Some(call) = self.open_calls.get_mut(&stream) {
                    call.has_response = true;
                }
                if is_end_stream {
                    self.on_end(stream, &head.headers);
                }
            }
            Event::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                self.stats.bytes += data.len() as u64;
            }
            Event::StreamEnded { stream, trailers } => {
                self.on_end(stream, &trailers.unwrap_or_default())
            }
            Event::StreamFailed { stream, .. } => self.finish(stream, CallOutcome::Lost, -1, None),
            Event::Timer(token) => {
                if let Some(event) = self.timers.remove(&token) {
                    self.on_timer(event);
                }
            }
            Event::Get { conn, path } => {
                let (_, params) = control::parse_target(&path);
                let result = self.apply_command(&params);
                control::respond(&mut self.engine, conn, result);
            }
            _ => {}
        }
    }

    fn on_timer(&mut self, event: Timer) {
        match event {
            Timer::SendNext => self.send_due_calls(),
            Timer::SendBurst => self.send_burst(),
            Timer::Connect(gateway) => self.connect(gateway),
            Timer::GiveUp(stream) => {
                if self.open_calls.contains_key(&stream) {
                    self.engine.reset(stream, h2::Reason::CANCEL);
                    self.finish(stream, CallOutcome::Silent, -1, None);
                }
            }
            Timer::PrintStats => {
                if self.config.print_stats {
                    println!("{}", self.stats.to_line());
                }
                if !self.is_stopping {
                    self.schedule(self.engine.now() + 1_000_000, Timer::PrintStats);
                }
            }
        }
    }

    fn send_due_calls(&mut self) {
        if self.is_stopping {
            return;
        }
        if let Some(count) = self.config.outstanding {
            while self.open_calls.len() < count && self.send_for_any_customer(self.engine.now()) {}
            return self.schedule(self.engine.now() + 5_000, Timer::SendNext);
        }
        let now = self.engine.now();
        while self.next_call_at <= now {
            let due_at = self.next_call_at;
            self.next_call_at +=
                (-self.rng.f64().max(1e-12).ln() / self.config.spec.rate * 1e6) as u64;
            self.send_for_any_customer(due_at);
        }
        self.schedule(self.next_call_at, Timer::SendNext);
    }

    fn send_for_any_customer(&mut self, due_at: u64) -> bool {
        let position = self.rng.f64();
        let customer = self
            .customers
            .partition_point(|c| c.cumulative_share < position)
            .min(self.customers.len() - 1);
        self.send(customer, due_at)
    }

    fn send_burst(&mut self) {
        let now = self.engine.now();
        if self.burst.rate <= 0.0 || self.burst.customers.is_empty() || self.is_stopping {
            return;
        }
        while self.next_burst_call_at <= now {
            let due_at = self.next_burst_call_at;
            self.next_burst_call_at +=
                (-self.rng.f64().max(1e-12).ln() / self.burst.rate * 1e6) as u64;
            let customer = self.burst.customers[self.rng.usize(..self.burst.customers.len())];
            self.send(customer, due_at);
        }
        self.schedule(self.next_burst_call_at, Timer::SendBurst);
    }

    fn send(&mut self, customer: usize, due_at: u64) -> bool {
        let kind = pick_kind(&self.config.spec.mix, self.rng.f64() * self.total_share);
        let key = if self.config.spec.mix[kind].keyed {
            self.new_key()
        } else {
            String::new()
        };
        self.attempt(customer, kind, key, 0, due_at)
    }

    fn new_key(&mut self) -> String {
        format!("{:016x}{:016x}", self.rng.u64(..), self.rng.u64(..))
    }

    fn attempt(&mut self, customer: usize, kind: usize, key: String, retry: u32, due: u64) -> bool {
        let Some(conn) = self.choose_conn(customer) else {
            self.stats.unsent += 1;
            return false;
        };
        let call_spec: &Mix = &self.config.spec.mix[kind];
        let gateway = self.conns[&conn].gateway;
        let Some(mut head) =
            grpc::request_head(&self.config.gateways[gateway].to_string(), &call_spec.path)
        else {
            return false;
        };
        self.last_call_number += 1;
        let id = format!("{}{}", self.config.prefix, self.last_call_number);
        let timeout_us = u64::from(call_spec.timeout_ms) * 1_000;
        let headers = head.headers_mut();
        for (name, value) in [
            ("x-call-id", &id),
            ("x-customer", &self.customers[customer].name),
            (grpc::IDEMPOTENCY_KEY, &key),
        ] {
            if let Ok(value) = HeaderValue::from_str(value) {
                if !value.is_empty() {
                    headers.insert(name, value);
                }
            }
        }
        if retry > 0 {
            headers.insert(grpc::PREVIOUS_ATTEMPTS, HeaderValue::from(retry));
        }
        if timeout_us > 0 {
            headers.insert(grpc::TIMEOUT, grpc::encode_timeout(timeout_us));
        }
        let path = call_spec.path.clone();
        let Some(stream) = self.engine.open_stream(conn, head, false) else {
            self.stats.unsent += 1;
            return false;
        };
        let body = vec![b'c'; self.config.spec.body_bytes as usize];
        self.engine.send(stream, grpc::frame(&body));
        self.engine.finish(stream, None);
        let t = monotonic_micros();
        let deadline = if timeout_us == 0 {
            u64::MAX
        } else {
            t + timeout_us
        };
        let customer_name = self.customers[customer].name.clone();
        let entry = Entry::Call {
            t,
            id: id.clone(),
            customer: customer_name,
            path,
            key: key.clone(),
            units: 1.0,
            deadline,
            gateway,
        };
        self.log.append(&entry);
        if timeout_us > 0 {
            self.schedule(
                self.engine.now() + timeout_us + LATE_RESPONSE_WAIT_US,
                Timer::GiveUp(stream),
            );
        }
        let due_at = due.min(self.engine.now());
        self.open_calls.insert(
            stream,
            OpenCall {
                id,
                customer,
                kind,
                due_at,
                deadline,
                conn,
                key,
                retry,
                has_response: false,
            },
        );
        self.stats.record_sent(&self.customers[customer].plan);
        self.stats.attempts += 1;
        self.stats.calls += u64::from(retry == 0);
        true
    }

    /// Chooses a connection to a random gateway, or to the one that traffic is shifted to. Falls back to the next gateways if
    /// it has no established connection.
    fn choose_conn(&mut self, customer: usize) -> Option<ConnId> {
        let gateways = self.config.gateways.len();
        let first = self.shift_to.unwrap_or_else(|| self.rng.usize(..gateways));
        let offset = if self.shift_to.is_some() { 0 } else { customer };
        for step in 0..gateways {
            let conns = &self.conns_by_gateway[(first + step + offset) % gateways];
            let up: Vec<ConnId> = conns.iter().copied().filter(|c| self.conns[c].up).collect();
            if !up.is_empty() {
                return Some(up[self.rng.usize(..up.len())]);
            }
        }
        None
    }

    fn on_end(&mut self, stream: StreamId, trailers: &HeaderMap) {
        let code = Code::from_trailers(trailers);
        let pushback = trailers
            .get(grpc::RETRY_PUSHBACK)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse::<i64>().ok());
        let outcome = match code {
            Some(Code::ResourceExhausted) if pushback.is_some() => CallOutcome::Refused,
            Some(Code::Unavailable | Code::DeadlineExceeded) => CallOutcome::Failed,
            Some(Code::Ok | Code::Internal | Code::NotFound) => CallOutcome::Served,
            _ => CallOutcome::Other,
        };
        self.finish(stream, outcome, code.map_or(-1, |c| c as i32), pushback);
    }

    fn finish(&mut self, stream: StreamId, end: CallOutcome, status: i32, pushback: Option<i64>) {
        let Some(call) = self.open_calls.remove(&stream) else {
            return;
        };
        let t = monotonic_micros();
        self.log.append(&Entry::Answer {
            t,
            id: call.id.clone(),
            end,
            status,
            pushback,
        });
        let latency_us = self.engine.now().saturating_sub(call.due_at);
        let is_late = t > call.deadline;
        self.stats.record_end(
            &self.customers[call.customer].plan,
            end,
            latency_us,
            is_late,
        );
        let should_retry = self.may_retry(end, call.kind) && call.retry < self.naive_retries;
        if should_retry && !self.is_stopping {
            self.attempt(
                call.customer,
                call.kind,
                call.key.clone(),
                call.retry + 1,
                self.engine.now(),
            );
        }
        if self.config.outstanding.is_some()
            && !self.is_stopping
            && self.conns.contains_key(&call.conn)
        {
            let now = self.engine.now();
            self.send_for_any_customer(now);
        }
    }

    /// Whether a call with this outcome may be retried.
    fn may_retry(&self, outcome: CallOutcome, kind: usize) -> bool {
        match outcome {
            CallOutcome::Refused => true,
            CallOutcome::Failed | CallOutcome::Lost => {
                !self.retries_by_class || self.config.may_retry[kind]
            }
            _ => false,
        }
    }

    /// Applies a control command: `burst_plan`, `burst_count` and `burst_rate`; `shift` (the index of a gateway, or -1 to end
    /// the shift); `reconnect`; `naive_retries`; `rate`.
    fn apply_command(&mut self, params: &BTreeMap<String, String>) -> Result<(), String> {
        let number = |name: &str| -> Result<Option<f64>, String> {
            let Some(text) = params.get(name) else {
                return Ok(None);
            };
            text.parse()
                .map(Some)
                .map_err(|_| format!("{name}: expected a number, found '{text}'\n"))
        };
        if let Some(rate) = number("burst_rate")? {
            let plan = params.get("burst_plan").cloned().unwrap_or_default();
            let count = number("burst_count")?.unwrap_or(1.0) as usize;
            let of_plan = (0..self.customers.len())
                .filter(|&i| plan.is_empty() || self.customers[i].plan == plan);
            self.burst = Burst {
                customers: of_plan.take(count).collect(),
                rate,
            };
            self.next_burst_call_at = self.engine.now();
            self.schedule(self.next_burst_call_at, Timer::SendBurst);
        }
        if let Some(shift) = number("shift")? {
            self.shift_to = usize::try_from(shift as i64)
                .ok()
                .filter(|g| *g < self.config.gateways.len());
        }
        if let Some(retries) = number("naive_retries")? {
            self.naive_retries = retries as u32;
            self.retries_by_class = true;
        }
        if let Some(rate) = number("rate")?.filter(|r| *r > 0.0) {
            self.config.spec.rate = rate;
        }
        if params.contains_key("reconnect") {
            let conns: Vec<ConnId> = self.conns.keys().copied().collect();
            conns.into_iter().for_each(|conn| self.engine.close(conn));
        }
        Ok(())
    }
}

/// The index of the kind of call whose range of shares contains the position.
pub(crate) fn pick_kind(mix: &[Mix], mut position: f64) -> usize {
    let kind = mix.iter().position(|m| {
        position -= m.share;
        position < 0.0
    });
    kind.unwrap_or(0)
}

/// The customers of a load, named by plan and number as in the settings of a run. Within a group, shares decrease with the
/// number, because real customers differ in size.
pub(crate) fn weighted_customers(spec: &LoadSpec) -> Vec<Customer> {
    let total: f64 = spec.customers.iter().map(|g| g.share).sum();
    let mut customers = Vec::new();
    let mut cumulative_share = 0.0;
    for group in &spec.customers {
        let weights: f64 = (0..group.count).map(|i| 1.0 / f64::from(i + 3)).sum();
        for i in 0..group.count {
            cumulative_share += group.share / total / f64::from(i + 3) / weights;
            customers.push(Customer {
                name: format!("{}-{i}", group.plan),
                plan: group.plan.clone(),
                cumulative_share,
            });
        }
    }
    customers
}
