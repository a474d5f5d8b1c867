//! Stand-ins for the farm servers of one cell: several servers in one process, which share the keys they have seen.

use crate::parts::control;
use crate::parts::log::{Line, Log};
use crate::parts::process::begin;
use crate::parts::script;
use crate::stand_ins::model::{Admit, Build, Model};
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
    /// A day: its farm, work and cold start
    #[arg(long)]
    pub day: PathBuf,
    /// One address for each server
    #[arg(long, value_delimiter = ',', default_value = "127.0.0.1:0")]
    pub listen: Vec<SocketAddr>,
    #[arg(long, default_value = "127.0.0.1:0")]
    pub control: SocketAddr,
    #[arg(long)]
    pub log: Option<PathBuf>,
    /// The servers have been up for long
    #[arg(long)]
    pub warm: bool,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

/// How long between two messages of a streamed answer.
const STREAM_STEP: u64 = 100_000;
/// The most keys that are remembered.
const MOST_KEYS: usize = 1 << 20;

/// How the servers of a process are.
#[derive(Clone, Debug)]
pub struct Farm {
    pub build: Build,
    pub work: Vec<Work>,
    pub connections: usize,
    /// How long a key is remembered, in microseconds.
    pub window: u64,
    pub seed: u64,
}

/// Trouble of one server.
#[derive(Clone, Debug, Default)]
struct Mood {
    silent: bool,
    draining: bool,
    /// Part of the calls that fail at once, of one path or all.
    errors: f64,
    errors_path: String,
    refuse_streams: bool,
}

struct Server {
    name: String,
    model: Model,
    mood: Mood,
    fallen: bool,
}

struct Call {
    server: usize,
    id: String,
    key: String,
    work: Work,
    /// Its number in the model.
    number: u64,
    messages_left: u32,
    running: bool,
}

enum Due {
    Done(StreamId),
    Message(StreamId),
}

/// The servers of one cell.
pub struct Cell {
    engine: Engine,
    farm: Farm,
    servers: Vec<Server>,
    /// The servers' ports, which stay reserved while a server is down.
    ports: Vec<ReservedPort>,
    control: SocketAddr,
    listener_of: HashMap<ListenerId, usize>,
    conns: HashMap<ConnId, usize>,
    calls: HashMap<StreamId, Call>,
    by_number: HashMap<u64, StreamId>,
    due: HashMap<u64, Due>,
    next: u64,
    keys: HashMap<String, u64>,
    log: Log,
    rng: fastrand::Rng,
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
        .to_string()
}

