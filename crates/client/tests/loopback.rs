//! The client over sockets, against gateways that are scripted in this thread.
use bytes::Bytes;
use chalkdeck_client::{Call, Client, Outcome, Repeat, Reply, Settings, StreamEvent};
use chalkdeck_net::clock::{Clock, Jumps};
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::{Engine, Event, Limits, ListenerId, StreamId};
use http::{HeaderMap, HeaderValue};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A gateway that the test plays.
struct Gateway {
    engine: Engine,
    listener: ListenerId,
    address: SocketAddr,
    asked: Vec<(StreamId, HeaderMap)>,
    /// It gives no window back.
    slow: bool,
}

impl Gateway {
    fn new() -> Gateway {
        let mut engine = Engine::new().expect("a poll handle");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (listener, address) = engine
            .listen(any, Limits::default(), false, false)
            .expect("a port");
        Gateway {
            engine,
            listener,
            address,
            asked: Vec::new(),
            slow: false,
        }
    }
    fn turn(&mut self) {
        let mut events = Vec::new();
        self.engine.turn(500, &mut events).expect("a turn");
        for event in events {
            match event {
                Event::Opened { stream, head, .. } => {
                    self.asked.push((stream, head.headers.clone()))
                }
                Event::Data { stream, data } if !self.slow => {
                    self.engine.consume(stream, data.len())
                }
                _ => {}
            }
        }
    }
    fn until(&mut self, what: &str, holds: impl Fn(&Gateway) -> bool) {
        let end = Instant::now() + Duration::from_secs(20);
        while !holds(self) {
            assert!(Instant::now() < end, "not in time: {what}");
            self.turn();
        }
    }
    fn reply(&mut self, replies: &Receiver<Reply>) -> Reply {
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            self.turn();
            if let Ok(reply) = replies.try_recv() {
                return reply;
            }
            assert!(Instant::now() < end, "no reply in time");
        }
    }
    fn answer(&mut self, i: usize) {
        let stream = self.asked[i].0;
        self.engine.respond(stream, grpc::head(), false);
        self.engine.send(stream, grpc::frame(b"fine"));
        self.engine
            .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    }
    fn refuse(&mut self, i: usize, pushback: &'static str) {
        let mut trailers = grpc::trailers(Code::ResourceExhausted, "over the quota");
        trailers.insert(grpc::PUSHBACK, HeaderValue::from_static(pushback));
        self.engine
            .respond(self.asked[i].0, grpc::trailers_only(trailers), true);
    }
}

fn call(repeat: Repeat, millis: u64) -> Call {
    Call {
        path: "/farm.v1.Farm/Sell".into(),
        message: Bytes::from_static(b"ask"),
        metadata: vec![("x-customer".into(), "someone".into())],
        repeat,
        key: None,
        timeout: Duration::from_millis(millis),
    }
}

fn start(gateway: &Gateway) -> Client {
    Client::start(Settings::default(), vec![gateway.address]).expect("a client")
}

const KEYED: Repeat = Repeat::Keyed { window: 5_000_000 };

#[test]
fn a_keyed_call_goes_again_under_its_first_key_and_says_so() {
    let mut gateway = Gateway::new();
    let client = start(&gateway);
    let (tx, replies) = channel();
    client.begin(call(KEYED, 5_000), move |r| drop(tx.send(r)));
    gateway.until("a try", |g| g.asked.len() == 1);
    gateway
        .engine
        .reset(gateway.asked[0].0, h2::Reason::INTERNAL_ERROR);
    gateway.until("a second try", |g| g.asked.len() == 2);
    let heads: Vec<&HeaderMap> = gateway.asked.iter().map(|a| &a.1).collect();
    assert_eq!(heads[0]["x-idempotency-key"], heads[1]["x-idempotency-key"]);
    assert_eq!(heads[0]["x-idempotency-key"].len(), 32);
    assert_eq!(
        (
            heads[0].get(grpc::ATTEMPTS),
            heads[1][grpc::ATTEMPTS].as_bytes()
        ),
        (None, &b"1"[..])
    );
    let left = |h: &HeaderMap| {
        h[grpc::TIMEOUT]
            .to_str()
            .ok()
            .and_then(grpc::parse_timeout)
            .expect("a timeout")
    };
    assert!(
        left(heads[1]) < left(heads[0]),
        "one deadline over all tries"
    );
    gateway.answer(1);
    let reply = gateway.reply(&replies);
    assert_eq!(
        (reply.outcome, reply.tries, reply.message),
        (Outcome::Answered, 2, Some(Bytes::from_static(b"fine")))
    );
}

