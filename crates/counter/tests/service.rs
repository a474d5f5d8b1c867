//! The program on sockets and its tools: bounds, parts, the lock, the drain, a damaged folder.
use chalkdeck_net::grpc::{self, Deframer};
use chalkdeck_net::{ConnId, Engine, Event, Limits, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::{AddRequest, AddResponse};
use prost::Message;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

struct Program {
    child: Child,
    parts: Vec<SocketAddr>,
    admin: Vec<SocketAddr>,
}

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chalkdeck-counter"));
    command.args(args);
    command
}

fn run(args: &[&str]) -> Output {
    command(args).output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("chalkdeck-counter-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("a folder");
    dir
}

fn config(dir: &Path, parts: usize, more: &str) -> String {
    let lines = "listen: \"127.0.0.1:0\" admin: \"127.0.0.1:0\"\n".repeat(parts);
    let file = dir.join("counter.txtpb");
    std::fs::write(&file, format!("{lines}folder: \"log\" {more}\n")).expect("settings");
    file.display().to_string()
}

impl Program {
    fn start(config: &str) -> Program {
        let mut child = command(&["serve", config])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("output"))
            .read_line(&mut line)
            .expect("a line");
        let list = |name: &str| -> Vec<SocketAddr> {
            let words = line.split_whitespace().find_map(|w| w.strip_prefix(name));
            words
                .expect("addresses")
                .split(',')
                .map(|a| a.parse().expect("an address"))
                .collect()
        };
        Program {
            parts: list("grpc="),
            admin: list("admin="),
            child,
        }
    }
    fn stop(&mut self) -> bool {
        let pid = Pid::from_raw(self.child.id() as i32).expect("an id");
        kill_process(pid, Signal::TERM).expect("a signal");
        self.child.wait().expect("its end").success()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Client {
    engine: Engine,
    conn: ConnId,
    stream: StreamId,
    deframer: Deframer,
    answers: Vec<AddResponse>,
    over: bool,
}

impl Client {
    fn new(address: SocketAddr) -> Client {
        let mut engine = Engine::new().expect("a poll handle");
        let conn = engine
            .connect(address, Limits::default())
            .expect("a connection");
        let end = Instant::now() + Duration::from_secs(20);
        let mut events = Vec::new();
        while !events.iter().any(|e| matches!(e, Event::Connected { .. })) {
            assert!(Instant::now() < end, "a connection in time");
            engine.turn(5_000, &mut events).expect("a turn");
        }
        let head = grpc::request(&address.to_string(), "/chalkdeck.counter.v1.Counter/Adds")
            .expect("a head");
        let stream = engine.open(conn, head, false).expect("a stream");
        Client {
            engine,
            conn,
            stream,
            deframer: Deframer::default(),
            answers: Vec::new(),
            over: false,
        }
    }
    fn send(&mut self, adds: impl Iterator<Item = AddRequest>) {
        let frames: Vec<u8> = adds
            .flat_map(|a| grpc::frame(&a.encode_to_vec()).to_vec())
            .collect();
        self.engine.send(self.stream, frames.into());
    }
    fn until(&mut self, what: &str, holds: impl Fn(&Client) -> bool) {
        let end = Instant::now() + Duration::from_secs(20);
        let mut events = Vec::new();
        while !holds(self) {
            assert!(Instant::now() < end, "not in time: {what}");
            self.engine.turn(5_000, &mut events).expect("a turn");
            for event in events.drain(..) {
                match event {
                    Event::Data { stream, data } => {
                        self.engine.consume(stream, data.len());
                        self.deframer.push(&data);
                        while let Some(m) = self.deframer.next(1_024).expect("frames") {
                            self.answers
                                .push(AddResponse::decode(&m[..]).expect("an answer"));
                        }
                    }
                    Event::End { .. } | Event::Broken { .. } => self.over = true,
                    Event::Closed { conn, .. } if conn == self.conn => self.over = true,
                    _ => {}
                }
            }
        }
    }
}

fn add(number: u64, name: u64, amount: f64) -> AddRequest {
    AddRequest {
        name,
        amount,
        lifetime_us: 1_000_000_000,
        number,
        caller: 5,
    }
}

#[test]
fn a_stopped_counter_has_its_counts_again_and_its_tools_agree() {
    let dir = dir("drain");
    let config = config(&dir, 1, "");
    let mut program = Program::start(&config);
    let mut client = Client::new(program.parts[0]);
    client.send((1..=300).map(|n| add(n, n % 3, 1.0)));
    client.until("answers", |c| c.answers.len() == 300);
    let first = client.answers[0];
    assert_eq!((first.status, first.total, first.epoch), (0, 1.0, 1));

    let folder = dir.join("log/part-0").display().to_string();
    let locked = run(&["log", "verify", &folder]);
    assert!(
        !locked.status.success() && text(&locked.stderr).contains("another process holds"),
        "{locked:?}"
    );
    let second = run(&["serve", &config]);
    assert!(
        !second.status.success() && text(&second.stderr).contains("another process holds"),
        "{second:?}"
    );
    let top = run(&["top", &program.admin[0].to_string()]);
    assert!(text(&top.stdout).contains("0000000000000001"), "{top:?}");

    assert!(program.stop(), "a drain ends well");
    let verify = text(&run(&["log", "verify", &folder]).stdout);
    assert!(
        verify.contains("position 300 names 3; snapshot at 300, 0 adds replayed"),
        "{verify}"
    );
    let replay = text(&run(&["log", "replay", &folder]).stdout);
    assert_eq!(replay.matches(" 100 until").count(), 3, "{replay}");
    let dump = text(&run(&["log", "dump", &folder]).stdout);
    assert!(dump.contains("caller 5 number 300"), "{dump}");
    assert!(run(&["log", "compact", &folder]).status.success());

    let program = Program::start(&config);
    let mut client = Client::new(program.parts[0]);
    client.send([add(1, 1, 1.0), add(301, 1, 1.0)].into_iter());
    client.until("answers", |c| c.answers.len() == 2);
    let totals: Vec<f64> = client.answers.iter().map(|a| a.total).collect();
    assert_eq!(
        totals,
        [1.0, 101.0],
        "one that came before hears the same; a new one counts on"
    );
    assert_eq!(client.answers[0].incarnation, first.incarnation);
    let _ = std::fs::remove_dir_all(&dir);
}

#[test]
fn damage_stops_the_start_with_its_place() {
    let dir = dir("damage");
    let config = config(&dir, 1, "");
    let program = Program::start(&config);
    let mut client = Client::new(program.parts[0]);
    for n in 1..=5 {
        client.send([add(n, n, 1.0)].into_iter());
        client.until("an answer", |c| c.answers.len() == n as usize);
    }
    drop(program);
    let folder = dir.join("log/part-0");
    let segment = std::fs::read_dir(&folder)
        .expect("files")
        .filter_map(Result::ok);
    let segment = segment
        .map(|e| e.path())
        .find(|p| p.display().to_string().contains("segment-"));
    let segment = segment.expect("a segment");
    let mut bytes = std::fs::read(&segment).expect("bytes");
    bytes[60] ^= 1;
    std::fs::write(&segment, &bytes).expect("damage");
    let start = run(&["serve", &config]);
    let said = text(&start.stderr);
    assert!(
        !start.status.success() && said.contains("segment-") && said.contains("offset"),
        "{said}"
    );
    assert_eq!(
        std::fs::read(&segment).expect("bytes"),
        bytes,
        "nothing was changed"
    );
    let _ = std::fs::remove_dir_all(&dir);
}

#[test]
fn what_waits_is_bounded_and_odd_input_ends_its_own_stream_only() {
    let dir = dir("bounds");
    let config = config(&dir, 1, "waiting: 400 names: 10");
    let program = Program::start(&config);
    let mut client = Client::new(program.parts[0]);
    client.send((1..=5_000).map(|n| add(n, n % 3, 1.0)));
    client.until("all answers", |c| c.answers.len() == 5_000);
    let full = client.answers.iter().filter(|a| a.status == 8).count();
    let counted = client.answers.iter().filter(|a| a.status == 0).count();
    assert!(
        full > 0 && counted >= 100 && full + counted == 5_000,
        "{full} turned away, {counted} counted"
    );

    client.answers.clear();
    client.send((6_000..6_020).map(|n| add(n, n, 1.0)));
    client.until("all answers", |c| c.answers.len() == 20);
    let names = client.answers.iter().filter(|a| a.status == 8).count();
    assert_eq!(names, 0, "one batch may pass the bound on names");
    client.answers.clear();
    client.send(
        [
            add(7_000, 9_999, 1.0),
            add(7_001, 1, f64::NAN),
            add(7_002, 1, 1.0),
        ]
        .into_iter(),
    );
    client.until("all answers", |c| c.answers.len() == 3);
    let status = |n: u64| {
        client
            .answers
            .iter()
            .find(|a| a.number == n)
            .map(|a| a.status)
    };
    assert_eq!(
        (status(7_000), status(7_001), status(7_002)),
        (Some(8), Some(3), Some(0))
    );

    let mut odd = Client::new(program.parts[0]);
    odd.engine
        .send(odd.stream, vec![0, 0, 0, 0, 3, 0xff, 0xff, 0xff].into());
    odd.until("its end", |c| c.over);
    client.answers.clear();
    client.send([add(7_003, 1, 0.0)].into_iter());
    client.until("an answer", |c| c.answers.len() == 1);
    let _ = std::fs::remove_dir_all(&dir);
}

#[test]
fn parts_count_apart() {
    let dir = dir("parts");
    let config = config(&dir, 2, "");
    let mut program = Program::start(&config);
    assert_eq!((program.parts.len(), program.admin.len()), (2, 2));
    for part in program.parts.clone() {
        let mut client = Client::new(part);
        client.send([add(1, 1, 1.0)].into_iter());
        client.until("an answer", |c| c.answers.len() == 1);
        assert_eq!(client.answers[0].total, 1.0);
    }
    assert!(program.stop());
    let _ = std::fs::remove_dir_all(&dir);
}
