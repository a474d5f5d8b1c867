//! The program killed at random, again and again, under several gateways: what was acknowledged is there again, and nothing
//! counts twice. `CHALKDECK_KILLS` sets how often.

mod common;

use chalkdeck_counter::recovery;
use chalkdeck_counter::state::{CounterState, Limits as StateLimits, NameId};
use chalkdeck_net::grpc::{self, Deframer};
use chalkdeck_net::{ConnId, Engine, Event, Limits, ReservedPort, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::{AddRequest, AddResponse};
use chalkdeck_wal::disk::Folder;
use common::program::{temporary_folder, Program, ADDS_METHOD};
use prost::Message;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const NAMES: u64 = 50;
const GATEWAYS: u64 = 4;
/// Increments that a gateway has on the way at most.
const MAX_UNACKNOWLEDGED: usize = 64;
const DEFAULT_KILLS: u32 = 12;
const TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait of a turn in microseconds.
const TURN_WAIT: u64 = 2_000;

/// The name of an increment and the total that it got.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Acknowledged {
    name: u64,
    total: f64,
}

/// A connection to the counter.
struct Link {
    connection: ConnId,
    stream: Option<StreamId>,
    deframer: Deframer,
}

/// A gateway that sends each increment again until it is acknowledged.
struct Gateway {
    caller: u64,
    link: Option<Link>,
    last_number: u64,
    /// Names of the increments that were sent, by number.
    unacknowledged: BTreeMap<u64, u64>,
    /// Numbers that are to be sent again on this link.
    retries: VecDeque<u64>,
    acknowledged: BTreeMap<u64, Acknowledged>,
    epoch: u64,
    repeated_answers: u64,
}

impl Gateway {
    fn new(caller: u64) -> Gateway {
        Gateway {
            caller,
            link: None,
            last_number: 0,
            unacknowledged: BTreeMap::new(),
            retries: VecDeque::new(),
            acknowledged: BTreeMap::new(),
            epoch: 0,
            repeated_answers: 0,
        }
    }

    fn connect(&mut self, engine: &mut Engine, address: SocketAddr) {
        if let Ok(connection) = engine.connect(address, Limits::default()) {
            self.link = Some(Link {
                connection,
                stream: None,
                deframer: Deframer::default(),
            });
        }
    }

    fn on_connected(&mut self, engine: &mut Engine, address: SocketAddr) {
        let Some(link) = &mut self.link else { return };
        let head = grpc::request(&address.to_string(), ADDS_METHOD).expect("a head");
        link.stream = engine.open(link.connection, head, false);
        self.retries = self.unacknowledged.keys().copied().collect();
        // One that was answered arrives late, once more.
        self.retries.extend(self.acknowledged.keys().next_back());
    }

    fn send(&mut self, engine: &mut Engine, rng: &mut fastrand::Rng, load: Load) {
        let Some(stream) = self.link.as_ref().and_then(|link| link.stream) else {
            return;
        };
        while let Some(number) = self.retries.pop_front() {
            self.send_increment(engine, stream, number);
        }
        while load == Load::New && self.unacknowledged.len() < MAX_UNACKNOWLEDGED {
            self.last_number += 1;
            self.unacknowledged
                .insert(self.last_number, rng.u64(..NAMES));
            self.send_increment(engine, stream, self.last_number);
        }
    }

    fn name_of(&self, number: u64) -> Option<u64> {
        let unacknowledged = self.unacknowledged.get(&number).copied();
        unacknowledged.or_else(|| Some(self.acknowledged.get(&number)?.name))
    }

    fn send_increment(&self, engine: &mut Engine, stream: StreamId, number: u64) {
        let Some(name) = self.name_of(number) else {
            return;
        };
        let request = AddRequest {
            name,
            amount: 1.0,
            lifetime_us: u64::MAX / 4,
            number,
            caller: self.caller,
        };
        engine.send(stream, grpc::frame(&request.encode_to_vec()));
    }

    fn on_data(&mut self, data: &[u8]) {
        let Some(link) = &mut self.link else { return };
        link.deframer.push(data);
        let mut answers = Vec::new();
        while let Some(message) = link.deframer.next(1_024).expect("sound frames") {
            answers.push(AddResponse::decode(&message[..]).expect("an answer"));
        }
        for answer in answers {
            self.on_answer(&answer);
        }
    }

    fn on_answer(&mut self, answer: &AddResponse) {
        assert_eq!(answer.status, 0, "{answer:?}");
        assert!(answer.epoch >= self.epoch, "an epoch does not go back");
        self.epoch = answer.epoch;
        let total = answer.total;
        if let Some(name) = self.unacknowledged.remove(&answer.number) {
            self.acknowledged
                .insert(answer.number, Acknowledged { name, total });
            return;
        }
        self.repeated_answers += 1;
        let first_total = self.acknowledged[&answer.number].total;
        assert_eq!(
            total, first_total,
            "increment {} gets the same total again",
            answer.number
        );
    }
}

/// Whether gateways send new increments or only retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Load {
    New,
    RetriesOnly,
}

struct Fleet {
    engine: Engine,
    gateways: Vec<Gateway>,
    rng: fastrand::Rng,
    address: SocketAddr,
}

