//! The program killed without a word, again and again, under several gateways: what they were told stands, and nothing
//! counts twice. `CHALKDECK_KILLS` sets how often.
use chalkdeck_net::grpc::{self, Deframer};
use chalkdeck_net::{ConnId, Engine, Event, Limits, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::{AddRequest, AddResponse};
use prost::Message;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const NAMES: u64 = 50;
const OUT: usize = 64;

struct Program {
    child: Child,
    address: SocketAddr,
}

impl Program {
    fn start(config: &Path) -> Program {
        let mut child = Command::new(env!("CARGO_BIN_EXE_chalkdeck-counter"))
            .arg("serve")
            .arg(config)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("its output");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        let address = line
            .split("grpc=")
            .nth(1)
            .and_then(|r| r.split_whitespace().next());
        let address = address
            .and_then(|a| a.parse().ok())
            .unwrap_or_else(|| panic!("ready line: '{line}'"));
        Program { child, address }
    }
    fn kill(&mut self) {
        self.child.kill().expect("a kill");
        self.child.wait().expect("its end");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A gateway that sends each add again until it hears of it.
struct Gateway {
    caller: u64,
    link: Option<Link>,
    next: u64,
    /// Sent and not heard of, by number: the name.
    open: BTreeMap<u64, u64>,
    /// To send on this link.
    again: VecDeque<u64>,
    told: BTreeMap<u64, Heard>,
    epoch: u64,
    retold: u64,
}

struct Link {
    conn: ConnId,
    stream: Option<StreamId>,
    deframer: Deframer,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Heard {
    name: u64,
    total: f64,
}

impl Gateway {
    fn new(caller: u64) -> Gateway {
        let (open, again, told) = Default::default();
        Gateway {
            caller,
            link: None,
            next: 0,
            open,
            again,
            told,
            epoch: 0,
            retold: 0,
        }
    }

    fn connect(&mut self, engine: &mut Engine, address: SocketAddr) {
        if let Ok(conn) = engine.connect(address, Limits::default()) {
            self.link = Some(Link {
                conn,
                stream: None,
                deframer: Deframer::default(),
            });
        }
    }

    fn connected(&mut self, engine: &mut Engine, address: SocketAddr) {
        let Some(link) = &mut self.link else { return };
        let head = grpc::request(&address.to_string(), "/chalkdeck.counter.v1.Counter/Adds")
            .expect("a head");
        link.stream = engine.open(link.conn, head, false);
        self.again = self.open.keys().copied().collect();
        // Now and then one that was answered arrives late, once more.
        self.again.extend(self.told.keys().next_back());
    }

    fn send(&mut self, engine: &mut Engine, rng: &mut fastrand::Rng, more: bool) {
        let Some(stream) = self.link.as_ref().and_then(|l| l.stream) else {
            return;
        };
        while let Some(number) = self.again.pop_front() {
            self.ask(engine, stream, number);
        }
        while more && self.open.len() < OUT {
            self.next += 1;
            self.open.insert(self.next, rng.u64(..NAMES));
            self.ask(engine, stream, self.next);
        }
    }

    fn ask(&self, engine: &mut Engine, stream: StreamId, number: u64) {
        let name = self
            .open
            .get(&number)
            .copied()
            .or_else(|| Some(self.told.get(&number)?.name));
        let (Some(name), caller) = (name, self.caller) else {
            return;
        };
        let add = AddRequest {
            name,
            amount: 1.0,
            lifetime_us: u64::MAX / 4,
            number,
            caller,
        };
        engine.send(stream, grpc::frame(&add.encode_to_vec()));
    }

    fn on_data(&mut self, data: &[u8]) {
        let Some(link) = &mut self.link else { return };
        link.deframer.push(data);
        while let Some(message) = link.deframer.next(1_024).expect("sound frames") {
            let answer = AddResponse::decode(&message[..]).expect("an answer");
            assert_eq!(answer.status, 0, "{answer:?}");
            assert!(answer.epoch >= self.epoch, "an epoch does not go back");
            self.epoch = answer.epoch;
            match self.open.remove(&answer.number) {
                Some(name) => {
                    self.told.insert(
                        answer.number,
                        Heard {
                            name,
                            total: answer.total,
                        },
                    );
                }
                None => {
                    self.retold += 1;
                    let before = self.told[&answer.number].total;
                    assert_eq!(
                        answer.total, before,
                        "add {} hears the same again",
                        answer.number
                    );
                }
            }
        }
    }
}

struct Rig {
    engine: Engine,
    gateways: Vec<Gateway>,
    rng: fastrand::Rng,
    address: SocketAddr,
}

impl Rig {
    fn turn(&mut self, more: bool) {
        let mut events = Vec::new();
        self.engine.turn(2_000, &mut events).expect("a turn");
        for event in events {
            match event {
                Event::Connected { conn } => {
                    let (address, engine) = (self.address, &mut self.engine);
                    let gateway = of(&mut self.gateways, |l| l.conn == conn);
                    gateway
                        .into_iter()
                        .for_each(|g| g.connected(engine, address));
                }
                Event::Closed { conn, .. } => {
                    of(&mut self.gateways, |l| l.conn == conn)
                        .into_iter()
                        .for_each(|g| g.link = None);
                }
                Event::Data { stream, data } => {
                    self.engine.consume(stream, data.len());
                    let gateway = of(&mut self.gateways, |l| l.stream == Some(stream));
                    gateway.into_iter().for_each(|g| g.on_data(&data));
                }
                _ => {}
            }
        }
        for gateway in &mut self.gateways {
            if gateway.link.is_none() {
                gateway.connect(&mut self.engine, self.address);
            }
            gateway.send(&mut self.engine, &mut self.rng, more);
        }
    }
}

fn of(gateways: &mut [Gateway], which: impl Fn(&Link) -> bool) -> Option<&mut Gateway> {
    gateways
        .iter_mut()
        .find(|g| g.link.as_ref().is_some_and(&which))
}

fn folder() -> PathBuf {
    let dir = std::env::temp_dir().join(format!("chalkdeck-kill-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("a folder");
    dir
}

#[test]
fn killed_at_random_nothing_told_is_lost_and_nothing_counts_twice() {
    let kills: u32 = std::env::var("CHALKDECK_KILLS")
        .ok()
        .and_then(|k| k.parse().ok())
        .unwrap_or(12);
    let dir = folder();
    let config = dir.join("counter.txtpb");
    // Snapshots come often, so that kills meet them too.
    let settings =
        |listen: &str| format!("listen: \"{listen}\" folder: \"log\" snapshot_bytes: 20000\n");
    std::fs::write(&config, settings("127.0.0.1:0")).expect("settings");
    let mut program = Program::start(&config);
    let address = program.address;
    std::fs::write(&config, settings(&address.to_string())).expect("settings");
    let gateways = (1..=4).map(Gateway::new).collect();
    let rng = fastrand::Rng::with_seed(7);
    let mut rig = Rig {
        engine: Engine::new().expect("a poll handle"),
        gateways,
        rng,
        address,
    };
    for _ in 0..kills {
        let heard = |rig: &Rig| rig.gateways.iter().map(|g| g.told.len()).sum::<usize>();
        let (before, end) = (heard(&rig), Instant::now() + Duration::from_secs(30));
        let more = rig.rng.usize(50..2_000);
        while heard(&rig) < before + more {
            assert!(Instant::now() < end, "answers come again after a kill");
            rig.turn(true);
        }
        program.kill();
        program = Program::start(&config);
    }
    let end = Instant::now() + Duration::from_secs(30);
    while rig.gateways.iter().any(|g| !g.open.is_empty()) {
        assert!(Instant::now() < end, "all adds are heard of in the end");
        rig.turn(false);
    }
    program.kill();

    let replayed = chalkdeck_counter::log::replay(
        &chalkdeck_wal::disk::Folder::open(&dir.join("log/part-0")).expect("the folder"),
        Default::default(),
        u64::MAX,
    )
    .expect("a sound log");
    let told: Vec<Heard> = rig
        .gateways
        .iter()
        .flat_map(|g| g.told.values().copied())
        .collect();
    for name in 0..NAMES {
        let mut totals: Vec<f64> = told
            .iter()
            .filter(|h| h.name == name)
            .map(|h| h.total)
            .collect();
        totals.sort_by(f64::total_cmp);
        // Each add of one heard its own total: 1, 2, 3 and so on.
        assert!(
            totals.iter().enumerate().all(|(i, t)| *t == (i + 1) as f64),
            "name {name}"
        );
        assert_eq!(
            replayed.state.total(name).unwrap_or(0.0),
            totals.len() as f64,
            "name {name}"
        );
    }
    assert!(
        rig.gateways.iter().map(|g| g.retold).sum::<u64>() > 0,
        "repeats were among them"
    );
    assert!(rig.gateways.iter().all(|g| g.epoch == u64::from(kills) + 1));
    println!("{kills} kills, {} adds told", told.len());
    let _ = std::fs::remove_dir_all(&dir);
}
