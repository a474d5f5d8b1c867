use super::*;
use chalkdeck_net::clock::{Clock, Jumps};
use chalkdeck_net::{Event, Limits};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

const SECOND: i64 = 1_000_000;

/// The front with one client, and the clock in hand.
struct Stand {
    engine: Engine,
    front: Front,
    jumps: Arc<Jumps>,
    client: TcpStream,
    conn: ConnId,
    closed: bool,
}

impl Stand {
    fn new() -> Stand {
        let jumps = Arc::<Jumps>::default();
        let mut engine = Engine::with_clock(Clock::jumping(jumps.clone())).expect("a poll handle");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (_, address) = engine
            .listen_raw(any, Limits::default())
            .expect("a free port");
        let client = TcpStream::connect(address).expect("a connection");
        let mut front = Front::new(8, 1 << 20);
        let conn = loop {
            let mut events = Vec::new();
            engine.turn(10_000, &mut events).expect("a turn");
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
        front.accepted(&mut engine, conn);
        Stand {
            engine,
            front,
            jumps,
            client,
            conn,
            closed: false,
        }
    }

    fn turn(&mut self) {
        let mut events = Vec::new();
        self.engine.turn(0, &mut events).expect("a turn");
        self.closed |= events.iter().any(|e| matches!(e, Event::Closed { .. }));
    }

    /// A command came and was answered; the answer is queued.
    fn answers(&mut self, value: usize) {
        self.front
            .bytes(&mut self.engine, self.conn, b"*1\r\n$4\r\nPING\r\n");
        let ReceivedCommand { slot, .. } = self
            .front
            .next(&mut self.engine, self.conn)
            .expect("a whole command");
        self.front
            .answer(self.conn, slot, Frame::BulkString(vec![b'v'; value].into()));
        self.front.flush(&mut self.engine, self.conn);
    }

    fn sweeps_after(&mut self, micros: i64) -> bool {
        self.jumps.jump(micros);
        self.front.sweep(&mut self.engine);
        self.turn();
        self.closed
    }
}

#[test]
fn an_answer_queued_in_this_turn_is_not_what_its_client_left_unread() {
    let mut stand = Stand::new();
    stand.answers(4);
    assert!(!stand.sweeps_after(0), "closed over its first answer");
    let mut came = [0; 10];
    stand
        .client
        .read_exact(&mut came)
        .expect("the whole answer");
    assert_eq!(&came, b"$4\r\nvvvv\r\n");
}

#[test]
fn a_client_is_given_its_time_from_when_it_stopped_taking_bytes() {
    let mut stand = Stand::new();
    assert!(!stand.sweeps_after(0));
    stand.jumps.jump(9 * SECOND);
    stand.answers(32 << 20);
    stand.turn();
    assert!(
        !stand.sweeps_after(2 * SECOND),
        "the last look before was long ago"
    );
    assert!(!stand.sweeps_after(9 * SECOND));
    assert!(stand.sweeps_after(2 * SECOND), "it never took a byte");
}

#[test]
fn a_client_that_reads_more_slowly_than_it_asks_is_not_taken_for_one_that_stopped() {
    let mut stand = Stand::new();
    stand.client.set_nonblocking(true).expect("a socket");
    stand.front.bytes(
        &mut stand.engine,
        stand.conn,
        &b"*1\r\n$4\r\nPING\r\n".repeat(7),
    );
    let mut slots: Vec<ReplySlot> = Vec::new();
    while let Some(ReceivedCommand { slot, .. }) = stand.front.next(&mut stand.engine, stand.conn) {
        slots.push(slot);
    }
    for slot in slots {
        stand.front.answer(
            stand.conn,
            slot,
            Frame::BulkString(vec![b'v'; 8 << 20].into()),
        );
        stand.front.flush(&mut stand.engine, stand.conn);
        let mut some = vec![0; 4 << 20];
        let mut taken = 0;
        while taken < 1 << 20 {
            stand.turn();
            taken += stand.client.read(&mut some).unwrap_or(0);
        }
        assert!(
            !stand.sweeps_after(4 * SECOND),
            "it took {taken} bytes since the last look"
        );
    }
}

#[test]
fn what_came_unread_while_the_gateway_stood_still_is_read_before_its_client_counts_as_silent() {
    let mut stand = Stand::new();
    stand
        .client
        .write_all(b"*1\r\n$4\r\nPING\r\n")
        .expect("it is sent");
    while stand.engine.is_quiet(stand.conn) {}
    assert!(
        !stand.sweeps_after(3 * SECOND),
        "closed with a command waiting"
    );
    let mut other = Stand::new();
    assert!(other.sweeps_after(3 * SECOND), "it never said a word");
}

#[test]
fn a_first_command_that_trickles_in_is_not_waited_for_without_end() {
    let mut stand = Stand::new();
    for byte in b"*1" {
        assert!(!stand.sweeps_after(900_000));
        stand.front.bytes(&mut stand.engine, stand.conn, &[*byte]);
    }
    assert!(
        stand.sweeps_after(300_000),
        "its first command is still to come"
    );
}
