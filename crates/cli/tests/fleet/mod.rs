//! Test harness: coordinator replicas and gateways as processes of the program, connected through the testbed's relay, which injects
//! faults into its links. Fake servers and gRPC callers run inside the test.
//!
//! Commands are run by their earlier names `keeper`, `word`, `lab` and `--keepers`, which stay accepted. In names of links, `k0` is the
//! first replica and `g0` the first gateway.
#![allow(dead_code, reason = "each test program uses only part of the harness")]

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
/// The longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(40);
/// The lease of a session, in milliseconds.
pub const LEASE_MS: u64 = 1_000;

/// Polls until `poll` returns a value. Panics after the timeout.
pub fn wait_for<T>(condition: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting: {condition}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The processes of a fleet, their files and the relay between them.
pub struct Fleet {
    pub dir: PathBuf,
    program: Program,
    relay: Process,
    relay_control: SocketAddr,
    /// For each replica and gateway, by name: the relay's addresses through which it reaches the replicas.
    link_addresses: BTreeMap<String, Vec<SocketAddr>>,
    /// The addresses on which replicas listen.
    replica_addresses: Vec<SocketAddr>,
    pub replicas: Vec<Option<Process>>,
    pub gateways: Vec<Option<Process>>,
    /// The address and the contract version of each endpoint.
    endpoints: Vec<(SocketAddr, String)>,
}

fn site_of(gateway: usize) -> &'static str {
    ["north", "middle", "south"][gateway % 3]
}

impl Fleet {
    /// Starts a new cluster of replicas, and gateways, and waits until every built-in election has a leader.
    pub fn start(replicas: usize, gateways: usize) -> Fleet {
        let mut fleet = Fleet::start_without_gateways(replicas, gateways);
        (0..gateways).for_each(|g| fleet.start_gateway(g));
        // A gateway without a copy of the shared state admits no calls.
        let is_ready = |g| {
            fleet
                .coordinator_status(g)
                .is_some_and(|s| s.is_session_valid && s.has_state)
        };
        wait_for("all gateways have sessions", || {
            (0..gateways).all(is_ready).then_some(())
        });
        wait_for("all elections have leaders", || {
            (fleet.leaders().len() == 3).then_some(())
        });
        fleet
    }

    /// Starts only the replicas; links for the gateways exist.
    pub fn start_without_gateways(replicas: usize, gateways: usize) -> Fleet {
        let mut fleet = Fleet::prepare(replicas, gateways);
        (0..replicas).for_each(|k| fleet.start_replica(k, true));
        fleet
    }

    /// Creates the folder and the links for these numbers of processes without starting any of them.
    pub fn prepare(replicas: usize, gateways: usize) -> Fleet {
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let id = std::process::id();
        let dir = std::env::temp_dir().join(format!("chalkdeck-fleet-{id}-{number}"));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        // Addresses that no other test uses: a replica's address is known before it starts and stays the same over restarts.
        let [_, _, high, low] = id.to_be_bytes();
        let address = |k: usize| {
            SocketAddr::from((
                [127, 64 + high % 128, low, 1],
                7_100 + number as u16 * 16 + k as u16,
            ))
        };
        let replica_addresses: Vec<SocketAddr> = (0..replicas).map(address).collect();
        let names: Vec<String> = (0..replicas)
            .map(|k| format!("k{k}"))
            .chain((0..gateways).map(|g| format!("g{g}")))
            .collect();
        let program = Program {
            exe: env!("CARGO_BIN_EXE_chalkdeck").into(),
            leading_args: Vec::new(),
        };
        let mut args = vec!["lab".to_string(), "links".to_string()];
        for name in &names {
            for (k, address) in replica_addresses.iter().enumerate() {
                args.extend(["--link".to_string(), format!("{name},k{k},tcp,{address}")]);
            }
        }
        let relay =
            Process::start(&program, &args, &dir.join("links.log")).expect("the relay starts");
        let addresses = relay
            .addresses("links")
            .expect("the addresses of its links");
        let link_addresses = names
            .into_iter()
            .zip(addresses.chunks(replicas).map(<[SocketAddr]>::to_vec))
            .collect();
        let relay_control = relay.address("control").expect("its control address");
        let not_started = |count: usize| (0..count).map(|_| None).collect::<Vec<Option<Process>>>();
        let fleet = Fleet {
            dir,
            program,
            relay,
            relay_control,
            link_addresses,
            replica_addresses,
            replicas: not_started(replicas),
            gateways: not_started(gateways),
            endpoints: Vec::new(),
        };
        fleet.write_endpoint_list();
        fleet
    }

