//! A gateway of the platform with scripted clients, backends, counter and discovery, all turned by one thread on loopback.
#![allow(dead_code)]

use bytes::{Bytes, BytesMut};
use chalkdeck_net::clock::{Clock, Jumps};
use chalkdeck_net::{ConnId, Engine, Event, Limits, ListenerId};
use chalkdeck_resp::{encode_command, take_command, MessageLimits, ParsedCommand};
use chalkdeck_resp_gateway::{Config, Shell};
use std::collections::{HashMap, HashSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);
const LIMITS: MessageLimits = MessageLimits {
    max_elements: 16,
    max_element_bytes: 1 << 20,
    max_line_bytes: 0,
    max_message_bytes: 2 << 20,
    accepts_inline: true,
};
pub const SECOND: i64 = 1_000_000;

/// A backend of the list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub status: &'static str,
}

pub struct Stage {
    pub engine: Engine,
    pub shell: Shell,
    pub file: PathBuf,
    /// Moves the gateway's clock.
    pub jumps: Arc<Jumps>,
    /// What came on a connection and was not taken yet.
    pub heard: HashMap<ConnId, BytesMut>,
    /// Where a connection came in.
    pub at: HashMap<ConnId, ListenerId>,
    pub up: HashSet<ConnId>,
    pub closed: HashSet<ConnId>,
    pub backends: Vec<(ListenerId, SocketAddr)>,
    pub counter: (ListenerId, SocketAddr),
    pub discovery: (ListenerId, SocketAddr),
    /// What discovery answers next, whole; empty: it is silent.
    pub list: Vec<Entry>,
    pub index: u64,
    /// Discovery answers as a whole list with each change, a watch waits.
    told: HashMap<ConnId, u64>,
    /// The counter answers with these totals by name.
    pub totals: HashMap<Bytes, f64>,
    /// The counter is silent.
    pub mute: bool,
    /// Discovery is silent.
    pub hush: bool,
    pub counted: usize,
}

fn listen(engine: &mut Engine) -> (ListenerId, SocketAddr) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    engine
        .listen_raw(any, Limits::default())
        .expect("a free port")
}

/// Limits small enough for tests of what is bounded.
pub const SMALL: &str = r#"{"cores":1.0,"memory_mb":32,"sockets":96}"#;
pub const WIDE: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;

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

impl Stage {
    /// So many backends, all listed and ready.
    pub fn new(backends: usize, limits: &str) -> Stage {
        Stage::configured(backends, limits, |text| text)
    }

