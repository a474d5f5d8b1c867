//! Shutdown while clients go on sending: the gateway answers every call that it accepted, and the client learns which calls were
//! not accepted.
mod common;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::StreamError;
use common::*;
use fastrand::Rng;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn calls_during_shutdown_are_answered_or_known_not_to_have_run() {
    for seed in 0..150 {
        let mut rng = Rng::with_seed(seed);
        let mut harness = Harness::new(1);
        let (mut calls, mut served, shutdown_step) = (Vec::new(), 0, rng.usize(0..12));
        for step in 0..2_000 {
            if rng.bool() {
                let mut head = grpc::request_head("gateway", VIEW).expect("a head");
                head.headers_mut()
                    .insert("x-customer", "someone".parse().expect("a value"));
                if let Some(call) =
                    harness
                        .client
                        .engine
                        .open_stream(harness.connection, head, false)
                {
                    harness.client.engine.send(call, grpc::frame(b"ask"));
                    harness.client.engine.finish(call, None);
                    calls.push(call);
                }
            }
            if step == shutdown_step {
                harness.gateway.shut_down();
            }
            harness.turn();
            while served < harness.servers.incoming_streams.len() && rng.bool() {
                let stream = harness.servers.incoming_streams[served];
                harness.servers.answer(stream, b"fine");
                served += 1;
            }
            if harness.gateway.is_shut_down() {
                break;
            }
        }
        assert!(harness.gateway.is_shut_down(), "seed {seed}");
        // The gateway does not run any more; only the client reads what it was sent.
        (0..20).for_each(|_| harness.client.turn());
        for call in calls {
            let received = harness.client_stream(call);
            let is_known = received.is_some_and(|s| {
                s.code() == Some(Code::Ok)
                    || matches!(s.error, Some(StreamError::GoneAway | StreamError::Refused))
            });
            assert!(is_known, "seed {seed}: {call:?} received {received:?}");
        }
    }
}

#[test]
fn connection_in_its_handshake_is_closed_by_a_shutdown() {
    let mut harness = Harness::new(1);
    let connecting = harness.client.connect(harness.gateway.listen_address());
    harness.gateway.shut_down();
    harness.turn_until("the shutdown", |h| h.gateway.is_shut_down());
    harness.turn_until("the end of the connection", |h| {
        h.client.closed_connections.contains(&connecting)
    });
}

const COMMAND: &[u8] =
    b"*5\r\n$11\r\nCL.THROTTLE\r\n$7\r\nsomeone\r\n$1\r\n9\r\n$2\r\n99\r\n$2\r\n60\r\n";

/// A client of the RESP port that pipelines commands and sends them in pieces.
struct RespClient {
    stream: TcpStream,
    sent_bytes: usize,
    received: Vec<u8>,
    is_closed: bool,
}

impl RespClient {
    fn read_and_write(&mut self, rng: &mut Rng) {
        let mut buffer = [0; 1024];
        match self.stream.read(&mut buffer) {
            Ok(0) => self.is_closed = true,
            Ok(n) => self.received.extend_from_slice(&buffer[..n]),
            Err(e) => self.is_closed = e.kind() != ErrorKind::WouldBlock,
        }
        // At most two commands are unanswered, so that the client is sometimes between two commands.
        if !self.is_closed
            && (!self.sent_bytes.is_multiple_of(COMMAND.len())
                || self.sent_bytes / COMMAND.len() < self.answer_count() + 2)
        {
            let mut rest = COMMAND.to_vec().split_off(self.sent_bytes % COMMAND.len());
            rest.truncate(rng.usize(1..=rest.len()));
            self.sent_bytes += self.stream.write(&rest).unwrap_or(0);
        }
    }
    fn answer_count(&self) -> usize {
        self.received.windows(4).filter(|w| w == b"*5\r\n").count()
    }
    /// Whether the connection was reset, which tells the client that the gateway did not read all commands.
    fn is_reset(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(5);
        while matches!(self.stream.take_error(), Ok(None)) {
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        true
    }
}

#[test]
fn resp_commands_that_were_read_are_answered_before_the_shutdown_ends() {
    let edits = [(
        "plans { name: \"free\" }",
        "plans { name: \"free\" }\nresp { listen: \"127.0.0.1:0\" class: \"buy\" }",
    )];
    for seed in 0..150 {
        let mut rng = Rng::with_seed(seed);
        let mut harness = Harness::with_settings(1, CounterBehavior::Answers, &edits);
        let address = harness.gateway.resp_address().expect("a RESP port");
        let connect = |_| {
            let stream = TcpStream::connect(address).expect("a connection");
            stream
                .set_nonblocking(true)
                .and_then(|()| stream.set_nodelay(true))
                .expect("a socket");
            RespClient {
                stream,
                sent_bytes: 0,
                received: Vec::new(),
                is_closed: false,
            }
        };
        let mut clients: Vec<RespClient> = (0..3).map(connect).collect();
        let shutdown_step = rng.usize(0..20);
        for step in 0..5_000 {
            clients
                .iter_mut()
                .for_each(|client| client.read_and_write(&mut rng));
            if step == shutdown_step {
                harness.gateway.shut_down();
            }
            harness.turn();
            if harness.gateway.is_shut_down() {
                break;
            }
        }
        assert!(harness.gateway.is_shut_down(), "seed {seed}");
        drop(harness);
        for client in &mut clients {
            while !client.is_closed {
                client.read_and_write(&mut rng);
            }
            let (sent, answers) = (client.sent_bytes, client.answer_count());
            let all_answered = sent == answers * COMMAND.len();
            assert!(
                all_answered || client.is_reset(),
                "seed {seed}: {sent} bytes sent, {answers} answers, no reset"
            );
        }
    }
}
