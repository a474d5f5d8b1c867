//! A gateway, scripted servers, a counter and clients, all turned by one thread over loopback sockets.
#![allow(
    dead_code,
    reason = "each test file uses another part of these helpers"
)]

use bytes::Bytes;
use chalkdeck_grpc_gateway::{GatewayServer, Settings};
use chalkdeck_net::grpc::{self, Code, Deframer};
use chalkdeck_net::unary::UnaryMessage;
use chalkdeck_net::{ConnId, Engine, Event, Limits, ListenerId, StreamError, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::{AddRequest, AddResponse};
use http::{HeaderMap, HeaderName, HeaderValue};
use prost::Message;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

pub const VIEW: &str = "/farm.v1.Farm/View";
pub const SELL: &str = "/farm.v1.Farm/Sell";
pub const BUY: &str = "/farm.v1.Farm/Buy";
pub const WATCH: &str = "/farm.v1.Farm/Watch";
const PATIENCE: Duration = Duration::from_secs(20);

/// What a peer has heard on one stream.
#[derive(Default, Debug)]
pub struct Seen {
    pub path: String,
    pub headers: HeaderMap,
    pub head: Option<http::StatusCode>,
    pub bytes: usize,
    pub gather: UnaryMessage,
    pub deframer: Deframer,
    pub messages: Vec<Bytes>,
    pub trailers: Option<HeaderMap>,
    pub ended: bool,
    pub broken: Option<StreamError>,
}

impl Seen {
    pub fn code(&self) -> Option<Code> {
        self.trailers.as_ref().and_then(Code::from_trailers)
    }
}

/// One end of connections that a test plays.
pub struct Peer {
    pub engine: Engine,
    pub seen: HashMap<StreamId, Seen>,
    pub opened: Vec<StreamId>,
    pub conns: Vec<ConnId>,
    pub listeners: HashMap<ListenerId, SocketAddr>,
    pub closed: Vec<ConnId>,
    pub up: HashSet<ConnId>,
    conn_of: HashMap<StreamId, ConnId>,
    listener_of: HashMap<ConnId, ListenerId>,
    /// Do not give the window back: a slow reader.
    pub slow: bool,
}

impl Peer {
    pub fn new() -> Peer {
        Peer {
            engine: Engine::new().expect("a poll handle"),
            seen: HashMap::new(),
            opened: Vec::new(),
            conns: Vec::new(),
            listeners: HashMap::new(),
            closed: Vec::new(),
            up: HashSet::new(),
            conn_of: HashMap::new(),
            listener_of: HashMap::new(),
            slow: false,
        }
    }
    pub fn listen(&mut self) -> SocketAddr {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (id, address) = self
            .engine
            .listen(any, Limits::default(), false, false)
            .expect("a free port");
        self.listeners.insert(id, address);
        address
    }
    pub fn connect(&mut self, address: SocketAddr) -> ConnId {
        let limits = Limits {
            streams: 20_000,
            header_bytes: 1 << 20,
            ..Limits::default()
        };
        self.engine.connect(address, limits).expect("a socket")
    }
    /// At which of its addresses a call came in.
    pub fn address_of(&self, stream: StreamId) -> SocketAddr {
        self.listeners[&self.listener_of[&self.conn_of[&stream]]]
    }
    pub fn turn(&mut self) {
        let mut events = Vec::new();
        self.engine.turn(0, &mut events).expect("a turn");
        for event in events {
            self.on_event(event);
        }
    }
    fn on_event(&mut self, event: Event) {
        match event {
            Event::Accepted { listener, conn } => {
                self.listener_of.insert(conn, listener);
                self.conns.push(conn);
            }
            Event::Connected { conn } => drop(self.up.insert(conn)),
            Event::Closed { conn, .. } => self.closed.push(conn),
            Event::Opened {
                stream,
                conn,
                head,
                ended,
            } => {
                self.conn_of.insert(stream, conn);
                self.opened.push(stream);
                let seen = self.seen.entry(stream).or_default();
                (seen.path, seen.headers, seen.ended) =
                    (head.uri.path().to_string(), head.headers, ended);
            }
            Event::Head {
                stream,
                head,
                ended,
            } => {
                let seen = self.seen.entry(stream).or_default();
                seen.head = Some(head.status);
                if ended {
                    (seen.trailers, seen.ended) = (Some(head.headers), true);
                } else {
                    seen.headers = head.headers;
                }
            }
            Event::Data { stream, data } => {
                let seen = self.seen.entry(stream).or_default();
                seen.bytes += data.len();
                if seen.bytes < 1 << 20 {
                    let _ = seen.gather.push(&data, 1 << 20);
                    seen.deframer.push(&data);
                    while let Ok(Some(message)) = seen.deframer.next(1 << 20) {
                        seen.messages.push(message);
                    }
                }
                if !self.slow {
                    self.engine.consume(stream, data.len());
                }
            }
            Event::End { stream, trailers } => {
                let seen = self.seen.entry(stream).or_default();
                assert!(
                    !seen.ended || trailers.is_none(),
                    "a second end of one stream"
                );
                (seen.trailers, seen.ended) = (trailers, true);
            }
            Event::StreamFailed { stream, error } => {
                self.seen.entry(stream).or_default().broken = Some(error)
            }
            Event::Sent { .. } | Event::Timer(_) | Event::Get { .. } | Event::Bytes { .. } => {}
        }
    }
    /// Answers a unary call.
    pub fn answer(&mut self, stream: StreamId, message: &[u8]) {
        self.engine.respond(stream, grpc::head(), false);
        self.engine.send(stream, grpc::frame(message));
        self.engine
            .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    }
    pub fn status(&mut self, stream: StreamId, code: Code, unprocessed: bool) {
        let mut trailers = grpc::trailers(code, "said by the server");
        if unprocessed {
            trailers.insert("x-chalkdeck-unprocessed", HeaderValue::from_static("1"));
        }
        self.engine
            .respond(stream, grpc::trailers_only(trailers), true);
    }
}

/// How the counter of a test behaves.
#[derive(Clone, Copy, PartialEq)]
pub enum CounterMood {
    Answers,
    Silent,
}

pub struct Rig {
    pub gateway: GatewayServer,
    pub servers: Peer,
    pub counter: Peer,
    pub client: Peer,
    pub counter_mood: CounterMood,
    pub totals: HashMap<u64, f64>,
    pub adds: usize,
    answered: usize,
    pub conn: ConnId,
    pub addresses: Vec<SocketAddr>,
    pub dir: PathBuf,
}

/// A server on the list.
pub struct Entry {
    pub address: SocketAddr,
    pub health: &'static str,
}

pub fn list(entries: &[Entry]) -> String {
    let endpoint = |e: &Entry| {
        format!(
            "lb_endpoints {{ endpoint {{ address {{ socket_address {{ address: \"127.0.0.1\" port_value: {} }} }} }} \
             health_status: {} }}\n",
            e.address.port(),
            e.health
        )
    };
    let lines: String = entries.iter().map(endpoint).collect();
    format!("cluster_name: \"farm\"\nendpoints {{ locality {{ zone: \"a\" }}\n{lines}}}\n")
}

const SETTINGS: &str = r#"
listen: "127.0.0.1:0" admin: "127.0.0.1:0" fleet: 1 zone: "a"
classes { name: "view" aim_ms: 300 deadline_ms: 8000 worth: 1 effect: SAFE }
classes { name: "sale" aim_ms: 300 deadline_ms: 8000 worth: 1 effect: KEYED group: ZONE window_ms: 3000 }
classes { name: "buy" aim_ms: 300 deadline_ms: 8000 worth: 1 effect: UNSAFE }
classes { name: "watch" aim_ms: 300 deadline_ms: 8000 worth: 1 effect: SAFE stream: true }
plans { name: "free" }
plans { name: "small" rate: 2 burst: 4 over_cost: 1 }
routes { path: "/farm.v1.Farm/View" class: "view" client_units: true }
routes { path: "/farm.v1.Farm/Sell" class: "sale" }
routes { path: "/farm.v1.Farm/Buy" class: "buy" }
routes { path: "/farm.v1.Farm/Watch*" class: "watch" }
customers { default_plan: "free" plan_of { key: "small" value: "small" } }
limits { attempts: 3 most_units: 4 retry_after_ms: 5000 }
endpoints { file: "list.txtpb" poll_ms: 10 connect_timeout_ms: 200 }
logs { level: "error" }
"#;

impl Rig {
    pub fn new(servers: usize) -> Rig {
        Rig::with(servers, CounterMood::Answers, &[])
    }
    pub fn with(servers: usize, counter_mood: CounterMood, edits: &[(&str, &str)]) -> Rig {
        let mut counter = Peer::new();
        let counter_address = counter.listen();
        Rig::full(servers, counter, counter_address, counter_mood, edits)
    }
    pub fn full(
        servers: usize,
        counter: Peer,
        counter_address: SocketAddr,
        counter_mood: CounterMood,
        edits: &[(&str, &str)],
    ) -> Rig {
        static RIGS: AtomicU32 = AtomicU32::new(0);
        let number = RIGS.fetch_add(1, Ordering::Relaxed);
        let dir =
            std::env::temp_dir().join(format!("chalkdeck-test-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder for the test");
        let mut peer = Peer::new();
        let addresses: Vec<SocketAddr> = (0..servers).map(|_| peer.listen()).collect();
        let entries: Vec<Entry> = addresses
            .iter()
            .map(|&address| Entry {
                address,
                health: "HEALTHY",
            })
            .collect();
        std::fs::write(dir.join("list.txtpb"), list(&entries)).expect("a list");
        let counted =
            format!("{SETTINGS}\ncounter {{ address: \"{counter_address}\" timeout_ms: 60 }}\n");
        let text = edits
            .iter()
            .fold(counted, |text, edit| text.replace(edit.0, edit.1));
        let file = dir.join("gateway.txtpb");
        std::fs::write(&file, text).expect("settings");
        let set = Settings::load(&file).expect("sound settings");
        let gateway = GatewayServer::start(set, Some(file), 7, false).expect("a gateway");
        let mut client = Peer::new();
        let conn = client.connect(gateway.listen_address());
        let (totals, adds, answered) = (HashMap::new(), 0, 0);
        let mut rig = Rig {
            gateway,
            servers: peer,
            counter,
            client,
            counter_mood,
            totals,
            adds,
            answered,
            conn,
            addresses,
            dir,
        };
        rig.until("the client's connection", |r| r.client.up.contains(&r.conn));
        rig
    }
    /// Puts a new list in the file's place.
    pub fn relist(&self, text: &str) {
        std::fs::write(self.dir.join("new"), text).expect("a file");
        std::fs::rename(self.dir.join("new"), self.dir.join("list.txtpb")).expect("a new list");
    }
    pub fn turn(&mut self) {
        self.client.turn();
        self.gateway.turn(300).expect("a turn");
        self.servers.turn();
        self.counter.turn();
        self.count();
    }
    fn count(&mut self) {
        if self.counter_mood == CounterMood::Silent {
            return;
        }
        let Some(&stream) = self.counter.opened.last() else {
            return;
        };
        if self.answered != self.counter.opened.len() {
            self.answered = self.counter.opened.len();
            self.counter.engine.respond(stream, grpc::head(), false);
        }
        let messages = std::mem::take(
            &mut self
                .counter
                .seen
                .get_mut(&stream)
                .expect("it was opened")
                .messages,
        );
        for message in messages {
            let add = AddRequest::decode(&message[..]).expect("an add");
            let total = self.totals.entry(add.name).or_default();
            *total += add.amount;
            let answer = AddResponse {
                total: *total,
                number: add.number,
                ..AddResponse::default()
            };
            self.counter
                .engine
                .send(stream, grpc::frame(&answer.encode_to_vec()));
            self.adds += 1;
        }
    }
    /// Turns all until it holds.
    pub fn until(&mut self, what: &str, mut holds: impl FnMut(&Rig) -> bool) {
        let end = Instant::now() + PATIENCE;
        while !holds(self) {
            assert!(Instant::now() < end, "not in time: {what}");
            self.turn();
        }
    }
    /// Turns all for a while, where nothing is to happen.
    pub fn pass(&mut self, millis: u64) {
        let end = Instant::now() + Duration::from_millis(millis);
        while Instant::now() < end {
            self.turn();
        }
    }
    pub fn open(&mut self, path: &str, metadata: &[(&str, &str)]) -> StreamId {
        let mut head = grpc::request("gateway", path).expect("a head");
        if !metadata.iter().any(|m| m.0 == "x-customer") {
            head.headers_mut()
                .insert("x-customer", HeaderValue::from_static("someone"));
        }
        for (name, value) in metadata {
            let name = HeaderName::from_bytes(name.as_bytes()).expect("a name");
            head.headers_mut()
                .insert(name, HeaderValue::from_str(value).expect("a value"));
        }
        self.client
            .engine
            .open(self.conn, head, false)
            .expect("room for a call")
    }
    /// A unary call with a small message.
    pub fn call(&mut self, path: &str, metadata: &[(&str, &str)]) -> StreamId {
        let stream = self.open(path, metadata);
        self.client.engine.send(stream, grpc::frame(b"ask"));
        self.client.engine.finish(stream, None);
        stream
    }
    /// Waits until so many calls in all have come to the servers; returns the last of them.
    pub fn arrived(&mut self, count: usize) -> StreamId {
        self.until("a call at a server", |r| r.servers.opened.len() >= count);
        self.servers.opened[count - 1]
    }
    /// Waits for a call's end at the client.
    pub fn ended(&mut self, call: StreamId) -> Code {
        self.until("the call's end", |r| {
            r.client
                .seen
                .get(&call)
                .is_some_and(|s| s.ended || s.broken.is_some())
        });
        self.client.seen[&call].code().expect("a status")
    }
    pub fn heard(&self, call: StreamId) -> Option<&Seen> {
        self.client.seen.get(&call)
    }
    /// A figure of the gateway's own, summed over labels that contain `label`.
    pub fn metric(&mut self, name: &str, label: &str) -> f64 {
        let text = self.gateway.metrics_text();
        let lines = text
            .lines()
            .filter(|l| l.starts_with(name) && l.contains(label));
        lines
            .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

pub fn payload(bytes: usize) -> Bytes {
    grpc::frame(&vec![7; bytes])
}
