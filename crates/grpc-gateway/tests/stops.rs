//! Stops under clients that go on sending: what a gateway took is answered, and what it did not take its client knows of.
mod common;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::StreamError;
use common::*;
use fastrand::Rng;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn calls_that_cross_a_stop_are_answered_or_known_not_to_have_run() {
    for seed in 0..150 {
        let mut rng = Rng::with_seed(seed);
        let mut rig = Rig::new(1);
        let (mut calls, mut served, stop_at) = (Vec::new(), 0, rng.usize(0..12));
        for step in 0..2_000 {
            if rng.bool() {
                let mut head = grpc::request("gateway", VIEW).expect("a head");
                head.headers_mut()
                    .insert("x-customer", "someone".parse().expect("a value"));
                if let Some(call) = rig.client.engine.open(rig.conn, head, false) {
                    rig.client.engine.send(call, grpc::frame(b"ask"));
                    rig.client.engine.finish(call, None);
                    calls.push(call);
                }
            }
            if step == stop_at {
                rig.gateway.shut_down();
            }
            rig.turn();
            while served < rig.servers.opened.len() && rng.bool() {
                let stream = rig.servers.opened[served];
                rig.servers.answer(stream, b"fine");
                served += 1;
            }
            if rig.gateway.is_shut_down() {
                break;
            }
        }
        assert!(rig.gateway.is_shut_down(), "seed {seed}");
        // From here on the gateway does not run any more.
        (0..20).for_each(|_| rig.client.turn());
        for call in calls {
            let seen = rig.heard(call);
            let told = seen.is_some_and(|s| {
                s.code() == Some(Code::Ok)
                    || matches!(s.broken, Some(StreamError::GoneAway | StreamError::Refused))
            });
            assert!(told, "seed {seed}: {call:?} heard {seen:?}");
        }
    }
}

#[test]
fn one_that_is_still_greeting_hears_of_the_stop_too() {
    let mut rig = Rig::new(1);
    let late = rig.client.connect(rig.gateway.listen_address());
    rig.gateway.shut_down();
    rig.until("all have gone", |r| r.gateway.is_shut_down());
    rig.until("the client hears of it", |r| {
        r.client.closed.contains(&late)
    });
}

const ASK: &[u8] =
    b"*5\r\n$11\r\nCL.THROTTLE\r\n$7\r\nsomeone\r\n$1\r\n9\r\n$2\r\n99\r\n$2\r\n60\r\n";

/// A client of the limits front that has several commands out, in pieces.
struct Asker {
    stream: TcpStream,
    sent: usize,
    heard: Vec<u8>,
    over: bool,
}

impl Asker {
    fn moves(&mut self, rng: &mut Rng) {
        let mut some = [0; 1024];
        match self.stream.read(&mut some) {
            Ok(0) => self.over = true,
            Ok(n) => self.heard.extend_from_slice(&some[..n]),
            Err(e) => self.over = e.kind() != ErrorKind::WouldBlock,
        }
        // No more than a few at a time: it is between two requests now and then.
        if !self.over
            && (!self.sent.is_multiple_of(ASK.len()) || self.sent / ASK.len() < self.answers() + 2)
        {
            let mut left = ASK.to_vec().split_off(self.sent % ASK.len());
            left.truncate(rng.usize(1..=left.len()));
            self.sent += self.stream.write(&left).unwrap_or(0);
        }
    }
    fn answers(&self) -> usize {
        self.heard.windows(4).filter(|w| w == b"*5\r\n").count()
    }
    /// Whether a reset tells that commands came to a socket that nobody read any more.
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
fn asks_of_the_limits_front_that_were_read_are_answered_before_the_end() {
    let edits = [(
        "plans { name: \"free\" }",
        "plans { name: \"free\" }\nresp { listen: \"127.0.0.1:0\" class: \"buy\" }",
    )];
    for seed in 0..150 {
        let mut rng = Rng::with_seed(seed);
        let mut rig = Rig::with(1, CounterMood::Answers, &edits);
        let address = rig.gateway.resp_listen().expect("a RESP port");
        let asker = |_| {
            let stream = TcpStream::connect(address).expect("a connection");
            stream
                .set_nonblocking(true)
                .and_then(|()| stream.set_nodelay(true))
                .expect("a socket");
            Asker {
                stream,
                sent: 0,
                heard: Vec::new(),
                over: false,
            }
        };
        let mut askers: Vec<Asker> = (0..3).map(asker).collect();
        let stop_at = rng.usize(0..20);
        for step in 0..5_000 {
            askers.iter_mut().for_each(|a| a.moves(&mut rng));
            if step == stop_at {
                rig.gateway.shut_down();
            }
            rig.turn();
            if rig.gateway.is_shut_down() {
                break;
            }
        }
        assert!(rig.gateway.is_shut_down(), "seed {seed}");
        drop(rig);
        for asker in &mut askers {
            while !asker.over {
                asker.moves(&mut rng);
            }
            let (sent, answers) = (asker.sent, asker.answers());
            let whole = sent == answers * ASK.len();
            assert!(
                whole || asker.is_reset(),
                "seed {seed}: {sent} bytes sent, {answers} answers, no reset"
            );
        }
    }
}
