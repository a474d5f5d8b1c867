//! A peer that sends at full speed gets its share of a turn and no more.

use chalkdeck_net::{Engine, Event, Limits};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};

/// Bytes of one connection that one turn hands over at the most.
const PIECE: usize = 16 << 10;

#[test]
fn flood_on_one_connection_then_one_piece_a_turn() {
    let mut engine = Engine::new().expect("a poll handle");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (_, address) = engine
        .listen_plain(any, Limits::default())
        .expect("a free port");
    let mut flood = TcpStream::connect(address).expect("a connection");
    flood.set_nonblocking(true).expect("a socket");
    let mut sent = 0;
    loop {
        match flood.write(&[b'x'; 4_096]) {
            Ok(length) => sent += length,
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) => panic!("it cannot send: {e}"),
        }
    }
    assert!(sent > 4 * PIECE, "{sent} bytes wait");
    let mut read = 0;
    while read < sent {
        let mut events = Vec::new();
        engine.turn(100_000, &mut events).expect("a turn");
        let lengths = events.iter().filter_map(|e| match e {
            Event::Bytes { data, .. } => Some(data.len()),
            _ => None,
        });
        let turn: usize = lengths.sum();
        assert!(
            turn <= PIECE,
            "{turn} bytes in one turn, after {read} of {sent}"
        );
        read += turn;
    }
}
