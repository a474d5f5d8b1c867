//! Servers that fail in the ways for which the gateway is there.
mod common;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::{StreamError, StreamId};
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Free at the time of asking, so that connections to it are refused.
fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a free port")
}

fn keyed() -> [(&'static str, &'static str); 1] {
    [("x-idempotency-key", "k1")]
}

/// Ends the first attempt in some way and tells where the second went, if there was one.
fn second_attempt(
    path: &str,
    metadata: &[(&str, &str)],
    end: impl Fn(&mut Rig, StreamId),
) -> (Rig, StreamId, Option<StreamId>) {
    let mut rig = Rig::new(3);
    let call = rig.call(path, metadata);
    let first = rig.arrived(1);
    rig.until("the request's end", |r| r.servers.seen[&first].ended);
    end(&mut rig, first);
    rig.until("a second attempt or an answer", |r| {
        r.servers.opened.len() > 1 || r.heard(call).is_some_and(|s| s.ended)
    });
    let second = rig.servers.opened.get(1).copied();
    (rig, call, second)
}

#[test]
fn refused_streams_never_ran_so_even_unsafe_calls_go_elsewhere() {
    let (mut rig, call, second) = second_attempt(BUY, &[], |r, s| {
        r.servers.engine.reset(s, h2::Reason::REFUSED_STREAM)
    });
    let second = second.expect("it goes again");
    rig.until("the request's end", |r| r.servers.seen[&second].ended);
    assert_eq!(
        rig.servers.seen[&second].headers["grpc-previous-rpc-attempts"],
        "1"
    );
    rig.servers.answer(second, b"fine");
    assert_eq!(rig.ended(call), Code::Ok);
}

#[test]
fn unprocessed_calls_go_elsewhere_and_others_do_not() {
    let (mut rig, call, second) = second_attempt(BUY, &[], |r, s| {
        r.servers.status(s, Code::Unavailable, true)
    });
    let second = second.expect("it goes again");
    rig.servers.answer(second, b"fine");
    assert_eq!(rig.ended(call), Code::Ok);

    let (mut rig, call, second) = second_attempt(BUY, &[], |r, s| {
        r.servers.status(s, Code::Unavailable, false)
    });
    assert_eq!(second, None, "it may have run");
    assert_eq!(rig.ended(call), Code::Unavailable);
    let trailers = rig.client.seen[&call].trailers.clone().expect("trailers");
    assert!(
        !trailers.contains_key(grpc::PUSHBACK),
        "a failure promises nothing"
    );
}

#[test]
fn a_connection_lost_after_the_request_left_may_have_run() {
    let lose = |r: &mut Rig, _: StreamId| {
        r.servers
            .conns
            .clone()
            .into_iter()
            .for_each(|c| r.servers.engine.close(c))
    };
    let (mut rig, call, second) = second_attempt(BUY, &[], lose);
    assert_eq!(second, None);
    assert_eq!(rig.ended(call), Code::Unavailable);

    let (mut rig, call, second) = second_attempt(VIEW, &[], lose);
    let second = second.expect("a safe call goes again");
    rig.servers.answer(second, b"fine");
    assert_eq!(rig.ended(call), Code::Ok);

    let (mut rig, call, second) = second_attempt(SELL, &keyed(), lose);
    let second = second.expect("a keyed call goes again inside its group");
    rig.servers.answer(second, b"fine");
    assert_eq!(rig.ended(call), Code::Ok);

    let (mut rig, call, second) = second_attempt(SELL, &[], lose);
    assert_eq!(second, None, "without its key it is unsafe");
    assert_eq!(rig.ended(call), Code::Unavailable);
}

#[test]
fn a_connection_that_is_refused_proves_that_nothing_ran() {
    let mut rig = Rig::new(2);
    let gone = nobody();
    let alive = Entry {
        address: rig.addresses[0],
        health: "HEALTHY",
    };
    rig.relist(&list(&[
        alive,
        Entry {
            address: gone,
            health: "HEALTHY",
        },
    ]));
    rig.until("the new list", |r| {
        r.gateway.metrics_text().contains("chalkdeck_servers 2")
    });
    rig.pass(50);
    for i in 0..6 {
        let call = rig.call(BUY, &[]);
        let stream = rig.arrived(i + 1);
        rig.servers.answer(stream, b"fine");
        assert_eq!(rig.ended(call), Code::Ok);
    }
}

