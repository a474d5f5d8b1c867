//! Open-loop gRPC load from many customers. Latencies count from the time at which a call was due, so that a load tool
//! that falls behind does not hide it (coordinated omission).

use crate::common::control;
use crate::common::event_log::{CallOutcome, Entry, EventLog};
use crate::common::load_stats::LoadStats;
use chalkdeck_net::clock::monotonic_micros;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::signals::Signals;
use chalkdeck_net::{ConnId, Engine, Event, Limits, StreamId};
use chalkdeck_proto::chalkdeck::lab::v1::{Load as Shape, Mix};
use http::{HeaderMap, HeaderValue};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

const RECONNECT: u64 = 200_000;
/// How long after its deadline a client still listens, so that late answers are seen.
const LISTEN_ON: u64 = 250_000;

/// What a load does.
pub struct Plan {
    pub gateways: Vec<SocketAddr>,
    pub shape: Shape,
    pub seconds: f64,
    pub seed: u64,
    /// Instead of a rate: so many calls out at all times.
    pub outstanding: Option<usize>,
    pub connections: usize,
    /// The first part of every call's id.
    pub prefix: String,
    pub control: Option<SocketAddr>,
    /// Print figures each second.
    pub lines: bool,
    /// Tries beyond the first that a call makes at once, whatever it was told.
    pub naive: u32,
    /// By kind of call, whether one that failed and may have run is repeated where the load is told to repeat.
    pub may_repeat: Vec<bool>,
}

pub(crate) struct Customer {
    pub(crate) name: String,
    pub(crate) plan: String,
    /// The last place of its range in 0..1.
    pub(crate) upto: f64,
}

struct Open {
    id: String,
    customer: usize,
    mix: usize,
    due: u64,
    deadline: u64,
    conn: ConnId,
    key: String,
    tries: u32,
    heard: bool,
}

struct Link {
    gateway: usize,
    up: bool,
}

/// Extra calls of some customers.
#[derive(Default)]
struct Burst {
    customers: Vec<usize>,
    rate: f64,
}

enum Due {
    Next,
    Burst,
    Connect(usize),
    Give(StreamId),
    Second,
}

/// A load under way.
pub struct Load {
    engine: Engine,
    plan: Plan,
    customers: Vec<Customer>,
    conns: HashMap<ConnId, Link>,
    by_gateway: Vec<Vec<ConnId>>,
    open: HashMap<StreamId, Open>,
    due: HashMap<u64, Due>,
    next: u64,
    serial: u64,
    next_at: u64,
    burst: Burst,
    burst_at: u64,
    shift: Option<usize>,
    naive_retries: u32,
    /// Failed calls are repeated as their class allows, not whatever it is.
    repeats_by_class: bool,
    log: EventLog,
    rng: fastrand::Rng,
    pub figures: LoadStats,
    stop_sending: bool,
    mix_total: f64,
    control: Option<SocketAddr>,
}

impl Load {
    pub fn start(plan: Plan, log: EventLog) -> std::io::Result<Load> {
        let mut engine = Engine::new()?;
        let control = match plan.control {
            Some(address) => Some(engine.listen(address, Limits::default(), false, true)?.1),
            None => None,
        };
        let customers = customers(&plan.shape);
        let by_gateway = vec![Vec::new(); plan.gateways.len()];
        let mix_total = plan.shape.mix.iter().map(|m| m.share).sum();
        let mut load = Load {
            engine,
            customers,
            conns: HashMap::new(),
            by_gateway,
            open: HashMap::new(),
            due: HashMap::new(),
            next: 0,
            serial: 0,
            next_at: 0,
            burst: Burst::default(),
            burst_at: 0,
            shift: None,
            naive_retries: plan.naive,
            repeats_by_class: false,
            log,
            rng: fastrand::Rng::with_seed(plan.seed),
            figures: LoadStats::default(),
            stop_sending: false,
            mix_total,
            control,
            plan,
        };
        for gateway in 0..load.plan.gateways.len() {
            (0..load.plan.connections).for_each(|_| load.connect(gateway));
        }
        Ok(load)
    }

    /// Where it takes commands.
    pub fn control(&self) -> Option<SocketAddr> {
        self.control
    }