    /// Starts a replica; `is_new_cluster` is for the first start of all replicas, when their folders are empty.
    pub fn start_replica(&mut self, replica: usize, is_new_cluster: bool) {
        let link_addresses = &self.link_addresses[&format!("k{replica}")];
        let replicas: Vec<String> = link_addresses
            .iter()
            .map(|address| format!("'{address}'"))
            .collect();
        let text = format!(
            "slot: {} listen: '{}' admin: '127.0.0.1:0' keepers: [{}] folder: 'keeper-{replica}' lease_ms: {LEASE_MS} move_ms: 3000",
            replica + 1,
            self.replica_addresses[replica],
            replicas.join(", ")
        );
        let file = self.dir.join(format!("keeper-{replica}.txtpb"));
        std::fs::write(&file, text).expect("written");
        let mut args = vec![
            "keeper".to_string(),
            "run".to_string(),
            file.display().to_string(),
        ];
        args.extend(is_new_cluster.then(|| "--first".to_string()));
        let log = self.dir.join(format!("keeper-{replica}.log"));
        self.replicas[replica] =
            Some(Process::start(&self.program, &args, &log).expect("a replica starts"));
    }
    pub fn kill_replica(&mut self, replica: usize) {
        self.replicas[replica].take().expect("it runs").kill();
    }
    /// Kills a replica and deletes its folder.
    pub fn kill_replica_and_delete_folder(&mut self, replica: usize) {
        self.kill_replica(replica);
        std::fs::remove_dir_all(self.dir.join(format!("keeper-{replica}"))).expect("a folder");
    }

    /// Starts another gateway, which has no coordinator and so no shared state.
    pub fn start_gateway_without_coordinator(&self) -> Process {
        let text = std::fs::read_to_string(self.dir.join("gateway-0.txtpb")).expect("written");
        let (settings, _) = text
            .split_once("keepers {")
            .expect("settings of the coordinator");
        let file = self.dir.join("bare.txtpb");
        std::fs::write(&file, settings.replace("words-0", "words-bare")).expect("written");
        let args = ["serve".to_string(), file.display().to_string()];
        Process::start(&self.program, &args, &self.dir.join("bare.log")).expect("a gateway starts")
    }

