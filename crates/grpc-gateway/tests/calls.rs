//! Calls of all kinds from a client over the gateway to a server and back.
mod common;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::StreamError;
use common::*;

#[test]
fn a_unary_call_goes_there_and_back_with_its_metadata() {
    let mut rig = Rig::new(2);
    let call = rig.call(VIEW, &[("x-trace", "t1"), ("grpc-timeout", "900m")]);
    let stream = rig.arrived(1);
    rig.until("the request's end", |r| r.servers.seen[&stream].ended);
    let seen = &rig.servers.seen[&stream];
    assert_eq!(
        (seen.headers["x-trace"].as_bytes(), seen.path.as_str()),
        (&b"t1"[..], VIEW)
    );
    let left = grpc::parse_timeout(seen.headers["grpc-timeout"].to_str().expect("text"))
        .expect("a timeout");
    assert!(
        left > 0 && left <= 900_000,
        "what is left is passed on: {left}"
    );
    assert_eq!(seen.gather.message().map(|m| &m[..]), Some(&b"ask"[..]));
    rig.servers.answer(stream, b"fine");
    assert_eq!(rig.ended(call), Code::Ok);
    assert_eq!(
        rig.client.seen[&call].gather.message().map(|m| &m[..]),
        Some(&b"fine"[..])
    );
    assert_eq!(rig.metric("chalkdeck_calls_ended_total", "served"), 1.0);
}

#[test]
fn a_server_s_own_status_reaches_the_client_as_it_is() {
    let mut rig = Rig::new(2);
    for (i, code) in [Code::NotFound, Code::Internal, Code::ResourceExhausted]
        .into_iter()
        .enumerate()
    {
        let call = rig.call(BUY, &[]);
        let stream = rig.arrived(i + 1);
        rig.servers.status(stream, code, false);
        assert_eq!(rig.ended(call), code);
        assert_eq!(
            grpc::message_of(rig.client.seen[&call].trailers.as_ref().expect("trailers")),
            "said by the server"
        );
    }
    assert_eq!(
        rig.servers.opened.len(),
        3,
        "an answer is not asked for again"
    );
}

#[test]
fn messages_of_a_streamed_answer_come_as_they_are_sent() {
    let mut rig = Rig::with(
        1,
        CounterMood::Answers,
        &[("deadline_ms: 8000", "deadline_ms: 1500")],
    );
    let call = rig.call(WATCH, &[]);
    let stream = rig.arrived(1);
    rig.servers.engine.respond(stream, grpc::head(), false);
    for sent in 1..=3 {
        rig.servers.engine.send(stream, grpc::frame(b"tick"));
        rig.until("a message", |r| {
            r.heard(call).is_some_and(|s| s.bytes == sent * 9)
        });
    }
    // It has started: the class's deadline no longer ends it.
    rig.pass(1_700);
    assert!(rig
        .heard(call)
        .is_some_and(|s| !s.ended && s.broken.is_none()));
    rig.servers
        .engine
        .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    assert_eq!(rig.ended(call), Code::Ok);
}

#[test]
fn a_client_s_own_deadline_ends_a_started_stream() {
    let mut rig = Rig::new(1);
    let call = rig.call(WATCH, &[("grpc-timeout", "300m")]);
    let stream = rig.arrived(1);
    rig.servers.engine.respond(stream, grpc::head(), false);
    rig.servers.engine.send(stream, grpc::frame(b"tick"));
    assert_eq!(rig.ended(call), Code::DeadlineExceeded);
    rig.until("the server hears it", |r| {
        r.servers.seen[&stream].broken.is_some()
    });
}

#[test]
fn both_sides_of_a_stream_talk_in_turn() {
    let mut rig = Rig::new(1);
    let call = rig.open("/farm.v1.Farm/WatchBoth", &[]);
    let stream = rig.arrived(1);
    rig.servers.engine.respond(stream, grpc::head(), false);
    for turn in 1..=5 {
        rig.client.engine.send(call, grpc::frame(b"ping"));
        rig.until("the client's message", |r| {
            r.servers.seen[&stream].bytes == turn * 9
        });
        rig.servers.engine.send(stream, grpc::frame(b"pong"));
        rig.until("the server's message", |r| {
            r.heard(call).is_some_and(|s| s.bytes == turn * 9)
        });
    }
    rig.client.engine.finish(call, None);
    rig.until("the client's end", |r| r.servers.seen[&stream].ended);
    rig.servers
        .engine
        .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    assert_eq!(rig.ended(call), Code::Ok);
}

#[test]
fn a_client_may_send_many_messages_before_its_one_answer() {
    let mut rig = Rig::new(1);
    let call = rig.open(VIEW, &[]);
    let stream = rig.arrived(1);
    for _ in 0..10 {
        rig.client.engine.send(call, grpc::frame(b"part"));
    }
    rig.until("all messages", |r| r.servers.seen[&stream].bytes == 90);
    rig.client.engine.finish(call, None);
    rig.until("the end", |r| r.servers.seen[&stream].ended);
    rig.servers.answer(stream, b"sum");
    assert_eq!(rig.ended(call), Code::Ok);
}