    /// Sends for the planned time, then waits for the last answers.
    pub fn run(&mut self, signals: &Signals) -> std::io::Result<()> {
        let mut events = Vec::new();
        let ready_by = self.engine.now() + 5_000_000;
        while self.conns.values().any(|l| !l.up) && self.engine.now() < ready_by {
            self.turn(&mut events)?;
        }
        let begin = self.engine.now();
        let until = begin + (self.plan.seconds * 1e6) as u64;
        self.next_at = begin;
        self.due_at(begin, Due::Next);
        self.due_at(begin + 1_000_000, Due::Second);
        while !signals.is_stop_requested() && self.engine.now() < until {
            self.turn(&mut events)?;
        }
        self.figures.seconds = (self.engine.now() - begin) as f64 / 1e6;
        self.stop_sending = true;
        let longest = self
            .plan
            .shape
            .mix
            .iter()
            .map(|m| u64::from(m.timeout_ms))
            .max()
            .unwrap_or(0)
            * 1_000;
        let give_up = self.engine.now() + longest + 2 * LISTEN_ON;
        while !self.open.is_empty() && self.engine.now() < give_up {
            self.turn(&mut events)?;
        }
        self.log.flush();
        Ok(())
    }

    /// Holds its connections for the planned time and sends nothing.
    pub fn idle(&mut self, signals: &Signals) -> std::io::Result<()> {
        let mut events = Vec::new();
        let until = self.engine.now() + (self.plan.seconds * 1e6) as u64;
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

    fn due_at(&mut self, at: u64, due: Due) {
        self.next += 1;
        self.due.insert(self.next, due);
        self.engine.set_timer(at, self.next);
    }

    fn connect(&mut self, gateway: usize) {
        let limits = Limits {
            max_streams: 10_000,
            ..Limits::default()
        };
        match self.engine.connect(self.plan.gateways[gateway], limits) {
            Ok(conn) => {
                self.conns.insert(conn, Link { gateway, up: false });
                self.by_gateway[gateway].push(conn);
            }
            Err(_) => self.due_at(self.engine.now() + RECONNECT, Due::Connect(gateway)),
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Connected { conn } => {
                self.figures.connects += 1;
                self.conns
                    .get_mut(&conn)
                    .into_iter()
                    .for_each(|l| l.up = true);
            }
            Event::Closed { conn, .. } => {
                let Some(link) = self.conns.remove(&conn) else {
                    return;
                };
                self.by_gateway[link.gateway].retain(|c| *c != conn);
                self.due_at(self.engine.now() + RECONNECT, Due::Connect(link.gateway));
            }
            Event::ResponseHead {
                stream,
                head,
                is_end_stream: ended,
            } => {
                if let Some(open) = self.open.get_mut(&stream) {
                    open.heard = true;
                }
                if ended {
                    self.on_end(stream, &head.headers);
                }
            }
            Event::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                self.figures.bytes += data.len() as u64;
            }
            Event::StreamEnded { stream, trailers } => {
                self.on_end(stream, &trailers.unwrap_or_default())
            }
            Event::StreamFailed { stream, .. } => self.ended(stream, CallOutcome::Lost, -1, None),
            Event::Timer(token) => {
                if let Some(due) = self.due.remove(&token) {
                    self.on_due(due);
                }
            }
            Event::Get { conn, path } => {
                let (_, pairs) = control::parse_target(&path);
                let done = self.set(&pairs);
                control::respond(&mut self.engine, conn, done);
            }
            _ => {}
        }
    }

    fn on_due(&mut self, due: Due) {
        match due {
            Due::Next => self.send_due(),
            Due::Burst => self.send_burst(),
            Due::Connect(gateway) => self.connect(gateway),
            Due::Give(stream) => {
                if self.open.contains_key(&stream) {
                    self.engine.reset(stream, h2::Reason::CANCEL);
                    self.ended(stream, CallOutcome::Silent, -1, None);
                }
            }
            Due::Second => {
                if self.plan.lines {
                    println!("{}", self.figures.to_line());
                }
                if !self.stop_sending {
                    self.due_at(self.engine.now() + 1_000_000, Due::Second);
                }
            }
        }
    }

