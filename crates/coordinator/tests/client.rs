//! Tests of the blocking client against replicas that answer late or not at all.

use chalkdeck_coordinator::client::CoordinatorClient;
use chalkdeck_coordinator::protocol::{
    wire, CommandKind, CommandResponse, ReadRequest, ReadResponse, ResponseCode,
};
use chalkdeck_coordinator::state::HIT_TOTALS_ELECTION;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::{Engine, Event, Limits, StreamId};
use chalkdeck_time::TimeDelta;
use prost::Message;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The end of the path of a read.
const READ_METHOD: &str = "/Look";

/// How long a replica takes to answer.
#[derive(Clone, Copy)]
enum Answers {
    After(Duration),
    Never,
    /// Never on the first connection, at once on later ones.
    OnLaterConnections,
}

/// A thread that answers every call like a replica.
struct FakeReplica {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FakeReplica {
    fn start(answers: Answers) -> FakeReplica {
        let mut engine = Engine::new().expect("a poll handle");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (_, address) = engine
            .listen(any, Limits::default(), false, false)
            .expect("a free port");
        let requests = Arc::<AtomicUsize>::default();
        let is_stopped = Arc::<AtomicBool>::default();
        let thread = std::thread::spawn({
            let (requests, is_stopped) = (requests.clone(), is_stopped.clone());
            move || serve(&mut engine, answers, &requests, &is_stopped)
        });
        FakeReplica {
            address,
            requests,
            is_stopped,
            thread: Some(thread),
        }
    }

    fn request_count(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

impl Drop for FakeReplica {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the replica's thread");
        }
    }
}

fn serve(engine: &mut Engine, answers: Answers, requests: &AtomicUsize, is_stopped: &AtomicBool) {
    const MAX_TURN_WAIT_MICROS: u64 = 5_000;
    let mut due: Vec<(Instant, StreamId, bool)> = Vec::new();
    let mut events = Vec::new();
    let mut paths = std::collections::HashMap::new();
    let mut connection_count = 0;
    while !is_stopped.load(Ordering::Relaxed) {
        engine
            .turn(MAX_TURN_WAIT_MICROS, &mut events)
            .expect("a turn");
        for event in events.drain(..) {
            match event {
                Event::Accepted { .. } => connection_count += 1,
                Event::StreamOpened { stream, head, .. } => {
                    paths.insert(stream, head.uri.path().ends_with(READ_METHOD));
                }
                Event::Data { stream, data } => engine.consume(stream, data.len()),
                Event::StreamEnded { stream, .. } => {
                    requests.fetch_add(1, Ordering::Relaxed);
                    let is_read = paths.remove(&stream).unwrap_or(false);
                    let delay = match answers {
                        Answers::After(delay) => Some(delay),
                        Answers::OnLaterConnections if connection_count > 1 => Some(Duration::ZERO),
                        Answers::Never | Answers::OnLaterConnections => None,
                    };
                    due.extend(delay.map(|delay| (Instant::now() + delay, stream, is_read)));
                }
                _ => {}
            }
        }
        due.retain(|(at, stream, is_read)| {
            let is_due = Instant::now() >= *at;
            if is_due {
                answer(engine, *stream, *is_read);
            }
            !is_due
        });
    }
}

fn answer(engine: &mut Engine, stream: StreamId, is_read: bool) {
    let body = if is_read {
        let response = ReadResponse {
            configuration: 1,
            ..ReadResponse::default()
        };
        response.encode_to_vec()
    } else {
        let response = CommandResponse {
            code: ResponseCode::Done as i32,
            ..CommandResponse::default()
        };
        response.encode_to_vec()
    };
    engine.respond(stream, grpc::response_head(), false);
    engine.send(stream, grpc::frame(&body));
    engine.finish(stream, Some(grpc::trailers(Code::Ok, "")));
}

fn client(replicas: &[FakeReplica]) -> CoordinatorClient {
    let addresses = replicas.iter().map(|replica| replica.address).collect();
    CoordinatorClient::new(addresses).expect("a poll handle")
}

fn ensure_election() -> CommandKind {
    CommandKind::EnsureElection(wire::EnsureElection {
        election: HIT_TOTALS_ELECTION.into(),
    })
}

fn seconds(seconds: u64) -> TimeDelta {
    TimeDelta::from_secs(seconds)
}

/// Guards against commands and reads that are sent again and again and never heard, because each answer comes after the next replica
/// was asked.
#[test]
fn replicas_always_answer_after_the_next_one_is_asked_then_their_answers_count() {
    let late = Answers::After(Duration::from_millis(2_400));
    let replicas = [late, late, late].map(FakeReplica::start);
    let mut client = client(&replicas);
    client
        .submit(ensure_election(), seconds(10))
        .expect("the command is applied");
    let asked: usize = replicas.iter().map(FakeReplica::request_count).sum();
    assert!(asked <= 2, "{asked} requests for one answer");
    let read = client.read(&ReadRequest::default(), seconds(10));
    assert_eq!(read.expect("an answer").configuration, 1);
}

/// Guards against a late answer of the only replica that is asked.
#[test]
fn single_replica_answers_after_it_is_asked_again_then_its_first_answer_counts() {
    let replicas = [FakeReplica::start(Answers::After(Duration::from_millis(
        3_800,
    )))];
    let mut client = client(&replicas);
    let read = client.read_replica(0, &ReadRequest::default(), seconds(10));
    assert!(read.expect("a poll handle").is_some());
    assert!(replicas[0].request_count() <= 3);
}

/// Guards against waiting for silent replicas or connections until the deadline.
#[test]
fn replicas_or_their_connections_are_silent_then_others_are_asked() {
    let mut silent = [
        Answers::Never,
        Answers::Never,
        Answers::After(Duration::ZERO),
    ];
    for _ in 0..3 {
        silent.rotate_left(1);
        let replicas = silent.map(FakeReplica::start);
        let begun = Instant::now();
        client(&replicas)
            .submit(ensure_election(), seconds(10))
            .expect("the command is applied");
        assert!(begun.elapsed() < Duration::from_secs(4));
    }
    let replicas = [FakeReplica::start(Answers::OnLaterConnections)];
    let begun = Instant::now();
    client(&replicas)
        .submit(ensure_election(), seconds(10))
        .expect("the command is applied");
    assert!(begun.elapsed() < Duration::from_secs(3));
}
