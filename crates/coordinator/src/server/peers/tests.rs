//! Tests of the connections to other replicas.

use super::*;
use chalkdeck_net::{Event, Limits};

const OWN_SLOT: Slot = Slot(1);
const PEER_SLOT: Slot = Slot(2);
/// Enough turns for everything that was sent to arrive.
const TURNS: usize = 50;

/// The connections of a replica, and the other replica that they lead to, on one event loop.
struct Setup {
    engine: Engine,
    peers: PeerConnections,
    /// Reads that the other replica received.
    received: Vec<StreamId>,
    responses: Vec<ReadResponse>,
}

impl Setup {
    fn new() -> Setup {
        let mut engine = Engine::new().expect("a poll handle");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (_, address) = engine
            .listen(any, Limits::default(), false, false)
            .expect("a free port");
        Setup {
            engine,
            peers: PeerConnections::new(&[any, address], OWN_SLOT),
            received: Vec::new(),
            responses: Vec::new(),
        }
    }

    fn read(&mut self) {
        let request = ReadRequest::default();
        self.peers.send_read(&mut self.engine, PEER_SLOT, &request);
        self.run();
    }

    fn run(&mut self) {
        for _ in 0..TURNS {
            let mut events = Vec::new();
            self.engine.turn(0, &mut events).expect("a turn");
            for event in events {
                match event {
                    Event::Connected { conn } => self.peers.on_connected(conn),
                    Event::StreamOpened { stream, .. } => self.received.push(stream),
                    Event::Data { stream, data } => {
                        let response = self.peers.receive_read_data(stream, &data);
                        self.responses.extend(response);
                    }
                    _ => {}
                }
            }
        }
    }
}

/// Guards against further copies of the whole state on a link that is too slow for one, and against giving up the first one.
#[test]
fn read_is_not_answered_yet_then_not_repeated_and_its_late_response_counts() {
    let mut setup = Setup::new();
    for _ in 0..20 {
        setup.read();
    }
    assert_eq!(setup.received.len(), 1, "reads at the other replica");
    let response = ReadResponse {
        configuration: 3,
        ..ReadResponse::default()
    };
    let stream = setup.received[0];
    setup.engine.respond(stream, grpc::response_head(), false);
    let frame = grpc::frame(&response.encode_to_vec());
    setup.engine.send(stream, frame);
    setup.run();
    assert_eq!(setup.responses, [response]);
    setup.read();
    assert_eq!(setup.received.len(), 2, "the next read is sent");
}