    /// The same with a configuration that is edited before the gateway reads it.
    pub fn configured(backends: usize, limits: &str, edit: fn(String) -> String) -> Stage {
        let mut engine = Engine::new().expect("a poll handle");
        let backends: Vec<_> = (0..backends).map(|_| listen(&mut engine)).collect();
        let (counter, discovery) = (listen(&mut engine), listen(&mut engine));
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!(
            "chalkdeck-platform-{}-{}.json",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let file = std::env::temp_dir().join(name);
        let text = edit(config("127.0.0.1:0", discovery.1, counter.1, limits));
        std::fs::write(&file, text).expect("a temporary file");
        let jumps = Arc::<Jumps>::default();
        let set = Config::load(&file).expect("a sound configuration");
        let shell = Shell::start_at(set, Clock::jumping(jumps.clone())).expect("a free port");
        let list = backends.iter().enumerate();
        let list = list
            .map(|(i, b)| Entry {
                name: format!("s-{i}"),
                address: b.1,
                status: "ready",
            })
            .collect();
        let (heard, at, up, closed, told, totals) = Default::default();
        let mut stage = Stage {
            engine,
            shell,
            file,
            jumps,
            heard,
            at,
            up,
            closed,
            backends,
            counter,
            discovery,
            list,
            index: 1,
            told,
            totals,
            mute: false,
            hush: false,
            counted: 0,
        };
        stage.until("the list is told", |s| {
            s.told.values().any(|v| *v == s.index).then_some(())
        });
        stage
    }

    pub fn turn(&mut self) {
        self.shell.turn(0).expect("a turn of the gateway");
        self.peers();
    }

    /// Turns the peers while the gateway's loop stands still: what they write waits in its sockets and is met in one batch.
    pub fn hold(&mut self) {
        for _ in 0..20 {
            self.peers();
        }
    }

    fn peers(&mut self) {
        let mut events = Vec::new();
        self.engine
            .turn(0, &mut events)
            .expect("a turn of the stage");
        for event in events {
            match event {
                Event::Accepted { listener, conn } => drop(self.at.insert(conn, listener)),
                Event::Connected { conn } => drop(self.up.insert(conn)),
                Event::Bytes { conn, data } => {
                    self.heard.entry(conn).or_default().extend_from_slice(&data)
                }
                Event::Closed { conn, .. } => drop(self.closed.insert(conn)),
                _ => {}
            }
        }
        self.count();
        self.discover();
    }

    /// Turns until something holds.
    pub fn until<T>(&mut self, what: &str, mut look: impl FnMut(&mut Stage) -> Option<T>) -> T {
        let begun = Instant::now();
        loop {
            if let Some(found) = look(self) {
                return found;
            }
            assert!(begun.elapsed() < PATIENCE, "in vain: {what}");
            self.turn();
        }
    }

    /// Turns often enough for anything under way to have crossed the loopback.
    pub fn quiet(&mut self) {
        for _ in 0..200 {
            self.turn();
        }
    }

    fn of(&self, listener: ListenerId) -> Vec<ConnId> {
        let mut conns: Vec<ConnId> = self
            .at
            .iter()
            .filter(|(_, l)| **l == listener)
            .map(|(c, _)| *c)
            .collect();
        conns.sort_unstable();
        conns
    }

    fn count(&mut self) {
        for conn in self.of(self.counter.0) {
            while let Some(words) = (!self.mute).then(|| self.command(conn)).flatten() {
                assert_eq!(&words[0][..], b"ADDGET");
                let amount: f64 = std::str::from_utf8(&words[2])
                    .expect("text")
                    .parse()
                    .expect("a number");
                let total = self.totals.entry(words[1].clone()).or_default();
                *total += amount;
                self.counted += 1;
                let text = total.to_string();
                let reply = format!("${}\r\n{text}\r\n", text.len());
                self.engine.write(conn, reply.as_bytes());
            }
        }
    }

    fn discover(&mut self) {
        for conn in self.of(self.discovery.0) {
            let asked = self
                .heard
                .get(&conn)
                .is_some_and(|b| b.ends_with(b"\r\n\r\n"));
            let news = self.told.get(&conn) != Some(&self.index);
            if self.hush || !asked || !news || self.closed.contains(&conn) {
                continue;
            }
            self.heard.remove(&conn);
            self.told.insert(conn, self.index);
            let body = self.body();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            self.engine.write(conn, (head + &body).as_bytes());
        }
    }

    fn body(&self) -> String {
        let mut entries = String::new();
        for e in &self.list {
            let comma = if entries.is_empty() { "" } else { "," };
            let _ = write!(
                entries,
                r#"{comma}{{"name":"{}","address":"{}","zone":"a","type":"m","group":0,"status":"{}","weight":1.0,"since_ms":0}}"#,
                e.name, e.address, e.status
            );
        }
        format!(
            r#"{{"index":{},"snapshot":true,"endpoints":[{entries}]}}"#,
            self.index
        )
    }

    /// Tells a new list and waits until the gateway has asked for the one after it.
    pub fn tell(&mut self, list: Vec<Entry>) {
        (self.list, self.index) = (list, self.index + 1);
        self.until("the list is taken", |s| {
            let told: Vec<ConnId> = s
                .told
                .iter()
                .filter(|(_, v)| **v == s.index)
                .map(|(c, _)| *c)
                .collect();
            told.into_iter()
                .find(|c| s.heard.get(c).is_some_and(|b| b.ends_with(b"\r\n\r\n")))
                .map(|_| ())
        });
    }

    pub fn client(&mut self) -> ConnId {
        let conn = self
            .engine
            .connect_raw(self.shell.listen())
            .expect("a socket");
        self.until("a client connects", |s| s.up.contains(&conn).then_some(()));
        conn
    }

    pub fn say(&mut self, conn: ConnId, bytes: &[u8]) {
        self.engine.write(conn, bytes);
    }

    /// Sends a request; `list` is what follows class and plan.
    pub fn ask(&mut self, conn: ConnId, id: &str, list: &str) {
        let (name, body): (&[u8], &[&[&[u8]]]) = if list.contains("c=view") {
            (b"API.READ", &[])
        } else {
            (b"API.WRITE", &[&[b"body"]])
        };
        let mut words: Vec<&[&[u8]]> = Vec::new();
        let (name, customer) = ([name], [&b"00000000b4d65521"[..]]);
        let (id, list) = ([id.as_bytes()], [list.as_bytes()]);
        words.extend([&name[..], &customer[..], &id[..], &list[..]]);
        words.extend(body);
        let mut out = BytesMut::new();
        encode_command(&mut out, &words);
        self.engine.write(conn, &out);
    }

    /// The next whole command on a connection.
    pub fn command(&mut self, conn: ConnId) -> Option<Vec<Bytes>> {
        match take_command(self.heard.get_mut(&conn)?, &LIMITS) {
            ParsedCommand::Complete(words) => Some(words),
            _ => None,
        }
    }

    /// Waits for a command at any backend.
    pub fn arrived(&mut self) -> (ConnId, Vec<Bytes>) {
        self.until("a command comes to a backend", Stage::arrival)
    }

    /// A command that came to any backend.
    pub fn arrival(&mut self) -> Option<(ConnId, Vec<Bytes>)> {
        let listeners: Vec<ListenerId> = self.backends.iter().map(|b| b.0).collect();
        let conns: Vec<ConnId> = listeners.into_iter().flat_map(|l| self.of(l)).collect();
        conns
            .into_iter()
            .find_map(|conn| self.command(conn).map(|words| (conn, words)))
    }

    /// Waits for a line or a whole served value that a client hears: the bytes as they came.
    pub fn hears(&mut self, conn: ConnId, want: &str) {
        let heard = |s: &Stage| {
            s.heard
                .get(&conn)
                .map(|b| String::from_utf8_lossy(b).into_owned())
                .unwrap_or_default()
        };
        let begun = Instant::now();
        while !heard(self).contains(want) {
            assert!(
                begun.elapsed() < PATIENCE,
                "a client hears {want:?}, heard {:?}",
                heard(self)
            );
            self.turn();
        }
        self.heard.remove(&conn);
    }

    /// A request that is served: asked, answered with the value by whichever backend it came to, heard. Returns its connection.
    pub fn round(&mut self, client: ConnId, id: &str, list: &str, value: &str) -> ConnId {
        self.ask(client, id, list);
        let (backend, _) = self.arrived();
        self.served(backend, value);
        self.hears(client, &format!("${}\r\n{value}\r\n", value.len()));
        backend
    }

    pub fn served(&mut self, conn: ConnId, value: &str) {
        let reply = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
        self.say(conn, reply.as_bytes());
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}
