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
    end: impl Fn(&mut Harness, StreamId),
) -> (Harness, StreamId, Option<StreamId>) {
    let mut harness = Harness::new(3);
    let call = harness.call(path, metadata);
    let first = harness.wait_for_server_call(1);
    harness.turn_until("the request's end", |r| r.servers.streams[&first].is_ended);
    end(&mut harness, first);
    harness.turn_until("a second attempt or an answer", |r| {
        r.servers.incoming_streams.len() > 1 || r.client_stream(call).is_some_and(|s| s.is_ended)
    });
    let second = harness.servers.incoming_streams.get(1).copied();
    (harness, call, second)
}

#[test]
fn refused_streams_never_ran_so_even_unsafe_calls_go_elsewhere() {
    let (mut harness, call, second) = second_attempt(BUY, &[], |r, s| {
        r.servers.engine.reset(s, h2::Reason::REFUSED_STREAM)
    });
    let second = second.expect("it goes again");
    harness.turn_until("the request's end", |r| r.servers.streams[&second].is_ended);
    assert_eq!(
        harness.servers.streams[&second].headers["grpc-previous-rpc-attempts"],
        "1"
    );
    harness.servers.answer(second, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);
}

#[test]
fn unprocessed_calls_go_elsewhere_and_others_do_not() {
    let (mut harness, call, second) = second_attempt(BUY, &[], |r, s| {
        r.servers.answer_with_status(s, Code::Unavailable, true)
    });
    let second = second.expect("it goes again");
    harness.servers.answer(second, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);

    let (mut harness, call, second) = second_attempt(BUY, &[], |r, s| {
        r.servers.answer_with_status(s, Code::Unavailable, false)
    });
    assert_eq!(second, None, "it may have run");
    assert_eq!(harness.wait_for_status(call), Code::Unavailable);
    let trailers = harness.client.streams[&call]
        .trailers
        .clone()
        .expect("trailers");
    assert!(
        !trailers.contains_key(grpc::PUSHBACK),
        "a failure promises nothing"
    );
}

#[test]
fn a_connection_lost_after_the_request_left_may_have_run() {
    let lose = |r: &mut Harness, _: StreamId| {
        r.servers
            .accepted_connections
            .clone()
            .into_iter()
            .for_each(|c| r.servers.engine.close(c))
    };
    let (mut harness, call, second) = second_attempt(BUY, &[], lose);
    assert_eq!(second, None);
    assert_eq!(harness.wait_for_status(call), Code::Unavailable);

    let (mut harness, call, second) = second_attempt(VIEW, &[], lose);
    let second = second.expect("a safe call goes again");
    harness.servers.answer(second, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);

    let (mut harness, call, second) = second_attempt(SELL, &keyed(), lose);
    let second = second.expect("a keyed call goes again inside its group");
    harness.servers.answer(second, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);

    let (mut harness, call, second) = second_attempt(SELL, &[], lose);
    assert_eq!(second, None, "without its key it is unsafe");
    assert_eq!(harness.wait_for_status(call), Code::Unavailable);
}

#[test]
fn a_connection_that_is_refused_proves_that_nothing_ran() {
    let mut harness = Harness::new(2);
    let gone = nobody();
    let alive = ListEntry {
        address: harness.server_addresses[0],
        health: "HEALTHY",
    };
    harness.replace_endpoint_list(&endpoint_list(&[
        alive,
        ListEntry {
            address: gone,
            health: "HEALTHY",
        },
    ]));
    harness.turn_until("the new list", |r| {
        r.gateway.metrics_text().contains("chalkdeck_servers 2")
    });
    harness.turn_for(50);
    for i in 0..6 {
        let call = harness.call(BUY, &[]);
        let stream = harness.wait_for_server_call(i + 1);
        harness.servers.answer(stream, b"fine");
        assert_eq!(harness.wait_for_status(call), Code::Ok);
    }
}

