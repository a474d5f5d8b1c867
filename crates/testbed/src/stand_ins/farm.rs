//! Stand-ins for the endpoints (farm servers) of one cell, in one process with a common set of idempotency keys.

use crate::common::control;
use crate::common::event_log::{Entry, EventLog};
use crate::common::process::init_process;
use crate::common::script;
use crate::stand_ins::server_model::{Admission, ServerModel, ServerSpec};
use bytes::Bytes;
use chalkdeck_net::clock::monotonic_micros;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::signals::Signals;
use chalkdeck_net::{ConnId, Engine, Event, Limits, ListenerId, ReservedPort, StreamId};
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use chalkdeck_proto::chalkdeck::lab::v1::Work;
use clap::Args;
use http::{request, HeaderMap, HeaderValue};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Args)]
pub struct FarmArgs {
    /// A day, of which the farm, the work and the slow start are used
    #[arg(long)]
    pub day: PathBuf,
    /// One address for each server
    #[arg(long, value_delimiter = ',', default_value = "127.0.0.1:0")]
    pub listen: Vec<SocketAddr>,
    #[arg(long, default_value = "127.0.0.1:0")]
    pub control: SocketAddr,
    #[arg(long)]
    pub log: Option<PathBuf>,
    /// The servers have their full capacity from the start
    #[arg(long)]
    pub warm: bool,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

/// Time between two messages of a streamed response, in microseconds.
const STREAM_INTERVAL_US: u64 = 100_000;
/// Number of idempotency keys from which on expired ones are dropped.
const KEY_CLEANUP_THRESHOLD: usize = 1 << 20;

/// Configuration of the servers of a cell.
#[derive(Clone, Debug)]
pub struct CellConfig {
    pub spec: ServerSpec,
    /// What calls cost, by path.
    pub work: Vec<Work>,
    pub connections: usize,
    /// How long a repeated key counts as a duplicate, in microseconds.
    pub key_window_us: u64,
    pub seed: u64,
}

/// Injected faults of one server.
#[derive(Clone, Debug, Default)]
struct Faults {
    /// Accepts calls and doesn't respond.
    silent: bool,
    /// Rejects calls as unprocessed.
    draining: bool,
    /// Fraction of the calls that fail at once.
    errors: f64,
    /// The path to which `errors` applies; empty: all paths.
    errors_path: String,
    /// Resets new streams with REFUSED_STREAM.
    refuse_streams: bool,
}

struct Server {
    name: String,
    model: ServerModel,
    faults: Faults,
    has_collapsed: bool,
}

struct Call {
    server: usize,
    id: String,
    key: String,
    work: Work,
    /// Identifies the call in the server's model.
    job: u64,
    /// Messages of a streamed response that are still to be sent.
    messages_left: u32,
    started: bool,
}

enum TimerEvent {
    Done(StreamId),
    /// The next message of a streamed response is due.
    Message(StreamId),
}

/// The servers of one cell.
pub struct Cell {
    engine: Engine,
    config: CellConfig,
    servers: Vec<Server>,
    /// Ports of the servers; they stay reserved while a server is down.
    ports: Vec<ReservedPort>,
    control: SocketAddr,
    listeners: HashMap<ListenerId, usize>,
    conns: HashMap<ConnId, usize>,
    calls: HashMap<StreamId, Call>,
    stream_by_job: HashMap<u64, StreamId>,
    timers: HashMap<u64, TimerEvent>,
    /// The last id that was assigned to a timer or to a call in a model.
    last_id: u64,
    /// Idempotency keys and when they were first processed.
    seen_keys: HashMap<String, u64>,
    log: EventLog,
    rng: fastrand::Rng,
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
        .to_string()
}

impl Cell {
    /// Binds one port for each server and a control port.
    pub fn start(
        config: CellConfig,
        listen: &[SocketAddr],
        control: SocketAddr,
        log: EventLog,
    ) -> std::io::Result<Cell> {
        let mut engine = Engine::new()?;
        let limits = Limits {
            max_connections: config.connections,
            ..Limits::default()
        };
        let control = engine.listen(control, Limits::default(), false, true)?.1;
        let (mut servers, mut ports, mut listeners) = (Vec::new(), Vec::new(), HashMap::new());
        let now = monotonic_micros();
        for address in listen {
            let port = ReservedPort::reserve(*address)?;
            let (listener, bound) = engine.listen(port.address(), limits, false, false)?;
            ports.push(port);
            listeners.insert(listener, servers.len());
            let model = ServerModel::new(config.spec.clone(), now);
            servers.push(Server {
                name: bound.to_string(),
                model,
                faults: Faults::default(),
                has_collapsed: false,
            });
        }
        Ok(Cell {
            engine,
            rng: fastrand::Rng::with_seed(config.seed),
            config,
            servers,
            ports,
            control,
            listeners,
            conns: HashMap::new(),
            calls: HashMap::new(),
            stream_by_job: HashMap::new(),
            timers: HashMap::new(),
            last_id: 0,
            seen_keys: HashMap::new(),
            log,
        })
    }
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.ports.iter().map(ReservedPort::address).collect()
    }
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Serves until a signal asks it to stop.
    pub fn run(&mut self, signals: &Signals) -> std::io::Result<()> {
        let mut events = Vec::new();
        while !signals.is_stop_requested() {
            self.engine.turn(50_000, &mut events)?;
            for event in events.drain(..) {
                self.on_event(event);
            }
            // A SIGKILL must not lose events.
            self.log.flush();
        }
        Ok(())
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Accepted { listener, conn } => {
                if let Some(&server) = self.listeners.get(&listener) {
                    self.conns.insert(conn, server);
                }
            }
            Event::Closed { conn, .. } => drop(self.conns.remove(&conn)),
            Event::StreamOpened {
                stream, conn, head, ..
            } => self.on_call(stream, conn, &head),
            Event::Data { stream, data } => self.engine.consume(stream, data.len()),
            Event::StreamFailed { stream, .. } => self.on_cancel(stream),
            Event::Timer(token) => match self.timers.remove(&token) {
                Some(TimerEvent::Done(stream)) => self.on_done(stream),
                Some(TimerEvent::Message(stream)) => self.on_message(stream),
                None => {}
            },
            Event::Get { conn, path } => {
                let (_, pairs) = control::parse_target(&path);
                let result = self.apply_command(&pairs);
                control::respond(&mut self.engine, conn, result);
            }
            _ => {}
        }
    }

    fn schedule(&mut self, delay_us: u64, event: TimerEvent) {
        self.last_id += 1;
        self.timers.insert(self.last_id, event);
        self.engine
            .set_timer(self.engine.now() + delay_us, self.last_id);
    }

    fn on_call(&mut self, stream: StreamId, conn: ConnId, head: &request::Parts) {
        let Some(&server) = self.conns.get(&conn) else {
            return;
        };
        let path = head.uri.path().to_string();
        let (id, key) = (
            header_text(&head.headers, "x-call-id"),
            header_text(&head.headers, grpc::IDEMPOTENCY_KEY),
        );
        let customer = header_text(&head.headers, "x-customer");
        let units = header_text(&head.headers, "x-units").parse().unwrap_or(1.0);
        let name = self.servers[server].name.clone();
        let t = monotonic_micros();
        self.log.append(&Entry::Arrive {
            t,
            server: name,
            id: id.clone(),
            customer,
            path: path.clone(),
            key: key.clone(),
            units,
        });
        let work = self
            .config
            .work
            .iter()
            .find(|w| w.path == path)
            .cloned()
            .unwrap_or_default();
        let faults = self.servers[server].faults.clone();
        let errors_match_path = faults.errors_path.is_empty() || faults.errors_path == path;
        if faults.silent {
            return;
        }
        if faults.refuse_streams {
            self.engine.reset(stream, h2::Reason::REFUSED_STREAM);
            return self.log_reply(server, &id, -1, true);
        }
        if faults.draining {
            return self.reject_unprocessed(server, &id, stream);
        }
        if errors_match_path && self.rng.f64() < faults.errors {
            return self.reply(server, &id, stream, Code::Unavailable, false);
        }
        self.last_id += 1;
        let job = self.last_id;
        let duration_ms = work.min_ms + (work.max_ms - work.min_ms).max(0.0) * self.rng.f64();
        let admission = self.servers[server]
            .model
            .arrive(t, job, (duration_ms * 1e3) as u64);
        match admission {
            Admission::QueueFull => return self.reject_unprocessed(server, &id, stream),
            Admission::Collapsed => return self.on_collapse(server),
            Admission::Started(_) | Admission::Queued => {}
        }
        let messages_left = work.messages;
        self.calls.insert(
            stream,
            Call {
                server,
                id,
                key,
                work,
                job,
                messages_left,
                started: false,
            },
        );
        self.stream_by_job.insert(job, stream);
        if let Admission::Started(duration_us) = admission {
            self.start_work(stream, duration_us);
        }
    }

    /// A collapsed server doesn't recover: it sends no response any more, neither to calls that run nor to new ones.
    fn on_collapse(&mut self, server: usize) {
        let s = &mut self.servers[server];
        s.faults.silent = true;
        if !std::mem::replace(&mut s.has_collapsed, true) {
            self.log.append(&Entry::Fell {
                t: monotonic_micros(),
                server: s.name.clone(),
            });
        }
    }

    fn start_work(&mut self, stream: StreamId, duration_us: u64) {
        let Some(call) = self.calls.get_mut(&stream) else {
            return;
        };
        call.started = true;
        let (id, key) = (call.id.clone(), call.key.clone());
        let server = self.servers[call.server].name.clone();
        self.log.append(&Entry::Start {
            t: monotonic_micros(),
            server,
            id,
            key,
        });
        self.schedule(duration_us, TimerEvent::Done(stream));
    }

    fn finish_work(&mut self, server: usize, job: u64, is_cancelled: bool) {
        self.stream_by_job.remove(&job);
        if let Some((next, duration_us)) =
            self.servers[server]
                .model
                .finish(monotonic_micros(), job, is_cancelled)
        {
            if let Some(&stream) = self.stream_by_job.get(&next) {
                self.start_work(stream, duration_us);
            }
        }
    }

    fn on_done(&mut self, stream: StreamId) {
        let t = monotonic_micros();
        let Some(call) = self.calls.get(&stream) else {
            return;
        };
        let (server, job, id, key) = (call.server, call.job, call.id.clone(), call.key.clone());
        let name = self.servers[server].name.clone();
        if self.seen_keys.len() >= KEY_CLEANUP_THRESHOLD {
            let window = self.config.key_window_us;
            self.seen_keys.retain(|_, seen| *seen + window > t);
        }
        let is_duplicate = !key.is_empty()
            && self
                .seen_keys
                .get(&key)
                .is_some_and(|seen| t < seen + self.config.key_window_us);
        if !key.is_empty() && !is_duplicate {
            self.seen_keys.insert(key.clone(), t);
        }
        self.log.append(&Entry::Done {
            t,
            server: name,
            id: id.clone(),
            key,
            effect: !is_duplicate,
        });
        self.finish_work(server, job, false);
        if self.servers[server].has_collapsed
            || self.servers[server].faults.silent
            || !self.engine.is_open(stream)
        {
            self.calls.remove(&stream);
            return;
        }
        let (bytes, messages) = {
            let call = &self.calls[&stream];
            (call.work.answer_bytes as usize, call.messages_left)
        };
        self.engine.respond(stream, grpc::response_head(), false);
        self.engine.send(stream, grpc::frame(&vec![b'f'; bytes]));
        if messages > 0 {
            return self.schedule(STREAM_INTERVAL_US, TimerEvent::Message(stream));
        }
        self.finish(server, &id, stream);
    }

    fn finish(&mut self, server: usize, id: &str, stream: StreamId) {
        self.calls.remove(&stream);
        self.engine
            .finish(stream, Some(grpc::trailers(Code::Ok, "")));
        self.log_reply(server, id, 0, false);
    }

    fn on_message(&mut self, stream: StreamId) {
        let Some(call) = self.calls.get_mut(&stream) else {
            return;
        };
        if call.messages_left == 0 {
            let (server, id) = (call.server, call.id.clone());
            return self.finish(server, &id, stream);
        }
        call.messages_left -= 1;
        let frame: Bytes = grpc::frame(&vec![b'f'; call.work.answer_bytes as usize]);
        if self.engine.queued_bytes(stream) == 0 {
            self.engine.send(stream, frame);
        }
        self.schedule(STREAM_INTERVAL_US, TimerEvent::Message(stream));
    }

    fn on_cancel(&mut self, stream: StreamId) {
        let Some(call) = self.calls.get(&stream) else {
            return;
        };
        let (server, job, id, started) = (call.server, call.job, call.id.clone(), call.started);
        self.log.append(&Entry::Cancel {
            t: monotonic_micros(),
            server: self.servers[server].name.clone(),
            id,
        });
        // A call that runs to its end is removed when its timer fires.
        if started && self.config.spec.ignores_cancel && call.messages_left == call.work.messages {
            return;
        }
        self.calls.remove(&stream);
        self.finish_work(server, job, true);
    }

    fn reject_unprocessed(&mut self, server: usize, id: &str, stream: StreamId) {
        self.reply(server, id, stream, Code::Unavailable, true);
    }

    fn reply(&mut self, server: usize, id: &str, stream: StreamId, code: Code, unprocessed: bool) {
        let mut trailers = grpc::trailers(code, "");
        if unprocessed {
            trailers.insert(grpc::UNPROCESSED, HeaderValue::from_static("1"));
        }
        self.engine
            .respond(stream, grpc::trailers_only(trailers), true);
        self.log_reply(server, id, code as i32, unprocessed);
    }

    fn log_reply(&mut self, server: usize, id: &str, status: i32, unprocessed: bool) {
        let server = self.servers[server].name.clone();
        self.log.append(&Entry::Reply {
            t: monotonic_micros(),
            server,
            id: id.to_string(),
            status,
            unprocessed,
        });
    }

    /// Stops or starts a server. While it is down, its port refuses connections; it restarts without faults and in slow start.
    fn set_down(&mut self, server: usize, down: bool) -> Result<(), String> {
        let listener = self.listeners.iter().find(|l| *l.1 == server).map(|l| *l.0);
        if let Some(listener) = listener.filter(|_| down) {
            self.engine.close_listener(listener);
            self.listeners.remove(&listener);
            self.close_connections(server..server + 1);
        }
        if listener.is_none() && !down {
            let limits = Limits {
                max_connections: self.config.connections,
                ..Limits::default()
            };
            let address = self.ports[server].address();
            let listening = self.engine.listen(address, limits, false, false);
            let (listener, _) = listening.map_err(|e| format!("{address}: {e}\n"))?;
            self.listeners.insert(listener, server);
            let s = &mut self.servers[server];
            s.model = ServerModel::new(self.config.spec.clone(), monotonic_micros());
            (s.faults, s.has_collapsed) = (Faults::default(), false);
        }
        Ok(())
    }

    fn close_connections(&mut self, servers: std::ops::Range<usize>) {
        let conns: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|c| servers.contains(c.1))
            .map(|c| *c.0)
            .collect();
        conns.into_iter().for_each(|conn| self.engine.close(conn));
    }

    /// Applies a control command: `server` (an index; absent: all servers of the cell), `down`, `silent`, `draining`,
    /// `refuse_streams` (1 or 0), `errors` (a fraction of calls), `errors_path`, `slow` (a factor on the duration of all work),
    /// `reset` (closes all connections), `cold` (restarts the slow start).
    fn apply_command(&mut self, pairs: &BTreeMap<String, String>) -> Result<(), String> {
        let number = |v: &str| {
            v.parse::<f64>()
                .map_err(|_| format!("expected a number, found '{v}'\n"))
        };
        let selected = match pairs.get("server") {
            None => 0..self.servers.len(),
            Some(text) => match text.parse::<usize>() {
                Ok(i) if i < self.servers.len() => i..i + 1,
                _ => {
                    return Err(format!(
                        "server: expected a number below {}\n",
                        self.servers.len()
                    ))
                }
            },
        };
        for i in selected.clone() {
            for (name, value) in pairs {
                if name == "down" {
                    self.set_down(i, value == "1")?;
                }
                let s = &mut self.servers[i];
                match name.as_str() {
                    "server" | "down" => {}
                    "silent" => s.faults.silent = value == "1",
                    "draining" => s.faults.draining = value == "1",
                    "refuse_streams" => s.faults.refuse_streams = value == "1",
                    "errors" => s.faults.errors = number(value)?,
                    "errors_path" => s.faults.errors_path = value.clone(),
                    "slow" => s.model.slowdown = number(value)?.max(0.01),
                    "cold" => {
                        s.model = ServerModel::new(self.config.spec.clone(), monotonic_micros())
                    }
                    "reset" => {}
                    _ => return Err(format!("{name}: not known here\n")),
                }
            }
        }
        if pairs.contains_key("reset") {
            self.close_connections(selected);
        }
        Ok(())
    }
}

