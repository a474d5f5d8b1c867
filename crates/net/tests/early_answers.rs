//! Calls that are answered before the client has sent the whole request.

use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::{Engine, Event, Limits};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// More than the streams that `h2` lets a server reset on one connection before it closes that connection.
const CALLS: u32 = 3_000;
/// How many calls are open at the same time.
const CALLS_AT_ONCE: u32 = 100;
/// The HTTP/2 preface and an empty SETTINGS frame.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00";
/// A compressed list of headers: POST, http, the path / and an authority.
const HEADERS: &[u8] = b"\x83\x86\x84\x41\x03srv";
const DATA_FRAME: u8 = 0;
const HEADERS_FRAME: u8 = 1;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// An HTTP/2 frame of up to 255 bytes.
fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut frame = vec![0, 0, payload.len() as u8, kind, flags];
    frame.extend_from_slice(&stream.to_be_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// A server that answers each call when it has received the head, and a client that writes its frames by itself.
struct Fixture {
    server: Engine,
    client: TcpStream,
    answered: u32,
    is_closed: bool,
}

impl Fixture {
    fn new() -> Fixture {
        let mut server = Engine::new().expect("a poll handle");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (_, address) = server
            .listen(any, Limits::default(), false, false)
            .expect("a free port");
        let mut client = TcpStream::connect(address).expect("a connection");
        client.write_all(PREFACE).expect("the preface is sent");
        client.set_nodelay(true).expect("a socket");
        client.set_nonblocking(true).expect("a socket");
        Fixture {
            server,
            client,
            answered: 0,
            is_closed: false,
        }
    }

    fn turn(&mut self) {
        let mut events = Vec::new();
        self.server.turn(1_000, &mut events).expect("a turn");
        for event in events {
            match event {
                Event::StreamOpened { stream, .. } => {
                    let head = grpc::trailers_only(grpc::trailers(Code::PermissionDenied, ""));
                    self.server.respond(stream, head, true);
                    self.answered += 1;
                }
                Event::Closed { .. } => self.is_closed = true,
                _ => {}
            }
        }
    }

    /// Reads and discards what the server has sent.
    fn read(&mut self) {
        let mut buffer = [0; 64 << 10];
        loop {
            match self.client.read(&mut buffer) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => panic!("{error}"),
            }
        }
    }
}

/// Guards against a server that forgets streams whose calls it has answered, takes what the client sends on them for an error, and closes the
/// connection after some of these: all other calls on it lose their answers.
#[test]
fn client_sends_its_requests_behind_the_answers_then_the_connection_stays() {
    let mut fixture = Fixture::new();
    for first in (0..CALLS).step_by(CALLS_AT_ONCE as usize) {
        let streams: Vec<u32> = (first..first + CALLS_AT_ONCE).map(|i| 2 * i + 1).collect();
        for stream in &streams {
            let head = frame(HEADERS_FRAME, END_HEADERS, *stream, HEADERS);
            fixture.client.write_all(&head).expect("a frame is sent");
        }
        while fixture.answered < first + CALLS_AT_ONCE && !fixture.is_closed {
            fixture.turn();
        }
        fixture.turn();
        assert!(!fixture.is_closed, "closed after {first} calls");
        for stream in streams {
            let body = frame(DATA_FRAME, END_STREAM, stream, b"request");
            fixture.client.write_all(&body).expect("a frame is sent");
        }
        fixture.read();
    }
    // Fewer turns than the time after which the server resets streams whose requests do not end.
    for _ in 0..200 {
        if fixture.server.stream_count() == 0 {
            break;
        }
        fixture.turn();
    }
    assert!(!fixture.is_closed, "closed after all calls");
    assert_eq!(fixture.server.stream_count(), 0);
}