#[test]
fn goaway_lets_calls_in_flight_end_and_sends_the_next_elsewhere() {
    let mut harness = Harness::new(1);
    let first = harness.call(BUY, &[]);
    let stream = harness.wait_for_server_call(1);
    let listener = *harness.servers.listeners.keys().next().expect("a listener");
    harness.servers.engine.drain(listener);
    harness.turn_for(50);
    let second = harness.call(BUY, &[]);
    let other = harness.wait_for_server_call(2);
    harness.servers.answer(stream, b"fine");
    harness.servers.answer(other, b"fine");
    assert_eq!(
        (
            harness.wait_for_status(first),
            harness.wait_for_status(second)
        ),
        (Code::Ok, Code::Ok)
    );
    assert_eq!(
        harness.servers.accepted_connections.len(),
        2,
        "the second call took a new connection"
    );
}

#[test]
fn a_server_that_accepts_and_says_nothing_costs_no_more_than_the_deadline() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = silent.local_addr().expect("its address");
    let mut harness = Harness::new(0);
    harness.replace_endpoint_list(&endpoint_list(&[ListEntry {
        address,
        health: "HEALTHY",
    }]));
    harness.turn_until("the list", |r| {
        r.gateway.metrics_text().contains("chalkdeck_servers 1")
    });
    let (begin, call) = (
        Instant::now(),
        harness.call(BUY, &[("grpc-timeout", "400m")]),
    );
    assert_eq!(harness.wait_for_status(call), Code::DeadlineExceeded);
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
    let mut harness = Harness::new(1);
    let call = harness.call(BUY, &[("grpc-timeout", "200m")]);
    let stream = harness.wait_for_server_call(1);
    assert_eq!(harness.wait_for_status(call), Code::DeadlineExceeded);
    harness.turn_until("the server hears it", |r| {
        r.servers.streams[&stream].error.is_some()
    });
    harness.servers.answer(stream, b"late");
    harness.turn_for(50);
    assert_eq!(harness.client.streams[&call].received_bytes, 0);
    assert_eq!(harness.metric_sum("chalkdeck_calls_ended_total", ""), 1.0);
}

#[test]
fn at_the_very_deadline_there_is_one_answer() {
    let mut harness = Harness::new(1);
    for early in 0..24 {
        let begin = Instant::now();
        let call = harness.call(VIEW, &[("grpc-timeout", "60m")]);
        let count = early as usize + 1;
        harness.turn_until("a call at the server or its end", |r| {
            r.servers.incoming_streams.len() >= count
                || r.client_stream(call).is_some_and(|s| s.is_ended)
        });
        let at = Duration::from_micros(55_000 + early * 250);
        while begin.elapsed() < at {
            harness.client.turn();
            harness.gateway.turn(0).expect("a turn");
        }
        if let Some(&stream) = harness.servers.incoming_streams.get(count - 1) {
            harness.servers.answer(stream, b"just");
        }
        harness.wait_for_status(call);
        harness.turn_for(5);
        let ended = harness.metric_sum("chalkdeck_calls_ended_total", "");
        assert_eq!(ended, count as f64, "one end a call");
        harness.servers.incoming_streams.truncate(count);
        while harness.servers.incoming_streams.len() < count {
            harness.servers.incoming_streams.push(StreamId(0));
        }
    }
}

#[test]
fn a_stream_cut_in_the_middle_fails_and_does_not_go_again() {
    let mut harness = Harness::new(3);
    let call = harness.call(WATCH, &[]);
    let stream = harness.wait_for_server_call(1);
    harness.servers.engine.respond(stream, grpc::head(), false);
    harness.servers.engine.send(stream, grpc::frame(b"tick"));
    harness.turn_until("the first message", |r| {
        r.client_stream(call).is_some_and(|s| s.received_bytes > 0)
    });
    harness
        .servers
        .engine
        .reset(stream, h2::Reason::INTERNAL_ERROR);
    assert_eq!(harness.wait_for_status(call), Code::Unavailable);
    harness.turn_for(50);
    assert_eq!(harness.servers.incoming_streams.len(), 1);
}

