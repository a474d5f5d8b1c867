//! Big bodies, slow readers and floods: what is held stays bounded and others are served.
mod common;
use chalkdeck_net::grpc::{self, Code};
use common::*;
use std::io::Write;
use std::net::TcpStream;

const BIG: usize = 50 << 20;
/// What a gateway may hold of one call: a window and what is kept on either side, and socket buffers between.
const HELD: usize = 16 << 20;

/// Another client's call is served meanwhile.
fn others_are_served(rig: &mut Rig) {
    let before = rig.servers.opened.len();
    let call = rig.call(BUY, &[]);
    let stream = rig.arrived(before + 1);
    rig.servers.answer(stream, b"fine");
    assert_eq!(rig.ended(call), Code::Ok);
}

#[test]
fn a_big_answer_waits_at_its_server_for_a_slow_client() {
    let mut rig = Rig::new(1);
    let call = rig.call(WATCH, &[]);
    let stream = rig.arrived(1);
    rig.client.slow = true;
    rig.servers.engine.respond(stream, grpc::head(), false);
    rig.servers.engine.send(stream, payload(BIG));
    rig.servers
        .engine
        .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    rig.until("the first bytes", |r| {
        r.heard(call).is_some_and(|s| s.bytes > 0)
    });
    rig.pass(200);
    let left = rig.servers.engine.queued(stream);
    assert!(
        left > BIG - HELD,
        "the gateway took in {} bytes",
        BIG - left
    );
    rig.client.slow = false;
    others_are_served(&mut rig);
    let heard = rig.client.seen[&call].bytes;
    rig.client.engine.consume(call, heard);
    assert_eq!(rig.ended(call), Code::Ok);
    assert_eq!(rig.client.seen[&call].bytes, BIG + 5);
}

#[test]
fn a_big_unary_answer_goes_through_without_being_kept() {
    let mut rig = Rig::new(1);
    let call = rig.call(VIEW, &[]);
    let stream = rig.arrived(1);
    rig.servers.answer(stream, &vec![1; 3 << 20]);
    assert_eq!(rig.ended(call), Code::Ok);
    assert_eq!(rig.client.seen[&call].bytes, (3 << 20) + 5);
}

#[test]
fn a_big_request_waits_at_its_client_for_a_slow_server() {
    let mut rig = Rig::new(1);
    let call = rig.open(WATCH, &[]);
    rig.servers.slow = true;
    rig.client.engine.send(call, payload(BIG));
    rig.client.engine.finish(call, None);
    let stream = rig.arrived(1);
    rig.until("the first bytes", |r| r.servers.seen[&stream].bytes > 0);
    rig.pass(200);
    let left = rig.client.engine.queued(call);
    assert!(
        left > BIG - HELD,
        "the gateway took in {} bytes",
        BIG - left
    );
    rig.servers.slow = false;
    let heard = rig.servers.seen[&stream].bytes;
    rig.servers.engine.consume(stream, heard);
    rig.until("the whole body", |r| {
        r.servers.seen[&stream].bytes == BIG + 5
    });
    rig.servers.answer(stream, b"fine");
    assert_eq!(rig.ended(call), Code::Ok);
}

#[test]
fn a_body_too_big_to_keep_is_sent_once_only() {
    for (bytes, attempts) in [(1 << 10, 2), (1 << 20, 1)] {
        let mut rig = Rig::new(3);
        let call = rig.open(VIEW, &[]);
        rig.client.engine.send(call, payload(bytes));
        rig.client.engine.finish(call, None);
        let stream = rig.arrived(1);
        rig.until("the whole body", |r| {
            r.servers.seen[&stream].bytes == bytes + 5
        });
        rig.servers.engine.reset(stream, h2::Reason::INTERNAL_ERROR);
        rig.until("a second attempt or an end", |r| {
            r.servers.opened.len() > 1 || r.heard(call).is_some_and(|s| s.ended)
        });
        assert_eq!(rig.servers.opened.len(), attempts, "{bytes} bytes");
        if attempts == 1 {
            assert_eq!(
                rig.ended(call),
                Code::ResourceExhausted,
                "it is safe, so it is refused"
            );
            continue;
        }
        let again = rig.servers.opened[1];
        rig.until("the body again", |r| {
            r.servers.seen[&again].bytes == bytes + 5
        });
        rig.servers.answer(again, b"fine");
        assert_eq!(rig.ended(call), Code::Ok);
    }
}

#[test]
fn metadata_too_large_ends_that_call_alone() {
    let mut rig = Rig::new(1);
    let long = "x".repeat(40_000);
    let call = rig.call(BUY, &[("x-long", &long)]);
    rig.until("its end", |r| {
        r.heard(call)
            .is_some_and(|s| s.head.is_some() || s.broken.is_some())
    });
    let seen = &rig.client.seen[&call];
    let told = seen.head == Some(http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    assert!(told || seen.broken.is_some());
    assert!(rig.servers.opened.is_empty());
    others_are_served(&mut rig);
}

#[test]
fn a_flood_of_resets_ends_its_own_connection_alone() {
    let mut rig = Rig::new(1);
    let bad = rig.client.connect(rig.gateway.listen_address());
    rig.until("a second connection", |r| r.client.up.contains(&bad));
    let mut sent = 0;
    while !rig.client.closed.contains(&bad) && sent < 20_000 {
        for _ in 0..50 {
            let head = grpc::request("gateway", WATCH).expect("a head");
            if let Some(stream) = rig.client.engine.open(bad, head, false) {
                rig.client.turn();
                rig.client.engine.reset(stream, h2::Reason::CANCEL);
                sent += 1;
            }
        }
        rig.turn();
    }
    assert!(
        rig.client.closed.contains(&bad),
        "after {sent} resets it is closed"
    );
    others_are_served(&mut rig);
    rig.until("nothing is held", |r| r.gateway.open_call_count() == 0);
}

#[test]
fn a_flood_of_pings_keeps_nobody_waiting() {
    let mut rig = Rig::new(1);
    let mut socket = TcpStream::connect(rig.gateway.listen_address()).expect("a connection");
    socket
        .set_nonblocking(true)
        .expect("a socket that does not wait");
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    bytes.extend([0, 0, 0, 4, 0, 0, 0, 0, 0]);
    for i in 0..100_000_u32 {
        bytes.extend([0, 0, 8, 6, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
        bytes.extend(i.to_be_bytes());
    }
    // It never reads the answers.
    let mut sent = 0;
    for _ in 0..50 {
        while let Ok(n) = socket.write(&bytes[sent..]) {
            sent += n;
            if sent == bytes.len() {
                break;
            }
        }
        others_are_served(&mut rig);
    }
    assert!(sent > 50 * 17, "the flood was one");
}

#[test]
fn bytes_that_are_no_http2_close_their_connection_alone() {
    let mut rig = Rig::new(1);
    for garbage in [
        &b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"[..],
        &[0xff; 300][..],
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\x09\x07\0",
    ] {
        let mut socket = TcpStream::connect(rig.gateway.listen_address()).expect("a connection");
        socket.write_all(garbage).expect("it goes out");
        drop(socket);
        others_are_served(&mut rig);
    }
}
