//! Large bodies, slow readers and floods: memory stays bounded, and other clients are served.
mod common;
use chalkdeck_net::grpc::{self, Code};
use common::*;
use std::io::Write;
use std::net::TcpStream;

const LARGE_BODY_BYTES: usize = 50 << 20;
/// The maximum size that a gateway may buffer of one call: a flow-control window and a buffer on either side, and socket buffers.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// Sends another call and checks that it is served.
fn assert_others_are_served(harness: &mut Harness) {
    let before = harness.servers.incoming_streams.len();
    let call = harness.call(BUY, &[]);
    let stream = harness.wait_for_server_call(before + 1);
    harness.servers.answer(stream, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);
}

#[test]
fn slow_client_holds_a_large_response_back_at_the_server() {
    let mut harness = Harness::new(1);
    let call = harness.call(WATCH, &[]);
    let stream = harness.wait_for_server_call(1);
    harness.client.withholds_window = true;
    harness
        .servers
        .engine
        .respond(stream, grpc::response_head(), false);
    harness
        .servers
        .engine
        .send(stream, payload(LARGE_BODY_BYTES));
    harness
        .servers
        .engine
        .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    harness.turn_until("the first bytes", |h| {
        h.client_stream(call).is_some_and(|s| s.received_bytes > 0)
    });
    harness.turn_for(200);
    let unsent = harness.servers.engine.queued_bytes(stream);
    assert!(
        unsent > LARGE_BODY_BYTES - MAX_BUFFERED_BYTES,
        "the gateway buffered {} bytes",
        LARGE_BODY_BYTES - unsent
    );
    harness.client.withholds_window = false;
    assert_others_are_served(&mut harness);
    let received = harness.client.streams[&call].received_bytes;
    harness.client.engine.consume(call, received);
    assert_eq!(harness.wait_for_status(call), Code::Ok);
    assert_eq!(
        harness.client.streams[&call].received_bytes,
        LARGE_BODY_BYTES + 5
    );
}

#[test]
fn large_unary_response_is_forwarded_whole() {
    let mut harness = Harness::new(1);
    let call = harness.call(VIEW, &[]);
    let stream = harness.wait_for_server_call(1);
    harness.servers.answer(stream, &vec![1; 3 << 20]);
    assert_eq!(harness.wait_for_status(call), Code::Ok);
    assert_eq!(harness.client.streams[&call].received_bytes, (3 << 20) + 5);
}

#[test]
fn slow_server_holds_a_large_request_back_at_the_client() {
    let mut harness = Harness::new(1);
    let call = harness.open_call(WATCH, &[]);
    harness.servers.withholds_window = true;
    harness.client.engine.send(call, payload(LARGE_BODY_BYTES));
    harness.client.engine.finish(call, None);
    let stream = harness.wait_for_server_call(1);
    harness.turn_until("the first bytes", |h| {
        h.servers.streams[&stream].received_bytes > 0
    });
    harness.turn_for(200);
    let unsent = harness.client.engine.queued_bytes(call);
    assert!(
        unsent > LARGE_BODY_BYTES - MAX_BUFFERED_BYTES,
        "the gateway buffered {} bytes",
        LARGE_BODY_BYTES - unsent
    );
    harness.servers.withholds_window = false;
    let received = harness.servers.streams[&stream].received_bytes;
    harness.servers.engine.consume(stream, received);
    harness.turn_until("the whole body", |h| {
        h.servers.streams[&stream].received_bytes == LARGE_BODY_BYTES + 5
    });
    harness.servers.answer(stream, b"fine");
    assert_eq!(harness.wait_for_status(call), Code::Ok);
}

