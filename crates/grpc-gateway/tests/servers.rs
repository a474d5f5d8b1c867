//! Failures of endpoints, connections, endpoint lists and the counter, and how the gateway handles them.
mod common;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::{StreamError, StreamId};
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An address at which nothing listens, so that connections to it are refused.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port")
}

/// Metadata that makes a call idempotent.
fn idempotency_key() -> [(&'static str, &'static str); 1] {
    [("x-idempotency-key", "k1")]
}

/// Makes a call and ends its first attempt by `end_attempt`. Returns the harness, the call, and the stream of the second attempt if
/// there is one.
fn fail_first_attempt(
    path: &str,
    metadata: &[(&str, &str)],
    end_attempt: impl Fn(&mut Harness, StreamId),
) -> (Harness, StreamId, Option<StreamId>) {
    let mut harness = Harness::new(3);
    let call = harness.call(path, metadata);
    let first = harness.wait_for_server_call(1);
    harness.turn_until("the request's end", |h| h.servers.streams[&first].is_ended);
    end_attempt(&mut harness, first);
    harness.turn_until("a second attempt or an answer", |h| {
        h.servers.incoming_streams.len() > 1 || h.client_stream(call).is_some_and(|s| s.is_ended)
    });
    let second = harness.servers.incoming_streams.get(1).copied();
    (harness, call, second)
}

#[test]
fn refused_stream_is_retried_even_for_non_idempotent_calls() {
    let (mut harness, call, second) = fail_first_attempt(BUY, &[], |h, stream| {
        h.servers.engine.reset(stream, h2::Reason::REFUSED_STREAM)
    });
    let second = second.expect("a retry");
    harness.turn_until("the request's end", |h| h.servers.streams[&second].is_ended);
    assert_eq!(
        harness.servers.streams[&second].headers["grpc-previous-rpc-attempts"],
        "1"
    );
    harness.servers.answer(second, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);
}

#[test]
fn non_idempotent_call_is_retried_only_if_its_server_did_not_process_it() {
    let (mut harness, call, second) = fail_first_attempt(BUY, &[], |h, stream| {
        h.servers
            .answer_with_status(stream, Code::Unavailable, true)
    });
    let second = second.expect("a retry");
    harness.servers.answer(second, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);

    let (mut harness, call, second) = fail_first_attempt(BUY, &[], |h, stream| {
        h.servers
            .answer_with_status(stream, Code::Unavailable, false)
    });
    assert_eq!(second, None, "no retry, as it may have run");
    assert_eq!(harness.wait_for_status(call), Code::Unavailable);
    let trailers = harness.client.streams[&call]
        .trailers
        .clone()
        .expect("trailers");
    assert!(
        !trailers.contains_key(grpc::RETRY_PUSHBACK),
        "a failure has no retry time"
    );
}

#[test]
fn lost_connection_is_retried_only_for_idempotent_calls() {
    let close_connections = |h: &mut Harness, _: StreamId| {
        h.servers
            .accepted_connections
            .clone()
            .into_iter()
            .for_each(|conn| h.servers.engine.close(conn))
    };
    let (mut harness, call, second) = fail_first_attempt(BUY, &[], close_connections);
    assert_eq!(second, None);
    assert_eq!(harness.wait_for_status(call), Code::Unavailable);

    let (mut harness, call, second) = fail_first_attempt(VIEW, &[], close_connections);
    let second = second.expect("a retry, as the class is idempotent");
    harness.servers.answer(second, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);

    let (mut harness, call, second) =
        fail_first_attempt(SELL, &idempotency_key(), close_connections);
    let second = second.expect("a retry within its key scope, as the call has an idempotency key");
    harness.servers.answer(second, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);

    let (mut harness, call, second) = fail_first_attempt(SELL, &[], close_connections);
    assert_eq!(second, None, "without a key the call is not idempotent");
    assert_eq!(harness.wait_for_status(call), Code::Unavailable);
}