#[test]
fn goaway_lets_calls_in_flight_end_and_sends_the_next_elsewhere() {
    let mut rig = Rig::new(1);
    let first = rig.call(BUY, &[]);
    let stream = rig.arrived(1);
    let listener = *rig.servers.listeners.keys().next().expect("a listener");
    rig.servers.engine.drain(listener);
    rig.pass(50);
    let second = rig.call(BUY, &[]);
    let other = rig.arrived(2);
    rig.servers.answer(stream, b"fine");
    rig.servers.answer(other, b"fine");
    assert_eq!((rig.ended(first), rig.ended(second)), (Code::Ok, Code::Ok));
    assert_eq!(
        rig.servers.conns.len(),
        2,
        "the second call took a new connection"
    );
}

#[test]
fn a_server_that_accepts_and_says_nothing_costs_no_more_than_the_deadline() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = silent.local_addr().expect("its address");
    let mut rig = Rig::new(0);
    rig.relist(&list(&[Entry {
        address,
        health: "HEALTHY",
    }]));
    rig.until("the list", |r| {
        r.gateway.metrics_text().contains("chalkdeck_servers 1")
    });
    let (begin, call) = (Instant::now(), rig.call(BUY, &[("grpc-timeout", "400m")]));
    assert_eq!(rig.ended(call), Code::DeadlineExceeded);
    assert!(
        begin.elapsed() >= Duration::from_millis(350),
        "it waits as long as it may"
    );
    let (mut socket, _) = silent.accept().expect("it was connected to");
    assert!(
        socket.read(&mut [0; 64]).is_ok_and(|n| n > 0),
        "the request left"
    );
}

#[test]
fn an_answer_after_the_deadline_reaches_nobody() {
    let mut rig = Rig::new(1);
    let call = rig.call(BUY, &[("grpc-timeout", "200m")]);
    let stream = rig.arrived(1);
    assert_eq!(rig.ended(call), Code::DeadlineExceeded);
    rig.until("the server hears it", |r| {
        r.servers.seen[&stream].broken.is_some()
    });
    rig.servers.answer(stream, b"late");
    rig.pass(50);
    assert_eq!(rig.client.seen[&call].bytes, 0);
    assert_eq!(rig.metric("chalkdeck_calls_ended_total", ""), 1.0);
}

#[test]
fn at_the_very_deadline_there_is_one_answer() {
    let mut rig = Rig::new(1);
    for early in 0..24 {
        let begin = Instant::now();
        let call = rig.call(VIEW, &[("grpc-timeout", "60m")]);
        let count = early as usize + 1;
        rig.until("a call at the server or its end", |r| {
            r.servers.opened.len() >= count || r.heard(call).is_some_and(|s| s.ended)
        });
        let at = Duration::from_micros(55_000 + early * 250);
        while begin.elapsed() < at {
            rig.client.turn();
            rig.gateway.turn(0).expect("a turn");
        }
        if let Some(&stream) = rig.servers.opened.get(count - 1) {
            rig.servers.answer(stream, b"just");
        }
        rig.ended(call);
        rig.pass(5);
        let ended = rig.metric("chalkdeck_calls_ended_total", "");
        assert_eq!(ended, count as f64, "one end a call");
        rig.servers.opened.truncate(count);
        while rig.servers.opened.len() < count {
            rig.servers.opened.push(StreamId(0));
        }
    }
}

#[test]
fn a_stream_cut_in_the_middle_fails_and_does_not_go_again() {
    let mut rig = Rig::new(3);
    let call = rig.call(WATCH, &[]);
    let stream = rig.arrived(1);
    rig.servers.engine.respond(stream, grpc::head(), false);
    rig.servers.engine.send(stream, grpc::frame(b"tick"));
    rig.until("the first message", |r| {
        r.heard(call).is_some_and(|s| s.bytes > 0)
    });
    rig.servers.engine.reset(stream, h2::Reason::INTERNAL_ERROR);
    assert_eq!(rig.ended(call), Code::Unavailable);
    rig.pass(50);
    assert_eq!(rig.servers.opened.len(), 1);
}

#[test]
fn half_an_answer_that_was_kept_back_is_not_mixed_with_the_next() {
    let mut rig = Rig::new(3);
    let call = rig.call(VIEW, &[]);
    let first = rig.arrived(1);
    rig.servers.engine.respond(first, grpc::head(), false);
    rig.servers
        .engine
        .send(first, grpc::frame(b"half of the first"));
    rig.pass(30);
    rig.servers.engine.reset(first, h2::Reason::INTERNAL_ERROR);
    let second = rig.arrived(2);
    rig.servers.answer(second, b"whole");
    assert_eq!(rig.ended(call), Code::Ok);
    assert_eq!(
        rig.client.seen[&call].gather.message().map(|m| &m[..]),
        Some(&b"whole"[..])
    );
    assert_eq!(rig.client.seen[&call].bytes, 10);
}