impl Cell {
    /// Binds one port for each server and one for control.
    pub fn start(
        farm: Farm,
        listen: &[SocketAddr],
        control: SocketAddr,
        log: Log,
    ) -> std::io::Result<Cell> {
        let mut engine = Engine::new()?;
        let limits = Limits {
            max_connections: farm.connections,
            ..Limits::default()
        };
        let control = engine.listen(control, Limits::default(), false, true)?.1;
        let (mut servers, mut ports, mut listener_of) = (Vec::new(), Vec::new(), HashMap::new());
        let now = monotonic_micros();
        for address in listen {
            let port = ReservedPort::reserve(*address)?;
            let (listener, bound) = engine.listen(port.address(), limits, false, false)?;
            ports.push(port);
            listener_of.insert(listener, servers.len());
            let model = Model::new(farm.build.clone(), now);
            servers.push(Server {
                name: bound.to_string(),
                model,
                mood: Mood::default(),
                fallen: false,
            });
        }
        Ok(Cell {
            engine,
            rng: fastrand::Rng::with_seed(farm.seed),
            farm,
            servers,
            ports,
            control,
            listener_of,
            conns: HashMap::new(),
            calls: HashMap::new(),
            by_number: HashMap::new(),
            due: HashMap::new(),
            next: 0,
            keys: HashMap::new(),
            log,
        })
    }
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.ports.iter().map(ReservedPort::address).collect()
    }
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Serves until it is asked to stop.
    pub fn run(&mut self, signals: &Signals) -> std::io::Result<()> {
        let mut events = Vec::new();
        while !signals.is_stop_requested() {
            self.engine.turn(50_000, &mut events)?;
            for event in events.drain(..) {
                self.on_event(event);
            }
            // A kill must lose no line.
            self.log.flush();
        }
        Ok(())
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Accepted { listener, conn } => {
                if let Some(&server) = self.listener_of.get(&listener) {
                    self.conns.insert(conn, server);
                }
            }
            Event::Closed { conn, .. } => drop(self.conns.remove(&conn)),
            Event::StreamOpened {
                stream, conn, head, ..
            } => self.on_call(stream, conn, &head),
            Event::Data { stream, data } => self.engine.consume(stream, data.len()),
            Event::StreamFailed { stream, .. } => self.on_cancel(stream),
            Event::Timer(token) => match self.due.remove(&token) {
                Some(Due::Done(stream)) => self.on_done(stream),
                Some(Due::Message(stream)) => self.on_message(stream),
                None => {}
            },
            Event::Get { conn, path } => {
                let (_, pairs) = control::parse(&path);
                let done = self.set(&pairs);
                control::answer(&mut self.engine, conn, done);
            }
            _ => {}
        }
    }

    fn due_in(&mut self, after: u64, due: Due) {
        self.next += 1;
        self.due.insert(self.next, due);
        self.engine.set_timer(self.engine.now() + after, self.next);
    }

    fn on_call(&mut self, stream: StreamId, conn: ConnId, head: &request::Parts) {
        let Some(&server) = self.conns.get(&conn) else {
            return;
        };
        let path = head.uri.path().to_string();
        let (id, key) = (
            text(&head.headers, "x-call-id"),
            text(&head.headers, grpc::IDEMPOTENCY_KEY),
        );
        let customer = text(&head.headers, "x-customer");
        let units = text(&head.headers, "x-units").parse().unwrap_or(1.0);
        let name = self.servers[server].name.clone();
        let t = monotonic_micros();
        self.log.line(&Line::Arrive {
            t,
            server: name,
            id: id.clone(),
            customer,
            path: path.clone(),
            key: key.clone(),
            units,
        });
        let work = self
            .farm
            .work
            .iter()
            .find(|w| w.path == path)
            .cloned()
            .unwrap_or_default();
        let mood = self.servers[server].mood.clone();
        let hit = mood.errors_path.is_empty() || mood.errors_path == path;
        if mood.silent {
            return;
        }
        if mood.refuse_streams {
            self.engine.reset(stream, h2::Reason::REFUSED_STREAM);
            return self.log_reply(server, &id, -1, true);
        }
        if mood.draining {
            return self.turn_away(server, &id, stream);
        }
        if hit && self.rng.f64() < mood.errors {
            return self.reply(server, &id, stream, Code::Unavailable, false);
        }
        self.next += 1;
        let number = self.next;
        let lasts = work.min_ms + (work.max_ms - work.min_ms).max(0.0) * self.rng.f64();
        let admit = self.servers[server]
            .model
            .arrive(t, number, (lasts * 1e3) as u64);
        match admit {
            Admit::Full => return self.turn_away(server, &id, stream),
            Admit::Fell => return self.on_fall(server),
            Admit::Runs(_) | Admit::Waits => {}
        }
        let messages_left = work.messages;
        self.calls.insert(
            stream,
            Call {
                server,
                id,
                key,
                work,
                number,
                messages_left,
                running: false,
            },
        );
        self.by_number.insert(number, stream);
        if let Admit::Runs(lasts) = admit {
            self.begin(stream, lasts);
        }
    }

    /// It stays down: nothing more is answered, and new calls hear nothing.
    fn on_fall(&mut self, server: usize) {
        let s = &mut self.servers[server];
        s.mood.silent = true;
        if !std::mem::replace(&mut s.fallen, true) {
            self.log.line(&Line::Fell {
                t: monotonic_micros(),
                server: s.name.clone(),
            });
        }
    }

    fn begin(&mut self, stream: StreamId, lasts: u64) {
        let Some(call) = self.calls.get_mut(&stream) else {
            return;
        };
        call.running = true;
        let (id, key) = (call.id.clone(), call.key.clone());
        let server = self.servers[call.server].name.clone();
        self.log.line(&Line::Start {
            t: monotonic_micros(),
            server,
            id,
            key,
        });
        self.due_in(lasts, Due::Done(stream));
    }

    fn next_of(&mut self, server: usize, number: u64, called_off: bool) {
        self.by_number.remove(&number);
        if let Some((next, lasts)) =
            self.servers[server]
                .model
                .leave(monotonic_micros(), number, called_off)
        {
            if let Some(&stream) = self.by_number.get(&next) {
                self.begin(stream, lasts);
            }
        }
    }

    fn on_done(&mut self, stream: StreamId) {
        let t = monotonic_micros();
        let Some(call) = self.calls.get(&stream) else {
            return;
        };
        let (server, number, id, key) =
            (call.server, call.number, call.id.clone(), call.key.clone());
        let name = self.servers[server].name.clone();
        if self.keys.len() >= MOST_KEYS {
            let window = self.farm.window;
            self.keys.retain(|_, seen| *seen + window > t);
        }
        let repeated = !key.is_empty()
            && self
                .keys
                .get(&key)
                .is_some_and(|seen| t < seen + self.farm.window);
        if !key.is_empty() && !repeated {
            self.keys.insert(key.clone(), t);
        }
        self.log.line(&Line::Done {
            t,
            server: name,
            id: id.clone(),
            key,
            effect: !repeated,
        });
        self.next_of(server, number, false);
        if self.servers[server].fallen
            || self.servers[server].mood.silent
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
            return self.due_in(STREAM_STEP, Due::Message(stream));
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
        self.due_in(STREAM_STEP, Due::Message(stream));
    }

    fn on_cancel(&mut self, stream: StreamId) {
        let Some(call) = self.calls.get(&stream) else {
            return;
        };
        let (server, number, id, running) =
            (call.server, call.number, call.id.clone(), call.running);
        self.log.line(&Line::Cancel {
            t: monotonic_micros(),
            server: self.servers[server].name.clone(),
            id,
        });
        // Work that runs on ends by its timer.
        if running && self.farm.build.runs_on && call.messages_left == call.work.messages {
            return;
        }
        self.calls.remove(&stream);
        self.next_of(server, number, true);
    }

    fn turn_away(&mut self, server: usize, id: &str, stream: StreamId) {
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
        self.log.line(&Line::Reply {
            t: monotonic_micros(),
            server,
            id: id.to_string(),
            status,
            unprocessed,
        });
    }

    /// A dead server's port refuses connections; its next life starts cold.
    fn set_down(&mut self, server: usize, down: bool) -> Result<(), String> {
        let listener = self
            .listener_of
            .iter()
            .find(|l| *l.1 == server)
            .map(|l| *l.0);
        if let Some(listener) = listener.filter(|_| down) {
            self.engine.close_listener(listener);
            self.listener_of.remove(&listener);
            self.close_all(server..server + 1);
        }
        if listener.is_none() && !down {
            let limits = Limits {
                max_connections: self.farm.connections,
                ..Limits::default()
            };
            let address = self.ports[server].address();
            let again = self.engine.listen(address, limits, false, false);
            let (listener, _) = again.map_err(|e| format!("{address}: {e}\n"))?;
            self.listener_of.insert(listener, server);
            let s = &mut self.servers[server];
            s.model = Model::new(self.farm.build.clone(), monotonic_micros());
            (s.mood, s.fallen) = (Mood::default(), false);
        }
        Ok(())
    }

    fn close_all(&mut self, servers: std::ops::Range<usize>) {
        let all: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|c| servers.contains(c.1))
            .map(|c| *c.0)
            .collect();
        all.into_iter().for_each(|conn| self.engine.close(conn));
    }

    /// `server` (a number; absent: all of the cell), `down`, `silent`, `draining`, `refuse_streams` (1 or 0), `errors` (a part),
    /// `errors_path`, `slow` (a multiple of all work), `reset` (ends all connections), `cold` (a new start).
    fn set(&mut self, pairs: &BTreeMap<String, String>) -> Result<(), String> {
        let number = |v: &str| {
            v.parse::<f64>()
                .map_err(|_| format!("expected a number, found '{v}'\n"))
        };
        let chosen = match pairs.get("server") {
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
        for i in chosen.clone() {
            for (name, value) in pairs {
                if name == "down" {
                    self.set_down(i, value == "1")?;
                }
                let s = &mut self.servers[i];
                match name.as_str() {
                    "server" | "down" => {}
                    "silent" => s.mood.silent = value == "1",
                    "draining" => s.mood.draining = value == "1",
                    "refuse_streams" => s.mood.refuse_streams = value == "1",
                    "errors" => s.mood.errors = number(value)?,
                    "errors_path" => s.mood.errors_path = value.clone(),
                    "slow" => s.model.slow = number(value)?.max(0.01),
                    "cold" => s.model = Model::new(self.farm.build.clone(), monotonic_micros()),
                    "reset" => {}
                    _ => return Err(format!("{name}: not known here\n")),
                }
            }
        }
        if pairs.contains_key("reset") {
            self.close_all(chosen);
        }
        Ok(())
    }
}

