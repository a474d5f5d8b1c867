//! Lingering closes: the peer gets the last bytes whatever it still sends, and a peer that never ends is not waited for longer than the
//! time limits allow.

use chalkdeck_net::clock::{Clock, ClockJumps};
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::{ConnId, Engine, Event, Limits};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SECOND_MICROS: i64 = 1_000_000;
/// More than the buffers of both sockets hold.
const LONG_REPLY_BYTES: usize = 32 << 20;
/// The size of a body that the buffers of the sending socket hold.
const BODY_BYTES: usize = 2 << 20;

/// An event loop with a controlled clock and one accepted connection.
struct Fixture {
    engine: Engine,
    jumps: Arc<ClockJumps>,
    client: TcpStream,
    conn: ConnId,
    /// Whether the connection was reported as closed.
    is_closed: bool,
}

impl Fixture {
    fn new() -> Fixture {
        let jumps = Arc::<ClockJumps>::default();
        let mut engine = Engine::with_clock(Clock::shifted(jumps.clone())).expect("a poll handle");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (_, address) = engine
            .listen_plain(any, Limits::default())
            .expect("a free port");
        let client = TcpStream::connect(address).expect("a connection");
        client.set_nonblocking(true).expect("a socket");
        let conn = loop {
            let mut events = Vec::new();
            engine.turn(10_000, &mut events).expect("a turn");
            if let Some(Event::Accepted { conn, .. }) = events.first() {
                break *conn;
            }
        };
        Fixture {
            engine,
            jumps,
            client,
            conn,
            is_closed: false,
        }
    }

    /// Advances the clock and runs turns, and asserts that the connection stays open, unless the turns themselves took longer than what was
    /// left of the time limit, `left`.
    fn assert_open_after(&mut self, micros: i64, left: Duration) {
        let started_at = Instant::now();
        let is_closed = self.is_closed_after(micros);
        assert!(
            !is_closed || started_at.elapsed() >= left,
            "closed too early"
        );
    }

    /// Advances the clock and runs turns; returns whether the connection was reported as closed by then.
    fn is_closed_after(&mut self, micros: i64) -> bool {
        self.jumps.jump(micros);
        let mut events = Vec::new();
        for _ in 0..5 {
            self.engine.turn(1_000, &mut events).expect("a turn");
        }
        self.is_closed |= events
            .iter()
            .any(|event| matches!(event, Event::Closed { .. }));
        self.is_closed
    }
}

#[test]
fn peer_goes_on_sending_then_it_still_receives_everything() {
    let mut fixture = Fixture::new();
    fixture
        .engine
        .write(fixture.conn, &vec![b'r'; LONG_REPLY_BYTES]);
    fixture.engine.start_lingering_close(fixture.conn);
    let mut buffer = vec![0; 1 << 20];
    let mut received = 0;
    loop {
        let _ = fixture.client.write(&[b'x'; 1_000]);
        fixture.is_closed_after(0);
        match fixture.client.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => received += length,
            Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock),
        }
    }
    assert_eq!(received, LONG_REPLY_BYTES);
}

#[test]
fn peer_never_ends_then_closed_two_seconds_after_the_last_byte_was_written() {
    let mut fixture = Fixture::new();
    fixture.engine.write(fixture.conn, b"reply");
    fixture.engine.start_lingering_close(fixture.conn);
    fixture.assert_open_after(19 * SECOND_MICROS / 10, Duration::from_millis(100));
    assert!(fixture.is_closed_after(2 * SECOND_MICROS / 10));
    let mut received = Vec::new();
    fixture
        .client
        .read_to_end(&mut received)
        .expect("the reply and the end");
    assert_eq!(received, b"reply");
}

#[test]
fn peer_reads_nothing_then_closed_ten_seconds_after_the_last_byte_it_accepted() {
    let mut fixture = Fixture::new();
    fixture
        .engine
        .write(fixture.conn, &vec![b'r'; LONG_REPLY_BYTES]);
    fixture.engine.start_lingering_close(fixture.conn);
    fixture.assert_open_after(9 * SECOND_MICROS, Duration::from_secs(1));
    let mut buffer = vec![0; 4 << 20];
    let read = fixture.client.read(&mut buffer).expect("some bytes");
    assert!(read > 0);
    std::thread::sleep(Duration::from_millis(1));
    assert!(!fixture.is_closed_after(SECOND_MICROS / 10));
    // The limit counts from the first check after the read, which was not more than 0.2 s of the clock ago.
    fixture.assert_open_after(9 * SECOND_MICROS, Duration::from_millis(800));
    assert!(
        fixture.is_closed_after(2 * SECOND_MICROS),
        "open although the peer accepted nothing for over 10 s"
    );
}