    fn send_due(&mut self) {
        if self.stop_sending {
            return;
        }
        if let Some(most) = self.plan.outstanding {
            while self.open.len() < most && self.send_one(self.engine.now()) {}
            return self.due_at(self.engine.now() + 5_000, Due::Next);
        }
        let now = self.engine.now();
        while self.next_at <= now {
            let due = self.next_at;
            self.next_at += (-self.rng.f64().max(1e-12).ln() / self.plan.shape.rate * 1e6) as u64;
            self.send_one(due);
        }
        self.due_at(self.next_at, Due::Next);
    }

    fn send_one(&mut self, due: u64) -> bool {
        let place = self.rng.f64();
        let customer = self
            .customers
            .partition_point(|c| c.upto < place)
            .min(self.customers.len() - 1);
        self.send(customer, due)
    }

    fn send_burst(&mut self) {
        let now = self.engine.now();
        if self.burst.rate <= 0.0 || self.burst.customers.is_empty() || self.stop_sending {
            return;
        }
        while self.burst_at <= now {
            let due = self.burst_at;
            self.burst_at += (-self.rng.f64().max(1e-12).ln() / self.burst.rate * 1e6) as u64;
            let customer = self.burst.customers[self.rng.usize(..self.burst.customers.len())];
            self.send(customer, due);
        }
        self.due_at(self.burst_at, Due::Burst);
    }

    fn send(&mut self, customer: usize, due: u64) -> bool {
        let mix = kind_at(&self.plan.shape.mix, self.rng.f64() * self.mix_total);
        let key = if self.plan.shape.mix[mix].keyed {
            self.new_key()
        } else {
            String::new()
        };
        self.try_call(customer, mix, key, 0, due)
    }

    fn new_key(&mut self) -> String {
        format!("{:016x}{:016x}", self.rng.u64(..), self.rng.u64(..))
    }

    fn try_call(&mut self, customer: usize, mix: usize, key: String, tries: u32, due: u64) -> bool {
        let Some(conn) = self.choose(customer) else {
            self.figures.unsent += 1;
            return false;
        };
        let shape: &Mix = &self.plan.shape.mix[mix];
        let gateway = self.conns[&conn].gateway;
        let Some(mut head) =
            grpc::request_head(&self.plan.gateways[gateway].to_string(), &shape.path)
        else {
            return false;
        };
        self.serial += 1;
        let id = format!("{}{}", self.plan.prefix, self.serial);
        let deadline = u64::from(shape.timeout_ms) * 1_000;
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
        if tries > 0 {
            headers.insert(grpc::PREVIOUS_ATTEMPTS, HeaderValue::from(tries));
        }
        if deadline > 0 {
            headers.insert(grpc::TIMEOUT, grpc::encode_timeout(deadline));
        }
        let path = shape.path.clone();
        let Some(stream) = self.engine.open_stream(conn, head, false) else {
            self.figures.unsent += 1;
            return false;
        };
        let body = vec![b'c'; self.plan.shape.body_bytes as usize];
        self.engine.send(stream, grpc::frame(&body));
        self.engine.finish(stream, None);
        let t = monotonic_micros();
        let until = if deadline == 0 {
            u64::MAX
        } else {
            t + deadline
        };
        let name = self.customers[customer].name.clone();
        let line = Entry::Call {
            t,
            id: id.clone(),
            customer: name,
            path,
            key: key.clone(),
            units: 1.0,
            deadline: until,
            gateway,
        };
        self.log.append(&line);
        if deadline > 0 {
            self.due_at(self.engine.now() + deadline + LISTEN_ON, Due::Give(stream));
        }
        let due = due.min(self.engine.now());
        self.open.insert(
            stream,
            Open {
                id,
                customer,
                mix,
                due,
                deadline: until,
                conn,
                key,
                tries,
                heard: false,
            },
        );
        self.figures.record_sent(&self.customers[customer].plan);
        self.figures.attempts += 1;
        self.figures.calls += u64::from(tries == 0);
        true
    }