impl Fleet {
    fn new(address: SocketAddr) -> Fleet {
        Fleet {
            engine: Engine::new().expect("a poll handle"),
            gateways: (1..=GATEWAYS).map(Gateway::new).collect(),
            rng: fastrand::Rng::with_seed(7),
            address,
        }
    }

    fn turn(&mut self, load: Load) {
        let mut events = Vec::new();
        self.engine.turn(TURN_WAIT, &mut events).expect("a turn");
        for event in events {
            self.on_event(event);
        }
        for gateway in &mut self.gateways {
            if gateway.link.is_none() {
                gateway.connect(&mut self.engine, self.address);
            }
            gateway.send(&mut self.engine, &mut self.rng, load);
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Connected { conn } => {
                let gateway = find(&mut self.gateways, |link| link.connection == conn);
                if let Some(gateway) = gateway {
                    gateway.on_connected(&mut self.engine, self.address);
                }
            }
            Event::Closed { conn, .. } => {
                let gateway = find(&mut self.gateways, |link| link.connection == conn);
                if let Some(gateway) = gateway {
                    gateway.link = None;
                }
            }
            Event::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                let gateway = find(&mut self.gateways, |link| link.stream == Some(stream));
                if let Some(gateway) = gateway {
                    gateway.on_data(&data);
                }
            }
            _ => {}
        }
    }

    fn acknowledged_count(&self) -> usize {
        let counts = self
            .gateways
            .iter()
            .map(|gateway| gateway.acknowledged.len());
        counts.sum()
    }

    fn acknowledged(&self) -> Vec<Acknowledged> {
        let gateways = self.gateways.iter();
        gateways
            .flat_map(|gateway| gateway.acknowledged.values().copied())
            .collect()
    }

    /// Runs until a number of further increments are acknowledged.
    fn run_for(&mut self, increments: usize) {
        let target = self.acknowledged_count() + increments;
        let deadline = Instant::now() + TIMEOUT;
        while self.acknowledged_count() < target {
            assert!(Instant::now() < deadline, "answers come again after a kill");
            self.turn(Load::New);
        }
    }

    /// Runs until all increments are acknowledged.
    fn run_until_all_are_acknowledged(&mut self) {
        let deadline = Instant::now() + TIMEOUT;
        while self
            .gateways
            .iter()
            .any(|gateway| !gateway.unacknowledged.is_empty())
        {
            assert!(
                Instant::now() < deadline,
                "all increments are acknowledged in the end"
            );
            self.turn(Load::RetriesOnly);
        }
    }
}

fn find(gateways: &mut [Gateway], matches: impl Fn(&Link) -> bool) -> Option<&mut Gateway> {
    gateways
        .iter_mut()
        .find(|gateway| gateway.link.as_ref().is_some_and(&matches))
}

fn write_settings(config: &Path, listen: &str) {
    // Snapshots come often, so that kills hit them too.
    let settings = format!("listen: \"{listen}\" folder: \"log\" snapshot_bytes: 20000\n");
    std::fs::write(config, settings).expect("settings");
}

/// Each increment of a name got its own total: 1, 2, 3 and so on; and the last one is the recovered total.
fn check_totals(acknowledged: &[Acknowledged], state: &CounterState) {
    for name in 0..NAMES {
        let mut totals: Vec<f64> = acknowledged
            .iter()
            .filter(|increment| increment.name == name)
            .map(|increment| increment.total)
            .collect();
        totals.sort_by(f64::total_cmp);
        let mut expected = (1..).map(f64::from);
        assert!(
            totals.iter().all(|total| Some(*total) == expected.next()),
            "name {name}"
        );
        assert_eq!(
            state.total(NameId(name)).unwrap_or(0.0),
            totals.len() as f64,
            "name {name}"
        );
    }
}

#[test]
fn program_is_killed_at_random_then_nothing_acknowledged_is_lost_and_nothing_counts_twice() {
    let kills: u32 = std::env::var("CHALKDECK_KILLS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_KILLS);
    let folder = temporary_folder("kill");
    let config = folder.join("counter.txtpb");
    // The port has to be the same after each start.
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let port = ReservedPort::reserve(any).expect("a free port");
    write_settings(&config, &port.address().to_string());
    let mut program = Program::start(&config);
    let address = program.parts[0];
    let mut fleet = Fleet::new(address);
    for _ in 0..kills {
        let increments = fleet.rng.usize(50..2_000);
        fleet.run_for(increments);
        program.kill();
        program = Program::start(&config);
    }
    fleet.run_until_all_are_acknowledged();
    program.kill();

    let disk = Folder::open(&folder.join("log/part-0")).expect("the folder");
    let recovered =
        recovery::recover(&disk, StateLimits::default(), u64::MAX).expect("a sound log");
    let acknowledged = fleet.acknowledged();
    check_totals(&acknowledged, &recovered.state);
    let repeated_answers: u64 = fleet
        .gateways
        .iter()
        .map(|gateway| gateway.repeated_answers)
        .sum();
    assert!(repeated_answers > 0, "repeated increments were among them");
    assert!(fleet
        .gateways
        .iter()
        .all(|gateway| gateway.epoch == u64::from(kills) + 1));
    println!(
        "{kills} kills, {} increments acknowledged",
        acknowledged.len()
    );
    let _ = std::fs::remove_dir_all(&folder);
}
