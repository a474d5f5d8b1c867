//! The test harness: a gateway, scripted servers, a counter and a client on loopback sockets, all driven by one thread.
#![allow(dead_code, reason = "each test file uses only some of these helpers")]

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

// Methods of the classes `view`, `sale`, `buy` and `watch` in the settings below.
pub const VIEW: &str = "/farm.v1.Farm/View";
pub const SELL: &str = "/farm.v1.Farm/Sell";
pub const BUY: &str = "/farm.v1.Farm/Buy";
pub const WATCH: &str = "/farm.v1.Farm/Watch";
/// A test fails if a state that it waits for is not reached in this time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Everything that a peer has received on one stream.
#[derive(Default, Debug)]
pub struct StreamRecord {
    pub path: String,
    pub headers: HeaderMap,
    pub http_status: Option<http::StatusCode>,
    pub received_bytes: usize,
    pub unary_message: UnaryMessage,
    pub deframer: Deframer,
    pub messages: Vec<Bytes>,
    pub trailers: Option<HeaderMap>,
    pub is_ended: bool,
    pub error: Option<StreamError>,
}

impl StreamRecord {
    /// The status code of the trailers, if they were received.
    pub fn code(&self) -> Option<Code> {
        self.trailers.as_ref().and_then(Code::from_trailers)
    }
}

/// A server or client whose actions a test scripts. It records everything that it receives.
pub struct Peer {
    pub engine: Engine,
    pub streams: HashMap<StreamId, StreamRecord>,
    /// Streams that other peers opened here, in order.
    pub incoming_streams: Vec<StreamId>,
    pub accepted_connections: Vec<ConnId>,
    pub listeners: HashMap<ListenerId, SocketAddr>,
    pub closed_connections: Vec<ConnId>,
    /// Connections from here that are established.
    pub established_connections: HashSet<ConnId>,
    connection_of: HashMap<StreamId, ConnId>,
    listener_of: HashMap<ConnId, ListenerId>,
    /// Whether it returns no flow-control window for what it receives, like a slow reader.
    pub withholds_window: bool,
}

impl Peer {
    pub fn new() -> Peer {
        Peer {
            engine: Engine::new().expect("a poll handle"),
            streams: HashMap::new(),
            incoming_streams: Vec::new(),
            accepted_connections: Vec::new(),
            listeners: HashMap::new(),
            closed_connections: Vec::new(),
            established_connections: HashSet::new(),
            connection_of: HashMap::new(),
            listener_of: HashMap::new(),
            withholds_window: false,
        }
    }
    /// Listens at a free port of the loopback interface.
    pub fn listen(&mut self) -> SocketAddr {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (id, address) = self
            .engine
            .listen(any, Limits::default(), false, false)
            .expect("a free port");
        self.listeners.insert(id, address);
        address
    }
    /// Starts a connection with limits high enough that the gateway's limits apply first.
    pub fn connect(&mut self, address: SocketAddr) -> ConnId {
        let limits = Limits {
            max_streams: 20_000,
            max_header_bytes: 1 << 20,
            ..Limits::default()
        };
        self.engine.connect(address, limits).expect("a socket")
    }
    /// The address of this peer at which a stream was opened.
    pub fn address_of(&self, stream: StreamId) -> SocketAddr {
        self.listeners[&self.listener_of[&self.connection_of[&stream]]]
    }
    /// Handles the events that are ready, without waiting.
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
                self.accepted_connections.push(conn);
            }
            Event::Connected { conn } => drop(self.established_connections.insert(conn)),
            Event::Closed { conn, .. } => self.closed_connections.push(conn),
            Event::StreamOpened {
                stream,
                conn,
                head,
                is_end_stream: is_ended,
            } => {
                self.connection_of.insert(stream, conn);
                self.incoming_streams.push(stream);
                let record = self.streams.entry(stream).or_default();
                (record.path, record.headers, record.is_ended) =
                    (head.uri.path().to_string(), head.headers, is_ended);
            }
            Event::ResponseHead {
                stream,
                head,
                is_end_stream: is_ended,
            } => {
                let record = self.streams.entry(stream).or_default();
                record.http_status = Some(head.status);
                if is_ended {
                    (record.trailers, record.is_ended) = (Some(head.headers), true);
                } else {
                    record.headers = head.headers;
                }
            }
            Event::Data { stream, data } => {
                let record = self.streams.entry(stream).or_default();
                record.received_bytes += data.len();
                if record.received_bytes < 1 << 20 {
                    let _ = record.unary_message.push(&data, 1 << 20);
                    record.deframer.push(&data);
                    while let Ok(Some(message)) = record.deframer.next(1 << 20) {
                        record.messages.push(message);
                    }
                }
                if !self.withholds_window {
                    self.engine.consume(stream, data.len());
                }
            }
            Event::StreamEnded { stream, trailers } => {
                let record = self.streams.entry(stream).or_default();
                assert!(!record.is_ended || trailers.is_none(), "a stream ends once");
                (record.trailers, record.is_ended) = (trailers, true);
            }
            Event::StreamFailed { stream, error } => {
                self.streams.entry(stream).or_default().error = Some(error)
            }
            Event::Sent { .. } | Event::Timer(_) | Event::Get { .. } | Event::Bytes { .. } => {}
        }
    }
    /// Answers a unary call with one message and status OK.
    pub fn answer(&mut self, stream: StreamId, message: &[u8]) {
        self.engine.respond(stream, grpc::response_head(), false);
        self.engine.send(stream, grpc::frame(message));
        self.engine
            .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    }
    /// Answers a call with a status only. `unprocessed`: marks the call as not processed.
    pub fn answer_with_status(&mut self, stream: StreamId, code: Code, unprocessed: bool) {
        let mut trailers = grpc::trailers(code, "message of the server");
        if unprocessed {
            trailers.insert("x-chalkdeck-unprocessed", HeaderValue::from_static("1"));
        }
        self.engine
            .respond(stream, grpc::trailers_only(trailers), true);
    }
}

