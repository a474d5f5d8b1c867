//! Keepers and gateways as processes of the program, with a relay's links between them, and a server and callers of the test's own.
#![allow(dead_code, reason = "each test program uses a part of it")]

use chalkdeck_grpc_gateway::coordinator_link::CoordinatorStatus;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::{ConnId, Engine, Event, Limits, StreamId};
use chalkdeck_testbed::common::control;
use chalkdeck_testbed::common::process::{Process, Program};
use http::{HeaderName, HeaderValue};
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

pub const VIEW: &str = "/farm.v1.Farm/View";
pub const WATCH: &str = "/farm.v1.Farm/Watch";
const PATIENCE: Duration = Duration::from_secs(40);
/// Sessions last so long, in milliseconds.
pub const LEASE_MS: u64 = 1_000;

/// What is asked for comes, or the test ends.
pub fn until<T>(what: &str, mut get: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(got) = get() {
            return got;
        }
        assert!(Instant::now() < end, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A fleet.
pub struct Fleet {
    pub dir: PathBuf,
    program: Program,
    links: Process,
    control: SocketAddr,
    /// What each keeper, and each gateway, reaches keepers by.
    seen_by: BTreeMap<String, Vec<SocketAddr>>,
    /// Where keepers listen.
    at: Vec<SocketAddr>,
    pub keepers: Vec<Option<Process>>,
    pub gateways: Vec<Option<Process>>,
    servers: Vec<(SocketAddr, String)>,
}

fn sites(i: usize) -> &'static str {
    ["north", "middle", "south"][i % 3]
}

impl Fleet {
    /// Starts keepers for the first time and gateways, and waits until every built-in duty is held.
    pub fn start(keepers: usize, gateways: usize) -> Fleet {
        let mut fleet = Fleet::without_gateways(keepers, gateways);
        (0..gateways).for_each(|g| fleet.start_gateway(g));
        // One that has heard nothing yet takes no calls.
        let stands = |g| {
            fleet
                .status(g)
                .is_some_and(|s| s.is_session_valid && s.has_state)
        };
        until("all have sessions", || {
            (0..gateways).all(stands).then_some(())
        });
        until("all duties are held", || {
            (fleet.held().len() == 3).then_some(())
        });
        fleet
    }

    /// The same with keepers alone; gateways have their links.
    pub fn without_gateways(keepers: usize, gateways: usize) -> Fleet {
        let mut fleet = Fleet::prepare(keepers, gateways);
        (0..keepers).for_each(|k| fleet.start_keeper(k, true));
        fleet
    }

    /// A folder and links for so many processes, none of which is started.
    pub fn prepare(keepers: usize, gateways: usize) -> Fleet {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let id = std::process::id();
        let dir = std::env::temp_dir().join(format!("chalkdeck-fleet-{id}-{number}"));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        // Addresses of this test alone: a keeper's has to be known before it starts, and to stay.
        let [_, _, high, low] = id.to_be_bytes();
        let address = |k: usize| {
            SocketAddr::from((
                [127, 64 + high % 128, low, 1],
                7_100 + number as u16 * 16 + k as u16,
            ))
        };
        let at: Vec<SocketAddr> = (0..keepers).map(address).collect();
        let names: Vec<String> = (0..keepers)
            .map(|k| format!("k{k}"))
            .chain((0..gateways).map(|g| format!("g{g}")))
            .collect();
        let program = Program {
            exe: env!("CARGO_BIN_EXE_chalkdeck").into(),
            leading_args: Vec::new(),
        };
        let mut args = vec!["lab".to_string(), "links".to_string()];
        for name in &names {
            for (k, at) in at.iter().enumerate() {
                args.extend(["--link".to_string(), format!("{name},k{k},tcp,{at}")]);
            }
        }
        let links =
            Process::start(&program, &args, &dir.join("links.log")).expect("the relay starts");
        let addresses = links.addresses("links").expect("its links");
        let seen_by = names
            .into_iter()
            .zip(addresses.chunks(keepers).map(<[SocketAddr]>::to_vec))
            .collect();
        let control = links.address("control").expect("its control port");
        let none = |n: usize| (0..n).map(|_| None).collect::<Vec<Option<Process>>>();
        let fleet = Fleet {
            dir,
            program,
            links,
            control,
            seen_by,
            at,
            keepers: none(keepers),
            gateways: none(gateways),
            servers: Vec::new(),
        };
        fleet.write_list();
        fleet
    }

    pub fn start_keeper(&mut self, k: usize, first: bool) {
        let reached = &self.seen_by[&format!("k{k}")];
        let keepers: Vec<String> = reached.iter().map(|a| format!("'{a}'")).collect();
        let text = format!(
            "slot: {} listen: '{}' admin: '127.0.0.1:0' keepers: [{}] folder: 'keeper-{k}' lease_ms: {LEASE_MS} move_ms: 3000",
            k + 1,
            self.at[k],
            keepers.join(", ")
        );
        let file = self.dir.join(format!("keeper-{k}.txtpb"));
        std::fs::write(&file, text).expect("written");
        let mut args = vec![
            "keeper".to_string(),
            "run".to_string(),
            file.display().to_string(),
        ];
        args.extend(first.then(|| "--first".to_string()));
        let log = self.dir.join(format!("keeper-{k}.log"));
        self.keepers[k] =
            Some(Process::start(&self.program, &args, &log).expect("a keeper starts"));
    }
    pub fn kill_keeper(&mut self, k: usize) {
        self.keepers[k].take().expect("it runs").kill();
    }
    /// Its folder is lost, too.
    pub fn lose_keeper(&mut self, k: usize) {
        self.kill_keeper(k);
        std::fs::remove_dir_all(self.dir.join(format!("keeper-{k}"))).expect("a folder");
    }

    /// A gateway without any shared state, beside the others.
    pub fn bare_gateway(&self) -> Process {
        let text = std::fs::read_to_string(self.dir.join("gateway-0.txtpb")).expect("written");
        let (own, _) = text.split_once("keepers {").expect("it has keepers");
        let file = self.dir.join("bare.txtpb");
        std::fs::write(&file, own.replace("words-0", "words-bare")).expect("written");
        let args = ["serve".to_string(), file.display().to_string()];
        Process::start(&self.program, &args, &self.dir.join("bare.log")).expect("a gateway starts")
    }

    pub fn start_gateway(&mut self, g: usize) {
        let keepers: Vec<String> = self.seen_by[&format!("g{g}")]
            .iter()
            .map(|a| format!("'{a}'"))
            .collect();
        let (zone, keepers) = (sites(g), keepers.join(", "));
        let text = format!(
            "listen: '127.0.0.1:0' admin: '127.0.0.1:0' fleet: {} number: {g} zone: '{zone}'
             classes {{ name: 'view' deadline_ms: 2000 effect: SAFE }}
             classes {{ name: 'watch' deadline_ms: 2000 effect: SAFE stream: true }}
             plans {{ name: 'p' rate: 100000 burst: 100000 }}
             routes {{ path: '{VIEW}' class: 'view' }} routes {{ path: '{WATCH}' class: 'watch' }}
             customers {{ default_plan: 'p' }} endpoints {{ file: 'list.txtpb' poll_ms: 20 }} logs {{ level: 'warn' }}
             sites {{ on: true words_file: 'words-{g}.txtpb' }}
             keepers {{ addresses: [{keepers}] name: 'g{g}' region_metadata: 'x-region' state_file: 'state-{g}' report_ms: 100 }}",
            self.gateways.len()
        );
        let file = self.dir.join(format!("gateway-{g}.txtpb"));
        std::fs::write(&file, text).expect("written");
        let args = ["serve".to_string(), file.display().to_string()];
        let log = self.dir.join(format!("gateway-{g}.log"));
        self.gateways[g] =
            Some(Process::start(&self.program, &args, &log).expect("a gateway starts"));
    }
    pub fn gateway(&self, g: usize) -> &Process {
        self.gateways[g].as_ref().expect("it runs")
    }
    pub fn signal(&self, g: usize, signal: Signal) {
        self.gateway(g).signal(signal);
    }
    pub fn kill_gateway(&mut self, g: usize) {
        self.gateways[g].take().expect("it runs").kill();
    }
    /// Asked to end, and ended.
    pub fn end_gateway(&mut self, g: usize) {
        let mut process = self.gateways[g].take().expect("it runs");
        process.signal(Signal::TERM);
        assert!(process.wait(), "it ends well");
    }
    pub fn admin(&self, g: usize) -> SocketAddr {
        self.gateway(g).address("admin").expect("told")
    }
    pub fn grpc(&self, g: usize) -> SocketAddr {
        self.gateway(g).address("grpc").expect("told")
    }
    /// What a gateway says of the shared state; none: it does not run or does not answer.
    pub fn status(&self, g: usize) -> Option<CoordinatorStatus> {
        let admin = self.gateways[g].as_ref()?.address("admin").ok()?;
        // One that stands still is not waited for.
        let mut stream = TcpStream::connect(admin).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_millis(300)))
            .ok()?;
        write!(stream, "GET /keepers HTTP/1.1\r\nhost: x\r\n\r\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        serde_json::from_str(answer.split_once("\r\n\r\n")?.1).ok()
    }
    /// Holders of duties as they say it themselves: gateway and token.
    pub fn held(&self) -> BTreeMap<String, (usize, u64)> {
        let all = (0..self.gateways.len()).filter_map(|g| Some((g, self.status(g)?)));
        all.flat_map(|(g, s)| {
            s.leaderships
                .into_iter()
                .map(move |leadership| (leadership.election, (g, leadership.token)))
        })
        .collect()
    }
    pub fn holder(&self, duty: &str) -> Option<(usize, u64)> {
        self.held().get(duty).copied()
    }

    /// Sets faults of links, as `from=k0&to=k1&cut=1`.
    pub fn links(&self, word: &str) {
        control::get(self.control, &format!("/set?{word}")).expect("the relay takes it");
    }
    /// Cuts a party off from all keepers, both ways, or heals it.
    pub fn cut_off(&self, name: &str, cut: bool) {
        self.links(&format!("from={name}&cut={}", u8::from(cut)));
    }

    /// Runs the program with these words and the keepers' addresses.
    pub fn run(&self, words: &[&str]) -> Output {
        self.command(words).output().expect("it runs")
    }
    pub fn command(&self, words: &[&str]) -> Command {
        let all: Vec<usize> = (0..self.at.len()).collect();
        self.command_at(&all, words)
    }
    /// The same to some of the keepers.
    pub fn command_at(&self, keepers: &[usize], words: &[&str]) -> Command {
        let at: Vec<String> = keepers.iter().map(|k| self.at[*k].to_string()).collect();
        let mut command = Command::new(env!("CARGO_BIN_EXE_chalkdeck"));
        command
            .args(words)
            .args(["--keepers", &at.join(",")])
            .stdin(Stdio::null())
            .current_dir(&self.dir);
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }
    /// The same; it has to end well. Returns what it printed.
    pub fn does(&self, words: &[&str]) -> String {
        let out = self.run(words);
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        assert!(
            out.status.success(),
            "{words:?}: {}{}",
            text(&out.stdout),
            text(&out.stderr)
        );
        text(&out.stdout)
    }
    /// The same; it has to fail. Returns what it said.
    pub fn fails(&self, words: &[&str]) -> String {
        let out = self.run(words);
        assert!(
            !out.status.success(),
            "{words:?}: {}",
            String::from_utf8_lossy(&out.stdout)
        );
        String::from_utf8_lossy(&out.stderr).into_owned()
    }
    pub fn write(&self, name: &str, text: &str) -> String {
        std::fs::write(self.dir.join(name), text).expect("written");
        name.to_string()
    }
    /// A customer's set: `stale` is KEEP or DENY, `otherwise` ALLOW or DENY.
    pub fn set(&self, customer: &str, stale: &str, otherwise: &str, rules: &str) -> String {
        let text = format!("customer: '{customer}' otherwise: {otherwise} stale: {stale} {rules}");
        self.write(&format!("{customer}-{otherwise}.txtpb"), &text)
    }

    /// A further server, which tells that version of a contract, or none.
    pub fn add_server(&mut self, contract: &str) -> SocketAddr {
        let address = server();
        self.servers.push((address, contract.to_string()));
        self.write_list();
        address
    }
    fn write_list(&self) {
        let mut text =
            String::from("cluster_name: 'farm' endpoints { locality { zone: 'north' }\n");
        for (address, contract) in &self.servers {
            let metadata = format!(
                "metadata {{ filter_metadata {{ key: 'chalkdeck' value {{ fields {{ key: 'contract' value {{ string_value: '{contract}' }} }} }} }} }}"
            );
            text += &format!(
                "lb_endpoints {{ endpoint {{ address {{ socket_address {{ address: '{}' port_value: {} }} }} }} {} }}\n",
                address.ip(),
                address.port(),
                if contract.is_empty() { "" } else { &metadata }
            );
        }
        text += "}\n";
        std::fs::write(self.dir.join("list.new"), text).expect("written");
        std::fs::rename(self.dir.join("list.new"), self.dir.join("list.txtpb")).expect("replaced");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are in {}", self.dir.display());
        } else {
            self.gateways.clear();
            self.keepers.clear();
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// A server that answers unary calls and leaves streams open.
fn server() -> SocketAddr {
    let mut engine = Engine::new().expect("a poll handle");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (_, address) = engine
        .listen(any, Limits::default(), false, false)
        .expect("a free port");
    std::thread::spawn(move || {
        let mut events = Vec::new();
        while engine.turn(1_000_000, &mut events).is_ok() {
            for event in events.drain(..) {
                let Event::StreamOpened { stream, head, .. } = event else {
                    continue;
                };
                engine.respond(stream, grpc::response_head(), false);
                engine.send(stream, grpc::frame(b"answer"));
                if head.uri.path() != WATCH {
                    engine.finish(stream, Some(grpc::trailers(Code::Ok, "")));
                }
            }
        }
    });
    address
}

/// A caller with one connection to a gateway.
pub struct Caller {
    engine: Engine,
    conn: ConnId,
    events: Vec<Event>,
    /// Streams that ended, with what was told.
    pub ended: BTreeMap<StreamId, (Option<Code>, String)>,
    pub heads: Vec<StreamId>,
}

impl Caller {
    pub fn new(gateway: SocketAddr) -> Caller {
        let mut engine = Engine::new().expect("a poll handle");
        let conn = engine
            .connect(gateway, Limits::default())
            .expect("a socket");
        Caller {
            engine,
            conn,
            events: Vec::new(),
            ended: BTreeMap::new(),
            heads: Vec::new(),
        }
    }
    pub fn turn(&mut self) {
        self.engine.turn(5_000, &mut self.events).expect("it turns");
        for event in self.events.drain(..) {
            match event {
                Event::ResponseHead {
                    stream,
                    head,
                    is_end_stream: true,
                } => {
                    self.ended.insert(
                        stream,
                        (
                            Code::from_trailers(&head.headers),
                            grpc::decode_message(&head.headers),
                        ),
                    );
                }
                Event::ResponseHead { stream, .. } => self.heads.push(stream),
                Event::Data { stream, data } => self.engine.consume(stream, data.len()),
                Event::StreamEnded { stream, trailers } => {
                    let trailers = trailers.unwrap_or_default();
                    self.ended.insert(
                        stream,
                        (
                            Code::from_trailers(&trailers),
                            grpc::decode_message(&trailers),
                        ),
                    );
                }
                Event::StreamFailed { stream, .. } => {
                    drop(self.ended.insert(stream, (None, "broken".into())))
                }
                _ => {}
            }
        }
    }
    pub fn open(&mut self, path: &str, metadata: &[(&str, &str)]) -> StreamId {
        let end = Instant::now() + PATIENCE;
        loop {
            let mut head = grpc::request_head("gateway", path).expect("a head");
            for (name, value) in metadata {
                let name = HeaderName::from_bytes(name.as_bytes()).expect("a name");
                head.headers_mut()
                    .insert(name, HeaderValue::from_str(value).expect("a value"));
            }
            if let Some(stream) = self.engine.open_stream(self.conn, head, false) {
                self.engine.send(stream, grpc::frame(b"ask"));
                self.engine.finish(stream, None);
                return stream;
            }
            assert!(Instant::now() < end, "the connection stands");
            self.turn();
        }
    }
    /// Keeps so many calls under way for a while; how many were served.
    pub fn load(&mut self, out: usize, span: Duration, metadata: &[(&str, &str)]) -> usize {
        let (begun, mut under_way, mut served) = (Instant::now(), 0, 0);
        while begun.elapsed() < span {
            while under_way < out {
                self.open(VIEW, metadata);
                under_way += 1;
            }
            self.turn();
            under_way -= self.ended.len();
            served += std::mem::take(&mut self.ended)
                .values()
                .filter(|e| e.0 == Some(Code::Ok))
                .count();
            self.heads.clear();
        }
        while under_way > 0 {
            self.turn();
            under_way -= std::mem::take(&mut self.ended).len();
        }
        served
    }
    /// Waits for its end: what was told.
    pub fn end(&mut self, stream: StreamId) -> (Option<Code>, String) {
        let end = Instant::now() + PATIENCE;
        while !self.ended.contains_key(&stream) {
            assert!(Instant::now() < end, "a call ends");
            self.turn();
        }
        self.ended.remove(&stream).expect("it ended")
    }
    pub fn call(&mut self, metadata: &[(&str, &str)]) -> (Option<Code>, String) {
        let stream = self.open(VIEW, metadata);
        self.end(stream)
    }
    /// Whether a call of that customer is admitted; whatever becomes of it then.
    pub fn admits(&mut self, customer: &str) -> bool {
        self.call(&[("x-customer", customer)]).0 != Some(Code::PermissionDenied)
    }
}
