//! Tests of races: connections and time-outs that end while a command, a reply or an attempt is pending. Each test stops the gateway's
//! event loop between two turns, so that the critical order of events occurs in every run.

mod common;

use chalkdeck_net::ConnId;
use common::{Harness, LARGE_LIMITS, SECOND_MICROS, SMALL_LIMITS};

const VIEW: &str = "c=view,t=team,d=2000,units=1,spread=3,first=1";
const SALE: &str = "c=sale,t=team,d=2000,units=1,spread=3,first=1";
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// The maximum number of clients of a gateway with `SMALL_LIMITS`, and the number of connections that it accepts beyond it.
const MAX_CLIENTS: usize = 35;
const EXTRA_CLIENTS: usize = 8;

/// Connects a client that has sent one command.
fn connect_active_client(harness: &mut Harness) -> ConnId {
    let client = harness.connect_client();
    harness.write(client, PING);
    harness.expect_received(client, "+PONG");
    client
}

/// The time-out in the command of an attempt, in milliseconds.
fn timeout_ms(words: &[bytes::Bytes]) -> u64 {
    let fields = String::from_utf8_lossy(&words[3]).into_owned();
    let timeout = fields
        .split(',')
        .find_map(|pair| pair.strip_prefix("d=")?.parse().ok());
    timeout.expect("a time-out")
}

/// Waits for the next `count` attempts.
fn next_attempts(harness: &mut Harness, count: usize) -> Vec<(ConnId, Vec<bytes::Bytes>)> {
    (0..count).map(|_| harness.next_attempt()).collect()
}

#[test]
fn client_of_a_paused_connection_disconnects_then_its_attempts_cancelled() {
    for unread_count in [0, 40] {
        let mut harness = Harness::new(40, LARGE_LIMITS);
        let client = harness.connect_client();
        for i in 0..64 + unread_count {
            harness.send_request(client, &format!("a{i}"), VIEW);
        }
        let endpoints: Vec<ConnId> = next_attempts(&mut harness, 64)
            .into_iter()
            .map(|(conn, _)| conn)
            .collect();
        // The gateway reads nothing more from this client, since 64 of its commands are pending.
        harness.write(client, &vec![b'x'; 100_000]);
        harness.settle();
        harness.engine.close(client);
        harness.settle();
        let cancelled_count = endpoints
            .iter()
            .filter(|c| harness.closed.contains(c))
            .count();
        assert_eq!(
            cancelled_count,
            endpoints.len(),
            "attempts were not cancelled when their client disconnected, long before their deadlines"
        );
        assert!(
            harness.try_next_attempt().is_none(),
            "an attempt began after its client had disconnected"
        );
    }
}

#[test]
fn request_in_the_same_turn_as_an_idle_close_then_served() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = connect_active_client(&mut harness);
    harness.send_request(client, "b1", VIEW);
    harness.run_peers_only();
    harness.jumps.jump(11 * SECOND_MICROS);
    let (endpoint, _) = harness.next_attempt();
    harness.reply_served(endpoint, "kept");
    harness.expect_received(client, "$4\r\nkept\r\n");
}

#[test]
fn request_in_the_same_turn_as_an_eviction_then_another_connection_evicted() {
    let mut harness = Harness::new(1, SMALL_LIMITS);
    let clients: Vec<ConnId> = (0..MAX_CLIENTS)
        .map(|_| connect_active_client(&mut harness))
        .collect();
    harness.jumps.jump(100_000);
    harness.send_request(clients[0], "c1", VIEW);
    let new = harness
        .engine
        .connect_plain(harness.gateway.listen_address())
        .expect("a socket");
    harness.run_peers_only();
    let (endpoint, _) = harness.next_attempt();
    harness.reply_served(endpoint, "kept");
    harness.expect_received(clients[0], "$4\r\nkept\r\n");
    harness.wait_for("another client is evicted", |h| {
        h.closed.contains(&clients[1]).then_some(())
    });
    harness.write(new, PING);
    harness.expect_received(new, "+PONG");
}

#[test]
fn client_within_a_command_then_an_idle_one_evicted_instead() {
    let mut harness = Harness::new(1, SMALL_LIMITS);
    let clients: Vec<ConnId> = (0..MAX_CLIENTS)
        .map(|_| connect_active_client(&mut harness))
        .collect();
    harness.write(clients[0], b"*1\r\n$4\r\nPI");
    harness.settle();
    harness.jumps.jump(100_000);
    clients[1..].iter().for_each(|c| harness.write(*c, PING));
    clients[1..]
        .iter()
        .for_each(|c| harness.expect_received(*c, "+PONG"));
    let new = harness.connect_client();
    harness.wait_for("a client is evicted", |h| {
        clients.iter().any(|c| h.closed.contains(c)).then_some(())
    });
    harness.write(clients[0], b"NG\r\n");
    harness.expect_received(clients[0], "+PONG");
    harness.write(new, PING);
    harness.expect_received(new, "+PONG");
}

#[test]
fn reply_in_the_same_turn_as_its_timeout_then_served() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.send_request(client, "d1", SALE);
    let (endpoint, _) = harness.next_attempt();
    harness.reply_served(endpoint, "done");
    harness.run_peers_only();
    harness.jumps.jump(2_100_000);
    harness.expect_received(client, "$4\r\ndone\r\n");
}