#[test]
fn pushback_of_all_kinds() {
    for (pushback, outcome) in [
        ("31536000000", Outcome::Refused(Some(31_536_000_000_000))),
        ("99999999999999999999", Outcome::Refused(None)),
    ] {
        let mut gateway = Gateway::new();
        let client = Client::start(
            Settings {
                tries: 1,
                ..Settings::default()
            },
            vec![gateway.address],
        )
        .expect("a client");
        let (tx, replies) = channel();
        client.begin(call(Repeat::Unsafe, 5_000), move |r| drop(tx.send(r)));
        gateway.until("a try", |g| g.asked.len() == 1);
        gateway.refuse(0, pushback);
        assert_eq!(gateway.reply(&replies).outcome, outcome);
    }
    for pushback in ["0", "-1", "soon"] {
        let mut gateway = Gateway::new();
        let client = start(&gateway);
        let (tx, replies) = channel();
        client.begin(call(Repeat::Unsafe, 5_000), move |r| drop(tx.send(r)));
        gateway.until("a try", |g| g.asked.len() == 1);
        gateway.refuse(0, pushback);
        gateway.until("a second try", |g| g.asked.len() == 2);
        gateway.answer(1);
        assert_eq!(
            gateway.reply(&replies).outcome,
            Outcome::Answered,
            "{pushback}"
        );
    }
}

#[test]
fn unavailable_without_proof_ends_an_unsafe_call_and_with_it_does_not() {
    for (unprocessed, tries) in [(false, 1), (true, 2)] {
        let mut gateway = Gateway::new();
        let client = start(&gateway);
        let (tx, replies) = channel();
        client.begin(call(Repeat::Unsafe, 5_000), move |r| drop(tx.send(r)));
        gateway.until("a try", |g| g.asked.len() == 1);
        let mut trailers = grpc::trailers(Code::Unavailable, "away");
        if unprocessed {
            trailers.insert("x-chalkdeck-unprocessed", HeaderValue::from_static("1"));
        }
        gateway
            .engine
            .respond(gateway.asked[0].0, grpc::trailers_only(trailers), true);
        if tries == 2 {
            gateway.until("a second try", |g| g.asked.len() == 2);
            gateway.answer(1);
        }
        let reply = gateway.reply(&replies);
        let outcome = if tries == 2 {
            Outcome::Answered
        } else {
            Outcome::Failed
        };
        assert_eq!((reply.outcome, reply.tries), (outcome, tries));
    }
}

