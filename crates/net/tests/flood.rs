//! A peer that sends at full speed gets only its share of each turn of the event loop.

use chalkdeck_net::{Engine, Event, Limits};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};

/// Maximum number of bytes of one connection that one turn reports.
const MAX_BYTES_PER_TURN: usize = 16 << 10;

#[test]
fn flooding_connection_is_read_once_per_turn() {
    let mut engine = Engine::new().expect("a poll handle");
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (_, address) = engine
        .listen_plain(free_port, Limits::default())
        .expect("a free port");
    let mut flood = TcpStream::connect(address).expect("a connection");
    flood.set_nonblocking(true).expect("a socket");
    let mut sent = 0;
    loop {
        match flood.write(&[b'x'; 4_096]) {
            Ok(length) => sent += length,
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) => panic!("cannot send: {e}"),
        }
    }
    assert!(sent > 4 * MAX_BYTES_PER_TURN, "only {sent} bytes sent");
    let mut read = 0;
    while read < sent {
        let mut events = Vec::new();
        engine.turn(100_000, &mut events).expect("a turn");
        let lengths = events.iter().filter_map(|e| match e {
            Event::Bytes { data, .. } => Some(data.len()),
            _ => None,
        });
        let read_in_turn: usize = lengths.sum();
        assert!(
            read_in_turn <= MAX_BYTES_PER_TURN,
            "{read_in_turn} bytes in one turn, after {read} of {sent}"
        );
        read += read_in_turn;
    }
}
