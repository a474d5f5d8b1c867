//! Tests of evictions: which client is evicted next, and which ones are not.

use super::test_support::TestLoop;
use super::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// More than the buffers of both sockets hold.
const LONG_VALUE_BYTES: usize = 32 << 20;
/// A time after which a client no longer counts as new, in microseconds.
const NO_LONGER_NEW_MICROS: i64 = 60_000;

/// The sessions of a gateway that may keep only a few clients.
struct Fixture {
    test_loop: TestLoop,
    sessions: Sessions,
}

impl Fixture {
    fn new(max_sessions: usize, max_command_bytes: usize) -> Fixture {
        Fixture {
            test_loop: TestLoop::new(),
            sessions: Sessions::new(max_sessions, max_command_bytes),
        }
    }

    fn connect(&mut self) -> (TcpStream, ConnId) {
        let (client, conn) = self.test_loop.connect();
        client.set_nonblocking(true).expect("a socket");
        self.sessions.on_accepted(&self.test_loop.engine, conn);
        (client, conn)
    }

    fn receive(&mut self, conn: ConnId, bytes: &[u8]) -> Option<ReplySlot> {
        let engine = &mut self.test_loop.engine;
        let now = clock::now(engine);
        self.sessions.on_bytes(engine, conn, bytes, now);
        let command = self.sessions.next_command(engine, conn);
        self.sessions.flush(engine, conn);
        command.map(|command| command.slot)
    }

    /// Receives a command and queues the reply to it.
    fn serve(&mut self, conn: ConnId, value_bytes: usize) {
        let slot = self.receive(conn, PING).expect("a complete command");
        let value = Frame::BulkString(vec![b'v'; value_bytes].into());
        self.sessions.reply(conn, slot, value);
        self.sessions.flush(&mut self.test_loop.engine, conn);
    }

    /// Advances the clock and evicts; returns whether `conn` is still a client's connection.
    fn is_kept_after(&mut self, micros: i64, conn: ConnId) -> bool {
        self.test_loop.jumps.jump(micros);
        let mut events = Vec::new();
        self.test_loop.engine.turn(0, &mut events).expect("a turn");
        self.sessions.evict_excess(&mut self.test_loop.engine);
        self.sessions.owns(conn)
    }
}

#[test]
fn reply_not_accepted_whole_then_client_evicted_only_afterwards() {
    let mut fixture = Fixture::new(1, 1 << 20);
    let (mut client, conn) = fixture.connect();
    let (_other_client, other) = fixture.connect();
    fixture.serve(conn, LONG_VALUE_BYTES);
    // The other client waits for its reply all the time.
    let _slot = fixture.receive(other, PING).expect("a complete command");
    assert!(fixture.is_kept_after(NO_LONGER_NEW_MICROS, conn));
    let mut buffer = vec![0; 4 << 20];
    let mut received = 0;
    loop {
        fixture.is_kept_after(0, conn);
        match client.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => received += length,
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
        }
    }
    assert!(
        received > LONG_VALUE_BYTES,
        "evicted after {received} bytes"
    );
}

#[test]
fn command_waits_for_memory_then_its_client_not_evicted() {
    let mut fixture = Fixture::new(0, 0);
    let (_client, conn) = fixture.connect();
    assert!(
        fixture.receive(conn, PING).is_none(),
        "the command is not read while the memory is full"
    );
    assert!(
        fixture.is_kept_after(NO_LONGER_NEW_MICROS, conn),
        "evicted although its command was received"
    );
}

#[test]
fn client_sends_its_first_command_byte_by_byte_then_evicted_before_one_that_waits_for_its_reply() {
    let mut fixture = Fixture::new(1, 1 << 20);
    let (_waiting_client, waiting) = fixture.connect();
    let _slot = fixture.receive(waiting, PING).expect("a complete command");
    let (_slow_client, slow) = fixture.connect();
    fixture.test_loop.jumps.jump(NO_LONGER_NEW_MICROS);
    assert!(fixture.receive(slow, &PING[..1]).is_none());
    assert!(
        !fixture.is_kept_after(0, slow),
        "kept as a new client although it connected a while ago"
    );
    assert!(fixture.sessions.owns(waiting));
}

#[test]
fn client_ended_by_an_error_then_evicted_before_a_resting_one_once_it_had_time_to_read() {
    let mut fixture = Fixture::new(1, 1 << 20);
    let (mut resting_client, resting) = fixture.connect();
    fixture.serve(resting, 4);
    let (mut ended_client, ended) = fixture.connect();
    assert!(fixture.receive(ended, b"this is no command\r\n").is_none());
    // The client goes on to send, more than the gateway discards in a turn.
    while ended_client.write(&[b'x'; 64 << 10]).is_ok() {}
    assert!(
        fixture.is_kept_after(NO_LONGER_NEW_MICROS, resting),
        "evicted while the other client has ended"
    );
    assert!(!fixture.is_kept_after(NO_LONGER_NEW_MICROS, ended));
    assert!(fixture.sessions.owns(resting));
    let mut buffer = [0; 100];
    let length = resting_client.read(&mut buffer).expect("the reply");
    assert_eq!(&buffer[..length], b"$4\r\nvvvv\r\n");
    let length = ended_client.read(&mut buffer).expect("the error");
    assert!(buffer[..length].starts_with(b"-ERR Protocol error"));
}
