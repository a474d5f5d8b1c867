//! Tests of client sessions: time-outs, and clients that read slowly.

use super::test_support::TestLoop;
use super::*;
use chalkdeck_net::Event;
use std::io::{Read, Write};
use std::net::TcpStream;

/// One second, in microseconds.
const SECOND_MICROS: i64 = 1_000_000;
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// The sessions of a gateway with one client, on a controlled clock.
struct Fixture {
    test_loop: TestLoop,
    sessions: Sessions,
    client: TcpStream,
    conn: ConnId,
    is_closed: bool,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture::with_memory(1 << 20)
    }

    fn with_memory(bytes: usize) -> Fixture {
        let mut test_loop = TestLoop::new();
        let (client, conn) = test_loop.connect();
        let mut sessions = Sessions::new(8, bytes);
        sessions.on_accepted(&test_loop.engine, conn);
        Fixture {
            test_loop,
            sessions,
            client,
            conn,
            is_closed: false,
        }
    }

    fn turn(&mut self) {
        let mut events = Vec::new();
        self.test_loop.engine.turn(0, &mut events).expect("a turn");
        self.sessions
            .flush_blocked_writes(&mut self.test_loop.engine);
        self.is_closed |= events
            .iter()
            .any(|event| matches!(event, Event::Closed { .. }));
    }

    fn receive(&mut self, bytes: &[u8]) {
        let engine = &mut self.test_loop.engine;
        let now = clock::now(engine);
        self.sessions.on_bytes(engine, self.conn, bytes, now);
    }

    fn next_slot(&mut self) -> Option<ReplySlot> {
        let command = self
            .sessions
            .next_command(&mut self.test_loop.engine, self.conn)?;
        Some(command.slot)
    }

    /// Queues a value of `value_bytes` bytes as the reply.
    fn reply(&mut self, slot: ReplySlot, value_bytes: usize) {
        let value = Frame::BulkString(vec![b'v'; value_bytes].into());
        self.sessions.reply(self.conn, slot, value);
        self.sessions.flush(&mut self.test_loop.engine, self.conn);
    }

    /// Receives a command and queues the reply to it.
    fn receive_and_reply(&mut self, value_bytes: usize) {
        self.receive(PING);
        let slot = self.next_slot().expect("a complete command");
        self.reply(slot, value_bytes);
    }

    /// Advances the clock and sweeps; returns whether the connection is closed.
    fn is_closed_by_sweep_after(&mut self, micros: i64) -> bool {
        self.test_loop.jumps.jump(micros);
        self.sessions.sweep(&mut self.test_loop.engine);
        self.turn();
        self.is_closed
    }
}

#[test]
fn reply_queued_in_this_turn_then_not_counted_as_unread() {
    let mut fixture = Fixture::new();
    fixture.receive_and_reply(4);
    assert!(
        !fixture.is_closed_by_sweep_after(0),
        "closed before its first reply could be written"
    );
    let mut received = [0; 10];
    fixture
        .client
        .read_exact(&mut received)
        .expect("the complete reply");
    assert_eq!(&received, b"$4\r\nvvvv\r\n");
}

#[test]
fn client_accepts_no_bytes_then_write_timeout_counts_from_the_last_one_accepted() {
    let mut fixture = Fixture::new();
    assert!(!fixture.is_closed_by_sweep_after(0));
    fixture.test_loop.jumps.jump(9 * SECOND_MICROS);
    fixture.receive_and_reply(32 << 20);
    fixture.turn();
    assert!(
        !fixture.is_closed_by_sweep_after(2 * SECOND_MICROS),
        "closed although the reply was queued only 2 s ago, because the previous sweep was long ago"
    );
    assert!(!fixture.is_closed_by_sweep_after(9 * SECOND_MICROS));
    assert!(
        fixture.is_closed_by_sweep_after(2 * SECOND_MICROS),
        "open although the client has accepted no byte within the write time-out"
    );
}

#[test]
fn client_reads_more_slowly_than_it_sends_then_not_timed_out() {
    let mut fixture = Fixture::new();
    fixture.client.set_nonblocking(true).expect("a socket");
    fixture.receive(&PING.repeat(7));
    let mut slots: Vec<ReplySlot> = Vec::new();
    while let Some(slot) = fixture.next_slot() {
        slots.push(slot);
    }
    for slot in slots {
        fixture.reply(slot, 8 << 20);
        let mut buffer = vec![0; 4 << 20];
        let mut read = 0;
        while read < 1 << 20 {
            fixture.turn();
            read += fixture.client.read(&mut buffer).unwrap_or(0);
        }
        assert!(
            !fixture.is_closed_by_sweep_after(4 * SECOND_MICROS),
            "closed although the client read {read} bytes since the previous sweep"
        );
    }
}