    pub fn start_gateway(&mut self, gateway: usize) {
        let replicas: Vec<String> = self.link_addresses[&format!("g{gateway}")]
            .iter()
            .map(|address| format!("'{address}'"))
            .collect();
        let (zone, replicas) = (site_of(gateway), replicas.join(", "));
        let text = format!(
            "listen: '127.0.0.1:0' admin: '127.0.0.1:0' fleet: {} number: {gateway} zone: '{zone}'
             classes {{ name: 'view' deadline_ms: 2000 effect: SAFE }}
             classes {{ name: 'watch' deadline_ms: 2000 effect: SAFE stream: true }}
             plans {{ name: 'p' rate: 100000 burst: 100000 }}
             routes {{ path: '{VIEW}' class: 'view' }} routes {{ path: '{WATCH}' class: 'watch' }}
             customers {{ default_plan: 'p' }} endpoints {{ file: 'list.txtpb' poll_ms: 20 }} logs {{ level: 'warn' }}
             sites {{ on: true words_file: 'words-{gateway}.txtpb' }}
             keepers {{ addresses: [{replicas}] name: 'g{gateway}' region_metadata: 'x-region' state_file: 'state-{gateway}' report_ms: 100 }}",
            self.gateways.len()
        );
        let file = self.dir.join(format!("gateway-{gateway}.txtpb"));
        std::fs::write(&file, text).expect("written");
        let args = ["serve".to_string(), file.display().to_string()];
        let log = self.dir.join(format!("gateway-{gateway}.log"));
        self.gateways[gateway] =
            Some(Process::start(&self.program, &args, &log).expect("a gateway starts"));
    }
    pub fn gateway(&self, gateway: usize) -> &Process {
        self.gateways[gateway].as_ref().expect("it runs")
    }
    pub fn signal_gateway(&self, gateway: usize, signal: Signal) {
        self.gateway(gateway).signal(signal);
    }
    pub fn kill_gateway(&mut self, gateway: usize) {
        self.gateways[gateway].take().expect("it runs").kill();
    }
    /// Sends SIGTERM to a gateway and waits until it has exited.
    pub fn stop_gateway(&mut self, gateway: usize) {
        let mut process = self.gateways[gateway].take().expect("it runs");
        process.signal(Signal::TERM);
        assert!(process.wait(), "it exits with success");
    }
    pub fn admin_address(&self, gateway: usize) -> SocketAddr {
        self.gateway(gateway)
            .address("admin")
            .expect("its admin address")
    }
    pub fn grpc_address(&self, gateway: usize) -> SocketAddr {
        self.gateway(gateway)
            .address("grpc")
            .expect("its gRPC address")
    }
    /// The status of a gateway's coordinator link; `None` if the gateway does not run or does not respond.
    pub fn coordinator_status(&self, gateway: usize) -> Option<CoordinatorStatus> {
        let admin = self.gateways[gateway].as_ref()?.address("admin").ok()?;
        // The timeout is for a stopped process, which accepts connections and does not respond.
        let mut stream = TcpStream::connect(admin).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_millis(300)))
            .ok()?;
        write!(stream, "GET /keepers HTTP/1.1\r\nhost: x\r\n\r\n").ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).ok()?;
        serde_json::from_str(response.split_once("\r\n\r\n")?.1).ok()
    }
    /// For each election the gateway that reports itself as its leader, and its fencing token.
    pub fn leaders(&self) -> BTreeMap<String, (usize, u64)> {
        let statuses =
            (0..self.gateways.len()).filter_map(|g| Some((g, self.coordinator_status(g)?)));
        statuses
            .flat_map(|(g, status)| {
                status
                    .leaderships
                    .into_iter()
                    .map(move |leadership| (leadership.election, (g, leadership.token)))
            })
            .collect()
    }
    pub fn leader_of(&self, election: &str) -> Option<(usize, u64)> {
        self.leaders().get(election).copied()
    }

    /// Sets faults of the relay's links with a query such as `from=k0&to=k1&cut=1`.
    pub fn set_link_faults(&self, query: &str) {
        control::get(self.relay_control, &format!("/set?{query}"))
            .expect("the relay accepts the faults");
    }
    /// Cuts a replica or gateway off from all replicas in both directions, or restores its links.
    pub fn set_cut_off(&self, name: &str, is_cut: bool) {
        self.set_link_faults(&format!("from={name}&cut={}", u8::from(is_cut)));
    }

    /// Runs the program with these arguments and the addresses of all replicas.
    pub fn run(&self, args: &[&str]) -> Output {
        self.command(args).output().expect("it runs")
    }
    /// A command with these arguments and the addresses of all replicas.
    pub fn command(&self, args: &[&str]) -> Command {
        let all: Vec<usize> = (0..self.replica_addresses.len()).collect();
        self.command_to_replicas(&all, args)
    }
    /// A command with these arguments and the addresses of some replicas.
    pub fn command_to_replicas(&self, replicas: &[usize], args: &[&str]) -> Command {
        let addresses: Vec<String> = replicas
            .iter()
            .map(|k| self.replica_addresses[*k].to_string())
            .collect();
        let mut command = Command::new(env!("CARGO_BIN_EXE_chalkdeck"));
        command
            .args(args)
            .args(["--keepers", &addresses.join(",")])
            .stdin(Stdio::null())
            .current_dir(&self.dir);
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }
    /// Runs the program, which has to succeed. Returns its standard output.
    pub fn expect_success(&self, args: &[&str]) -> String {
        let output = self.run(args);
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        assert!(
            output.status.success(),
            "{args:?}: {}{}",
            text(&output.stdout),
            text(&output.stderr)
        );
        text(&output.stdout)
    }
    /// Runs the program, which has to fail. Returns its standard error.
    pub fn expect_failure(&self, args: &[&str]) -> String {
        let output = self.run(args);
        assert!(
            !output.status.success(),
            "{args:?}: {}",
            String::from_utf8_lossy(&output.stdout)
        );
        String::from_utf8_lossy(&output.stderr).into_owned()
    }
    /// Writes a file in the fleet's folder, which is the working directory of commands. Returns its name.
    pub fn write_file(&self, name: &str, text: &str) -> String {
        std::fs::write(self.dir.join(name), text).expect("written");
        name.to_string()
    }
    /// Writes a customer's rule set: `stale` is KEEP or DENY, `otherwise` ALLOW or DENY. Returns the file's name.
    pub fn write_rule_set(
        &self,
        customer: &str,
        stale: &str,
        otherwise: &str,
        rules: &str,
    ) -> String {
        let text = format!("customer: '{customer}' otherwise: {otherwise} stale: {stale} {rules}");
        self.write_file(&format!("{customer}-{otherwise}.txtpb"), &text)
    }

    /// Starts a fake server and adds it to the endpoint list, with the contract version `contract` unless that is empty.
    pub fn add_endpoint(&mut self, contract: &str) -> SocketAddr {
        let address = start_server();
        self.endpoints.push((address, contract.to_string()));
        self.write_endpoint_list();
        address
    }
    fn write_endpoint_list(&self) {
        let mut text =
            String::from("cluster_name: 'farm' endpoints { locality { zone: 'north' }\n");
        for (address, contract) in &self.endpoints {
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
            eprintln!("the logs of the processes are in {}", self.dir.display());
        } else {
            self.gateways.clear();
            self.replicas.clear();
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Starts a fake server that responds to unary calls and leaves streams open.
fn start_server() -> SocketAddr {
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

/// A gRPC client with one connection to a gateway.
pub struct Caller {
    engine: Engine,
    conn: ConnId,
    events: Vec<Event>,
    /// Code and message of each stream that ended.
    pub results: BTreeMap<StreamId, (Option<Code>, String)>,
    /// Streams whose response headers arrived.
    pub responding_streams: Vec<StreamId>,
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
            results: BTreeMap::new(),
            responding_streams: Vec::new(),
        }
    }
    /// Waits up to 5 ms for events and records them.
    pub fn poll_events(&mut self) {
        self.engine
            .turn(5_000, &mut self.events)
            .expect("the event loop runs");
        for event in self.events.drain(..) {
            match event {
                Event::ResponseHead {
                    stream,
                    head,
                    is_end_stream: true,
                } => {
                    self.results.insert(
                        stream,
                        (
                            Code::from_trailers(&head.headers),
                            grpc::decode_message(&head.headers),
                        ),
                    );
                }
                Event::ResponseHead { stream, .. } => self.responding_streams.push(stream),
                Event::Data { stream, data } => self.engine.consume(stream, data.len()),
                Event::StreamEnded { stream, trailers } => {
                    let trailers = trailers.unwrap_or_default();
                    self.results.insert(
                        stream,
                        (
                            Code::from_trailers(&trailers),
                            grpc::decode_message(&trailers),
                        ),
                    );
                }
                Event::StreamFailed { stream, .. } => {
                    drop(self.results.insert(stream, (None, "stream failed".into())))
                }
                _ => {}
            }
        }
    }
    /// Sends a request; waits until the connection has room for another stream.
    pub fn open_stream(&mut self, path: &str, metadata: &[(&str, &str)]) -> StreamId {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let mut head = grpc::request_head("gateway", path).expect("request headers");
            for (name, value) in metadata {
                let name = HeaderName::from_bytes(name.as_bytes()).expect("a header name");
                head.headers_mut()
                    .insert(name, HeaderValue::from_str(value).expect("a header value"));
            }
            if let Some(stream) = self.engine.open_stream(self.conn, head, false) {
                self.engine.send(stream, grpc::frame(b"ask"));
                self.engine.finish(stream, None);
                return stream;
            }
            assert!(
                Instant::now() < deadline,
                "no stream could be opened in time"
            );
            self.poll_events();
        }
    }
    /// Keeps `concurrency` calls in flight for a while. Returns how many were served during that time.
    pub fn run_load(
        &mut self,
        concurrency: usize,
        duration: Duration,
        metadata: &[(&str, &str)],
    ) -> usize {
        let (start, mut in_flight, mut served) = (Instant::now(), 0, 0);
        while start.elapsed() < duration {
            while in_flight < concurrency {
                self.open_stream(VIEW, metadata);
                in_flight += 1;
            }
            self.poll_events();
            in_flight -= self.results.len();
            served += std::mem::take(&mut self.results)
                .values()
                .filter(|result| result.0 == Some(Code::Ok))
                .count();
            self.responding_streams.clear();
        }
        while in_flight > 0 {
            self.poll_events();
            in_flight -= std::mem::take(&mut self.results).len();
        }
        served
    }
    /// Waits until a stream has ended. Returns its code and message.
    pub fn result_of(&mut self, stream: StreamId) -> (Option<Code>, String) {
        let deadline = Instant::now() + TIMEOUT;
        while !self.results.contains_key(&stream) {
            assert!(Instant::now() < deadline, "the call did not end in time");
            self.poll_events();
        }
        self.results.remove(&stream).expect("its result")
    }
    /// Makes a unary call. Returns its code and message.
    pub fn call(&mut self, metadata: &[(&str, &str)]) -> (Option<Code>, String) {
        let stream = self.open_stream(VIEW, metadata);
        self.result_of(stream)
    }
    /// Whether the access rules admit a call of the customer, whatever its result.
    pub fn is_admitted(&mut self, customer: &str) -> bool {
        self.call(&[("x-customer", customer)]).0 != Some(Code::PermissionDenied)
    }
}
