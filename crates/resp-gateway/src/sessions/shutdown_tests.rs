//! Shutdowns while clients go on sending, in thousands of orders of events.

use super::test_support::TestLoop;
use super::*;
use chalkdeck_net::Event;
use fastrand::Rng;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
const PONG: &[u8] = b"+PONG\r\n";
/// Turns of the loop after which a shutdown must have ended.
const MAX_TURNS: usize = 2_000;

struct Client {
    stream: TcpStream,
    /// Bytes of commands that the client wrote.
    sent: usize,
    /// Bytes of commands that the gateway read.
    read: usize,
    replies: usize,
    is_closed: bool,
}

impl Client {
    fn new(stream: TcpStream) -> Client {
        Client {
            stream,
            sent: 0,
            read: 0,
            replies: 0,
            is_closed: false,
        }
    }

    /// Sends a part of a command, a whole one, or two and a part.
    fn send(&mut self, rng: &mut Rng) {
        let mut rest = PING.repeat(3).split_off(self.sent % PING.len());
        rest.truncate(rng.usize(1..=rest.len().min(35)));
        self.sent += self.stream.write(&rest).unwrap_or(0);
    }

    /// Reads what was received; returns the number of replies.
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

    /// Reads, then sends more: often at once, and always where half a command was sent.
    fn step(&mut self, rng: &mut Rng) {
        let received = self.read_replies();
        self.replies += received;
        // Now and then nothing is pending: a client that always has something pending is served up to the longest deadline.
        let is_within_command = !self.sent.is_multiple_of(PING.len());
        let has_few_pending = self.sent / PING.len() < self.replies + 3;
        if !self.is_closed
            && (is_within_command
                || has_few_pending && (received > 0 && rng.u8(..) < 200 || rng.u8(..) < 20))
        {
            self.send(rng);
        }
    }

    /// Whether each command that the gateway read has its reply, and the connection was closed between two.
    fn is_fully_answered(&self) -> bool {
        self.read / PING.len() == self.replies
            && self.read.is_multiple_of(PING.len())
            && self.is_closed
    }
}

/// The sessions of one gateway, driven as its loop drives them.
struct Harness {
    test_loop: TestLoop,
    sessions: Sessions,
    clients: FxHashMap<ConnId, Client>,
    /// Commands without their reply.
    open: Vec<(ConnId, ReplySlot)>,
}

impl Harness {
    fn new() -> Harness {
        Harness {
            test_loop: TestLoop::new(),
            sessions: Sessions::new(64, 1 << 20),
            clients: FxHashMap::default(),
            open: Vec::new(),
        }
    }

    fn connect_client(&mut self) {
        let (stream, conn) = self.test_loop.connect();
        stream.set_nonblocking(true).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
        self.sessions.on_accepted(&mut self.test_loop.engine, conn);
        self.clients.insert(conn, Client::new(stream));
    }

    fn reply_some(&mut self, rng: &mut Rng) {
        while !self.open.is_empty() && rng.bool() {
            let (conn, slot) = self.open.swap_remove(rng.usize(..self.open.len()));
            self.sessions.reply(conn, slot, client_replies::pong());
            self.sessions.flush(&mut self.test_loop.engine, conn);
        }
    }

    fn on_event(&mut self, event: Event) {
        if let Event::Bytes { conn, data } = event {
            self.clients.get_mut(&conn).expect("its client").read += data.len();
            self.sessions
                .on_bytes(&mut self.test_loop.engine, conn, &data);
            self.take_commands(conn);
        } else if let Event::Closed { conn, .. } = event {
            self.sessions.on_closed(conn);
        }
    }

    /// One turn of the loop. Replies are sent between its events, as attempts end between them.
    fn turn(&mut self, rng: &mut Rng) {
        let mut events = Vec::new();
        self.test_loop.engine.turn(0, &mut events).expect("a turn");
        for event in events {
            self.on_event(event);
            self.reply_some(rng);
        }
        self.reply_some(rng);
        for conn in self.sessions.take_resumed() {
            self.take_commands(conn);
        }
        self.sessions.close_idle(&mut self.test_loop.engine);
    }

    fn take_commands(&mut self, conn: ConnId) {
        let engine = &mut self.test_loop.engine;
        while let Some(ReceivedCommand { slot, .. }) = self.sessions.next_command(engine, conn) {
            self.open.push((conn, slot));
        }
        self.sessions.flush(engine, conn);
    }

    fn step_clients(&mut self, rng: &mut Rng) {
        let conns: Vec<ConnId> = self.clients.keys().copied().collect();
        for conn in conns {
            self.clients.get_mut(&conn).expect("it is there").step(rng);
        }
    }

    fn has_connections(&self) -> bool {
        self.test_loop.engine.connection_count() > 0
    }

    /// Plays one shutdown; returns what of it went wrong.
    fn play_shutdown(&mut self, seed: u64) -> Option<String> {
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
        self.fault()
    }

    fn fault(&mut self) -> Option<String> {
        let mut clients = self.clients.drain();
        let unanswered = clients.find(|(_, client)| !client.is_fully_answered());
        let fault = unanswered.map(|(conn, client)| {
            format!(
                "{conn:?}: {} bytes read, {} replies, closed {}",
                client.read, client.replies, client.is_closed
            )
        });
        drop(clients);
        self.open.clear();
        // A half-close would leave what its client still sends without a reply.
        fault.or(self
            .has_connections()
            .then(|| "a connection is open though its client has read its end".into()))
    }
}

#[test]
fn shutdown_in_any_order_of_events_then_all_that_was_read_is_answered_before_the_close() {
    let mut harness = Harness::new();
    for seed in 0..10_000 {
        let fault = harness.play_shutdown(seed);
        assert!(
            fault.is_none(),
            "seed {seed}: {}",
            fault.unwrap_or_default()
        );
    }
}
