//! Kills the program repeatedly at random times while several gateways send increments: acknowledged increments survive, and
//! none counts twice. `CHALKDECK_KILLS` sets the number of kills.

mod common;

use chalkdeck_counter::recovery;
use chalkdeck_counter::state::{CounterState, Limits as StateLimits, NameId};
use chalkdeck_net::grpc::{self, Deframer};
use chalkdeck_net::{ConnId, Engine, Event, Limits, ReservedPort, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::{AddRequest, AddResponse};
use chalkdeck_wal::disk::Folder;
use common::program::{temporary_folder, Program, ADDS_PATH};
use prost::Message;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const NAME_COUNT: u64 = 50;
const GATEWAY_COUNT: u64 = 4;
/// Maximum number of unacknowledged increments of a gateway.
const MAX_UNACKNOWLEDGED: usize = 64;
const DEFAULT_KILLS: u32 = 12;
const TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time that a turn of the event loop waits for events, in microseconds.
const MAX_TURN_WAIT_MICROS: u64 = 2_000;

/// The name of an acknowledged increment and the total in its response.
#[derive(Clone, Copy, Debug, PartialEq)]
struct AcknowledgedIncrement {
    name: u64,
    total: f64,
}

/// A gateway's connection to the counter.
struct Link {
    connection: ConnId,
    stream: Option<StreamId>,
    deframer: Deframer,
}

/// A gateway that retries each increment until it is acknowledged.
struct Gateway {
    caller: u64,
    link: Option<Link>,
    last_number: u64,
    /// Names of the unacknowledged increments, by number.
    unacknowledged: BTreeMap<u64, u64>,
    /// Numbers of the increments to retry on this link.
    retries: VecDeque<u64>,
    acknowledged: BTreeMap<u64, AcknowledgedIncrement>,
    epoch: u64,
    repeated_responses: u64,
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
            repeated_responses: 0,
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
        let head = grpc::request_head(&address.to_string(), ADDS_PATH).expect("a head");
        link.stream = engine.open_stream(link.connection, head, false);
        self.retries = self.unacknowledged.keys().copied().collect();
        // Also repeats an acknowledged increment, as a duplicate that arrives late would.
        self.retries.extend(self.acknowledged.keys().next_back());
    }

    fn send(&mut self, engine: &mut Engine, rng: &mut fastrand::Rng, mode: SendMode) {
        let Some(stream) = self.link.as_ref().and_then(|link| link.stream) else {
            return;
        };
        while let Some(number) = self.retries.pop_front() {
            self.send_increment(engine, stream, number);
        }
        while mode == SendMode::NewAndRetries && self.unacknowledged.len() < MAX_UNACKNOWLEDGED {
            self.last_number += 1;
            self.unacknowledged
                .insert(self.last_number, rng.u64(..NAME_COUNT));
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
        let mut responses = Vec::new();
        while let Some(message) = link.deframer.next(1_024).expect("valid frames") {
            responses.push(AddResponse::decode(&message[..]).expect("a response"));
        }
        for response in responses {
            self.on_response(&response);
        }
    }

    fn on_response(&mut self, response: &AddResponse) {
        assert_eq!(response.status, 0, "{response:?}");
        assert!(response.epoch >= self.epoch, "the epoch never decreases");
        self.epoch = response.epoch;
        let total = response.total;
        if let Some(name) = self.unacknowledged.remove(&response.number) {
            self.acknowledged
                .insert(response.number, AcknowledgedIncrement { name, total });
            return;
        }
        self.repeated_responses += 1;
        let first_total = self.acknowledged[&response.number].total;
        assert_eq!(
            total, first_total,
            "increment {} gets the same total again",
            response.number
        );
    }
}

/// Whether gateways send new increments too, or only retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendMode {
    NewAndRetries,
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
            gateways: (1..=GATEWAY_COUNT).map(Gateway::new).collect(),
            rng: fastrand::Rng::with_seed(7),
            address,
        }
    }

    fn turn(&mut self, mode: SendMode) {
        let mut events = Vec::new();
        self.engine
            .turn(MAX_TURN_WAIT_MICROS, &mut events)
            .expect("a turn");
        for event in events {
            self.on_event(event);
        }
        for gateway in &mut self.gateways {
            if gateway.link.is_none() {
                gateway.connect(&mut self.engine, self.address);
            }
            gateway.send(&mut self.engine, &mut self.rng, mode);
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Connected { conn } => {
                let gateway = find_gateway(&mut self.gateways, |link| link.connection == conn);
                if let Some(gateway) = gateway {
                    gateway.on_connected(&mut self.engine, self.address);
                }
            }
            Event::Closed { conn, .. } => {
                let gateway = find_gateway(&mut self.gateways, |link| link.connection == conn);
                if let Some(gateway) = gateway {
                    gateway.link = None;
                }
            }
            Event::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                let gateway = find_gateway(&mut self.gateways, |link| link.stream == Some(stream));
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

    fn acknowledged(&self) -> Vec<AcknowledgedIncrement> {
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
            assert!(Instant::now() < deadline, "responses resume after a kill");
            self.turn(SendMode::NewAndRetries);
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
            self.turn(SendMode::RetriesOnly);
        }
    }
}

fn find_gateway(gateways: &mut [Gateway], matches: impl Fn(&Link) -> bool) -> Option<&mut Gateway> {
    gateways
        .iter_mut()
        .find(|gateway| gateway.link.as_ref().is_some_and(&matches))
}

fn write_settings(config: &Path, listen: &str) {
    // Frequent snapshots, so that some kills interrupt one.
    let settings = format!("listen: \"{listen}\" folder: \"log\" snapshot_bytes: 20000\n");
    std::fs::write(config, settings).expect("settings");
}

/// Checks that the increments of each name got the totals 1, 2, 3 and so on, and that the recovered total is the last one.
fn check_totals(acknowledged: &[AcknowledgedIncrement], state: &CounterState) {
    for name in 0..NAME_COUNT {
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
    // The port has to stay the same across restarts.
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let port = ReservedPort::reserve(any).expect("a free port");
    write_settings(&config, &port.address().to_string());
    let mut program = Program::start(&config);
    let address = program.partitions[0];
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
        recovery::recover(&disk, StateLimits::default(), u64::MAX).expect("a valid log");
    let acknowledged = fleet.acknowledged();
    check_totals(&acknowledged, &recovered.state);
    let repeated_responses: u64 = fleet
        .gateways
        .iter()
        .map(|gateway| gateway.repeated_responses)
        .sum();
    assert!(
        repeated_responses > 0,
        "some responses were to repeated increments"
    );
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