#[test]
fn with_no_server_calls_are_refused_until_the_list_is_filled() {
    let mut rig = Rig::new(0);
    let call = rig.call(BUY, &[]);
    assert_eq!(rig.ended(call), Code::ResourceExhausted);
    let address = rig.servers.listen();
    rig.relist(&list(&[Entry {
        address,
        health: "HEALTHY",
    }]));
    rig.until("the list", |r| {
        r.gateway.metrics_text().contains("chalkdeck_servers 1")
    });
    let call = rig.call(BUY, &[]);
    let stream = rig.arrived(1);
    rig.servers.answer(stream, b"fine");
    assert_eq!(rig.ended(call), Code::Ok);
}

#[test]
fn a_broken_list_leaves_the_last_good_one_and_a_drain_is_kept() {
    let mut rig = Rig::new(2);
    rig.relist("cluster_name: 7 endpoints {");
    rig.until("the list was looked at", |r| {
        r.gateway
            .metrics_text()
            .contains("chalkdeck_server_list_failures_total 1")
    });
    let call = rig.call(BUY, &[]);
    let stream = rig.arrived(1);
    rig.servers.answer(stream, b"fine");
    assert_eq!(rig.ended(call), Code::Ok);

    let entries = [("DRAINING", 0), ("HEALTHY", 1)].map(|(health, i)| Entry {
        address: rig.addresses[i],
        health,
    });
    rig.relist(&list(&entries));
    rig.pass(100);
    for i in 1..10 {
        let call = rig.call(VIEW, &[]);
        let stream = rig.arrived(i + 1);
        assert_eq!(
            rig.servers.address_of(stream),
            rig.addresses[1],
            "the other one drains"
        );
        rig.servers.answer(stream, b"fine");
        assert_eq!(rig.ended(call), Code::Ok);
    }
}

#[test]
fn a_counter_that_was_never_there_leaves_the_local_share() {
    let mut rig = Rig::full(1, Peer::new(), nobody(), CounterMood::Silent, &[]);
    let mut ends = Vec::new();
    for _ in 0..12 {
        let call = rig.call(VIEW, &[("x-customer", "small")]);
        let seen = rig.servers.opened.len();
        rig.until("a server or an answer", |r| {
            r.servers.opened.len() > seen || r.heard(call).is_some_and(|s| s.ended)
        });
        if let Some(&stream) = rig.servers.opened.get(seen) {
            rig.servers.answer(stream, b"fine");
        }
        ends.push(rig.ended(call));
    }
    let served = ends.iter().filter(|c| **c == Code::Ok).count();
    assert!(
        (1..12).contains(&served),
        "its share is served and no more: {ends:?}"
    );
    assert!(rig.metric("chalkdeck_counter_calls_total", "connectfailed") >= 1.0);
}

#[test]
fn a_silent_counter_costs_its_time_out_and_then_nothing() {
    let mut rig = Rig::with(1, CounterMood::Silent, &[]);
    for i in 0..4 {
        let call = rig.call(VIEW, &[("x-customer", "small"), ("x-units", "1")]);
        let stream = rig.arrived(i + 1);
        rig.servers.answer(stream, b"fine");
        assert_eq!(rig.ended(call), Code::Ok);
    }
    let calls = rig.metric("chalkdeck_counter_calls_total", "timeout");
    assert!(
        (1.0..=3.0).contains(&calls),
        "the breaker opens: {calls} calls"
    );
}

#[test]
fn what_a_server_lost_with_goaway_is_known_not_to_have_run() {
    // A peer by hand: it takes each connection's first call and says that it saw no stream at all.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let peer = std::thread::spawn(move || {
        let mut held = Vec::new();
        while let Ok((mut socket, _)) = listener.accept() {
            if stopped.load(Ordering::Relaxed) {
                return;
            }
            say_goaway(&mut socket);
            held.push(socket);
        }
    });
    let mut rig = Rig::new(1);
    let both = [address, rig.addresses[0]].map(|address| Entry {
        address,
        health: "HEALTHY",
    });
    rig.relist(&list(&both));
    rig.until("the list", |r| {
        r.gateway.metrics_text().contains("chalkdeck_servers 2")
    });
    rig.pass(50);
    let mut answered = 0;
    for _ in 0..50 {
        let call = rig.call(BUY, &[]);
        rig.until("an end", |r| {
            r.servers.opened.len() > answered || r.heard(call).is_some_and(|s| s.ended)
        });
        if let Some(&stream) = rig.servers.opened.get(answered) {
            rig.servers.answer(stream, b"fine");
            answered += 1;
        }
        let code = rig.ended(call);
        assert!(
            [Code::Ok, Code::ResourceExhausted].contains(&code),
            "it never ran: {code:?}"
        );
        if rig.metric("chalkdeck_attempts_total", "full") >= 1.0 {
            break;
        }
    }
    assert!(
        rig.metric("chalkdeck_attempts_total", "full") >= 1.0,
        "{}",
        rig.gateway.metrics_text()
    );
    stop.store(true, Ordering::Relaxed);
    drop(std::net::TcpStream::connect(address));
    peer.join().expect("the peer's end");
}