#[test]
fn half_an_answer_that_was_kept_back_is_not_mixed_with_the_next() {
    let mut harness = Harness::new(3);
    let call = harness.call(VIEW, &[]);
    let first = harness.wait_for_server_call(1);
    harness.servers.engine.respond(first, grpc::head(), false);
    harness
        .servers
        .engine
        .send(first, grpc::frame(b"half of the first"));
    harness.turn_for(30);
    harness
        .servers
        .engine
        .reset(first, h2::Reason::INTERNAL_ERROR);
    let second = harness.wait_for_server_call(2);
    harness.servers.answer(second, b"whole");
    assert_eq!(harness.wait_for_status(call), Code::Ok);
    assert_eq!(
        harness.client.streams[&call]
            .unary_message
            .message()
            .map(|m| &m[..]),
        Some(&b"whole"[..])
    );
    assert_eq!(harness.client.streams[&call].received_bytes, 10);
}

#[test]
fn with_no_server_calls_are_refused_until_the_list_is_filled() {
    let mut harness = Harness::new(0);
    let call = harness.call(BUY, &[]);
    assert_eq!(harness.wait_for_status(call), Code::ResourceExhausted);
    let address = harness.servers.listen();
    harness.replace_endpoint_list(&endpoint_list(&[ListEntry {
        address,
        health: "HEALTHY",
    }]));
    harness.turn_until("the list", |r| {
        r.gateway.metrics_text().contains("chalkdeck_servers 1")
    });
    let call = harness.call(BUY, &[]);
    let stream = harness.wait_for_server_call(1);
    harness.servers.answer(stream, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);
}

#[test]
fn a_broken_list_leaves_the_last_good_one_and_a_drain_is_kept() {
    let mut harness = Harness::new(2);
    harness.replace_endpoint_list("cluster_name: 7 endpoints {");
    harness.turn_until("the list was looked at", |r| {
        r.gateway
            .metrics_text()
            .contains("chalkdeck_server_list_failures_total 1")
    });
    let call = harness.call(BUY, &[]);
    let stream = harness.wait_for_server_call(1);
    harness.servers.answer(stream, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);

    let entries = [("DRAINING", 0), ("HEALTHY", 1)].map(|(health, i)| ListEntry {
        address: harness.server_addresses[i],
        health,
    });
    harness.replace_endpoint_list(&endpoint_list(&entries));
    harness.turn_for(100);
    for i in 1..10 {
        let call = harness.call(VIEW, &[]);
        let stream = harness.wait_for_server_call(i + 1);
        assert_eq!(
            harness.servers.address_of(stream),
            harness.server_addresses[1],
            "the other one drains"
        );
        harness.servers.answer(stream, b"fine");
        assert_eq!(harness.wait_for_status(call), Code::Ok);
    }
}

#[test]
fn a_counter_that_was_never_there_leaves_the_local_share() {
    let mut harness = Harness::with_counter(1, Peer::new(), nobody(), CounterBehavior::Silent, &[]);
    let mut ends = Vec::new();
    for _ in 0..12 {
        let call = harness.call(VIEW, &[("x-customer", "small")]);
        let seen = harness.servers.incoming_streams.len();
        harness.turn_until("a server or an answer", |r| {
            r.servers.incoming_streams.len() > seen
                || r.client_stream(call).is_some_and(|s| s.is_ended)
        });
        if let Some(&stream) = harness.servers.incoming_streams.get(seen) {
            harness.servers.answer(stream, b"fine");
        }
        ends.push(harness.wait_for_status(call));
    }
    let served = ends.iter().filter(|c| **c == Code::Ok).count();
    assert!(
        (1..12).contains(&served),
        "its share is served and no more: {ends:?}"
    );
    assert!(harness.metric_sum("chalkdeck_counter_calls_total", "connectfailed") >= 1.0);
}

