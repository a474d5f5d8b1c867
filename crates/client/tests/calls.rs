//! Unary calls over sockets: retries, rejections, deadlines, limits and metrics.

mod common;

use bytes::Bytes;
use chalkdeck_client::{Client, Idempotency, Outcome, Settings, TimeDelta};
use chalkdeck_net::clock::{Clock, ClockJumps};
use chalkdeck_net::grpc::{self, Code};
use common::{call, start_call, start_client, start_client_with, ScriptedGateway, KEYED, TIMEOUT};
use http::{HeaderMap, HeaderValue};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An hour in microseconds.
const HOUR_MICROS: i64 = 3_600_000_000;

fn timeout_micros(headers: &HeaderMap) -> u64 {
    let text = headers[grpc::TIMEOUT].to_str().expect("text");
    grpc::parse_timeout(text).expect("a timeout")
}

#[test]
fn keyed_attempt_is_reset_then_retry_has_its_key_and_number() {
    let mut gateway = ScriptedGateway::new();
    let client = start_client(&gateway);
    let replies = start_call(&client, call(KEYED, 5_000));
    gateway.wait_for_attempts(1);
    gateway.reset(0);
    gateway.wait_for_attempts(2);
    let first = &gateway.received[0].headers;
    let second = &gateway.received[1].headers;
    assert_eq!(first["x-idempotency-key"], second["x-idempotency-key"]);
    assert_eq!(first["x-idempotency-key"].len(), 32);
    assert_eq!(
        (
            first.get(grpc::PREVIOUS_ATTEMPTS),
            second[grpc::PREVIOUS_ATTEMPTS].as_bytes()
        ),
        (None, &b"1"[..])
    );
    assert!(
        timeout_micros(second) < timeout_micros(first),
        "all attempts share one deadline"
    );
    gateway.answer(1);
    let reply = gateway.wait_for(&replies);
    assert_eq!(
        (reply.outcome, reply.attempts, reply.message),
        (Outcome::Answered, 2, Some(Bytes::from_static(b"fine")))
    );
}

#[test]
fn pushback_is_long_or_unreadable_then_the_rejection_is_reported() {
    let year = TimeDelta::from_secs(365 * 86_400);
    for (pushback, retry_after) in [("31536000000", Some(year)), ("99999999999999999999", None)] {
        let mut gateway = ScriptedGateway::new();
        let settings = Settings {
            max_attempts: 1,
            ..Settings::default()
        };
        let client = start_client_with(settings, &gateway);
        let replies = start_call(&client, call(Idempotency::NonIdempotent, 5_000));
        gateway.wait_for_attempts(1);
        gateway.reject(0, pushback);
        let outcome = gateway.wait_for(&replies).outcome;
        assert_eq!(outcome, Outcome::Rejected { retry_after });
    }
}

#[test]
fn pushback_has_no_retry_time_then_the_call_is_retried_after_a_backoff() {
    for pushback in ["0", "-1", "soon"] {
        let mut gateway = ScriptedGateway::new();
        let client = start_client(&gateway);
        let replies = start_call(&client, call(Idempotency::NonIdempotent, 5_000));
        gateway.wait_for_attempts(1);
        gateway.reject(0, pushback);
        gateway.wait_for_attempts(2);
        gateway.answer(1);
        assert_eq!(
            gateway.wait_for(&replies).outcome,
            Outcome::Answered,
            "{pushback}"
        );
    }
}

#[test]
fn gateway_is_unavailable_without_unprocessed_trailer_then_a_non_idempotent_call_fails() {
    let mut gateway = ScriptedGateway::new();
    let client = start_client(&gateway);
    let replies = start_call(&client, call(Idempotency::NonIdempotent, 5_000));
    gateway.wait_for_attempts(1);
    gateway.respond_with_trailers(0, grpc::trailers(Code::Unavailable, "away"));
    let reply = gateway.wait_for(&replies);
    assert_eq!((reply.outcome, reply.attempts), (Outcome::Failed, 1));
}

#[test]
fn gateway_states_that_it_did_not_process_the_call_then_a_non_idempotent_call_is_retried() {
    let mut gateway = ScriptedGateway::new();
    let client = start_client(&gateway);
    let replies = start_call(&client, call(Idempotency::NonIdempotent, 5_000));
    gateway.wait_for_attempts(1);
    let mut trailers = grpc::trailers(Code::Unavailable, "away");
    trailers.insert("x-chalkdeck-unprocessed", HeaderValue::from_static("1"));
    gateway.respond_with_trailers(0, trailers);
    gateway.wait_for_attempts(2);
    gateway.answer(1);
    let reply = gateway.wait_for(&replies);
    assert_eq!((reply.outcome, reply.attempts), (Outcome::Answered, 2));
}