    /// A gateway of the customer's; the first of them takes all its calls while traffic is shifted.
    fn choose(&mut self, customer: usize) -> Option<ConnId> {
        let gateways = self.plan.gateways.len();
        let first = self.shift.unwrap_or_else(|| self.rng.usize(..gateways));
        let salt = if self.shift.is_some() { 0 } else { customer };
        for step in 0..gateways {
            let conns = &self.by_gateway[(first + step + salt) % gateways];
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
        let end = match code {
            Some(Code::ResourceExhausted) if pushback.is_some() => CallOutcome::Refused,
            Some(Code::Unavailable | Code::DeadlineExceeded) => CallOutcome::Failed,
            Some(Code::Ok | Code::Internal | Code::NotFound) => CallOutcome::Served,
            _ => CallOutcome::Other,
        };
        self.ended(stream, end, code.map_or(-1, |c| c as i32), pushback);
    }

    fn ended(&mut self, stream: StreamId, end: CallOutcome, status: i32, pushback: Option<i64>) {
        let Some(open) = self.open.remove(&stream) else {
            return;
        };
        let t = monotonic_micros();
        self.log.append(&Entry::Answer {
            t,
            id: open.id.clone(),
            end,
            status,
            pushback,
        });
        let took = self.engine.now().saturating_sub(open.due);
        let late = t > open.deadline;
        self.figures
            .record_end(&self.customers[open.customer].plan, end, took, late);
        let again = self.repeats(end, open.mix) && open.tries < self.naive_retries;
        if again && !self.stop_sending {
            self.try_call(
                open.customer,
                open.mix,
                open.key.clone(),
                open.tries + 1,
                self.engine.now(),
            );
        }
        if self.plan.outstanding.is_some()
            && !self.stop_sending
            && self.conns.contains_key(&open.conn)
        {
            let now = self.engine.now();
            self.send_one(now);
        }
    }

    /// Whether a call that ended so is made again.
    fn repeats(&self, end: CallOutcome, mix: usize) -> bool {
        match end {
            CallOutcome::Refused => true,
            CallOutcome::Failed | CallOutcome::Lost => {
                !self.repeats_by_class || self.plan.may_repeat[mix]
            }
            _ => false,
        }
    }

    /// `burst_plan`, `burst_count` and `burst_rate`; `shift` (a gateway's number, -1 to end it); `reconnect`;
    /// `naive_retries`; `rate`.
    fn set(&mut self, pairs: &BTreeMap<String, String>) -> Result<(), String> {
        let number = |name: &str| -> Result<Option<f64>, String> {
            let Some(text) = pairs.get(name) else {
                return Ok(None);
            };
            text.parse()
                .map(Some)
                .map_err(|_| format!("{name}: expected a number, found '{text}'\n"))
        };
        if let Some(rate) = number("burst_rate")? {
            let plan = pairs.get("burst_plan").cloned().unwrap_or_default();
            let count = number("burst_count")?.unwrap_or(1.0) as usize;
            let of_plan = (0..self.customers.len())
                .filter(|&i| plan.is_empty() || self.customers[i].plan == plan);
            self.burst = Burst {
                customers: of_plan.take(count).collect(),
                rate,
            };
            self.burst_at = self.engine.now();
            self.due_at(self.burst_at, Due::Burst);
        }
        if let Some(shift) = number("shift")? {
            self.shift = usize::try_from(shift as i64)
                .ok()
                .filter(|g| *g < self.plan.gateways.len());
        }
        if let Some(tries) = number("naive_retries")? {
            self.naive_retries = tries as u32;
            self.repeats_by_class = true;
        }
        if let Some(rate) = number("rate")?.filter(|r| *r > 0.0) {
            self.plan.shape.rate = rate;
        }
        if pairs.contains_key("reconnect") {
            let conns: Vec<ConnId> = self.conns.keys().copied().collect();
            conns.into_iter().for_each(|conn| self.engine.close(conn));
        }
        Ok(())
    }
}

/// The kind of call whose range of shares holds that place.
pub(crate) fn kind_at(mix: &[Mix], mut place: f64) -> usize {
    let kind = mix.iter().position(|m| {
        place -= m.share;
        place < 0.0
    });
    kind.unwrap_or(0)
}

/// Named by plan and number, as the runs' settings name them. Weights within a group fall off, as customers' do.
pub(crate) fn customers(shape: &Shape) -> Vec<Customer> {
    let total: f64 = shape.customers.iter().map(|g| g.share).sum();
    let mut out = Vec::new();
    let mut upto = 0.0;
    for group in &shape.customers {
        let weights: f64 = (0..group.count).map(|i| 1.0 / f64::from(i + 3)).sum();
        for i in 0..group.count {
            upto += group.share / total / f64::from(i + 3) / weights;
            out.push(Customer {
                name: format!("{}-{i}", group.plan),
                plan: group.plan.clone(),
                upto,
            });
        }
    }
    out
}
