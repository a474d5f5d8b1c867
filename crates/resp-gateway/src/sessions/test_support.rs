//! Test support shared by the tests of client sessions: an event loop with a controlled clock, and connections to it.

use chalkdeck_net::clock::{Clock, ClockJumps};
use chalkdeck_net::{ConnId, Engine, Event, Limits};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// An event loop that listens on a free port.
pub(super) struct TestLoop {
    pub(super) engine: Engine,
    /// Advances the loop's clock.
    pub(super) jumps: Arc<ClockJumps>,
    address: SocketAddr,
}

impl TestLoop {
    pub(super) fn new() -> TestLoop {
        let jumps = Arc::<ClockJumps>::default();
        let mut engine = Engine::with_clock(Clock::shifted(jumps.clone())).expect("a poll handle");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (_, address) = engine
            .listen_plain(any, Limits::default())
            .expect("a free port");
        TestLoop {
            engine,
            jumps,
            address,
        }
    }

    /// Connects a client and runs the loop until the connection is accepted.
    pub(super) fn connect(&mut self) -> (TcpStream, ConnId) {
        let stream = TcpStream::connect(self.address).expect("a connection");
        loop {
            let mut events = Vec::new();
            self.engine.turn(10_000, &mut events).expect("a turn");
            if let Some(conn) = events.iter().find_map(accepted) {
                return (stream, conn);
            }
        }
    }
}

fn accepted(event: &Event) -> Option<ConnId> {
    match event {
        Event::Accepted { conn, .. } => Some(*conn),
        _ => None,
    }
}