/// The configuration of a cell's servers in a day. With `warm`, they have their full capacity from the start.
pub fn cell_config(day: &Day, warm: bool) -> CellConfig {
    let farm = day.farm.unwrap_or_default();
    let gateway = day.gateway.clone().unwrap_or_default();
    let start = gateway.start.unwrap_or_default();
    let window = gateway
        .classes
        .iter()
        .map(|c| c.window_ms)
        .max()
        .unwrap_or(0);
    let spec = ServerSpec {
        cores: farm.cores.max(1) as usize,
        queue_capacity: farm.room as usize,
        slow_start_min_capacity: start.cold_from,
        slow_start_us: if warm {
            0
        } else {
            u64::from(start.cold_ms) * 1_000
        },
        overload_multiple: start.fall_multiple,
        overload_duration_us: u64::from(start.tip_after_ms) * 1_000,
        ignores_cancel: farm.runs_on,
    };
    let connections = if farm.connections == 0 {
        1024
    } else {
        farm.connections as usize
    };
    CellConfig {
        spec,
        work: day.work.clone(),
        connections,
        key_window_us: u64::from(window) * 1_000,
        seed: day.seed,
    }
}

/// Runs the servers of a cell until a signal stops them.
pub fn command(args: &FarmArgs) -> anyhow::Result<()> {
    init_process(args.with_parent);
    let signals = Signals::install()?;
    let day = script::read(&args.day)?;
    let log = EventLog::create(args.log.as_deref())?;
    let mut cell = Cell::start(
        cell_config(&day, args.warm),
        &args.listen,
        args.control,
        log,
    )?;
    let addresses: Vec<String> = cell.addresses().iter().map(ToString::to_string).collect();
    println!(
        "ready servers={} control={}",
        addresses.join(","),
        cell.control()
    );
    Ok(cell.run(&signals)?)
}