#[test]
fn a_gateway_that_dies_with_many_calls_open_loses_none_of_them() {
    let mut gateway = Gateway::new();
    let client = start(&gateway);
    let (tx, replies) = channel();
    for i in 0..500 {
        let (tx, repeat) = (tx.clone(), if i % 2 == 0 { KEYED } else { Repeat::Unsafe });
        client.begin(call(repeat, 3_000), move |r| drop(tx.send((i, r))));
    }
    gateway.until("all tries", |g| g.asked.len() == 500);
    let keys = |g: &Gateway| -> Vec<Vec<u8>> {
        g.asked
            .iter()
            .filter_map(|a| a.1.get("x-idempotency-key").map(|k| k.as_bytes().to_vec()))
            .collect()
    };
    let first: std::collections::HashSet<Vec<u8>> = keys(&gateway).into_iter().collect();
    // All connections end; the gateway comes back at the same address.
    let address = gateway.address;
    drop(gateway);
    let mut engine = Engine::new().expect("a poll handle");
    let (listener, address) = engine
        .listen(address, Limits::default(), false, false)
        .expect("the same port");
    let mut gateway = Gateway {
        engine,
        listener,
        address,
        asked: Vec::new(),
        slow: false,
    };
    let (mut ended, mut answered) = (std::collections::BTreeSet::new(), 0);
    let end = Instant::now() + Duration::from_secs(20);
    while ended.len() < 500 && Instant::now() < end {
        gateway.turn();
        while answered < gateway.asked.len() {
            gateway.answer(answered);
            answered += 1;
        }
        while let Ok((i, reply)) = replies.try_recv() {
            assert!(ended.insert(i), "call {i} ended twice");
            assert!(
                i % 2 == 0 || reply.outcome == Outcome::Failed,
                "an unsafe call is not sent again"
            );
        }
    }
    assert_eq!(ended.len(), 500);
    assert!(
        gateway.asked.len() <= 250 && !gateway.asked.is_empty(),
        "the budget bounds what goes again"
    );
    assert!(
        keys(&gateway).iter().all(|k| first.contains(k))
            && keys(&gateway).len() == gateway.asked.len()
    );
}

#[test]
fn goaway_moves_new_calls_to_a_new_connection() {
    let mut gateway = Gateway::new();
    let client = start(&gateway);
    let (tx, replies) = channel();
    let second = tx.clone();
    client.begin(call(Repeat::Unsafe, 5_000), move |r| drop(tx.send(r)));
    gateway.until("a try", |g| g.asked.len() == 1);
    gateway.engine.drain(gateway.listener);
    for _ in 0..20 {
        gateway.turn();
    }
    client.begin(call(Repeat::Unsafe, 5_000), move |r| drop(second.send(r)));
    gateway.answer(0);
    assert_eq!(gateway.reply(&replies).outcome, Outcome::Answered);
    gateway.until("the second call", |g| g.asked.len() == 2);
    gateway.answer(1);
    assert_eq!(gateway.reply(&replies).outcome, Outcome::Answered);
}

#[test]
fn a_blocking_call_ends_by_its_deadline_and_a_cancel_at_once() {
    let mut gateway = Gateway::new();
    let client = start(&gateway);
    let begin = Instant::now();
    let reply = client.call(call(Repeat::Safe, 200));
    assert!(matches!(reply.outcome, Outcome::Deadline { .. }));
    assert!(begin.elapsed() >= Duration::from_millis(190));
    let (tx, replies) = channel();
    let handle = client.begin(call(Repeat::Safe, 60_000), move |r| drop(tx.send(r)));
    gateway.until("a try", |g| !g.asked.is_empty());
    handle.cancel();
    assert_eq!(gateway.reply(&replies).outcome, Outcome::Cancelled);
}

#[test]
fn a_connection_gone_without_a_word_is_found_by_pings() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = silent.local_addr().expect("its address");
    let settings = Settings {
        keepalive: 100_000,
        tries: 1,
        ..Settings::default()
    };
    let client = Client::start(settings, vec![address]).expect("a client");
    let begin = Instant::now();
    let reply = client.call(call(Repeat::Unsafe, 30_000));
    assert_eq!(reply.outcome, Outcome::Failed, "it may have run");
    assert!(
        begin.elapsed() < Duration::from_secs(20),
        "long before the deadline"
    );
}

#[test]
fn too_many_open_calls_are_told_at_once() {
    let nobody = std::net::TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a free port");
    let settings = Settings {
        queue: 3,
        outstanding: 1,
        ..Settings::default()
    };
    let client = Client::start(settings, vec![nobody]).expect("a client");
    let (tx, replies) = channel();
    let begin = |tx: std::sync::mpsc::Sender<Reply>| {
        client.try_begin(call(Repeat::Safe, 300), move |r| drop(tx.send(r)))
    };
    let taken = (0..10).filter(|_| begin(tx.clone()).is_ok()).count();
    assert_eq!(taken, 4);
    for _ in 0..taken {
        replies
            .recv_timeout(Duration::from_secs(20))
            .expect("each of them ends");
    }
    assert!(begin(tx).is_ok(), "there is room again");
    let stats = client.stats();
    assert_eq!(stats.failed + stats.dropped + stats.refused, 4, "{stats:?}");
}

