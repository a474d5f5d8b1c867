//! Tests of connections that are established after their dial timed out. The endpoint's backlog is full until the test empties it.

use super::*;
use crate::endpoint_list::ListedEndpoint;
use crate::request;
use bytes::Bytes;
use chalkdeck::api::{CellId, EndpointEntry, RequestId, ZoneId};
use chalkdeck_net::Event;
use chalkdeck_simulator_adapter::settings;
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const ENDPOINT: EndpointId = EndpointId(1);
const MAX_CONNECTIONS: usize = 8;
const MEMORY_BYTES: usize = 32_000_000;
/// The longest wait for the system to try to establish the connection again.
const MAX_WAIT: Duration = Duration::from_secs(20);

struct Setup {
    engine: Engine,
    connections: EndpointConnections,
    listener: TcpListener,
    backlog: Vec<TcpStream>,
    attempts: usize,
}

fn command() -> ApiCommand {
    let values = [
        ("balancers", "1"),
        ("classes.count", "1"),
        ("classes.0.name", "view"),
        ("classes.0.deadline", "3000000"),
        ("classes.0.on_time", "750000"),
        ("classes.0.effect", "pure"),
        ("classes.0.credit", "1.0"),
        ("plans.count", "1"),
        ("plans.0.name", "team"),
        ("plans.0.per_second", "100.0"),
        ("plans.0.peak_units", "200.0"),
        ("specifics.units_top", "4"),
    ];
    let values: HashMap<String, String> = values
        .into_iter()
        .map(|(path, value)| (path.to_string(), value.to_string()))
        .collect();
    let names = settings::parse_values_by_path(&values).expect("valid settings");
    let words = [
        "API.READ",
        "00000000b4d65521",
        "a1",
        "c=view,t=team,d=900,units=1,spread=1,first=0",
    ];
    let words = words.map(|word| Bytes::from_static(word.as_bytes()));
    let parsed = request::parse(words.to_vec(), RequestId(1), Timestamp::ZERO, &names);
    parsed.expect("a valid command").command
}

fn list(address: SocketAddr, state: EndpointState) -> EndpointList {
    let entry = EndpointEntry {
        endpoint: ENDPOINT,
        zone: ZoneId(0),
        cell: CellId(0),
        state,
        weight: 1.0,
        started_at: None,
        address: Some(address),
    };
    EndpointList {
        version: 1,
        scope: UpdateScope::Incremental,
        endpoints: vec![ListedEndpoint { address, entry }],
    }
}

impl Setup {
    fn new() -> Setup {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.expect("a socket");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket
            .bind(&any.into())
            .and_then(|()| socket.listen(0))
            .expect("a free port");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("its address");
        let mut backlog = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            backlog.push(stream);
        }
        let mut engine = Engine::new().expect("a poll handle");
        let mut connections =
            EndpointConnections::new(MAX_CONNECTIONS, MEMORY_BYTES, MEMORY_BYTES, None);
        connections.apply_update(&mut engine, &list(address, EndpointState::InService));
        Setup {
            engine,
            connections,
            listener,
            backlog,
            attempts: 0,
        }
    }

    fn send(&mut self) -> SendResult {
        let id = AttemptId {
            request: RequestId(1),
            number: self.attempts,
        };
        self.attempts += 1;
        let deadline = clock::now(&self.engine) + TimeDelta::from_secs(60);
        self.connections
            .send(&mut self.engine, id, ENDPOINT, deadline, &command())
    }

    /// Sends an attempt whose dial times out; returns its connection.
    fn send_and_time_out(&mut self) -> ConnId {
        let SendResult::Dialing(conn) = self.send() else {
            panic!("the attempt does not wait for a connection");
        };
        let end = self.connections.on_dial_timeout(&mut self.engine, conn);
        let end = end.expect("the end of the attempt");
        assert_eq!(end.outcome, Outcome::ConnectFailed);
        conn
    }

    fn empty_backlog(&mut self) {
        for _ in &self.backlog {
            self.listener.accept().expect("a connection of the backlog");
        }
        self.backlog.clear();
    }

    /// Runs the event loop until the connection is established, and a while longer.
    fn run_until_established(&mut self, conn: ConnId) {
        let started_at = Instant::now();
        let mut events = Vec::new();
        let mut is_established = false;
        while !is_established {
            assert!(started_at.elapsed() < MAX_WAIT, "never established");
            self.engine.turn(10_000, &mut events).expect("a turn");
            is_established = events
                .drain(..)
                .any(|event| matches!(event, Event::Connected { conn: established } if established == conn));
        }
        self.connections.on_connected(&mut self.engine, conn);
        std::thread::sleep(Duration::from_micros(2 * MIN_REUSE_DELAY.as_micros()));
        self.engine.turn(0, &mut events).expect("a turn");
    }
}

/// Guards against an endpoint that is never reached, because each connection to it is established after the dial time-out and was
/// closed then.
#[test]
fn connection_established_after_the_dial_timeout_then_carries_the_next_attempt() {
    let mut setup = Setup::new();
    let conn = setup.send_and_time_out();
    assert!(setup.connections.owns(conn));
    setup.empty_backlog();
    setup.run_until_established(conn);
    assert!(matches!(setup.send(), SendResult::Written));
    let end = setup
        .connections
        .on_closed(clock::now(&setup.engine), conn, 0);
    assert_eq!(end.map(|end| end.attempt.number), Some(1));
}

/// Guards against a descriptor for each attempt at an endpoint whose connections are never established.
#[test]
fn connections_are_never_established_then_one_is_kept_and_closed_after_a_while() {
    let mut setup = Setup::new();
    let first = setup.send_and_time_out();
    for _ in 0..5 {
        let other = setup.send_and_time_out();
        assert!(!setup.connections.owns(other), "a second one is kept");
    }
    assert!(setup.connections.owns(first));
    let later = clock::now(&setup.engine) + MAX_LATE_TIME;
    assert_eq!(
        setup.connections.pool.late_for(later, MAX_LATE_TIME),
        [first]
    );
}

/// Guards against an attempt at the former address of an endpoint.
#[test]
fn endpoint_is_removed_before_its_connection_is_established_then_it_is_closed() {
    let mut setup = Setup::new();
    let conn = setup.send_and_time_out();
    let address = setup.listener.local_addr().expect("its address");
    let removed = list(address, EndpointState::Removed);
    setup.connections.apply_update(&mut setup.engine, &removed);
    setup.empty_backlog();
    setup.run_until_established(conn);
    assert!(!setup.connections.owns(conn));
}
