//! Out of descriptors: the only test of its process, as the limit is that of the process.

use chalkdeck_net::{Engine, Event, Limits};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::fs::File;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[test]
fn no_descriptor_left_then_connection_accepted_once_there_is_one() {
    let mut engine = Engine::new().expect("a poll handle");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (_, address) = engine
        .listen_plain(any, Limits::default())
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
        .expect("the system completes it");
    let mut events = Vec::new();
    for _ in 0..5 {
        engine.turn(1_000, &mut events).expect("a turn");
    }
    assert!(
        events.is_empty(),
        "there is no descriptor for it: {events:?}"
    );
    // No connection of this listener ends, and nothing new comes: only time passes.
    drop(files);
    let begun = Instant::now();
    while !events.iter().any(|e| matches!(e, Event::Accepted { .. })) {
        assert!(
            begun.elapsed() < Duration::from_secs(5),
            "it is never accepted"
        );
        engine.turn(10_000, &mut events).expect("a turn");
    }
}