#[test]
fn a_stream_talks_both_ways_and_ends_once() {
    let mut gateway = Gateway::new();
    let client = start(&gateway);
    let (tx, heard) = channel();
    let stream = client
        .open(call(Repeat::Safe, 20_000), move |e| drop(tx.send(e)))
        .expect("room for a stream");
    gateway.until("the stream", |g| g.asked.len() == 1);
    let server = gateway.asked[0].0;
    gateway.engine.respond(server, grpc::head(), false);
    for i in 0..3 {
        stream
            .send(Bytes::from_static(b"ping"))
            .expect("room for a message");
        gateway.engine.send(server, grpc::frame(b"pong"));
        let end = Instant::now() + Duration::from_secs(20);
        let event = loop {
            gateway.turn();
            if let Ok(event) = heard.try_recv() {
                break event;
            }
            assert!(Instant::now() < end, "message {i}");
        };
        assert!(matches!(event, StreamEvent::Message(m) if &m[..] == b"pong"));
    }
    stream.finish();
    // It has started, so a reset ends it and it does not go again.
    gateway.engine.reset(server, h2::Reason::INTERNAL_ERROR);
    let end = Instant::now() + Duration::from_secs(20);
    let event = loop {
        gateway.turn();
        if let Ok(event) = heard.try_recv() {
            break event;
        }
        assert!(Instant::now() < end, "its end");
    };
    assert!(matches!(event, StreamEvent::End(r) if r.outcome == Outcome::Failed && r.tries == 1));
    assert_eq!(gateway.asked.len(), 1);
}

#[test]
fn a_stream_that_nobody_reads_takes_no_more_than_its_bound() {
    let mut gateway = Gateway::new();
    gateway.slow = true;
    let client = start(&gateway);
    let (tx, heard) = channel();
    let stream = client
        .open(call(Repeat::Safe, 20_000), move |e| drop(tx.send(e)))
        .expect("room for a stream");
    gateway.until("the stream", |g| g.asked.len() == 1);
    let message = Bytes::from(vec![1; 100_000]);
    let taken = (0..1_000)
        .take_while(|_| stream.send(message.clone()).is_ok())
        .count();
    assert!((10..100).contains(&taken), "{taken} messages of 100 kB");
    stream.cancel();
    let end = Instant::now() + Duration::from_secs(20);
    while !matches!(heard.try_recv(), Ok(StreamEvent::End(ref r)) if r.outcome == Outcome::Cancelled)
    {
        gateway.turn();
        assert!(Instant::now() < end, "its end");
    }
}