/// The servers' side of a day.
pub fn farm_of(day: &Day, warm: bool) -> Farm {
    let farm = day.farm.unwrap_or_default();
    let gateway = day.gateway.clone().unwrap_or_default();
    let start = gateway.start.unwrap_or_default();
    let window = gateway
        .classes
        .iter()
        .map(|c| c.window_ms)
        .max()
        .unwrap_or(0);
    let build = Build {
        cores: farm.cores.max(1) as usize,
        room: farm.room as usize,
        cold_from: start.cold_from,
        cold: if warm {
            0
        } else {
            u64::from(start.cold_ms) * 1_000
        },
        fall_multiple: start.fall_multiple,
        tip_after: u64::from(start.tip_after_ms) * 1_000,
        runs_on: farm.runs_on,
    };
    let connections = if farm.connections == 0 {
        1024
    } else {
        farm.connections as usize
    };
    Farm {
        build,
        work: day.work.clone(),
        connections,
        window: u64::from(window) * 1_000,
        seed: day.seed,
    }
}

/// Runs a cell until it is stopped.
pub fn command(args: &FarmArgs) -> anyhow::Result<()> {
    begin(args.with_parent);
    let signals = Signals::install()?;
    let day = script::read(&args.day)?;
    let log = Log::create(args.log.as_deref())?;
    let mut cell = Cell::start(farm_of(&day, args.warm), &args.listen, args.control, log)?;
    let addresses: Vec<String> = cell.addresses().iter().map(ToString::to_string).collect();
    println!(
        "ready servers={} control={}",
        addresses.join(","),
        cell.control()
    );
    Ok(cell.run(&signals)?)
}
