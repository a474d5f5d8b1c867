//! Calls of all kinds through the gateway: unary, streaming, invalid, rejected and cancelled ones.
mod common;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::StreamError;
use common::*;

#[test]
fn unary_call_is_forwarded_with_its_metadata_and_answered() {
    let mut harness = Harness::new(2);
    let call = harness.call(VIEW, &[("x-trace", "t1"), ("grpc-timeout", "900m")]);
    let stream = harness.wait_for_server_call(1);
    harness.turn_until("the request's end", |h| h.servers.streams[&stream].is_ended);
    let received = &harness.servers.streams[&stream];
    assert_eq!(
        (
            received.headers["x-trace"].as_bytes(),
            received.path.as_str()
        ),
        (&b"t1"[..], VIEW)
    );
    let remaining = grpc::parse_timeout(received.headers["grpc-timeout"].to_str().expect("text"))
        .expect("a timeout");
    assert!(
        remaining > 0 && remaining <= 900_000,
        "the remaining time is forwarded: {remaining}"
    );
    assert_eq!(
        received.unary_message.message().map(|m| &m[..]),
        Some(&b"ask"[..])
    );
    harness.servers.answer(stream, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);
    assert_eq!(
        harness.client.streams[&call]
            .unary_message
            .message()
            .map(|m| &m[..]),
        Some(&b"fine"[..])
    );
    assert_eq!(
        harness.metric_sum("chalkdeck_calls_ended_total", "served"),
        1.0
    );
}

#[test]
fn status_of_the_server_reaches_the_client_unchanged() {
    let mut harness = Harness::new(2);
    for (i, code) in [Code::NotFound, Code::Internal, Code::ResourceExhausted]
        .into_iter()
        .enumerate()
    {
        let call = harness.call(BUY, &[]);
        let stream = harness.wait_for_server_call(i + 1);
        harness.servers.answer_with_status(stream, code, false);
        assert_eq!(harness.wait_for_status(call), code);
        assert_eq!(
            grpc::decode_message(
                harness.client.streams[&call]
                    .trailers
                    .as_ref()
                    .expect("trailers")
            ),
            "message of the server"
        );
    }
    assert_eq!(
        harness.servers.incoming_streams.len(),
        3,
        "an answered call is not retried"
    );
}

#[test]
fn streamed_messages_are_forwarded_as_they_are_sent() {
    let mut harness = Harness::with_settings(
        1,
        CounterBehavior::Answers,
        &[("deadline_ms: 8000", "deadline_ms: 1500")],
    );
    let call = harness.call(WATCH, &[]);
    let stream = harness.wait_for_server_call(1);
    harness
        .servers
        .engine
        .respond(stream, grpc::response_head(), false);
    for sent in 1..=3 {
        harness.servers.engine.send(stream, grpc::frame(b"tick"));
        harness.turn_until("a message", |h| {
            h.client_stream(call)
                .is_some_and(|s| s.received_bytes == sent * 9)
        });
    }
    // The deadline of the class does not apply to a started response.
    harness.turn_for(1_700);
    assert!(harness
        .client_stream(call)
        .is_some_and(|s| !s.is_ended && s.error.is_none()));
    harness
        .servers
        .engine
        .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    assert_eq!(harness.wait_for_status(call), Code::Ok);
}

#[test]
fn client_deadline_ends_a_started_stream() {
    let mut harness = Harness::new(1);
    let call = harness.call(WATCH, &[("grpc-timeout", "300m")]);
    let stream = harness.wait_for_server_call(1);
    harness
        .servers
        .engine
        .respond(stream, grpc::response_head(), false);
    harness.servers.engine.send(stream, grpc::frame(b"tick"));
    assert_eq!(harness.wait_for_status(call), Code::DeadlineExceeded);
    harness.turn_until("the reset at the server", |h| {
        h.servers.streams[&stream].error.is_some()
    });
}