#[test]
fn late_duplicate_reply_in_the_same_turn_as_a_reuse_then_connection_not_reused() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    let used = harness.serve_request(client, "e1", VIEW, "one");
    harness.jumps.jump(SECOND_MICROS);
    harness.is_counter_silent = true;
    harness.send_request(client, "e2", VIEW);
    let counter = harness.wait_for_counter_call();
    // The gateway reads both replies in one turn. The counter's reply comes first and lets the gateway forward the request.
    harness.write(counter, b"$1\r\n1\r\n");
    harness.run_peers_only();
    harness.reply_served(used, "stale");
    harness.run_peers_only();
    let (other, words) = harness.next_attempt();
    assert_eq!(&words[2][..], b"e2");
    assert_ne!(other, used, "a connection with unread bytes was reused");
    harness.reply_served(other, "two");
    harness.expect_received(client, "$3\r\ntwo\r\n");
}

#[test]
fn request_within_the_reuse_delay_then_connection_not_reused() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    let used = harness.serve_request(client, "k1", VIEW, "one");
    harness.jumps.jump(4_000);
    harness.send_request(client, "k2", VIEW);
    let (other, _) = harness.next_attempt();
    assert_ne!(
        other, used,
        "a connection was reused while a duplicate reply may still arrive"
    );
    harness.reply_served(used, "one");
    harness.settle();
    harness.reply_served(other, "two");
    harness.expect_received(client, "$3\r\ntwo\r\n");
}

#[test]
fn command_waited_unread_then_its_timeout_counted_from_the_pause() {
    let mut harness = Harness::new(40, LARGE_LIMITS);
    let client = harness.connect_client();
    for i in 0..70 {
        harness.send_request(client, &format!("f{i}"), VIEW);
    }
    let first_attempts = next_attempts(&mut harness, 64);
    harness.jumps.jump(SECOND_MICROS);
    first_attempts
        .iter()
        .for_each(|(endpoint, _)| harness.reply_served(*endpoint, "done"));
    let later_attempts = next_attempts(&mut harness, 6);
    let timeouts: Vec<u64> = later_attempts
        .iter()
        .map(|(_, words)| timeout_ms(words))
        .collect();
    assert!(
        timeouts.iter().all(|timeout| *timeout <= 1_000),
        "{timeouts:?} of 2,000 ms, of which 1,000 have passed"
    );
    later_attempts
        .iter()
        .for_each(|(endpoint, _)| harness.reply_served(*endpoint, "done"));
    // A command that arrives when nothing is unread has its complete time-out.
    harness.wait_for("all are answered", |h| {
        let reply_count = h
            .received
            .get(&client)
            .map_or(0, |b| b.iter().filter(|c| **c == b'$').count());
        (reply_count == 70).then_some(())
    });
    harness.jumps.jump(SECOND_MICROS);
    harness.send_request(client, "f99", VIEW);
    let (_, words) = harness.next_attempt();
    assert!(
        timeout_ms(&words) > 1_900,
        "{} of 2,000 ms",
        timeout_ms(&words)
    );
}

#[test]
fn keyed_request_failed_then_retried_only_within_the_key_window() {
    const ORDER: &str = "c=order,t=team,d=2000,k=5c0f,units=1,spread=3,first=1";
    let shorten_window = |text: String| text.replace(r#""window":3000000"#, r#""window":400000"#);
    for (fails_after, is_retried) in [(50_000, true), (200_000, false)] {
        let mut harness = Harness::with_config(2, LARGE_LIMITS, shorten_window);
        let client = harness.connect_client();
        harness.send_request(client, "i1", ORDER);
        let (endpoint, _) = harness.next_attempt();
        harness.jumps.jump(fails_after);
        harness.write(endpoint, b"-ERR failed\r\n");
        if is_retried {
            let (endpoint, words) = harness.next_attempt();
            assert_eq!(&words[2][..], b"i1");
            harness.reply_served(endpoint, "once");
            harness.expect_received(client, "$4\r\nonce\r\n");
        } else {
            harness.expect_received(client, "-ERR failed\r\n");
            assert!(
                harness.try_next_attempt().is_none(),
                "retried although the new connection might be established only after the key window"
            );
        }
    }
}

#[test]
fn connection_in_the_backlog_during_a_shutdown_then_accepted_and_answered() {
    // A long time-out of counter calls keeps all requests pending for as long as the test needs.
    let lengthen_counter_timeout =
        |text: String| text.replace(r#""count_limit":80000"#, r#""count_limit":60000000"#);
    let mut harness = Harness::with_config(4, SMALL_LIMITS, lengthen_counter_timeout);
    harness.is_counter_silent = true;
    for i in 0..MAX_CLIENTS + EXTRA_CLIENTS {
        let client = harness.connect_client();
        harness.send_request(client, &format!("g{i}"), VIEW);
        harness.settle();
    }
    // The operating system establishes this connection, but the gateway is at its limit and cannot accept it before the shutdown.
    let waiting = harness
        .engine
        .connect_plain(harness.gateway.listen_address())
        .expect("a socket");
    harness.settle();
    harness.send_request(waiting, "g99", VIEW);
    harness.run_peers_only();
    harness.gateway.shut_down();
    harness.jumps.jump(430_000);
    harness.settle();
    harness.is_counter_silent = false;
    let received = harness.wait_for("it is answered or closed", |h| {
        while let Some((endpoint, _)) = h.try_next_attempt() {
            h.reply_served(endpoint, "done");
        }
        let received = h.received.get(&waiting).map(|b| b.to_vec());
        received.or_else(|| h.closed.contains(&waiting).then(Vec::new))
    });
    assert!(
        received.starts_with(b"$4\r\ndone") || received.starts_with(b"-BUSY"),
        "{}",
        received.escape_ascii()
    );
    harness.wait_for("the shutdown is complete", |h| {
        h.gateway.is_shut_down().then_some(())
    });
}
