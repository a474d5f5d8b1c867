//! A gateway that a test plays in its own thread.
#![allow(dead_code, reason = "each test uses a part of it")]

use bytes::Bytes;
use chalkdeck_client::{Call, Client, Idempotency, Reply, Settings, TimeDelta};
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::{Engine, Event, Limits, ListenerId, StreamId};
use http::{HeaderMap, HeaderValue};
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// How long a test waits for something.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait of a turn in microseconds.
const TURN_WAIT: u64 = 500;

/// A keyed call whose key outlasts a test's calls.
pub const KEYED: Idempotency = Idempotency::Keyed {
    key_window: TimeDelta::from_secs(5),
};

/// An attempt that a gateway received.
pub struct Received {
    pub stream: StreamId,
    pub headers: HeaderMap,
}

/// Whether a gateway consumes what it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    Consuming,
    /// It gives no flow-control window back.
    Stalled,
}

/// A gateway that the test plays.
pub struct ScriptedGateway {
    pub engine: Engine,
    pub listener: ListenerId,
    pub address: SocketAddr,
    pub received: Vec<Received>,
    pub reading: Reading,
}

impl ScriptedGateway {
    pub fn new() -> ScriptedGateway {
        ScriptedGateway::listen(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub fn listen(address: SocketAddr) -> ScriptedGateway {
        let mut engine = Engine::new().expect("a poll handle");
        let (listener, address) = engine
            .listen(address, Limits::default(), false, false)
            .expect("the port");
        ScriptedGateway {
            engine,
            listener,
            address,
            received: Vec::new(),
            reading: Reading::Consuming,
        }
    }

    pub fn turn(&mut self) {
        let mut events = Vec::new();
        self.engine.turn(TURN_WAIT, &mut events).expect("a turn");
        for event in events {
            match event {
                Event::Opened { stream, head, .. } => {
                    let headers = head.headers.clone();
                    self.received.push(Received { stream, headers });
                }
                Event::Data { stream, data } if self.reading == Reading::Consuming => {
                    self.engine.consume(stream, data.len());
                }
                _ => {}
            }
        }
    }

    /// Runs until so many attempts were received.
    pub fn wait_for_attempts(&mut self, count: usize) {
        let deadline = Instant::now() + TIMEOUT;
        while self.received.len() < count {
            assert!(
                Instant::now() < deadline,
                "not in time: {count} attempts, {} received",
                self.received.len()
            );
            self.turn();
        }
        assert_eq!(self.received.len(), count, "no more than these");
    }

    /// Runs until a channel has something.
    pub fn wait_for<T>(&mut self, receiver: &Receiver<T>) -> T {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            self.turn();
            if let Ok(item) = receiver.try_recv() {
                return item;
            }
            assert!(Instant::now() < deadline, "nothing arrived in time");
        }
    }

    /// Answers an attempt.
    pub fn answer(&mut self, attempt: usize) {
        let stream = self.received[attempt].stream;
        self.engine.respond(stream, grpc::response_head(), false);
        self.engine.send(stream, grpc::frame(b"fine"));
        self.engine
            .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    }

    /// Rejects an attempt.
    pub fn reject(&mut self, attempt: usize, pushback: &'static str) {
        let mut trailers = grpc::trailers(Code::ResourceExhausted, "over the quota");
        trailers.insert(grpc::RETRY_PUSHBACK, HeaderValue::from_static(pushback));
        self.respond_with_trailers(attempt, trailers);
    }

    /// Answers an attempt with trailers only.
    pub fn respond_with_trailers(&mut self, attempt: usize, trailers: HeaderMap) {
        let stream = self.received[attempt].stream;
        self.engine
            .respond(stream, grpc::trailers_only(trailers), true);
    }

    /// Resets an attempt, which may have run then.
    pub fn reset(&mut self, attempt: usize) {
        let stream = self.received[attempt].stream;
        self.engine.reset(stream, h2::Reason::INTERNAL_ERROR);
    }

    /// Closes the listener's connections once their streams have ended.
    pub fn drain(&mut self) {
        self.engine.drain(self.listener);
    }
}

pub fn call(idempotency: Idempotency, timeout_millis: u64) -> Call {
    Call {
        path: "/farm.v1.Farm/Sell".into(),
        message: Bytes::from_static(b"ask"),
        metadata: vec![("x-customer".into(), "someone".into())],
        idempotency,
        key: None,
        timeout: Duration::from_millis(timeout_millis),
    }
}

pub fn start_client(gateway: &ScriptedGateway) -> Client {
    start_client_with(Settings::default(), gateway)
}

pub fn start_client_with(settings: Settings, gateway: &ScriptedGateway) -> Client {
    Client::start(settings, vec![gateway.address]).expect("a client")
}

/// Starts a call whose reply arrives at the receiver.
pub fn start_call(client: &Client, call: Call) -> Receiver<Reply> {
    let (sender, replies) = std::sync::mpsc::channel();
    client.start_call(call, move |reply| {
        let _ = sender.send(reply);
    });
    replies
}