#[test]
fn gateways_of_a_file_are_read_again_and_a_broken_file_changes_nothing() {
    let (mut first, mut second) = (Gateway::new(), Gateway::new());
    let dir = std::env::temp_dir().join(format!("chalkdeck-client-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let file = dir.join("gateways");
    let write = |text: String| {
        std::fs::write(dir.join("new"), text)
            .and_then(|()| std::fs::rename(dir.join("new"), &file))
            .expect("a file");
    };
    write(format!("# the fleet\n{}\n", first.address));
    let settings = Settings {
        reconnect_first: 1_000,
        ..Settings::default()
    };
    let client = Client::start_with_file(settings, file.clone()).expect("a client");
    let (tx, replies) = channel();
    let begin = || {
        let tx = tx.clone();
        client.begin(call(Repeat::Unsafe, 20_000), move |r| drop(tx.send(r)));
    };
    begin();
    first.until("a call", |g| g.asked.len() == 1);
    first.answer(0);
    assert_eq!(first.reply(&replies).outcome, Outcome::Answered);
    write(format!("{}\nnowhere\n", second.address));
    for _ in 0..800 {
        first.turn();
    }
    begin();
    first.until("a call by the last good list", |g| g.asked.len() == 2);
    first.answer(1);
    assert_eq!(first.reply(&replies).outcome, Outcome::Answered);
    write(format!("{}\n", second.address));
    let end = Instant::now() + Duration::from_secs(20);
    while second.asked.is_empty() {
        assert!(Instant::now() < end, "calls go to the new gateway");
        begin();
        for _ in 0..50 {
            second.turn();
            first.turn();
        }
    }
    let _ = std::fs::remove_dir_all(&dir);
}

#[test]
fn a_storm_of_goaways_fails_no_call_and_a_dropped_handle_leaves_its_call() {
    let mut gateway = Gateway::new();
    let settings = Settings {
        reconnect_first: 1_000,
        ..Settings::default()
    };
    let client = Client::start(settings, vec![gateway.address]).expect("a client");
    let (tx, replies) = channel();
    let mut ended = 0;
    for i in 0..30 {
        let tx = tx.clone();
        drop(client.begin(call(Repeat::Unsafe, 20_000), move |r| drop(tx.send(r))));
        gateway.until("the call", |g| g.asked.len() > i);
        // Each call's connection goes away while the call is in flight.
        gateway.engine.drain(gateway.listener);
        gateway.answer(i);
        let reply = gateway.reply(&replies);
        assert_eq!(
            (reply.outcome, reply.tries),
            (Outcome::Answered, 1),
            "call {i}"
        );
        ended += 1;
    }
    assert_eq!(ended, 30);
    assert!(client.stats().connects > 1, "{:?}", client.stats());
}

#[test]
fn a_clock_that_jumps_ends_calls_late_at_most_by_their_own_time() {
    let mut gateway = Gateway::new();
    let jumps = Arc::new(Jumps::default());
    let clock = Clock::jumping(jumps.clone());
    let client = Client::start_with_clock(Settings::default(), vec![gateway.address], clock)
        .expect("a client");
    let (tx, replies) = channel();
    let ask = |repeat, millis| {
        let tx = tx.clone();
        client.begin(call(repeat, millis), move |r| drop(tx.send(r)));
    };
    ask(Repeat::Unsafe, 300);
    gateway.until("a try", |g| g.asked.len() == 1);
    jumps.jump(-3_600_000_000);
    let begun = Instant::now();
    assert_eq!(
        gateway.reply(&replies).outcome,
        Outcome::Deadline { sent: true }
    );
    assert!(
        begun.elapsed() < Duration::from_secs(10),
        "an hour back does not hold a deadline up"
    );

    ask(KEYED, 60_000);
    gateway.until("a try", |g| g.asked.len() == 2);
    jumps.jump(3_600_000_000);
    gateway
        .engine
        .reset(gateway.asked[1].0, h2::Reason::INTERNAL_ERROR);
    assert_eq!(
        gateway.reply(&replies).outcome,
        Outcome::Deadline { sent: true }
    );
    assert_eq!(
        gateway.asked.len(),
        2,
        "an hour on, the key's window is over"
    );

    ask(Repeat::Safe, 60_000);
    gateway.until("a call after the jumps", |g| g.asked.len() == 3);
    gateway.answer(2);
    assert_eq!(gateway.reply(&replies).outcome, Outcome::Answered);
}

#[test]
fn metrics_are_those_of_the_stats() {
    let mut gateway = Gateway::new();
    let client = start(&gateway);
    let mut registry = prometheus_client::registry::Registry::default();
    client.register(&mut registry);
    let (tx, replies) = channel();
    client.begin(call(Repeat::Safe, 5_000), move |r| drop(tx.send(r)));
    gateway.until("a try", |g| g.asked.len() == 1);
    gateway.answer(0);
    gateway.reply(&replies);
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry).expect("text");
    for line in [
        "chalkdeck_client_answered_total 1",
        "chalkdeck_client_tries_total 1",
        "chalkdeck_client_open 0",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
    assert_eq!(client.stats().answered, 1);
}