#[test]
fn bytes_wait_unread_while_the_loop_is_stalled_then_client_not_timed_out() {
    let mut fixture = Fixture::new();
    fixture.client.write_all(PING).expect("the command is sent");
    while fixture.test_loop.engine.is_idle(fixture.conn) {}
    assert!(
        !fixture.is_closed_by_sweep_after(3 * SECOND_MICROS),
        "closed with an unread command in the socket"
    );
    let mut silent = Fixture::new();
    assert!(
        silent.is_closed_by_sweep_after(3 * SECOND_MICROS),
        "open although the client never sent a byte"
    );
}

#[test]
fn first_command_arrives_too_slowly_then_closed_after_the_command_timeout() {
    let mut fixture = Fixture::new();
    for byte in b"*1" {
        assert!(!fixture.is_closed_by_sweep_after(900_000));
        fixture.receive(&[*byte]);
    }
    assert!(
        fixture.is_closed_by_sweep_after(300_000),
        "open although the first command is incomplete after the time-out"
    );
}

/// Guards against a close that counts the time to read the last replies from when they were queued: the client had not been sent them all.
#[test]
fn client_reads_its_last_replies_slowly_then_receives_all_before_the_close() {
    const VALUE_BYTES: usize = 32 << 20;
    let mut fixture = Fixture::new();
    fixture.receive(PING);
    let slot = fixture.next_slot().expect("a complete command");
    fixture.receive(b"this is no command\r\n");
    assert!(fixture.next_slot().is_none());
    fixture.reply(slot, VALUE_BYTES);
    fixture.client.set_nonblocking(true).expect("a socket");
    let mut buffer = vec![0; 4 << 20];
    let mut received: Vec<u8> = Vec::new();
    loop {
        fixture.is_closed_by_sweep_after(SECOND_MICROS / 2);
        match fixture.client.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => received.extend_from_slice(&buffer[..length]),
            Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock),
        }
    }
    assert!(received.len() > VALUE_BYTES, "{} bytes", received.len());
    assert!(received.ends_with(b"\r\n"), "the error is cut off");
}

#[test]
fn memory_is_full_then_only_whole_commands_are_rejected() {
    let mut fixture = Fixture::with_memory(0);
    for part in [&PING[..0], &PING[..5], &PING[5..]] {
        fixture.receive(part);
        assert!(fixture.next_slot().is_none(), "{part:?}");
        fixture.test_loop.jumps.jump(SECOND_MICROS);
    }
    let command = fixture
        .sessions
        .next_command(&mut fixture.test_loop.engine, fixture.conn);
    assert!(command.expect("a command").is_overdue);
    fixture.test_loop.engine.flush(fixture.conn);
    assert_eq!(fixture.test_loop.engine.written_bytes(fixture.conn), 0);
}

#[test]
fn long_command_without_memory_then_rejected_and_the_next_one_is_read() {
    let mut fixture = Fixture::with_memory(0);
    let long = [
        &b"*5\r\n$9\r\nAPI.WRITE\r\n$1\r\nc\r\n$1\r\ni\r\n$1\r\nf\r\n$60000\r\n"[..],
        &[b'x'; 60_002][..],
    ]
    .concat();
    fixture.receive(&long[..MAX_READ_BYTES]);
    assert!(fixture.next_slot().is_none());
    fixture.test_loop.jumps.jump(SECOND_MICROS);
    assert!(fixture.next_slot().is_none());
    fixture
        .sessions
        .flush(&mut fixture.test_loop.engine, fixture.conn);
    fixture.turn();
    let mut received = [0; 7];
    fixture.client.read_exact(&mut received).expect("a reply");
    assert_eq!(&received, b"-BUSY\r\n");
    fixture.receive(&long[MAX_READ_BYTES..]);
    fixture.receive(PING);
    assert!(fixture.next_slot().is_none(), "it waits for memory");
    fixture.test_loop.jumps.jump(SECOND_MICROS);
    assert!(
        fixture.next_slot().is_some(),
        "the next command is not read"
    );
}
