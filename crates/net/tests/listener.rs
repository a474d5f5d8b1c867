//! Listeners at their connection limit, and reserved ports. A connection that the kernel has established must be accepted
//! before its listener closes, or its client is reset.

use chalkdeck_net::{ConnId, Engine, Event, Limits, ReservedPort};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

fn free_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn run_turns(engine: &mut Engine) -> Vec<Event> {
    let mut events = Vec::new();
    for _ in 0..50 {
        engine.turn(1_000, &mut events).expect("a turn");
    }
    events
}

fn accepted_connections(events: &[Event]) -> Vec<ConnId> {
    let accepted = events.iter().filter_map(|e| match e {
        Event::Accepted { conn, .. } => Some(*conn),
        _ => None,
    });
    accepted.collect()
}

#[test]
fn full_listener_stays_open_until_waiting_connections_are_accepted() {
    let mut engine = Engine::new().expect("a poll handle");
    let limits = Limits {
        max_connections: 1,
        ..Limits::default()
    };
    let (listener, address) = engine
        .listen_plain(free_port(), limits)
        .expect("a free port");
    let _first = TcpStream::connect(address).expect("a connection");
    let open = accepted_connections(&run_turns(&mut engine));
    let mut second = TcpStream::connect(address).expect("the kernel completes the handshake");
    second.write_all(b"request").expect("the request is sent");
    assert!(
        !engine.close_listener_if_backlog_empty(listener),
        "a connection waits"
    );
    engine.close(open[0]);
    let events = run_turns(&mut engine);
    let accepted = accepted_connections(&events);
    assert_eq!(accepted.len(), 1, "closing the first one makes room");
    let is_request = |e: &Event| matches!(e, Event::Bytes { conn, data, .. } if *conn == accepted[0] && &data[..] == b"request");
    assert!(events.iter().any(is_request), "the request is read");
    engine.write(accepted[0], b"answer");
    run_turns(&mut engine);
    let mut response = [0; 6];
    second
        .read_exact(&mut response)
        .expect("the whole response");
    engine.close(accepted[0]);
    run_turns(&mut engine);
    assert!(
        engine.close_listener_if_backlog_empty(listener),
        "no connection waits"
    );
    assert!(TcpStream::connect(address).is_err(), "no one listens");
}

/// Guards against connections that wait unaccepted until their clients' requests are late.
#[test]
fn full_listener_sheds_waiting_connections_then_they_are_reset_and_the_open_one_stays() {
    let mut engine = Engine::new().expect("a poll handle");
    let limits = Limits {
        max_connections: 1,
        ..Limits::default()
    };
    let (listener, address) = engine
        .listen_plain(free_port(), limits)
        .expect("a free port");
    let _first = TcpStream::connect(address).expect("a connection");
    run_turns(&mut engine);
    assert_eq!(engine.shed_waiting_connections(listener), 0, "none waits");
    let mut second = TcpStream::connect(address).expect("the kernel completes the handshake");
    second.write_all(b"request").expect("the request is sent");
    run_turns(&mut engine);
    assert!(engine.listener_full_since(listener).is_some());
    assert!(engine.listener_waiting_since(listener).is_some());
    assert_eq!(engine.shed_waiting_connections(listener), 1);
    assert!(
        second.read(&mut [0]).is_err(),
        "it is reset, as it was not read"
    );
    assert_eq!(engine.listener_waiting_since(listener), None);
    assert_eq!(engine.listener_connection_count(listener), 1);
}

/// Guards against deadlines that are counted from the first read of a request.
#[test]
fn loop_is_held_up_then_bytes_and_connections_may_have_arrived_since_the_last_poll() {
    const HOLD_UP: Duration = Duration::from_millis(50);
    let mut engine = Engine::new().expect("a poll handle");
    let (_, address) = engine
        .listen_plain(free_port(), Limits::default())
        .expect("a free port");
    let mut events = Vec::new();
    engine.turn(1_000, &mut events).expect("a turn");
    let polled_at = engine.now();
    let mut client = TcpStream::connect(address).expect("a connection");
    client.write_all(b"request").expect("the request is sent");
    std::thread::sleep(HOLD_UP);
    let arrived_since = run_turns(&mut engine)
        .into_iter()
        .find_map(|event| match event {
            Event::Bytes { arrived_since, .. } => Some(arrived_since),
            _ => None,
        });
    let arrived_since = arrived_since.expect("the request is read");
    assert!(
        arrived_since <= polled_at,
        "{} us after the poll",
        arrived_since - polled_at
    );
}

#[test]
fn reserved_port_is_given_to_no_one_else_and_can_be_bound_repeatedly() {
    let reserved = ReservedPort::reserve(free_port()).expect("a free port");
    let address = reserved.address();
    for _ in 0..3 {
        assert!(TcpStream::connect(address).is_err(), "no one listens");
        let mut engine = Engine::new().expect("a poll handle");
        let (_, bound) = engine
            .listen_plain(address, Limits::default())
            .expect("the reserved port");
        assert_eq!(bound, address);
        TcpStream::connect(address).expect("a connection");
    }
    let others: Vec<TcpListener> = (0..2_000)
        .map(|_| TcpListener::bind(free_port()).expect("a free port"))
        .collect();
    let has_reserved_port =
        |other: &TcpListener| other.local_addr().expect("a local address") == address;
    assert!(
        !others.iter().any(has_reserved_port),
        "the reserved port was assigned again"
    );
    drop(reserved);
    ReservedPort::reserve(address).expect("the port is free again");
}
