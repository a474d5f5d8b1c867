//! Lingering closes: the peer gets the last bytes whatever it still sends, and a peer that never ends is not waited for longer than the
//! time limits allow.

use chalkdeck_net::clock::{Clock, ClockJumps};
use chalkdeck_net::{ConnId, Engine, Event, Limits};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const SECOND_MICROS: i64 = 1_000_000;
/// More than the buffers of both sockets hold.
const LONG_REPLY_BYTES: usize = 32 << 20;

/// An event loop with a controlled clock and one accepted connection.
struct Fixture {
    engine: Engine,
    jumps: Arc<ClockJumps>,
    client: TcpStream,
    conn: ConnId,
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
        }
    }

    /// Advances the clock and runs turns; returns whether the connection was reported as closed.
    fn is_closed_after(&mut self, micros: i64) -> bool {
        self.jumps.jump(micros);
        let mut events = Vec::new();
        for _ in 0..5 {
            self.engine.turn(1_000, &mut events).expect("a turn");
        }
        events
            .iter()
            .any(|event| matches!(event, Event::Closed { .. }))
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
    assert!(!fixture.is_closed_after(19 * SECOND_MICROS / 10));
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
    assert!(!fixture.is_closed_after(9 * SECOND_MICROS));
    let mut buffer = vec![0; 4 << 20];
    let read = fixture.client.read(&mut buffer).expect("some bytes");
    assert!(read > 0);
    std::thread::sleep(Duration::from_millis(1));
    assert!(!fixture.is_closed_after(SECOND_MICROS / 10));
    assert!(
        !fixture.is_closed_after(9 * SECOND_MICROS),
        "closed although the peer accepted bytes 9 s ago"
    );
    assert!(
        fixture.is_closed_after(2 * SECOND_MICROS),
        "open although the peer accepted nothing for over 10 s"
    );
}
