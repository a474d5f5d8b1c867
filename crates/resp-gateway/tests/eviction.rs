//! Tests of evictions: bad clients fill the gateway's descriptors, and usual clients still get their answers.

mod common;

use chalkdeck_net::ConnId;
use common::{Harness, SMALL_LIMITS};

const VIEW: &str = "c=view,t=team,d=60000,units=1,spread=3,first=1";
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// The number of connections that a gateway with `SMALL_LIMITS` accepts.
const MAX_ACCEPTED_CLIENTS: usize = 43;
/// The number of turns in which a gateway serves a client that need not wait for others.
const MAX_TURNS: usize = 1_000;
/// The beginning of a command that is too long.
const TOO_LONG_COMMAND: &[u8] = b"*1\r\n$62914560\r\n";
/// What a client sends of it at once, more than the gateway reads in a turn.
const CHUNK: &[u8] = &[b'x'; 512 << 10];

/// A gateway with few descriptors, whose deadlines no test reaches.
fn start() -> Harness {
    Harness::with_config(1, SMALL_LIMITS, |text| {
        text.replace("\"deadline\":3000000", "\"deadline\":60000000")
    })
}

/// Bad clients that send commands that are too long, at full speed, and come again as soon as their connection is closed.
#[derive(Default)]
struct BadClients {
    open: Vec<ConnId>,
}

impl BadClients {
    /// Connects clients until there are `count`, and lets all of them send. None has sent everything, so the gateway always finds unread
    /// bytes.
    fn send(&mut self, harness: &mut Harness, count: usize) {
        self.open.retain(|client| !harness.closed.contains(client));
        while self.open.len() < count {
            let address = harness.gateway.listen_address();
            let client = harness.engine.connect_plain(address).expect("a socket");
            self.open.push(client);
        }
        for client in &self.open {
            if !harness.connected.contains(client) {
                continue;
            }
            if harness.engine.written_bytes(*client) == 0 {
                harness.write(*client, TOO_LONG_COMMAND);
            }
            if harness.engine.unsent_bytes(*client) < CHUNK.len() {
                harness.write(*client, CHUNK);
            }
        }
    }

    /// Runs turns while `count` bad clients send, until `condition` holds.
    fn run_until(
        &mut self,
        harness: &mut Harness,
        count: usize,
        what: &str,
        mut condition: impl FnMut(&mut Harness) -> bool,
    ) {
        for _ in 0..MAX_TURNS {
            if condition(harness) {
                return;
            }
            self.send(harness, count);
            harness.jumps.jump(1_000);
            harness.turn();
        }
        panic!("not within {MAX_TURNS} turns: {what}");
    }
}

fn has_received(harness: &Harness, client: ConnId, expected: &[u8]) -> bool {
    let received = harness.received.get(&client);
    received.is_some_and(|bytes| bytes.ends_with(expected))
}

/// Guards against answers that an eviction drops between their arrival from the endpoint and the turn's end, when they are written.
#[test]
fn client_evicted_in_the_turn_of_its_reply_then_reply_written() {
    let mut harness = start();
    let usual = harness.connect_client();
    harness.send_request(usual, "a1", VIEW);
    let (endpoint, _) = harness.next_attempt();
    let mut bad_clients = BadClients::default();
    // One more than the gateway accepts. The last one waits until another connection is closed.
    for count in 1..=MAX_ACCEPTED_CLIENTS {
        bad_clients.run_until(&mut harness, count, "a bad client connects", |h| {
            h.connected.len() > count
        });
    }
    for _ in 0..3 {
        bad_clients.send(&mut harness, MAX_ACCEPTED_CLIENTS);
        harness.turn();
    }
    bad_clients.send(&mut harness, MAX_ACCEPTED_CLIENTS);
    harness.reply_served(endpoint, "kept");
    harness.engine.close(bad_clients.open[0]);
    // The gateway reads the reply, sees a client go and accepts the next one in its place, all in one turn.
    harness.run_peers_only();
    harness.expect_received(usual, "$4\r\nkept\r\n");
}

/// Guards against bad clients that come again at once and displace the usual clients, whose connections rest between requests.
#[test]
fn bad_clients_come_again_at_once_then_usual_clients_keep_their_connections() {
    let mut harness = start();
    let usual = harness.connect_client();
    harness.serve_request(usual, "b0", VIEW, "made");
    let mut bad_clients = BadClients::default();
    let count = 2 * MAX_ACCEPTED_CLIENTS;
    for round in 1..30 {
        harness.received.remove(&usual);
        harness.send_request(usual, &format!("b{round}"), VIEW);
        let mut attempt = None;
        bad_clients.run_until(&mut harness, count, "the request is forwarded", |h| {
            attempt = h.try_next_attempt();
            attempt.is_some()
        });
        harness.reply_served(attempt.expect("an attempt").0, "made");
        bad_clients.run_until(&mut harness, count, "the usual client is served", |h| {
            has_received(h, usual, b"$4\r\nmade\r\n")
        });
    }
    assert!(
        !harness.closed.contains(&usual),
        "the connection of a usual client was closed"
    );
    let new = harness.connect_client();
    harness.write(new, PING);
    bad_clients.run_until(&mut harness, count, "a new client is served", |h| {
        has_received(h, new, b"+PONG\r\n")
    });
}