#[test]
fn a_silent_counter_costs_its_time_out_and_then_nothing() {
    let mut harness = Harness::with_settings(1, CounterBehavior::Silent, &[]);
    for i in 0..4 {
        let call = harness.call(VIEW, &[("x-customer", "small"), ("x-units", "1")]);
        let stream = harness.wait_for_server_call(i + 1);
        harness.servers.answer(stream, b"fine");
        assert_eq!(harness.wait_for_status(call), Code::Ok);
    }
    let calls = harness.metric_sum("chalkdeck_counter_calls_total", "timeout");
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
    let mut harness = Harness::new(1);
    let both = [address, harness.server_addresses[0]].map(|address| ListEntry {
        address,
        health: "HEALTHY",
    });
    harness.replace_endpoint_list(&endpoint_list(&both));
    harness.turn_until("the list", |r| {
        r.gateway.metrics_text().contains("chalkdeck_servers 2")
    });
    harness.turn_for(50);
    let mut answered = 0;
    for _ in 0..50 {
        let call = harness.call(BUY, &[]);
        harness.turn_until("an end", |r| {
            r.servers.incoming_streams.len() > answered
                || r.client_stream(call).is_some_and(|s| s.is_ended)
        });
        if let Some(&stream) = harness.servers.incoming_streams.get(answered) {
            harness.servers.answer(stream, b"fine");
            answered += 1;
        }
        let code = harness.wait_for_status(call);
        assert!(
            [Code::Ok, Code::ResourceExhausted].contains(&code),
            "it never ran: {code:?}"
        );
        if harness.metric_sum("chalkdeck_attempts_total", "full") >= 1.0 {
            break;
        }
    }
    assert!(
        harness.metric_sum("chalkdeck_attempts_total", "full") >= 1.0,
        "{}",
        harness.gateway.metrics_text()
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
    let mut harness = Harness::new(1);
    let call = harness.call(VIEW, &[("grpc-timeout", "150m")]);
    let stream = harness.wait_for_server_call(1);
    let code = harness.wait_for_status(call);
    assert!([Code::ResourceExhausted, Code::DeadlineExceeded].contains(&code));
    harness.turn_until("the reset", |r| {
        r.servers.streams[&stream].error == Some(StreamError::Reset(h2::Reason::CANCEL))
    });
}

/// A server that failed before is asked again on trial, and given up early there; the answer of the next one is the
/// client's, and the first one's, which comes after it, is nobody's.
#[test]
fn a_late_answer_after_the_retry_s_is_nobody_s() {
    let mut harness = Harness::new(3);
    let bad = harness.server_addresses[0];
    let (mut seen, mut failures, mut late) = (0, 0, None);
    let end = Instant::now() + Duration::from_secs(15);
    while late.is_none() {
        assert!(Instant::now() < end, "the bad server is tried again");
        let call = harness.call(VIEW, &[]);
        while !harness.client_stream(call).is_some_and(|s| s.is_ended) {
            harness.turn();
            let Some(&stream) = harness.servers.incoming_streams.get(seen) else {
                continue;
            };
            seen += 1;
            if harness.servers.address_of(stream) != bad {
                harness.servers.answer(stream, b"fine");
            } else if failures < 2 {
                failures += 1;
                harness
                    .servers
                    .answer_with_status(stream, Code::Unavailable, false);
            } else {
                late = Some(stream);
            }
        }
        if let Some(stream) = late {
            assert_eq!(
                harness.wait_for_status(call),
                Code::Ok,
                "another one answered in time"
            );
            harness.servers.answer(stream, b"late and longer");
            harness.turn_for(50);
            assert_eq!(harness.client.streams[&call].received_bytes, 9);
            assert_eq!(
                harness.client.streams[&call]
                    .unary_message
                    .message()
                    .map(|m| &m[..]),
                Some(&b"fine"[..])
            );
        }
    }
    let ended = harness.metric_sum("chalkdeck_calls_ended_total", "served");
    assert_eq!(
        ended,
        harness.metric_sum("chalkdeck_calls_taken_total", ""),
        "one end a call"
    );
}

#[test]
fn a_server_that_left_the_list_keeps_its_call_and_then_loses_its_connection() {
    let mut harness = Harness::new(1);
    let call = harness.call(BUY, &[]);
    let stream = harness.wait_for_server_call(1);
    harness.replace_endpoint_list("cluster_name: \"farm\"");
    harness.turn_until("the empty list", |r| {
        r.gateway.metrics_text().contains("chalkdeck_servers 0")
    });
    harness.turn_for(50);
    assert!(
        harness.servers.closed_connections.is_empty(),
        "its call goes on"
    );
    harness.servers.answer(stream, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);
    harness.turn_until("the connection's end", |r| {
        r.servers.closed_connections.len() == 1
    });
}