#[test]
fn refused_connection_is_retried_even_for_non_idempotent_calls() {
    let mut harness = Harness::new(2);
    let refusing = unused_address();
    let reachable = ListEntry {
        address: harness.server_addresses[0],
        health: "HEALTHY",
    };
    harness.replace_endpoint_list(&endpoint_list(&[
        reachable,
        ListEntry {
            address: refusing,
            health: "HEALTHY",
        },
    ]));
    harness.turn_until("the new list", |h| {
        h.gateway.metrics_text().contains("chalkdeck_servers 2")
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
fn open_calls_finish_after_goaway_and_new_calls_use_a_new_connection() {
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
        "the second call uses a new connection"
    );
}

#[test]
fn call_to_a_silent_server_fails_at_its_deadline() {
    let silent_listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = silent_listener.local_addr().expect("its address");
    let mut harness = Harness::new(0);
    harness.replace_endpoint_list(&endpoint_list(&[ListEntry {
        address,
        health: "HEALTHY",
    }]));
    harness.turn_until("the list", |h| {
        h.gateway.metrics_text().contains("chalkdeck_servers 1")
    });
    let (start, call) = (
        Instant::now(),
        harness.call(BUY, &[("grpc-timeout", "400m")]),
    );
    assert_eq!(harness.wait_for_status(call), Code::DeadlineExceeded);
    assert!(
        start.elapsed() >= Duration::from_millis(350),
        "the gateway waits until the deadline"
    );
    let (mut socket, _) = silent_listener.accept().expect("a connection");
    assert!(
        socket.read(&mut [0; 64]).is_ok_and(|n| n > 0),
        "the request was sent"
    );
}

#[test]
fn response_after_the_deadline_is_discarded() {
    let mut harness = Harness::new(1);
    let call = harness.call(BUY, &[("grpc-timeout", "200m")]);
    let stream = harness.wait_for_server_call(1);
    assert_eq!(harness.wait_for_status(call), Code::DeadlineExceeded);
    harness.turn_until("the reset at the server", |h| {
        h.servers.streams[&stream].error.is_some()
    });
    harness.servers.answer(stream, b"late");
    harness.turn_for(50);
    assert_eq!(harness.client.streams[&call].received_bytes, 0);
    assert_eq!(harness.metric_sum("chalkdeck_calls_ended_total", ""), 1.0);
}

#[test]
fn response_around_the_deadline_ends_its_call_once() {
    let mut harness = Harness::new(1);
    for round in 0..24 {
        let start = Instant::now();
        let call = harness.call(VIEW, &[("grpc-timeout", "60m")]);
        let count = round as usize + 1;
        harness.turn_until("a call at the server, or its end", |h| {
            h.servers.incoming_streams.len() >= count
                || h.client_stream(call).is_some_and(|s| s.is_ended)
        });
        let answer_after = Duration::from_micros(55_000 + round * 250);
        while start.elapsed() < answer_after {
            harness.client.turn();
            harness.gateway.turn(0).expect("a turn");
        }
        if let Some(&stream) = harness.servers.incoming_streams.get(count - 1) {
            harness.servers.answer(stream, b"just");
        }
        harness.wait_for_status(call);
        harness.turn_for(5);
        let ended = harness.metric_sum("chalkdeck_calls_ended_total", "");
        assert_eq!(ended, count as f64, "each call ends once");
        // Makes the record hold one stream per round: without those of retries, and with a placeholder if no server got the call.
        harness.servers.incoming_streams.truncate(count);
        while harness.servers.incoming_streams.len() < count {
            harness.servers.incoming_streams.push(StreamId(0));
        }
    }
}

#[test]
fn reset_of_a_started_stream_fails_its_call_without_a_retry() {
    let mut harness = Harness::new(3);
    let call = harness.call(WATCH, &[]);
    let stream = harness.wait_for_server_call(1);
    harness
        .servers
        .engine
        .respond(stream, grpc::response_head(), false);
    harness.servers.engine.send(stream, grpc::frame(b"tick"));
    harness.turn_until("the first message", |h| {
        h.client_stream(call).is_some_and(|s| s.received_bytes > 0)
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
fn buffered_part_of_a_response_is_discarded_before_a_retry() {
    let mut harness = Harness::new(3);
    let call = harness.call(VIEW, &[]);
    let first = harness.wait_for_server_call(1);
    harness
        .servers
        .engine
        .respond(first, grpc::response_head(), false);
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
fn calls_are_rejected_while_the_endpoint_list_is_empty() {
    let mut harness = Harness::new(0);
    let call = harness.call(BUY, &[]);
    assert_eq!(harness.wait_for_status(call), Code::ResourceExhausted);
    let address = harness.servers.listen();
    harness.replace_endpoint_list(&endpoint_list(&[ListEntry {
        address,
        health: "HEALTHY",
    }]));
    harness.turn_until("the list", |h| {
        h.gateway.metrics_text().contains("chalkdeck_servers 1")
    });
    let call = harness.call(BUY, &[]);
    let stream = harness.wait_for_server_call(1);
    harness.servers.answer(stream, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);
}

#[test]
fn invalid_endpoint_list_is_ignored_and_draining_endpoint_gets_no_calls() {
    let mut harness = Harness::new(2);
    harness.replace_endpoint_list("cluster_name: 7 endpoints {");
    harness.turn_until("the invalid list was read", |h| {
        h.gateway
            .metrics_text()
            .contains("chalkdeck_server_list_failures_total 1")
    });
    let read_at = |text: &str| {
        let name = "chalkdeck_server_list_read_timestamp_seconds ";
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.parse::<u64>().ok())
    };
    let list_read_at = read_at(&harness.gateway.metrics_text()).expect("the metric");
    let unix_time = std::time::UNIX_EPOCH.elapsed().expect("a date").as_secs();
    assert!(list_read_at.abs_diff(unix_time) < 600, "{list_read_at}");
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
            "the other endpoint is draining"
        );
        harness.servers.answer(stream, b"fine");
        assert_eq!(harness.wait_for_status(call), Code::Ok);
    }
}

#[test]
fn local_share_of_the_quota_applies_if_the_counter_is_unreachable() {
    let mut harness = Harness::with_counter(
        1,
        Peer::new(),
        unused_address(),
        CounterBehavior::Silent,
        &[],
    );
    let mut statuses = Vec::new();
    for _ in 0..12 {
        let call = harness.call(VIEW, &[("x-customer", "small")]);
        let seen_streams = harness.servers.incoming_streams.len();
        harness.turn_until("a call at the server, or its end", |h| {
            h.servers.incoming_streams.len() > seen_streams
                || h.client_stream(call).is_some_and(|s| s.is_ended)
        });
        if let Some(&stream) = harness.servers.incoming_streams.get(seen_streams) {
            harness.servers.answer(stream, b"fine");
        }
        statuses.push(harness.wait_for_status(call));
    }
    let served = statuses.iter().filter(|code| **code == Code::Ok).count();
    assert!(
        (1..12).contains(&served),
        "only the local share is served: {statuses:?}"
    );
    assert!(harness.metric_sum("chalkdeck_counter_calls_total", "connectfailed") >= 1.0);
}

#[test]
fn circuit_breaker_opens_after_time_outs_of_the_counter() {
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
        "the circuit breaker opens: {calls} calls"
    );
}

#[test]
fn streams_above_the_last_one_of_a_goaway_are_known_not_to_have_run() {
    // A server that answers the first request of each connection with a GOAWAY whose last stream id is 0: it processed no stream.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let is_stopping = Arc::new(AtomicBool::new(false));
    let stop_flag = is_stopping.clone();
    let server = std::thread::spawn(move || {
        let mut open_sockets = Vec::new();
        while let Ok((mut socket, _)) = listener.accept() {
            if stop_flag.load(Ordering::Relaxed) {
                return;
            }
            send_goaway_after_request(&mut socket);
            open_sockets.push(socket);
        }
    });
    let mut harness = Harness::new(1);
    let entries = [address, harness.server_addresses[0]].map(|address| ListEntry {
        address,
        health: "HEALTHY",
    });
    harness.replace_endpoint_list(&endpoint_list(&entries));
    harness.turn_until("the list", |h| {
        h.gateway.metrics_text().contains("chalkdeck_servers 2")
    });
    harness.turn_for(50);
    let mut answered = 0;
    for _ in 0..50 {
        let call = harness.call(BUY, &[]);
        harness.turn_until("a call at the other server, or its end", |h| {
            h.servers.incoming_streams.len() > answered
                || h.client_stream(call).is_some_and(|s| s.is_ended)
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
    is_stopping.store(true, Ordering::Relaxed);
    drop(std::net::TcpStream::connect(address));
    server.join().expect("the server's end");
}

/// Waits for the headers of a request, and then sends a GOAWAY with 0 as its last stream id.
fn send_goaway_after_request(socket: &mut std::net::TcpStream) {
    socket
        .write_all(&[0, 0, 0, 4, 0, 0, 0, 0, 0])
        .expect("settings");
    let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
    while !has_headers(&received) {
        match socket.read(&mut chunk) {
            Ok(n) if n > 0 => received.extend_from_slice(&chunk[..n]),
            _ => return,
        }
    }
    let goaway = [0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    let _ = socket.write_all(&goaway);
}

/// Whether a HEADERS frame (type 1) follows the connection preface of 24 bytes.
fn has_headers(received: &[u8]) -> bool {
    let mut offset = 24;
    while received.len() >= offset + 9 {
        let length = usize::from(received[offset]) << 16
            | usize::from(received[offset + 1]) << 8
            | usize::from(received[offset + 2]);
        if received[offset + 3] == 1 {
            return true;
        }
        offset += 9 + length;
    }
    false
}

#[test]
fn cancelled_attempt_is_reset_at_its_server() {
    let mut harness = Harness::new(1);
    let call = harness.call(VIEW, &[("grpc-timeout", "150m")]);
    let stream = harness.wait_for_server_call(1);
    let code = harness.wait_for_status(call);
    assert!([Code::ResourceExhausted, Code::DeadlineExceeded].contains(&code));
    harness.turn_until("the reset", |h| {
        h.servers.streams[&stream].error == Some(StreamError::Reset(h2::Reason::CANCEL))
    });
}

/// A server that failed before gets a trial request, and the attempt there is abandoned early for a retry elsewhere. The client
/// must get the response of the retry, and not the late response of the abandoned attempt.
#[test]
fn late_response_of_an_abandoned_attempt_is_discarded() {
    let mut harness = Harness::new(3);
    let failing = harness.server_addresses[0];
    let (mut seen_streams, mut failures, mut abandoned) = (0, 0, None);
    let end = Instant::now() + Duration::from_secs(15);
    while abandoned.is_none() {
        assert!(
            Instant::now() < end,
            "the failing server gets a trial request"
        );
        let call = harness.call(VIEW, &[]);
        while !harness.client_stream(call).is_some_and(|s| s.is_ended) {
            harness.turn();
            let Some(&stream) = harness.servers.incoming_streams.get(seen_streams) else {
                continue;
            };
            seen_streams += 1;
            if harness.servers.address_of(stream) != failing {
                harness.servers.answer(stream, b"fine");
            } else if failures < 2 {
                failures += 1;
                harness
                    .servers
                    .answer_with_status(stream, Code::Unavailable, false);
            } else {
                abandoned = Some(stream);
            }
        }
        if let Some(stream) = abandoned {
            assert_eq!(
                harness.wait_for_status(call),
                Code::Ok,
                "another server answered in time"
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
        "each call ends once"
    );
}

#[test]
fn removed_endpoint_finishes_its_call_before_its_connection_is_closed() {
    let mut harness = Harness::new(1);
    let call = harness.call(BUY, &[]);
    let stream = harness.wait_for_server_call(1);
    harness.replace_endpoint_list("cluster_name: \"farm\"");
    harness.turn_until("the empty list", |h| {
        h.gateway.metrics_text().contains("chalkdeck_servers 0")
    });
    harness.turn_for(50);
    assert!(
        harness.servers.closed_connections.is_empty(),
        "its call is still open"
    );
    harness.servers.answer(stream, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);
    harness.turn_until("the end of the connection", |h| {
        h.servers.closed_connections.len() == 1
    });
}
