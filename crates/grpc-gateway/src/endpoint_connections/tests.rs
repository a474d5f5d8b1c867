//! Tests of connections that are not established in time. The endpoint's backlog is full until the test empties it.

use super::*;
use chalkdeck::api::{CellId, EndpointEntry, EndpointState, ZoneId};
use chalkdeck_net::Event;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const ENDPOINT: EndpointId = EndpointId(1);
const STREAMS: u32 = 4;
/// The longest wait for the system to try to establish the connection again.
const MAX_WAIT: Duration = Duration::from_secs(20);

struct Setup {
    engine: Engine,
    connections: EndpointConnections,
    listener: TcpListener,
    backlog: Vec<TcpStream>,
    attempts: usize,
}

impl Setup {
    fn new(max_connections: usize) -> Setup {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("its address");
        let mut backlog = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            backlog.push(stream);
        }
        let mut engine = Engine::new().expect("a poll handle");
        let mut connections = EndpointConnections::new(max_connections, STREAMS, 0);
        let listed = ListedEndpoint {
            address,
            zone_name: String::new(),
            contract: None,
            entry: EndpointEntry {
                endpoint: ENDPOINT,
                zone: ZoneId(0),
                cell: CellId(0),
                state: EndpointState::InService,
                weight: 1.0,
                started_at: None,
                address: Some(address),
            },
        };
        connections.update(&mut engine, &[listed]);
        Setup {
            engine,
            connections,
            listener,
            backlog,
            attempts: 0,
        }
    }

    fn find(&mut self) -> (AttemptId, FoundConnection) {
        self.attempts += 1;
        let attempt = AttemptId {
            call: RequestId(1),
            number: self.attempts,
        };
        let found = self.connections.find(&mut self.engine, ENDPOINT, attempt);
        (attempt, found)
    }

    /// Starts a connection for an attempt.
    fn start(&mut self) -> (AttemptId, ConnId) {
        match self.find() {
            (attempt, FoundConnection::Started(conn)) => (attempt, conn),
            (_, other) => panic!("{other:?}"),
        }
    }

    /// Empties the backlog and runs the event loop until the connection is established.
    fn establish(&mut self, conn: ConnId) {
        for _ in &self.backlog {
            self.listener.accept().expect("a connection of the backlog");
        }
        let started_at = Instant::now();
        let mut events = Vec::new();
        let is_established = |event: Event| matches!(event, Event::Connected { conn: established } if established == conn);
        loop {
            assert!(started_at.elapsed() < MAX_WAIT, "never established");
            self.engine.turn(10_000, &mut events).expect("a turn");
            if events.drain(..).any(is_established) {
                return;
            }
        }
    }
}

/// Guards against an endpoint that is never reached, because each connection to it is established after the connect time-out and
/// was closed then.
#[test]
fn connection_established_after_the_connect_timeout_then_later_attempts_use_it() {
    let mut setup = Setup::new(2);
    let (attempt, conn) = setup.start();
    assert_eq!(setup.connections.keep_late(conn), Some(vec![attempt]));
    setup.establish(conn);
    assert_eq!(setup.connections.mark_established(conn), Some(Vec::new()));
    assert_eq!(setup.find().1, FoundConnection::Established(conn));
}

/// Guards against attempts that wait for a connection which may never be established, and against one more of those each time.
#[test]
fn connection_is_late_then_the_next_attempt_starts_another_and_that_is_not_kept() {
    let mut setup = Setup::new(1);
    let (_, late) = setup.start();
    assert!(setup.connections.keep_late(late).is_some());
    let (_, other) = setup.start();
    assert_ne!(other, late);
    assert_eq!(setup.connections.keep_late(other), None);
    assert_eq!(setup.connections.keep_late(late), None, "its time is over");
}