#[test]
fn gateway_does_not_answer_then_a_blocking_call_ends_at_its_deadline() {
    let gateway = ScriptedGateway::new();
    let client = start_client(&gateway);
    let started_at = Instant::now();
    let reply = client.call(call(Idempotency::Idempotent, 200));
    assert!(matches!(reply.outcome, Outcome::DeadlineExceeded { .. }));
    assert!(started_at.elapsed() >= Duration::from_millis(190));
}

#[test]
fn call_is_cancelled_then_it_ends_at_once() {
    let mut gateway = ScriptedGateway::new();
    let client = start_client(&gateway);
    let (sender, replies) = channel();
    let long_call = call(Idempotency::Idempotent, 60_000);
    let handle = client.start_call(long_call, move |reply| {
        let _ = sender.send(reply);
    });
    gateway.wait_for_attempts(1);
    handle.cancel();
    assert_eq!(gateway.wait_for(&replies).outcome, Outcome::Cancelled);
}

#[test]
fn too_many_calls_are_open_then_the_next_is_rejected_at_once() {
    let unused_port = std::net::TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port");
    let settings = Settings {
        max_pending: 3,
        max_in_flight_per_gateway: 1,
        ..Settings::default()
    };
    let client = Client::start(settings, vec![unused_port]).expect("a client");
    let (sender, replies) = channel();
    let try_start = || {
        let sender = sender.clone();
        client.try_start_call(call(Idempotency::Idempotent, 300), move |reply| {
            let _ = sender.send(reply);
        })
    };
    let accepted = (0..10).filter(|_| try_start().is_ok()).count();
    assert_eq!(accepted, 4);
    for _ in 0..accepted {
        replies
            .recv_timeout(TIMEOUT)
            .expect("every accepted call ends");
    }
    assert!(try_start().is_ok(), "calls are accepted again");
    let stats = client.stats();
    assert_eq!(
        stats.failed + stats.dropped + stats.rejected,
        4,
        "{stats:?}"
    );
}

#[test]
fn clock_jumps_then_calls_still_end_by_their_deadlines() {
    let mut gateway = ScriptedGateway::new();
    let jumps = Arc::new(ClockJumps::default());
    let clock = Clock::shifted(jumps.clone());
    let client = Client::start_with_clock(Settings::default(), vec![gateway.address], clock)
        .expect("a client");
    let exceeded = Outcome::DeadlineExceeded { may_have_run: true };

    let replies = start_call(&client, call(Idempotency::NonIdempotent, 300));
    gateway.wait_for_attempts(1);
    jumps.jump(-HOUR_MICROS);
    let jumped_at = Instant::now();
    assert_eq!(gateway.wait_for(&replies).outcome, exceeded);
    assert!(
        jumped_at.elapsed() < Duration::from_secs(10),
        "a jump back by an hour does not delay a deadline"
    );

    let replies = start_call(&client, call(KEYED, 60_000));
    gateway.wait_for_attempts(2);
    jumps.jump(HOUR_MICROS);
    gateway.reset(1);
    assert_eq!(gateway.wait_for(&replies).outcome, exceeded);
    assert_eq!(
        gateway.received.len(),
        2,
        "the key window is over after a jump of an hour"
    );

    let replies = start_call(&client, call(Idempotency::Idempotent, 60_000));
    gateway.wait_for_attempts(3);
    gateway.answer(2);
    assert_eq!(gateway.wait_for(&replies).outcome, Outcome::Answered);
}

#[test]
fn call_is_answered_then_metrics_and_stats_count_it() {
    let mut gateway = ScriptedGateway::new();
    let client = start_client(&gateway);
    let mut registry = prometheus_client::registry::Registry::default();
    client.register_metrics(&mut registry);
    let replies = start_call(&client, call(Idempotency::Idempotent, 5_000));
    gateway.wait_for_attempts(1);
    gateway.answer(0);
    gateway.wait_for(&replies);
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry).expect("text");
    for line in [
        "chalkdeck_client_answered_total 1",
        "chalkdeck_client_tries_total 1",
        "chalkdeck_client_open 0",
    ] {
        assert!(
            text.lines().any(|other| other == line),
            "{line} is missing in\n{text}"
        );
    }
    assert_eq!(client.stats().answered, 1);
}
