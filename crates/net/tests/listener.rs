//! A listener at its limit: connections that the system completed are always accepted.

use chalkdeck_net::{ConnId, Engine, Event, Limits, ReservedPort};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn turns(engine: &mut Engine) -> Vec<Event> {
    let mut events = Vec::new();
    for _ in 0..50 {
        engine.turn(1_000, &mut events).expect("a turn");
    }
    events
}

fn accepted(events: &[Event]) -> Vec<ConnId> {
    let accepted = events.iter().filter_map(|e| match e {
        Event::Accepted { conn, .. } => Some(*conn),
        _ => None,
    });
    accepted.collect()
}

#[test]
fn full_listener_then_listens_until_waiting_connections_are_accepted() {
    let mut engine = Engine::new().expect("a poll handle");
    let limits = Limits {
        max_connections: 1,
        ..Limits::default()
    };
    let (listener, address) = engine.listen_plain(any(), limits).expect("a free port");
    let _first = TcpStream::connect(address).expect("a connection");
    let held = accepted(&turns(&mut engine));
    let mut second = TcpStream::connect(address).expect("the system completes it");
    second.write_all(b"request").expect("it is sent");
    assert!(
        !engine.close_listener_if_backlog_empty(listener),
        "one waits there"
    );
    engine.close(held[0]);
    let events = turns(&mut engine);
    let taken = accepted(&events);
    assert_eq!(taken.len(), 1, "the end of the first makes room");
    let read = |e: &Event| matches!(e, Event::Bytes { conn, data } if *conn == taken[0] && &data[..] == b"request");
    assert!(events.iter().any(read), "what it sent is read");
    engine.write(taken[0], b"answer");
    turns(&mut engine);
    let mut answer = [0; 6];
    second.read_exact(&mut answer).expect("the whole answer");
    engine.close(taken[0]);
    turns(&mut engine);
    assert!(
        engine.close_listener_if_backlog_empty(listener),
        "there is room and nothing waits"
    );
    assert!(TcpStream::connect(address).is_err(), "nobody listens");
}

#[test]
fn reserved_port_is_refused_to_others_and_listened_on_as_often_as_needed() {
    let reserved = ReservedPort::reserve(any()).expect("a free port");
    let address = reserved.address();
    for _ in 0..3 {
        assert!(TcpStream::connect(address).is_err(), "nobody listens");
        let mut engine = Engine::new().expect("a poll handle");
        let (_, bound) = engine
            .listen_plain(address, Limits::default())
            .expect("its owner listens");
        assert_eq!(bound, address);
        TcpStream::connect(address).expect("a connection");
    }
    let others: Vec<TcpListener> = (0..2_000)
        .map(|_| TcpListener::bind(any()).expect("a free port"))
        .collect();
    let is_taken = |other: &TcpListener| other.local_addr().expect("its address") == address;
    assert!(!others.iter().any(is_taken), "nobody is given the port");
    drop(reserved);
    ReservedPort::reserve(address).expect("it is free again");
}