#[test]
fn bidirectional_stream_forwards_messages_of_both_sides() {
    let mut harness = Harness::new(1);
    let call = harness.open_call("/farm.v1.Farm/WatchBoth", &[]);
    let stream = harness.wait_for_server_call(1);
    harness
        .servers
        .engine
        .respond(stream, grpc::response_head(), false);
    for round in 1..=5 {
        harness.client.engine.send(call, grpc::frame(b"ping"));
        harness.turn_until("the client's message", |h| {
            h.servers.streams[&stream].received_bytes == round * 9
        });
        harness.servers.engine.send(stream, grpc::frame(b"pong"));
        harness.turn_until("the server's message", |h| {
            h.client_stream(call)
                .is_some_and(|s| s.received_bytes == round * 9)
        });
    }
    harness.client.engine.finish(call, None);
    harness.turn_until("the client's end", |h| h.servers.streams[&stream].is_ended);
    harness
        .servers
        .engine
        .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    assert_eq!(harness.wait_for_status(call), Code::Ok);
}

#[test]
fn client_stream_is_forwarded_before_its_single_response() {
    let mut harness = Harness::new(1);
    let call = harness.open_call(VIEW, &[]);
    let stream = harness.wait_for_server_call(1);
    for _ in 0..10 {
        harness.client.engine.send(call, grpc::frame(b"part"));
    }
    harness.turn_until("all messages", |h| {
        h.servers.streams[&stream].received_bytes == 90
    });
    harness.client.engine.finish(call, None);
    harness.turn_until("the end", |h| h.servers.streams[&stream].is_ended);
    harness.servers.answer(stream, b"sum");
    assert_eq!(harness.wait_for_status(call), Code::Ok);
}

#[test]
fn customer_over_quota_is_rejected_with_a_retry_time() {
    let mut harness = Harness::new(1);
    let mut rejected = None;
    for i in 0..8 {
        let call = harness.call(VIEW, &[("x-customer", "small")]);
        harness.turn_until("a server or an answer", |h| {
            h.servers.incoming_streams.len() > i
                || h.client_stream(call).is_some_and(|s| s.is_ended)
        });
        if harness.servers.incoming_streams.len() <= i {
            rejected = Some(call);
            break;
        }
        let stream = harness.servers.incoming_streams[i];
        harness.servers.answer(stream, b"fine");
        assert_eq!(harness.wait_for_status(call), Code::Ok);
    }
    let rejected = rejected.expect("a rejected call after a burst of 4 units");
    assert_eq!(harness.wait_for_status(rejected), Code::ResourceExhausted);
    let trailers = harness.client.streams[&rejected]
        .trailers
        .clone()
        .expect("trailers");
    let pushback: u64 = trailers[grpc::RETRY_PUSHBACK]
        .to_str()
        .expect("text")
        .parse()
        .expect("milliseconds");
    let retry_delay = grpc::decode_retry_info(&trailers).expect("retry info");
    assert!(
        pushback <= 5_000 && retry_delay.div_ceil(1_000) == pushback,
        "{pushback} ms and {retry_delay} us are equal"
    );
    assert!(harness.increment_count > 0, "the counter was used");
}

#[test]
fn units_of_a_call_count_against_the_quota() {
    let mut harness = Harness::new(1);
    let first = harness.call(VIEW, &[("x-customer", "small"), ("x-units", "4")]);
    let stream = harness.wait_for_server_call(1);
    harness.servers.answer(stream, b"fine");
    assert_eq!(harness.wait_for_status(first), Code::Ok);
    let second = harness.call(VIEW, &[("x-customer", "small"), ("x-units", "4")]);
    assert_eq!(harness.wait_for_status(second), Code::ResourceExhausted);
}

