//! Test harness: a gateway with clients, endpoints, a counter and a discovery agent that the test controls. All of them run on one
//! thread and connect over loopback.
#![allow(
    dead_code,
    reason = "each test program uses only a part of this module"
)]

use bytes::{Bytes, BytesMut};
use chalkdeck_net::clock::{Clock, ClockJumps};
use chalkdeck_net::{ConnId, Engine, Event, Limits, ListenerId};
use chalkdeck_resp::{encode_command, take_command, MessageLimits, ParsedCommand};
use chalkdeck_resp_gateway::{Config, GatewayServer};
use std::collections::{HashMap, HashSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The longest wait for a condition, after which a test fails.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// The size limits of the commands that the fake endpoints and the fake counter receive.
const LIMITS: MessageLimits = MessageLimits {
    max_elements: 16,
    max_element_bytes: 1 << 20,
    max_line_bytes: 0,
    max_message_bytes: 2 << 20,
    accepts_inline: true,
};
/// One second, in microseconds.
pub const SECOND_MICROS: i64 = 1_000_000;

/// An endpoint in the list of the discovery agent.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub status: &'static str,
}

/// A gateway and its peers.
pub struct Harness {
    pub engine: Engine,
    pub gateway: GatewayServer,
    pub file: PathBuf,
    /// Advances the gateway's clock.
    pub jumps: Arc<ClockJumps>,
    /// The bytes received on each connection that the test has not consumed yet.
    pub received: HashMap<ConnId, BytesMut>,
    /// The listener that accepted each connection.
    pub listener_of: HashMap<ConnId, ListenerId>,
    pub connected: HashSet<ConnId>,
    pub closed: HashSet<ConnId>,
    pub endpoints: Vec<(ListenerId, SocketAddr)>,
    pub counter: (ListenerId, SocketAddr),
    pub discovery: (ListenerId, SocketAddr),
    /// The complete list that the discovery agent sends next.
    pub list: Vec<Entry>,
    pub list_version: u64,
    /// The version of the list that was sent last on each connection; a long poll is held until there is a newer one.
    sent_versions: HashMap<ConnId, u64>,
    /// The totals of the counter by key.
    pub totals: HashMap<Bytes, f64>,
    /// Whether the counter does not respond.
    pub is_counter_silent: bool,
    /// Whether the discovery agent does not respond.
    pub is_discovery_silent: bool,
    pub counter_call_count: usize,
}

fn listen(engine: &mut Engine) -> (ListenerId, SocketAddr) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    engine
        .listen_plain(any, Limits::default())
        .expect("a free port")
}

/// Resource limits small enough for tests to reach them.
pub const SMALL_LIMITS: &str = r#"{"cores":1.0,"memory_mb":32,"sockets":96}"#;
pub const LARGE_LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;

pub fn config(listen: &str, discovery: SocketAddr, counter: SocketAddr, limits: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","counter":"{counter}","seed":"ff","limits":{limits},
        "settings":{{"balancers":3,"my_number":1,"tick":2000,"zone":"a","zones":["a","b"],
        "bounds":{{"max_attempts":4,"dial_timeout":250000,"conn_idle":30000000,"second_copies":true,"may_cancel":true,
        "retry_after":true,"max_retry_after":2000000}},
        "classes":[{{"name":"view","deadline":3000000,"on_time":750000,"effect":"pure","credit":2.0}},
        {{"name":"sale","deadline":3000000,"on_time":750000,"effect":"side_effect","credit":2.0}},
        {{"name":"order","deadline":3000000,"on_time":750000,"effect":"token","key_scope":"cell","window":3000000}}],
        "plans":[{{"name":"team","per_second":100.0,"peak_units":200.0}},{{"name":"tiny","per_second":1.0,"peak_units":2.0}}],
        "rules":{{"cold":18000000,"cold_from":0.2,"fall_multiple":2.0,"tip_after":1000000,"answer_slack":8000}},
        "specifics":{{"counter":true,"count_limit":80000,"units_top":4}}}}}}"#
    )
}