/// Guards against replies that are dropped when the process stops in the turn in which it queued them.
#[test]
fn loop_is_dropped_then_queued_bytes_were_written() {
    let Fixture {
        mut engine,
        mut client,
        conn,
        ..
    } = Fixture::new();
    engine.write(conn, b"reply");
    drop(engine);
    client.set_nonblocking(false).expect("a socket");
    let mut received = Vec::new();
    client
        .read_to_end(&mut received)
        .expect("the reply and the end");
    assert_eq!(received, b"reply");
}

/// Guards against the reset of a connection whose peer sends more than its request: the part of the answer that the kernel holds goes
/// with it.
#[test]
fn http1_client_sends_behind_its_request_then_it_still_receives_the_whole_answer() {
    let mut engine = Engine::new().expect("a poll handle");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (_, address) = engine
        .listen(any, Limits::default(), false, true)
        .expect("a free port");
    let mut client = TcpStream::connect(address).expect("a connection");
    client
        .write_all(b"GET /metrics HTTP/1.1\r\n\r\n")
        .expect("the request is sent");
    client
        .write_all(&[b'x'; 32 << 10])
        .expect("the socket has room");
    let mut events = Vec::new();
    let conn = loop {
        engine.turn(1_000, &mut events).expect("a turn");
        let request = events.iter().find_map(|event| match event {
            Event::Get { conn, .. } => Some(*conn),
            _ => None,
        });
        if let Some(conn) = request {
            break conn;
        }
    };
    engine.reply(conn, 200, &"m".repeat(BODY_BYTES));
    let reading = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(50));
        let mut received = String::new();
        client.read_to_string(&mut received).map(|_| received)
    });
    while !reading.is_finished() {
        engine.turn(1_000, &mut events).expect("a turn");
    }
    let received = reading.join().expect("no panic");
    let received = received.expect("an answer and an orderly end");
    assert!(received.ends_with(&"m".repeat(BODY_BYTES)));
}

/// The beginning of an HTTP/2 connection: the preface, a SETTINGS frame with a stream window of 16 MiB, an update of the connection's
/// window by as much, and a HEADERS frame with a whole request.
const HTTP2_REQUEST: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\
    \x00\x00\x06\x04\x00\x00\x00\x00\x00\x00\x04\x01\x00\x00\x00\
    \x00\x00\x04\x08\x00\x00\x00\x00\x00\x01\x00\x00\x00\
    \x00\x00\x08\x01\x05\x00\x00\x00\x01\x83\x86\x84\x41\x03srv";
/// A PING frame that answers the one by which `h2` finds out that its GOAWAY was received.
const HTTP2_GOAWAY_PONG: &[u8] =
    b"\x00\x00\x08\x06\x01\x00\x00\x00\x00\x0b\x7b\xa2\xf0\x8b\x9b\xfe\x54";
/// A PING frame.
const HTTP2_PING: &[u8] = b"\x00\x00\x08\x06\x00\x00\x00\x00\x00pingping";

/// Guards against the reset of a drained connection whose client sends a frame, such as a ping, before it has read the last response: what
/// the kernel still holds of the response goes with it.
#[test]
fn http2_client_sends_a_frame_behind_the_last_response_then_it_still_receives_all_of_it() {
    let mut engine = Engine::new().expect("a poll handle");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (listener, address) = engine
        .listen(any, Limits::default(), false, false)
        .expect("a free port");
    let mut client = TcpStream::connect(address).expect("a connection");
    client
        .write_all(HTTP2_REQUEST)
        .expect("the request is sent");
    let mut events = Vec::new();
    let stream = loop {
        engine.turn(1_000, &mut events).expect("a turn");
        let opened = events.iter().find_map(|event| match event {
            Event::StreamOpened { stream, .. } => Some(*stream),
            _ => None,
        });
        if let Some(stream) = opened {
            break stream;
        }
    };
    engine.drain(listener);
    engine.turn(1_000, &mut events).expect("a turn");
    client
        .write_all(HTTP2_GOAWAY_PONG)
        .expect("a frame is sent");
    engine.turn(1_000, &mut events).expect("a turn");
    engine.respond(stream, grpc::response_head(), false);
    engine.send(stream, vec![b'r'; BODY_BYTES].into());
    engine.finish(stream, Some(grpc::trailers(Code::Ok, "")));
    for _ in 0..100 {
        engine.turn(1_000, &mut events).expect("a turn");
    }
    client.write_all(HTTP2_PING).expect("a frame is sent");
    engine.turn(1_000, &mut events).expect("a turn");
    let reading = std::thread::spawn(move || {
        let mut received = Vec::new();
        client.read_to_end(&mut received).map(|_| received.len())
    });
    while !reading.is_finished() {
        engine.turn(1_000, &mut events).expect("a turn");
    }
    let received = reading.join().expect("no panic");
    let received = received.expect("a response and an orderly end");
    assert!(received > BODY_BYTES, "{received} bytes");
}