#[test]
fn request_body_over_the_buffer_limit_is_not_retried() {
    for (bytes, attempts) in [(1 << 10, 2), (1 << 20, 1)] {
        let mut harness = Harness::new(3);
        let call = harness.open_call(VIEW, &[]);
        harness.client.engine.send(call, payload(bytes));
        harness.client.engine.finish(call, None);
        let stream = harness.wait_for_server_call(1);
        harness.turn_until("the whole body", |h| {
            h.servers.streams[&stream].received_bytes == bytes + 5
        });
        harness
            .servers
            .engine
            .reset(stream, h2::Reason::INTERNAL_ERROR);
        harness.turn_until("a second attempt or an end", |h| {
            h.servers.incoming_streams.len() > 1
                || h.client_stream(call).is_some_and(|s| s.is_ended)
        });
        assert_eq!(
            harness.servers.incoming_streams.len(),
            attempts,
            "{bytes} bytes"
        );
        if attempts == 1 {
            assert_eq!(
                harness.wait_for_status(call),
                Code::ResourceExhausted,
                "an idempotent call is rejected rather than failed"
            );
            continue;
        }
        let second_stream = harness.servers.incoming_streams[1];
        harness.turn_until("the whole body in the second attempt", |h| {
            h.servers.streams[&second_stream].received_bytes == bytes + 5
        });
        harness.servers.answer(second_stream, b"fine");
        assert_eq!(harness.wait_for_status(call), Code::Ok);
    }
}

#[test]
fn oversized_metadata_fails_only_its_own_call() {
    let mut harness = Harness::new(1);
    let long = "x".repeat(40_000);
    let call = harness.call(BUY, &[("x-long", &long)]);
    harness.turn_until("the end of the call", |h| {
        h.client_stream(call)
            .is_some_and(|s| s.http_status.is_some() || s.error.is_some())
    });
    let received = &harness.client.streams[&call];
    let has_http_status =
        received.http_status == Some(http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    assert!(has_http_status || received.error.is_some());
    assert!(harness.servers.incoming_streams.is_empty());
    assert_others_are_served(&mut harness);
}

#[test]
fn reset_flood_closes_only_its_own_connection() {
    let mut harness = Harness::new(1);
    let flooding = harness.client.connect(harness.gateway.listen_address());
    harness.turn_until("a second connection", |h| {
        h.client.established_connections.contains(&flooding)
    });
    let mut sent = 0;
    while !harness.client.closed_connections.contains(&flooding) && sent < 20_000 {
        for _ in 0..50 {
            let head = grpc::request_head("gateway", WATCH).expect("a head");
            if let Some(stream) = harness.client.engine.open_stream(flooding, head, false) {
                harness.client.turn();
                harness.client.engine.reset(stream, h2::Reason::CANCEL);
                sent += 1;
            }
        }
        harness.turn();
    }
    assert!(
        harness.client.closed_connections.contains(&flooding),
        "open after {sent} resets"
    );
    assert_others_are_served(&mut harness);
    harness.turn_until("no open call", |h| h.gateway.open_call_count() == 0);
}

#[test]
fn ping_flood_does_not_delay_other_clients() {
    let mut harness = Harness::new(1);
    let mut socket = TcpStream::connect(harness.gateway.listen_address()).expect("a connection");
    socket.set_nonblocking(true).expect("a non-blocking socket");
    let mut flood = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    flood.extend([0, 0, 0, 4, 0, 0, 0, 0, 0]);
    for i in 0..100_000_u32 {
        flood.extend([0, 0, 8, 6, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
        flood.extend(i.to_be_bytes());
    }
    // The flooding client never reads the acknowledgements.
    let mut sent = 0;
    for _ in 0..50 {
        while let Ok(written) = socket.write(&flood[sent..]) {
            sent += written;
            if sent == flood.len() {
                break;
            }
        }
        assert_others_are_served(&mut harness);
    }
    assert!(sent > 50 * 17, "many pings were sent");
}

#[test]
fn invalid_http2_bytes_affect_only_their_own_connection() {
    let mut harness = Harness::new(1);
    for garbage in [
        &b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"[..],
        &[0xff; 300][..],
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\x09\x07\0",
    ] {
        let mut socket =
            TcpStream::connect(harness.gateway.listen_address()).expect("a connection");
        socket.write_all(garbage).expect("bytes sent");
        drop(socket);
        assert_others_are_served(&mut harness);
    }
}