impl Harness {
    /// Starts a gateway with this number of endpoints, all listed and ready.
    pub fn new(endpoint_count: usize, limits: &str) -> Harness {
        Harness::with_config(endpoint_count, limits, |text| text)
    }

    /// Starts a gateway as `new` does, with a configuration that `edit` has changed.
    pub fn with_config(endpoint_count: usize, limits: &str, edit: fn(String) -> String) -> Harness {
        let mut engine = Engine::new().expect("a poll handle");
        let endpoints: Vec<_> = (0..endpoint_count).map(|_| listen(&mut engine)).collect();
        let (counter, discovery) = (listen(&mut engine), listen(&mut engine));
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let name = format!(
            "chalkdeck-platform-{}-{}.json",
            std::process::id(),
            NEXT_NUMBER.fetch_add(1, Ordering::Relaxed)
        );
        let file = std::env::temp_dir().join(name);
        let text = edit(config("127.0.0.1:0", discovery.1, counter.1, limits));
        std::fs::write(&file, text).expect("a temporary file");
        let jumps = Arc::<ClockJumps>::default();
        let config = Config::load(&file).expect("a valid configuration");
        let gateway = GatewayServer::start_with_clock(config, Clock::shifted(jumps.clone()))
            .expect("a free port");
        let list = endpoints.iter().enumerate();
        let list = list
            .map(|(i, endpoint)| Entry {
                name: format!("s-{i}"),
                address: endpoint.1,
                status: "ready",
            })
            .collect();
        let mut harness = Harness {
            engine,
            gateway,
            file,
            jumps,
            received: HashMap::new(),
            listener_of: HashMap::new(),
            connected: HashSet::new(),
            closed: HashSet::new(),
            endpoints,
            counter,
            discovery,
            list,
            list_version: 1,
            sent_versions: HashMap::new(),
            totals: HashMap::new(),
            is_counter_silent: false,
            is_discovery_silent: false,
            counter_call_count: 0,
        };
        harness.wait_for("the list is sent", |h| {
            h.sent_versions
                .values()
                .any(|v| *v == h.list_version)
                .then_some(())
        });
        harness
    }

    pub fn turn(&mut self) {
        self.gateway.turn(0).expect("a turn of the gateway");
        self.run_peers();
    }

    /// Runs the peers but not the gateway's event loop, so that the gateway handles everything that they write in one batch later.
    pub fn run_peers_only(&mut self) {
        for _ in 0..20 {
            self.run_peers();
        }
    }

    fn run_peers(&mut self) {
        let mut events = Vec::new();
        self.engine
            .turn(0, &mut events)
            .expect("a turn of the harness");
        for event in events {
            match event {
                Event::Accepted { listener, conn } => drop(self.listener_of.insert(conn, listener)),
                Event::Connected { conn } => drop(self.connected.insert(conn)),
                Event::Bytes { conn, data, .. } => self
                    .received
                    .entry(conn)
                    .or_default()
                    .extend_from_slice(&data),
                Event::Closed { conn, .. } => drop(self.closed.insert(conn)),
                _ => {}
            }
        }
        self.run_counter();
        self.run_discovery();
    }

    /// Runs turns until `condition` returns a value; `what` describes it.
    pub fn wait_for<T>(
        &mut self,
        what: &str,
        mut condition: impl FnMut(&mut Harness) -> Option<T>,
    ) -> T {
        let started_at = Instant::now();
        loop {
            if let Some(found) = condition(self) {
                return found;
            }
            assert!(
                started_at.elapsed() < MAX_WAIT,
                "timed out waiting until {what}; {}",
                self.describe()
            );
            self.turn();
        }
    }

