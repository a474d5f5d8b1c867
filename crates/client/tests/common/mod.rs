//! A fake gateway that a test runs on its own thread, and helpers to start clients and calls.
#![allow(dead_code, reason = "each test uses a part of it")]

use bytes::Bytes;
use chalkdeck_client::{Call, Client, Idempotency, Reply, Settings, TimeDelta};
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::{Engine, Event, Limits, ListenerId, StreamId};
use http::{HeaderMap, HeaderValue};
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Maximum time that a test waits for an event.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time that one turn of the event loop waits for events, in microseconds.
const MAX_TURN_WAIT_MICROS: u64 = 500;

/// A keyed call whose key window is longer than the calls of a test.
pub const KEYED: Idempotency = Idempotency::Keyed {
    key_window: TimeDelta::from_secs(5),
};

/// An attempt that the gateway received.
pub struct ReceivedAttempt {
    pub stream: StreamId,
    pub headers: HeaderMap,
}

/// Whether the gateway consumes received data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    Consuming,
    /// It releases no flow-control capacity.
    Stalled,
}

/// A fake gateway whose responses the test decides.
pub struct ScriptedGateway {
    pub engine: Engine,
    pub listener: ListenerId,
    pub address: SocketAddr,
    pub received: Vec<ReceivedAttempt>,
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
        self.engine
            .turn(MAX_TURN_WAIT_MICROS, &mut events)
            .expect("a turn");
        for event in events {
            match event {
                Event::StreamOpened { stream, head, .. } => {
                    let headers = head.headers.clone();
                    self.received.push(ReceivedAttempt { stream, headers });
                }
                Event::Data { stream, data } if self.reading == Reading::Consuming => {
                    self.engine.consume(stream, data.len());
                }
                _ => {}
            }
        }
    }

    /// Runs until `count` attempts were received.
    pub fn wait_for_attempts(&mut self, count: usize) {
        let deadline = Instant::now() + TIMEOUT;
        while self.received.len() < count {
            assert!(
                Instant::now() < deadline,
                "timed out waiting for {count} attempts, {} received",
                self.received.len()
            );
            self.turn();
        }
        assert_eq!(self.received.len(), count, "more attempts than expected");
    }

    /// Runs until the channel has an item, and returns it.
    pub fn wait_for<T>(&mut self, receiver: &Receiver<T>) -> T {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            self.turn();
            if let Ok(item) = receiver.try_recv() {
                return item;
            }
            assert!(Instant::now() < deadline, "timed out waiting for an item");
        }
    }

    /// Answers an attempt with a message.
    pub fn answer(&mut self, attempt: usize) {
        let stream = self.received[attempt].stream;
        self.engine.respond(stream, grpc::response_head(), false);
        self.engine.send(stream, grpc::frame(b"fine"));
        self.engine
            .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    }

    /// Rejects an attempt with a pushback.
    pub fn reject(&mut self, attempt: usize, pushback: &'static str) {
        let mut trailers = grpc::trailers(Code::ResourceExhausted, "over the quota");
        trailers.insert(grpc::RETRY_PUSHBACK, HeaderValue::from_static(pushback));
        self.respond_with_trailers(attempt, trailers);
    }

    /// Answers an attempt with a trailers-only response.
    pub fn respond_with_trailers(&mut self, attempt: usize, trailers: HeaderMap) {
        let stream = self.received[attempt].stream;
        self.engine
            .respond(stream, grpc::trailers_only(trailers), true);
    }

    /// Resets an attempt, so that it may have run.
    pub fn reset(&mut self, attempt: usize) {
        let stream = self.received[attempt].stream;
        self.engine.reset(stream, h2::Reason::INTERNAL_ERROR);
    }

    /// Drains the listener's connections: they close once their streams have ended.
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

/// Starts a call and returns the receiver of its reply.
pub fn start_call(client: &Client, call: Call) -> Receiver<Reply> {
    let (sender, replies) = std::sync::mpsc::channel();
    client.start_call(call, move |reply| {
        let _ = sender.send(reply);
    });
    replies
}
