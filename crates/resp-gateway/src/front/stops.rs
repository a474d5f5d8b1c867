//! Stops against clients that go on sending, in thousands of orders of events.

use super::*;
use chalkdeck_net::clock::{Clock, Jumps};
use chalkdeck_net::{Event, Limits};
use fastrand::Rng;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

struct Client {
    stream: TcpStream,
    /// Bytes of commands that went out, and that the gateway read.
    sent: usize,
    read: usize,
    answers: usize,
    over: bool,
}

impl Client {
    /// Sends a part of a command, a whole one, or two and a part.
    fn sends(&mut self, rng: &mut Rng) {
        let mut left = PING.repeat(3).split_off(self.sent % PING.len());
        left.truncate(rng.usize(1..=left.len().min(35)));
        self.sent += self.stream.write(&left).unwrap_or(0);
    }

    /// Reads what came, and goes on: often at once, and always where half a command is out.
    fn moves(&mut self, rng: &mut Rng) {
        let mut some = [0; 512];
        let heard = match self.stream.read(&mut some) {
            Ok(0) => {
                self.over = true;
                0
            }
            Ok(n) => n / 7,
            Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
            Err(_) => {
                self.over = true;
                0
            }
        };
        self.answers += heard;
        // Now and then it has nothing out: one that always has is served up to the longest deadline.
        let half = !self.sent.is_multiple_of(PING.len());
        let few = self.sent / PING.len() < self.answers + 3;
        if !self.over && (half || few && (heard > 0 && rng.u8(..) < 200 || rng.u8(..) < 20)) {
            self.sends(rng);
        }
    }
}

/// One gateway's clients, as its loop plays them.
struct Play {
    engine: Engine,
    jumps: Arc<Jumps>,
    address: SocketAddr,
    front: Front,
    clients: FxHashMap<ConnId, Client>,
    /// Commands without their answer.
    open: Vec<(ConnId, ReplySlot)>,
}

impl Play {
    fn new() -> Play {
        let jumps = Arc::<Jumps>::default();
        let mut engine = Engine::with_clock(Clock::jumping(jumps.clone())).expect("a poll handle");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (_, address) = engine
            .listen_raw(any, Limits::default())
            .expect("a free port");
        let (clients, open) = Default::default();
        Play {
            engine,
            jumps,
            address,
            front: Front::new(64, 1 << 20),
            clients,
            open,
        }
    }

    fn client(&mut self) {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_nonblocking(true).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
        let conn = loop {
            let mut events = Vec::new();
            self.engine.turn(1_000, &mut events).expect("a turn");
            let came = |e: &Event| {
                if let Event::Accepted { conn, .. } = e {
                    Some(*conn)
                } else {
                    None
                }
            };
            if let Some(conn) = events.iter().find_map(came) {
                break conn;
            }
        };
        self.front.accepted(&mut self.engine, conn);
        self.clients.insert(
            conn,
            Client {
                stream,
                sent: 0,
                read: 0,
                answers: 0,
                over: false,
            },
        );
    }

    fn answer(&mut self, at: usize) {
        let (conn, slot) = self.open.swap_remove(at);
        self.front
            .answer(conn, slot, Frame::SimpleString(Bytes::from_static(b"PONG")));
        self.front.flush(&mut self.engine, conn);
    }

    fn answers(&mut self, rng: &mut Rng) {
        while !self.open.is_empty() && rng.bool() {
            self.answer(rng.usize(..self.open.len()));
        }
    }

    /// One turn of the loop. Answers come between its events, as attempts end between them.
    fn turn(&mut self, rng: &mut Rng) {
        let mut events = Vec::new();
        self.engine.turn(0, &mut events).expect("a turn");
        for event in events {
            if let Event::Bytes { conn, data } = event {
                self.clients.get_mut(&conn).expect("its client").read += data.len();
                self.front.bytes(&mut self.engine, conn, &data);
                self.commands(conn);
            } else if let Event::Closed { conn, .. } = event {
                self.front.closed(conn);
            }
            self.answers(rng);
        }
        self.answers(rng);
        for conn in self.front.take_resumed() {
            self.commands(conn);
        }
        self.front.close_idle(&mut self.engine);
    }

    fn commands(&mut self, conn: ConnId) {
        while let Some(ReceivedCommand { slot, .. }) = self.front.next(&mut self.engine, conn) {
            self.open.push((conn, slot));
        }
        self.front.flush(&mut self.engine, conn);
    }

    /// Plays one stop; returns what of it went wrong.
    fn stops(&mut self, seed: u64) -> Option<String> {
        let mut rng = Rng::with_seed(seed);
        self.front = Front::new(64, 1 << 20);
        (0..rng.usize(1..=3)).for_each(|_| self.client());
        let stop_at = rng.usize(0..10);
        for step in 0..2_000 {
            let keys: Vec<ConnId> = self.clients.keys().copied().collect();
            keys.iter().for_each(|c| {
                self.clients
                    .get_mut(c)
                    .expect("it is there")
                    .moves(&mut rng)
            });
            if step == stop_at {
                self.front.shut_down(self.engine.now());
            }
            if step >= stop_at {
                self.jumps.jump(rng.i64(0..60_000));
            }
            self.turn(&mut rng);
            if step >= stop_at && self.clients.values().all(|c| c.over) && self.engine.held().0 == 0
            {
                break;
            }
        }
        let lost = self.clients.drain().find_map(|(conn, c)| {
            let taken = c.read / PING.len();
            let told = format!(
                "{conn:?}: {} bytes read, {} answers, over {}",
                c.read, c.answers, c.over
            );
            (taken != c.answers || c.read % PING.len() > 0 || !c.over).then_some(told)
        });
        self.open.clear();
        // One that only ended its own direction would leave what its client still sends without an answer.
        lost.or((self.engine.held().0 > 0)
            .then(|| "a connection stands though its client has heard its end".into()))
    }
}

#[test]
fn what_was_read_is_answered_before_its_connection_ends_in_any_order_of_events() {
    let mut play = Play::new();
    for seed in 0..10_000 {
        let lost = play.stops(seed);
        assert!(lost.is_none(), "seed {seed}: {}", lost.unwrap_or_default());
    }
}