fn say_goaway(socket: &mut std::net::TcpStream) {
    socket
        .write_all(&[0, 0, 0, 4, 0, 0, 0, 0, 0])
        .expect("settings");
    let (mut seen, mut chunk) = (Vec::new(), [0; 4096]);
    while !has_headers(&seen) {
        match socket.read(&mut chunk) {
            Ok(n) if n > 0 => seen.extend_from_slice(&chunk[..n]),
            _ => return,
        }
    }
    let goaway = [0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    let _ = socket.write_all(&goaway);
}

/// A HEADERS frame (type 1) after the preface of 24 bytes.
fn has_headers(seen: &[u8]) -> bool {
    let mut at = 24;
    while seen.len() >= at + 9 {
        let length = usize::from(seen[at]) << 16
            | usize::from(seen[at + 1]) << 8
            | usize::from(seen[at + 2]);
        if seen[at + 3] == 1 {
            return true;
        }
        at += 9 + length;
    }
    false
}

#[test]
fn a_cancelled_attempt_is_reset_at_its_server() {
    let mut rig = Rig::new(1);
    let call = rig.call(VIEW, &[("grpc-timeout", "150m")]);
    let stream = rig.arrived(1);
    let code = rig.ended(call);
    assert!([Code::ResourceExhausted, Code::DeadlineExceeded].contains(&code));
    rig.until("the reset", |r| {
        r.servers.seen[&stream].broken == Some(StreamError::Reset(h2::Reason::CANCEL))
    });
}

/// A server that failed before is asked again on trial, and given up early there; the answer of the next one is the
/// client's, and the first one's, which comes after it, is nobody's.
#[test]
fn a_late_answer_after_the_retry_s_is_nobody_s() {
    let mut rig = Rig::new(3);
    let bad = rig.addresses[0];
    let (mut seen, mut failures, mut late) = (0, 0, None);
    let end = Instant::now() + Duration::from_secs(15);
    while late.is_none() {
        assert!(Instant::now() < end, "the bad server is tried again");
        let call = rig.call(VIEW, &[]);
        while !rig.heard(call).is_some_and(|s| s.ended) {
            rig.turn();
            let Some(&stream) = rig.servers.opened.get(seen) else {
                continue;
            };
            seen += 1;
            if rig.servers.address_of(stream) != bad {
                rig.servers.answer(stream, b"fine");
            } else if failures < 2 {
                failures += 1;
                rig.servers.status(stream, Code::Unavailable, false);
            } else {
                late = Some(stream);
            }
        }
        if let Some(stream) = late {
            assert_eq!(rig.ended(call), Code::Ok, "another one answered in time");
            rig.servers.answer(stream, b"late and longer");
            rig.pass(50);
            assert_eq!(rig.client.seen[&call].bytes, 9);
            assert_eq!(
                rig.client.seen[&call].gather.message().map(|m| &m[..]),
                Some(&b"fine"[..])
            );
        }
    }
    let ended = rig.metric("chalkdeck_calls_ended_total", "served");
    assert_eq!(
        ended,
        rig.metric("chalkdeck_calls_taken_total", ""),
        "one end a call"
    );
}

#[test]
fn a_server_that_left_the_list_keeps_its_call_and_then_loses_its_connection() {
    let mut rig = Rig::new(1);
    let call = rig.call(BUY, &[]);
    let stream = rig.arrived(1);
    rig.relist("cluster_name: \"farm\"");
    rig.until("the empty list", |r| {
        r.gateway.metrics_text().contains("chalkdeck_servers 0")
    });
    rig.pass(50);
    assert!(rig.servers.closed.is_empty(), "its call goes on");
    rig.servers.answer(stream, b"fine");
    assert_eq!(rig.ended(call), Code::Ok);
    rig.until("the connection's end", |r| r.servers.closed.len() == 1);
}