    /// What the peers hold, for the message of a failed test.
    fn describe(&self) -> String {
        let mut text = format!(
            "counter silent: {}, {} counter calls, list version {}, {:?}",
            self.is_counter_silent,
            self.counter_call_count,
            self.list_version,
            self.gateway.discovery_metrics()
        );
        for (conn, bytes) in self.received.iter().filter(|(_, bytes)| !bytes.is_empty()) {
            let tail = &bytes[bytes.len().saturating_sub(120)..];
            let lines_with = |prefix: &[u8]| {
                let lines = bytes[..].split(|byte| *byte == b'\n');
                lines.filter(|line| line.starts_with(prefix)).count()
            };
            let _ = write!(
                text,
                "; {conn:?} of {:?}, closed: {}, {} bytes, {} values, {} rejections, the last: {}",
                self.listener_of.get(conn),
                self.closed.contains(conn),
                bytes.len(),
                lines_with(b"$"),
                lines_with(b"-BUSY"),
                tail.escape_ascii()
            );
        }
        text
    }

    /// Runs enough turns for everything that was written to be received and handled.
    pub fn settle(&mut self) {
        for _ in 0..200 {
            self.turn();
        }
    }

    /// Waits for a call to the counter, which has to be silent; returns the connection.
    pub fn wait_for_counter_call(&mut self) -> ConnId {
        let counter = self.counter.0;
        self.wait_for("the counter is called", |h| {
            h.conns_of(counter)
                .into_iter()
                .find(|conn| h.next_command(*conn).is_some())
        })
    }

    fn conns_of(&self, listener: ListenerId) -> Vec<ConnId> {
        let mut conns: Vec<ConnId> = self
            .listener_of
            .iter()
            .filter(|(_, l)| **l == listener)
            .map(|(c, _)| *c)
            .collect();
        conns.sort_unstable();
        conns
    }

    fn run_counter(&mut self) {
        for conn in self.conns_of(self.counter.0) {
            while let Some(words) = (!self.is_counter_silent)
                .then(|| self.next_command(conn))
                .flatten()
            {
                assert_eq!(&words[0][..], b"ADDGET");
                let amount: f64 = std::str::from_utf8(&words[2])
                    .expect("text")
                    .parse()
                    .expect("a number");
                let total = self.totals.entry(words[1].clone()).or_default();
                *total += amount;
                self.counter_call_count += 1;
                let text = total.to_string();
                let reply = format!("${}\r\n{text}\r\n", text.len());
                self.engine.write(conn, reply.as_bytes());
            }
        }
    }

    fn run_discovery(&mut self) {
        for conn in self.conns_of(self.discovery.0) {
            let has_request = self
                .received
                .get(&conn)
                .is_some_and(|bytes| bytes.ends_with(b"\r\n\r\n"));
            let is_newer = self.sent_versions.get(&conn) != Some(&self.list_version);
            if self.is_discovery_silent || !has_request || !is_newer || self.closed.contains(&conn)
            {
                continue;
            }
            self.received.remove(&conn);
            self.sent_versions.insert(conn, self.list_version);
            let body = self.list_body();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            self.engine.write(conn, (head + &body).as_bytes());
        }
    }

    fn list_body(&self) -> String {
        let mut entries = String::new();
        for entry in &self.list {
            let comma = if entries.is_empty() { "" } else { "," };
            let _ = write!(
                entries,
                r#"{comma}{{"name":"{}","address":"{}","zone":"a","type":"m","group":0,"status":"{}","weight":1.0,"since_ms":0}}"#,
                entry.name, entry.address, entry.status
            );
        }
        format!(
            r#"{{"index":{},"snapshot":true,"endpoints":[{entries}]}}"#,
            self.list_version
        )
    }

