//! Tests of shutdowns while clients continue to send, in thousands of random orders of events.

use super::test_support::TestLoop;
use super::*;
use chalkdeck_net::Event;
use fastrand::Rng;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
const PONG: &[u8] = b"+PONG\r\n";
/// The number of turns of the event loop within which a shutdown must end.
const MAX_TURNS: usize = 2_000;

struct Client {
    stream: TcpStream,
    /// The number of bytes that the client wrote.
    sent_bytes: usize,
    /// The number of bytes that the gateway read from this client.
    read_bytes: usize,
    reply_count: usize,
    is_closed: bool,
}

impl Client {
    fn new(stream: TcpStream) -> Client {
        Client {
            stream,
            sent_bytes: 0,
            read_bytes: 0,
            reply_count: 0,
            is_closed: false,
        }
    }

    /// Sends up to 35 bytes of commands, which may end within a command, continuing one that was begun.
    fn send(&mut self, rng: &mut Rng) {
        let mut rest = PING.repeat(3).split_off(self.sent_bytes % PING.len());
        rest.truncate(rng.usize(1..=rest.len().min(35)));
        self.sent_bytes += self.stream.write(&rest).unwrap_or(0);
    }

    /// Reads received bytes; returns the number of replies in them.
    fn read_replies(&mut self) -> usize {
        let mut buffer = [0; 512];
        match self.stream.read(&mut buffer) {
            Ok(0) => self.is_closed = true,
            Ok(length) => return length / PONG.len(),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.is_closed = true,
        }
        0
    }

    /// Reads, then sends more: always if a command is incomplete, otherwise at random, and more often after a reply.
    fn step(&mut self, rng: &mut Rng) {
        let received = self.read_replies();
        self.reply_count += received;
        // Few commands may be pending, so that sometimes there are none: a client that always has one is served until the longest
        // deadline.
        let is_within_command = !self.sent_bytes.is_multiple_of(PING.len());
        let has_few_pending = self.sent_bytes / PING.len() < self.reply_count + 3;
        if !self.is_closed
            && (is_within_command
                || has_few_pending && (received > 0 && rng.u8(..) < 200 || rng.u8(..) < 20))
        {
            self.send(rng);
        }
    }

    /// Whether every command that the gateway read was answered, and the connection was closed between two commands.
    fn is_fully_answered(&self) -> bool {
        self.read_bytes / PING.len() == self.reply_count
            && self.read_bytes.is_multiple_of(PING.len())
            && self.is_closed
    }
}

/// The sessions of one gateway, driven in the same way as by the gateway's event loop.
struct Harness {
    test_loop: TestLoop,
    sessions: Sessions,
    clients: FxHashMap<ConnId, Client>,
    /// The commands that have no reply yet.
    open_commands: Vec<(ConnId, ReplySlot)>,
}

impl Harness {
    fn new() -> Harness {
        Harness {
            test_loop: TestLoop::new(),
            sessions: Sessions::new(64, 1 << 20),
            clients: FxHashMap::default(),
            open_commands: Vec::new(),
        }
    }

    fn connect_client(&mut self) {
        let (stream, conn) = self.test_loop.connect();
        stream.set_nonblocking(true).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
        self.sessions.on_accepted(&self.test_loop.engine, conn);
        self.clients.insert(conn, Client::new(stream));
    }

    /// Replies to a random selection of the open commands.
    fn reply_some(&mut self, rng: &mut Rng) {
        while !self.open_commands.is_empty() && rng.bool() {
            let (conn, slot) = self
                .open_commands
                .swap_remove(rng.usize(..self.open_commands.len()));
            self.sessions.reply(conn, slot, client_replies::pong());
            self.sessions.flush(&mut self.test_loop.engine, conn);
        }
    }

    fn on_event(&mut self, event: Event) {
        if let Event::Bytes {
            conn,
            data,
            arrived_since,
        } = event
        {
            self.clients.get_mut(&conn).expect("its client").read_bytes += data.len();
            let arrived_since = Timestamp::from_micros(arrived_since);
            let engine = &mut self.test_loop.engine;
            self.sessions.on_bytes(engine, conn, &data, arrived_since);
            self.take_commands(conn);
        } else if let Event::Closed { conn, .. } = event {
            self.sessions.on_closed(conn);
        }
    }

    /// Runs one turn of the event loop. Replies are sent between its events, as attempts end between events in a gateway.
    fn turn(&mut self, rng: &mut Rng) {
        let mut events = Vec::new();
        self.test_loop.engine.turn(0, &mut events).expect("a turn");
        for event in events {
            self.on_event(event);
            self.reply_some(rng);
        }
        self.reply_some(rng);
        self.sessions
            .queue_connections_waiting_for_memory(&self.test_loop.engine);
        for _ in 0..self.sessions.connections_to_resume() {
            if let Some(conn) = self.sessions.next_connection_to_resume() {
                self.take_commands(conn);
            }
        }
        self.sessions.close_idle(&mut self.test_loop.engine);
    }

    fn take_commands(&mut self, conn: ConnId) {
        let engine = &mut self.test_loop.engine;
        while let Some(ReceivedCommand { slot, .. }) = self.sessions.next_command(engine, conn) {
            self.open_commands.push((conn, slot));
        }
        self.sessions.flush(engine, conn);
    }

    fn step_clients(&mut self, rng: &mut Rng) {
        let conns: Vec<ConnId> = self.clients.keys().copied().collect();
        for conn in conns {
            self.clients
                .get_mut(&conn)
                .expect("a known client")
                .step(rng);
        }
    }

    fn has_connections(&self) -> bool {
        self.test_loop.engine.connection_count() > 0
    }

    /// Simulates one shutdown; returns a description of the fault, if there is one.
    fn simulate_shutdown(&mut self, seed: u64) -> Option<String> {
        let mut rng = Rng::with_seed(seed);
        self.sessions = Sessions::new(64, 1 << 20);
        for _ in 0..rng.usize(1..=3) {
            self.connect_client();
        }
        let shutdown_at = rng.usize(0..10);
        for step in 0..MAX_TURNS {
            self.step_clients(&mut rng);
            if step == shutdown_at {
                let now = clock::now(&self.test_loop.engine);
                self.sessions.shut_down(now);
            }
            if step >= shutdown_at {
                self.test_loop.jumps.jump(rng.i64(0..60_000));
            }
            self.turn(&mut rng);
            let all_closed = self.clients.values().all(|client| client.is_closed);
            if step >= shutdown_at && all_closed && !self.has_connections() {
                break;
            }
        }
        self.take_fault()
    }

    /// Removes all clients; describes the first fault, if there is one.
    fn take_fault(&mut self) -> Option<String> {
        let mut clients = self.clients.drain();
        let unanswered = clients.find(|(_, client)| !client.is_fully_answered());
        let fault = unanswered.map(|(conn, client)| {
            format!(
                "{conn:?}: {} bytes read, {} replies, closed: {}",
                client.read_bytes, client.reply_count, client.is_closed
            )
        });
        drop(clients);
        self.open_commands.clear();
        // The connection must be closed completely: after a half-close, commands that the client still sends would get no reply.
        fault.or(self
            .has_connections()
            .then(|| "a connection is still open although its client has read its end".into()))
    }
}

#[test]
fn shutdown_in_any_order_of_events_then_commands_that_were_read_answered_before_the_close() {
    let mut harness = Harness::new();
    for seed in 0..10_000 {
        let fault = harness.simulate_shutdown(seed);
        assert!(
            fault.is_none(),
            "seed {seed}: {}",
            fault.unwrap_or_default()
        );
    }
}