/// How the counter of the harness reacts to increments.
#[derive(Clone, Copy, PartialEq)]
pub enum CounterBehavior {
    Answers,
    Silent,
}

/// The gateway under test with the peers around it.
pub struct Harness {
    pub gateway: GatewayServer,
    pub servers: Peer,
    pub counter: Peer,
    pub client: Peer,
    pub counter_behavior: CounterBehavior,
    pub totals: HashMap<u64, f64>,
    /// The number of increments that the counter received.
    pub increment_count: usize,
    /// The number of counter streams whose response has started.
    answered_streams: usize,
    /// The client's connection to the gateway.
    pub connection: ConnId,
    pub server_addresses: Vec<SocketAddr>,
    /// The folder of the settings file and the endpoint list.
    pub dir: PathBuf,
}

/// An entry of the endpoint list.
pub struct ListEntry {
    pub address: SocketAddr,
    pub health: &'static str,
}

/// The text of an endpoint list in zone `a`.
pub fn endpoint_list(entries: &[ListEntry]) -> String {
    let endpoint = |entry: &ListEntry| {
        format!(
            "lb_endpoints {{ endpoint {{ address {{ socket_address {{ address: \"127.0.0.1\" port_value: {} }} }} }} \
             health_status: {} }}\n",
            entry.address.port(),
            entry.health
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

impl Harness {
    /// A harness with this number of servers and a counter that answers.
    pub fn new(servers: usize) -> Harness {
        Harness::with_settings(servers, CounterBehavior::Answers, &[])
    }
    /// A harness whose settings are changed by `edits`: pairs of a text and its replacement.
    pub fn with_settings(
        servers: usize,
        counter_behavior: CounterBehavior,
        edits: &[(&str, &str)],
    ) -> Harness {
        let mut counter = Peer::new();
        let counter_address = counter.listen();
        Harness::with_counter(servers, counter, counter_address, counter_behavior, edits)
    }
    /// Like [`Harness::with_settings`], with a given peer as the counter and a given counter address in the settings.
    pub fn with_counter(
        servers: usize,
        counter: Peer,
        counter_address: SocketAddr,
        counter_behavior: CounterBehavior,
        edits: &[(&str, &str)],
    ) -> Harness {
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let dir =
            std::env::temp_dir().join(format!("chalkdeck-test-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder for the test");
        let mut server_peer = Peer::new();
        let server_addresses: Vec<SocketAddr> =
            (0..servers).map(|_| server_peer.listen()).collect();
        let entries: Vec<ListEntry> = server_addresses
            .iter()
            .map(|&address| ListEntry {
                address,
                health: "HEALTHY",
            })
            .collect();
        std::fs::write(dir.join("list.txtpb"), endpoint_list(&entries)).expect("the endpoint list");
        let settings_with_counter =
            format!("{SETTINGS}\ncounter {{ address: \"{counter_address}\" timeout_ms: 60 }}\n");
        let text = edits.iter().fold(settings_with_counter, |text, edit| {
            text.replace(edit.0, edit.1)
        });
        let file = dir.join("gateway.txtpb");
        std::fs::write(&file, text).expect("settings");
        let settings = Settings::load(&file).expect("valid settings");
        let gateway = GatewayServer::start(settings, Some(file), 7, false).expect("a gateway");
        let mut client = Peer::new();
        let connection = client.connect(gateway.listen_address());
        let (totals, increment_count, answered_streams) = (HashMap::new(), 0, 0);
        let mut harness = Harness {
            gateway,
            servers: server_peer,
            counter,
            client,
            counter_behavior,
            totals,
            increment_count,
            answered_streams,
            connection,
            server_addresses,
            dir,
        };
        harness.turn_until("the client's connection", |h| {
            h.client.established_connections.contains(&h.connection)
        });
        harness
    }
    /// Replaces the file of the endpoint list atomically.
    pub fn replace_endpoint_list(&self, text: &str) {
        std::fs::write(self.dir.join("new"), text).expect("a file");
        std::fs::rename(self.dir.join("new"), self.dir.join("list.txtpb"))
            .expect("the new endpoint list");
    }
    /// Runs one turn of every party's event loop.
    pub fn turn(&mut self) {
        self.client.turn();
        self.gateway.turn(300).expect("a turn");
        self.servers.turn();
        self.counter.turn();
        self.answer_increments();
    }
    fn answer_increments(&mut self) {
        if self.counter_behavior == CounterBehavior::Silent {
            return;
        }
        let Some(&stream) = self.counter.incoming_streams.last() else {
            return;
        };
        if self.answered_streams != self.counter.incoming_streams.len() {
            self.answered_streams = self.counter.incoming_streams.len();
            self.counter
                .engine
                .respond(stream, grpc::response_head(), false);
        }
        let messages = std::mem::take(
            &mut self
                .counter
                .streams
                .get_mut(&stream)
                .expect("an open stream")
                .messages,
        );
        for message in messages {
            let request = AddRequest::decode(&message[..]).expect("an AddRequest");
            let total = self.totals.entry(request.name).or_default();
            *total += request.amount;
            let response = AddResponse {
                total: *total,
                number: request.number,
                ..AddResponse::default()
            };
            self.counter
                .engine
                .send(stream, grpc::frame(&response.encode_to_vec()));
            self.increment_count += 1;
        }
    }
    /// Runs turns until a condition holds, and panics if it does not hold in time.
    pub fn turn_until(&mut self, description: &str, mut condition: impl FnMut(&Harness) -> bool) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < end, "not in time: {description}");
            self.turn();
        }
    }
    /// Runs turns for this time, for example to check that nothing happens.
    pub fn turn_for(&mut self, millis: u64) {
        let end = Instant::now() + Duration::from_millis(millis);
        while Instant::now() < end {
            self.turn();
        }
    }
    /// Opens a call with a customer and this metadata, without a body yet.
    pub fn open_call(&mut self, path: &str, metadata: &[(&str, &str)]) -> StreamId {
        let mut head = grpc::request_head("gateway", path).expect("a head");
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
            .open_stream(self.connection, head, false)
            .expect("room for a call")
    }
    /// Sends a unary call with a small message.
    pub fn call(&mut self, path: &str, metadata: &[(&str, &str)]) -> StreamId {
        let stream = self.open_call(path, metadata);
        self.client.engine.send(stream, grpc::frame(b"ask"));
        self.client.engine.finish(stream, None);
        stream
    }
    /// Waits until the servers have received `count` calls in total; returns the stream of the last of these.
    pub fn wait_for_server_call(&mut self, count: usize) -> StreamId {
        self.turn_until("a call at a server", |h| {
            h.servers.incoming_streams.len() >= count
        });
        self.servers.incoming_streams[count - 1]
    }
    /// Waits until a call has ended at the client; returns its status.
    pub fn wait_for_status(&mut self, call: StreamId) -> Code {
        self.turn_until("the call's end", |h| {
            h.client
                .streams
                .get(&call)
                .is_some_and(|s| s.is_ended || s.error.is_some())
        });
        self.client.streams[&call].code().expect("a status")
    }
    /// What the client has received on a call's stream; `None`: nothing.
    pub fn client_stream(&self, call: StreamId) -> Option<&StreamRecord> {
        self.client.streams.get(&call)
    }
    /// The sum of a metric of the gateway over the lines that contain `label`.
    pub fn metric_sum(&mut self, name: &str, label: &str) -> f64 {
        let text = self.gateway.metrics_text();
        let lines = text
            .lines()
            .filter(|l| l.starts_with(name) && l.contains(label));
        lines
            .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// A gRPC frame: a header of 5 bytes and a message of this length.
pub fn payload(bytes: usize) -> Bytes {
    grpc::frame(&vec![7; bytes])
}
