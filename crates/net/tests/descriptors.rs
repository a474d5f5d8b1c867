//! Behaviour without free file descriptors. This is the only test of its process, because the descriptor limit applies to the whole
//! process.

use chalkdeck_net::{Engine, Event, Limits};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::fs::File;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[test]
fn connection_is_accepted_once_a_descriptor_is_free_again() {
    let mut engine = Engine::new().expect("a poll handle");
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (_, address) = engine
        .listen_plain(free_port, Limits::default())
        .expect("a free port");
    let client =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let limit = getrlimit(Resource::Nofile);
    setrlimit(
        Resource::Nofile,
        Rlimit {
            current: Some(64),
            ..limit
        },
    )
    .expect("a lower limit");
    let mut files = Vec::new();
    while let Ok(file) = File::open("/dev/null") {
        files.push(file);
    }
    client
        .connect(&address.into())
        .expect("the kernel completes the handshake");
    let mut events = Vec::new();
    for _ in 0..5 {
        engine.turn(1_000, &mut events).expect("a turn");
    }
    assert!(
        events.is_empty(),
        "accepted without a descriptor: {events:?}"
    );
    // No other event follows: the listener has no open connection, and no client connects. Only its retry delay passes.
    drop(files);
    let started_at = Instant::now();
    while !events.iter().any(|e| matches!(e, Event::Accepted { .. })) {
        assert!(
            started_at.elapsed() < Duration::from_secs(5),
            "the connection is never accepted"
        );
        engine.turn(10_000, &mut events).expect("a turn");
    }
}