#[test]
fn beyond_its_quota_a_customer_is_refused_with_a_time_to_come_back() {
    let mut rig = Rig::new(1);
    let mut refused = None;
    for i in 0..8 {
        let call = rig.call(VIEW, &[("x-customer", "small")]);
        rig.until("a server or an answer", |r| {
            r.servers.opened.len() > i || r.heard(call).is_some_and(|s| s.ended)
        });
        if rig.servers.opened.len() <= i {
            refused = Some(call);
            break;
        }
        let stream = rig.servers.opened[i];
        rig.servers.answer(stream, b"fine");
        assert_eq!(rig.ended(call), Code::Ok);
    }
    let refused = refused.expect("a burst of four is all that it has");
    assert_eq!(rig.ended(refused), Code::ResourceExhausted);
    let trailers = rig.client.seen[&refused]
        .trailers
        .clone()
        .expect("trailers");
    let pushback: u64 = trailers[grpc::PUSHBACK]
        .to_str()
        .expect("text")
        .parse()
        .expect("milliseconds");
    let told = grpc::retry_info(&trailers).expect("retry info");
    assert!(
        pushback <= 5_000 && told.div_ceil(1_000) == pushback,
        "{pushback} ms and {told} us are one"
    );
    assert!(rig.adds > 0, "the counter was asked");
}

#[test]
fn units_of_a_call_count_against_the_quota() {
    let mut rig = Rig::new(1);
    let first = rig.call(VIEW, &[("x-customer", "small"), ("x-units", "4")]);
    let stream = rig.arrived(1);
    rig.servers.answer(stream, b"fine");
    assert_eq!(rig.ended(first), Code::Ok);
    let second = rig.call(VIEW, &[("x-customer", "small"), ("x-units", "4")]);
    assert_eq!(rig.ended(second), Code::ResourceExhausted);
}

#[test]
fn what_is_no_call_is_told_so() {
    let mut rig = Rig::new(1);
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
        let call = rig.call(path, metadata);
        assert_eq!(rig.ended(call), code, "{path} {metadata:?}");
    }
    let call = rig.call(VIEW, &[("content-type", "application/json")]);
    rig.until("an HTTP answer", |r| {
        r.heard(call).is_some_and(|s| s.head.is_some())
    });
    assert_eq!(
        rig.client.seen[&call].head,
        Some(http::StatusCode::UNSUPPORTED_MEDIA_TYPE)
    );
    assert!(rig.servers.opened.is_empty(), "none of them was sent on");
    assert_eq!(rig.metric("chalkdeck_calls_rejected_total", ""), 8.0);
}

#[test]
fn a_thousand_calls_on_one_connection() {
    let mut rig = Rig::new(2);
    let calls: Vec<_> = (0..1000).map(|_| rig.call(WATCH, &[])).collect();
    rig.until("calls at the servers or refused", |r| {
        let refused = calls
            .iter()
            .filter(|c| r.heard(**c).is_some_and(|s| s.ended))
            .count();
        r.servers.opened.len() + refused >= 1000
    });
    for stream in rig.servers.opened.clone() {
        rig.servers.answer(stream, b"fine");
    }
    for call in &calls {
        assert!([Code::Ok, Code::ResourceExhausted].contains(&rig.ended(*call)));
    }
    let served = rig.metric("chalkdeck_calls_ended_total", "served");
    let refused = rig.metric("chalkdeck_calls_ended_total", "refused");
    assert_eq!(served + refused, 1000.0);
    assert!(served >= 1.0);
}

#[test]
fn a_client_that_goes_away_is_gone_at_the_server_too() {
    for begun in [false, true] {
        let mut rig = Rig::new(2);
        let call = rig.call(WATCH, &[]);
        let stream = rig.arrived(1);
        if begun {
            rig.servers.engine.respond(stream, grpc::head(), false);
            rig.servers.engine.send(stream, grpc::frame(b"tick"));
            rig.until("the first message", |r| {
                r.heard(call).is_some_and(|s| s.bytes > 0)
            });
        }
        rig.client.engine.reset(call, h2::Reason::CANCEL);
        rig.until("the server hears it", |r| {
            r.servers.seen[&stream].broken.is_some()
        });
        assert_eq!(
            rig.servers.seen[&stream].broken,
            Some(StreamError::Reset(h2::Reason::CANCEL))
        );
        assert_eq!(rig.metric("chalkdeck_calls_ended_total", "gone"), 1.0);
        assert_eq!(rig.servers.opened.len(), 1, "nothing is sent for it after");
    }
}

#[test]
fn a_client_s_lost_connection_ends_all_its_calls() {
    let mut rig = Rig::new(1);
    for _ in 0..20 {
        rig.call(WATCH, &[]);
    }
    rig.until("calls at the server", |r| !r.servers.opened.is_empty());
    rig.pass(50);
    rig.client.engine.close(rig.conn);
    rig.until("all gone", |r| {
        r.servers
            .opened
            .iter()
            .all(|s| r.servers.seen[s].broken.is_some())
    });
    rig.until("no call is held", |r| r.gateway.open_call_count() == 0);
}
