//! Tests of the running program and its tools: limits, partitions, the folder lock, the drain and a damaged folder.

mod common;

use chalkdeck_net::grpc::{self, Code, Deframer};
use chalkdeck_net::{ConnId, Engine, Event, Limits, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::{AddRequest, AddResponse};
use common::program::{run, temporary_folder, text, Program, ADDS_PATH};
use prost::Message;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time that a turn of the event loop waits for events, in microseconds.
const MAX_TURN_WAIT_MICROS: u64 = 5_000;

/// Writes settings for a number of partitions and returns the path of the file.
fn write_settings(folder: &Path, partitions: usize, extra_settings: &str) -> PathBuf {
    let lines = "listen: \"127.0.0.1:0\" admin: \"127.0.0.1:0\"\n".repeat(partitions);
    let file = folder.join("counter.txtpb");
    std::fs::write(&file, format!("{lines}folder: \"log\" {extra_settings}\n")).expect("settings");
    file
}

/// A client that sends increments on one stream.
struct Client {
    engine: Engine,
    connection: ConnId,
    stream: StreamId,
    deframer: Deframer,
    responses: Vec<AddResponse>,
    is_stream_closed: bool,
}

impl Client {
    fn new(address: SocketAddr) -> Client {
        let mut engine = Engine::new().expect("a poll handle");
        let connection = engine
            .connect(address, Limits::default())
            .expect("a connection");
        let deadline = Instant::now() + TIMEOUT;
        let mut events = Vec::new();
        while !events
            .iter()
            .any(|event| matches!(event, Event::Connected { .. }))
        {
            assert!(Instant::now() < deadline, "a connection in time");
            engine
                .turn(MAX_TURN_WAIT_MICROS, &mut events)
                .expect("a turn");
        }
        let head = grpc::request_head(&address.to_string(), ADDS_PATH).expect("a head");
        let stream = engine
            .open_stream(connection, head, false)
            .expect("a stream");
        Client {
            engine,
            connection,
            stream,
            deframer: Deframer::default(),
            responses: Vec::new(),
            is_stream_closed: false,
        }
    }

    fn send(&mut self, increments: impl IntoIterator<Item = AddRequest>) {
        let mut frames = Vec::new();
        for increment in increments {
            frames.extend_from_slice(&grpc::frame(&increment.encode_to_vec()));
        }
        self.engine.send(self.stream, frames.into());
    }

    fn wait_for_responses(&mut self, count: usize) {
        self.wait_until("responses", |client| client.responses.len() == count);
    }

    fn wait_until(&mut self, what: &str, is_met: impl Fn(&Client) -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        let mut events = Vec::new();
        while !is_met(self) {
            assert!(Instant::now() < deadline, "not in time: {what}");
            self.engine
                .turn(MAX_TURN_WAIT_MICROS, &mut events)
                .expect("a turn");
            for event in events.drain(..) {
                self.on_event(event);
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                self.deframer.push(&data);
                while let Some(message) = self.deframer.next(1_024).expect("frames") {
                    let response = AddResponse::decode(&message[..]).expect("a response");
                    self.responses.push(response);
                }
            }
            Event::StreamEnded { .. } | Event::StreamFailed { .. } => self.is_stream_closed = true,
            Event::Closed { conn, .. } if conn == self.connection => self.is_stream_closed = true,
            _ => {}
        }
    }

    fn count_with_status(&self, code: Code) -> usize {
        let responses = self.responses.iter();
        responses
            .filter(|response| response.status == code as i32)
            .count()
    }

    fn status_of(&self, number: u64) -> Option<i32> {
        let response = self
            .responses
            .iter()
            .find(|response| response.number == number)?;
        Some(response.status)
    }
}

fn increment(number: u64, name: u64, amount: f64) -> AddRequest {
    AddRequest {
        name,
        amount,
        lifetime_us: 1_000_000_000,
        number,
        caller: 5,
    }
}

fn assert_folder_is_locked(args: &[&str]) {
    let output = run(args);
    assert!(
        !output.status.success() && text(&output.stderr).contains("another process holds"),
        "{output:?}"
    );
}

#[test]
fn counter_is_stopped_then_tools_and_the_next_start_find_its_totals() {
    let folder = temporary_folder("drain");
    let config = write_settings(&folder, 1, "");
    let mut program = Program::start(&config);
    let mut client = Client::new(program.partitions[0]);
    client.send((1..=300).map(|number| increment(number, number % 3, 1.0)));
    client.wait_for_responses(300);
    let first = client.responses[0];
    assert_eq!((first.status, first.total, first.epoch), (0, 1.0, 1));

    let partition_folder = folder.join("log/part-0").display().to_string();
    assert_folder_is_locked(&["log", "verify", &partition_folder]);
    assert_folder_is_locked(&["serve", &config.display().to_string()]);
    let top = run(&["top", &program.admin[0].to_string()]);
    assert!(text(&top.stdout).contains("0000000000000001"), "{top:?}");

    assert!(program.stop(), "a drain ends with success");
    let verify = text(&run(&["log", "verify", &partition_folder]).stdout);
    assert!(
        verify.contains("position 300 names 3; snapshot at 300, 0 adds replayed"),
        "{verify}"
    );
    let replay = text(&run(&["log", "replay", &partition_folder]).stdout);
    assert_eq!(replay.matches(" 100 until").count(), 3, "{replay}");
    let dump = text(&run(&["log", "dump", &partition_folder]).stdout);
    assert!(dump.contains("caller 5 number 300"), "{dump}");
    assert!(run(&["log", "compact", &partition_folder]).status.success());

    let program = Program::start(&config);
    let mut client = Client::new(program.partitions[0]);
    client.send([increment(1, 1, 1.0), increment(301, 1, 1.0)]);
    client.wait_for_responses(2);
    let totals: Vec<f64> = client
        .responses
        .iter()
        .map(|response| response.total)
        .collect();
    assert_eq!(
        totals,
        [1.0, 101.0],
        "a repeated increment gets the same total; a new one is added"
    );
    assert_eq!(client.responses[0].incarnation, first.incarnation);
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn segment_is_damaged_then_start_fails_and_names_the_place() {
    let folder = temporary_folder("damage");
    let config = write_settings(&folder, 1, "");
    let program = Program::start(&config);
    let mut client = Client::new(program.partitions[0]);
    for number in 1..=5 {
        client.send([increment(number, number, 1.0)]);
        client.wait_for_responses(number as usize);
    }
    drop(program);
    let segment = std::fs::read_dir(folder.join("log/part-0"))
        .expect("files")
        .filter_map(Result::ok)
        .map(|entry| entry.path())
        .find(|path| path.display().to_string().contains("segment-"))
        .expect("a segment");
    let mut bytes = std::fs::read(&segment).expect("bytes");
    bytes[60] ^= 1;
    std::fs::write(&segment, &bytes).expect("damage");
    let start = run(&["serve", &config.display().to_string()]);
    let message = text(&start.stderr);
    assert!(
        !start.status.success() && message.contains("segment-") && message.contains("offset"),
        "{message}"
    );
    assert_eq!(
        std::fs::read(&segment).expect("bytes"),
        bytes,
        "nothing was changed"
    );
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn limits_are_reached_then_increments_are_rejected() {
    let folder = temporary_folder("bounds");
    let config = write_settings(&folder, 1, "waiting: 400 names: 10");
    let program = Program::start(&config);
    let mut client = Client::new(program.partitions[0]);
    client.send((1..=5_000).map(|number| increment(number, number % 3, 1.0)));
    client.wait_for_responses(5_000);
    let rejected = client.count_with_status(Code::ResourceExhausted);
    let counted = client.count_with_status(Code::Ok);
    assert!(
        rejected > 0 && counted >= 100 && rejected + counted == 5_000,
        "{rejected} rejected, {counted} counted"
    );

    client.responses.clear();
    client.send((6_000..6_020).map(|number| increment(number, number, 1.0)));
    client.wait_for_responses(20);
    assert_eq!(
        client.count_with_status(Code::ResourceExhausted),
        0,
        "one batch may exceed the limit of names"
    );
    client.responses.clear();
    client.send([
        increment(7_000, 9_999, 1.0),
        increment(7_001, 1, f64::NAN),
        increment(7_002, 1, 1.0),
    ]);
    client.wait_for_responses(3);
    assert_eq!(
        (
            client.status_of(7_000),
            client.status_of(7_001),
            client.status_of(7_002)
        ),
        (Some(8), Some(3), Some(0))
    );
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn request_is_malformed_then_only_its_stream_ends() {
    let folder = temporary_folder("malformed");
    let config = write_settings(&folder, 1, "");
    let program = Program::start(&config);
    let mut client = Client::new(program.partitions[0]);
    let mut malformed = Client::new(program.partitions[0]);
    let frame = vec![0, 0, 0, 0, 3, 0xff, 0xff, 0xff];
    malformed.engine.send(malformed.stream, frame.into());
    malformed.wait_until("the end of the stream", |client| client.is_stream_closed);
    client.send([increment(1, 1, 0.0)]);
    client.wait_for_responses(1);
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against responses that are dropped when a client ends its side of the stream, as a client does that has sent everything.
#[test]
fn client_ends_its_stream_then_all_increments_answered_before_the_end() {
    let folder = temporary_folder("half-closed");
    let config = write_settings(&folder, 1, "");
    let program = Program::start(&config);
    for malformed in [&[][..], &[0, 0, 0, 0, 3, 0xff, 0xff, 0xff]] {
        let mut client = Client::new(program.partitions[0]);
        client.send((1..=500).map(|number| increment(number, number % 3, 1.0)));
        client.engine.send(client.stream, malformed.to_vec().into());
        client.engine.finish(client.stream, None);
        client.wait_until("the end of the stream", |client| client.is_stream_closed);
        assert_eq!(client.responses.len(), 500);
    }
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn counter_has_two_partitions_then_they_count_separately() {
    let folder = temporary_folder("parts");
    let config = write_settings(&folder, 2, "");
    let mut program = Program::start(&config);
    assert_eq!((program.partitions.len(), program.admin.len()), (2, 2));
    for partition in program.partitions.clone() {
        let mut client = Client::new(partition);
        client.send([increment(1, 1, 1.0)]);
        client.wait_for_responses(1);
        assert_eq!(client.responses[0].total, 1.0);
    }
    assert!(program.stop());
    let _ = std::fs::remove_dir_all(&folder);
}