    /// Publishes a new list and waits until the gateway has requested the next one, which shows that it has applied this one.
    pub fn publish(&mut self, list: Vec<Entry>) {
        (self.list, self.list_version) = (list, self.list_version + 1);
        self.wait_for("the list is applied", |h| {
            let conns: Vec<ConnId> = h
                .sent_versions
                .iter()
                .filter(|(_, v)| **v == h.list_version)
                .map(|(c, _)| *c)
                .collect();
            conns
                .into_iter()
                .find(|c| h.received.get(c).is_some_and(|b| b.ends_with(b"\r\n\r\n")))
                .map(|_| ())
        });
    }

    pub fn connect_client(&mut self) -> ConnId {
        let conn = self
            .engine
            .connect_plain(self.gateway.listen_address())
            .expect("a socket");
        self.wait_for("a client connects", |h| {
            h.connected.contains(&conn).then_some(())
        });
        conn
    }

    pub fn write(&mut self, conn: ConnId, bytes: &[u8]) {
        self.engine.write(conn, bytes);
    }

    /// Sends a request with this list of fields.
    pub fn send_request(&mut self, conn: ConnId, id: &str, fields: &str) {
        let (verb, body): (&[u8], &[&[&[u8]]]) = if fields.contains("c=view") {
            (b"API.READ", &[])
        } else {
            (b"API.WRITE", &[&[b"body"]])
        };
        let mut words: Vec<&[&[u8]]> = Vec::new();
        let (verb, customer) = ([verb], [&b"00000000b4d65521"[..]]);
        let (id, fields) = ([id.as_bytes()], [fields.as_bytes()]);
        words.extend([&verb[..], &customer[..], &id[..], &fields[..]]);
        words.extend(body);
        let mut out = BytesMut::new();
        encode_command(&mut out, &words);
        self.engine.write(conn, &out);
    }

    /// Takes the next complete command off a connection.
    pub fn next_command(&mut self, conn: ConnId) -> Option<Vec<Bytes>> {
        match take_command(self.received.get_mut(&conn)?, &LIMITS) {
            ParsedCommand::Complete(words) => Some(words),
            _ => None,
        }
    }

    /// Waits for an attempt to arrive at any endpoint.
    pub fn next_attempt(&mut self) -> (ConnId, Vec<Bytes>) {
        self.wait_for(
            "an attempt arrives at an endpoint",
            Harness::try_next_attempt,
        )
    }

    /// An attempt that has arrived at any endpoint: its connection and the words of its command.
    pub fn try_next_attempt(&mut self) -> Option<(ConnId, Vec<Bytes>)> {
        let listeners: Vec<ListenerId> = self.endpoints.iter().map(|e| e.0).collect();
        let conns: Vec<ConnId> = listeners
            .into_iter()
            .flat_map(|l| self.conns_of(l))
            .collect();
        conns
            .into_iter()
            .find_map(|conn| self.next_command(conn).map(|words| (conn, words)))
    }

    /// Waits until the bytes received on a connection contain `expected`, then discards all of them.
    pub fn expect_received(&mut self, conn: ConnId, expected: &str) {
        let received = |h: &Harness| {
            h.received
                .get(&conn)
                .map(|b| String::from_utf8_lossy(b).into_owned())
                .unwrap_or_default()
        };
        let started_at = Instant::now();
        while !received(self).contains(expected) {
            assert!(
                started_at.elapsed() < MAX_WAIT,
                "expected to receive {expected:?}, received {:?}",
                received(self)
            );
            self.turn();
        }
        self.received.remove(&conn);
    }

    /// Sends a request, replies with the value at whichever endpoint it arrives, and waits until the client has received it. Returns the
    /// connection to the endpoint.
    pub fn serve_request(&mut self, client: ConnId, id: &str, fields: &str, value: &str) -> ConnId {
        self.send_request(client, id, fields);
        let (endpoint, _) = self.next_attempt();
        self.reply_served(endpoint, value);
        self.expect_received(client, &format!("${}\r\n{value}\r\n", value.len()));
        endpoint
    }

    pub fn reply_served(&mut self, conn: ConnId, value: &str) {
        let reply = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
        self.write(conn, reply.as_bytes());
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}