#[test]
fn invalid_calls_are_rejected_with_their_status() {
    let mut harness = Harness::new(1);
    type Metadata<'a> = &'a [(&'a str, &'a str)];
    let cases: [(&str, Metadata, Code); 7] = [
        ("/farm.v1.Farm/Nothing", &[], Code::Unimplemented),
        (VIEW, &[("x-customer", "")], Code::Unauthenticated),
        (VIEW, &[("grpc-timeout", "5x")], Code::InvalidArgument),
        (
            VIEW,
            &[("grpc-timeout", "123456789S")],
            Code::InvalidArgument,
        ),
        (VIEW, &[("x-units", "many")], Code::InvalidArgument),
        (VIEW, &[("x-units", "5")], Code::InvalidArgument),
        (VIEW, &[("x-units", "-1")], Code::InvalidArgument),
    ];
    for (path, metadata, code) in cases {
        let call = harness.call(path, metadata);
        assert_eq!(harness.wait_for_status(call), code, "{path} {metadata:?}");
    }
    let call = harness.call(VIEW, &[("content-type", "application/json")]);
    harness.turn_until("an HTTP response", |h| {
        h.client_stream(call)
            .is_some_and(|s| s.http_status.is_some())
    });
    assert_eq!(
        harness.client.streams[&call].http_status,
        Some(http::StatusCode::UNSUPPORTED_MEDIA_TYPE)
    );
    assert!(
        harness.servers.incoming_streams.is_empty(),
        "none of them was forwarded"
    );
    assert_eq!(
        harness.metric_sum("chalkdeck_calls_rejected_total", ""),
        8.0
    );
}

#[test]
fn thousand_calls_on_one_connection_are_served_or_rejected() {
    let mut harness = Harness::new(2);
    let calls: Vec<_> = (0..1000).map(|_| harness.call(WATCH, &[])).collect();
    harness.turn_until("calls at the servers or rejected", |h| {
        let rejected = calls
            .iter()
            .filter(|c| h.client_stream(**c).is_some_and(|s| s.is_ended))
            .count();
        h.servers.incoming_streams.len() + rejected >= 1000
    });
    for stream in harness.servers.incoming_streams.clone() {
        harness.servers.answer(stream, b"fine");
    }
    for call in &calls {
        assert!([Code::Ok, Code::ResourceExhausted].contains(&harness.wait_for_status(*call)));
    }
    let served = harness.metric_sum("chalkdeck_calls_ended_total", "served");
    let rejected = harness.metric_sum("chalkdeck_calls_ended_total", "refused");
    assert_eq!(served + rejected, 1000.0);
    assert!(served >= 1.0);
}

#[test]
fn cancellation_by_the_client_resets_the_server_stream() {
    for has_response_started in [false, true] {
        let mut harness = Harness::new(2);
        let call = harness.call(WATCH, &[]);
        let stream = harness.wait_for_server_call(1);
        if has_response_started {
            harness
                .servers
                .engine
                .respond(stream, grpc::response_head(), false);
            harness.servers.engine.send(stream, grpc::frame(b"tick"));
            harness.turn_until("the first message", |h| {
                h.client_stream(call).is_some_and(|s| s.received_bytes > 0)
            });
        }
        harness.client.engine.reset(call, h2::Reason::CANCEL);
        harness.turn_until("the reset at the server", |h| {
            h.servers.streams[&stream].error.is_some()
        });
        assert_eq!(
            harness.servers.streams[&stream].error,
            Some(StreamError::Reset(h2::Reason::CANCEL))
        );
        assert_eq!(
            harness.metric_sum("chalkdeck_calls_ended_total", "gone"),
            1.0
        );
        assert_eq!(
            harness.servers.incoming_streams.len(),
            1,
            "the call is not retried"
        );
    }
}

#[test]
fn lost_client_connection_ends_all_its_calls() {
    let mut harness = Harness::new(1);
    for _ in 0..20 {
        harness.call(WATCH, &[]);
    }
    harness.turn_until("calls at the server", |h| {
        !h.servers.incoming_streams.is_empty()
    });
    harness.turn_for(50);
    harness.client.engine.close(harness.connection);
    harness.turn_until("resets at the server", |h| {
        h.servers
            .incoming_streams
            .iter()
            .all(|s| h.servers.streams[s].error.is_some())
    });
    harness.turn_until("no open call", |h| h.gateway.open_call_count() == 0);
}
