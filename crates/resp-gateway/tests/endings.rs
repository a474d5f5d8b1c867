//! Ends that cross something still owed. Each test holds the gateway's loop between two turns, so that the bad order of events
//! comes every time.

mod common;

use chalkdeck_net::ConnId;
use common::{Harness, LARGE_LIMITS, SECOND, SMALL_LIMITS};

const VIEW: &str = "c=view,t=team,d=2000,units=1,spread=3,first=1";
const SALE: &str = "c=sale,t=team,d=2000,units=1,spread=3,first=1";
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// Clients that a gateway with the limits `SMALL_LIMITS` holds, and those that it takes in beyond before one has to go.
const CLIENTS: usize = 35;
const CLIENTS_BEYOND: usize = 8;

fn pinged(harness: &mut Harness) -> ConnId {
    let client = harness.connect_client();
    harness.write(client, PING);
    harness.expect_received(client, "+PONG");
    client
}

/// The time that an attempt told its endpoint, in milliseconds.
fn told_wait(words: &[bytes::Bytes]) -> u64 {
    let list = String::from_utf8_lossy(&words[3]).into_owned();
    let wait = list
        .split(',')
        .find_map(|pair| pair.strip_prefix("d=")?.parse().ok());
    wait.expect("it states the time")
}

/// The next attempts, so many of them.
fn arrivals(harness: &mut Harness, count: usize) -> Vec<(ConnId, Vec<bytes::Bytes>)> {
    (0..count).map(|_| harness.next_attempt()).collect()
}

#[test]
fn client_of_a_paused_connection_disconnects_then_its_attempts_cancelled() {
    for behind in [0, 40] {
        let mut harness = Harness::new(40, LARGE_LIMITS);
        let client = harness.connect_client();
        for i in 0..64 + behind {
            harness.send_request(client, &format!("a{i}"), VIEW);
        }
        let open: Vec<ConnId> = arrivals(&mut harness, 64)
            .into_iter()
            .map(|(conn, _)| conn)
            .collect();
        // From here on nothing is read of this client: 64 of its commands are under way.
        harness.write(client, &vec![b'x'; 100_000]);
        harness.settle();
        harness.engine.close(client);
        harness.settle();
        let called_off = open.iter().filter(|c| harness.closed.contains(c)).count();
        assert_eq!(
            called_off,
            open.len(),
            "attempts for a client that had gone, long before their deadlines"
        );
        assert!(
            harness.try_next_attempt().is_none(),
            "an attempt began after its client had gone"
        );
    }
}

#[test]
fn request_in_the_batch_of_an_idle_close_then_served() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = pinged(&mut harness);
    harness.send_request(client, "b1", VIEW);
    harness.run_peers_only();
    harness.jumps.jump(11 * SECOND);
    let (endpoint, _) = harness.next_attempt();
    harness.reply_served(endpoint, "kept");
    harness.expect_received(client, "$4\r\nkept\r\n");
}

#[test]
fn request_in_the_batch_of_an_eviction_then_another_connection_evicted() {
    let mut harness = Harness::new(1, SMALL_LIMITS);
    let clients: Vec<ConnId> = (0..CLIENTS).map(|_| pinged(&mut harness)).collect();
    harness.jumps.jump(100_000);
    harness.send_request(clients[0], "c1", VIEW);
    let new = harness
        .engine
        .connect_raw(harness.gateway.local_address())
        .expect("a socket");
    harness.run_peers_only();
    let (endpoint, _) = harness.next_attempt();
    harness.reply_served(endpoint, "kept");
    harness.expect_received(clients[0], "$4\r\nkept\r\n");
    harness.wait_for("another one makes room", |h| {
        h.closed.contains(&clients[1]).then_some(())
    });
    harness.write(new, PING);
    harness.expect_received(new, "+PONG");
}

#[test]
fn client_within_a_command_then_an_idle_one_evicted_instead() {
    let mut harness = Harness::new(1, SMALL_LIMITS);
    let clients: Vec<ConnId> = (0..CLIENTS).map(|_| pinged(&mut harness)).collect();
    harness.write(clients[0], b"*1\r\n$4\r\nPI");
    harness.settle();
    harness.jumps.jump(100_000);
    clients[1..].iter().for_each(|c| harness.write(*c, PING));
    clients[1..]
        .iter()
        .for_each(|c| harness.expect_received(*c, "+PONG"));
    let new = harness.connect_client();
    harness.wait_for("one makes room", |h| {
        clients.iter().any(|c| h.closed.contains(c)).then_some(())
    });
    harness.write(clients[0], b"NG\r\n");
    harness.expect_received(clients[0], "+PONG");
    harness.write(new, PING);
    harness.expect_received(new, "+PONG");
}

#[test]
fn reply_in_the_batch_of_its_timeout_then_served() {
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
fn late_second_reply_in_the_batch_of_a_reuse_then_connection_not_reused() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    let kept = harness.serve_request(client, "e1", VIEW, "one");
    harness.jumps.jump(SECOND);
    harness.counter_is_silent = true;
    harness.send_request(client, "e2", VIEW);
    let asked = harness.wait_for_counter_call();
    // Both are read in one turn, the counter's answer first: it sends the request on.
    harness.write(asked, b"$1\r\n1\r\n");
    harness.run_peers_only();
    harness.reply_served(kept, "stale");
    harness.run_peers_only();
    let (other, words) = harness.next_attempt();
    assert_eq!(&words[2][..], b"e2");
    assert_ne!(other, kept, "bytes that nobody asked for stood on it");
    harness.reply_served(other, "two");
    harness.expect_received(client, "$3\r\ntwo\r\n");
}

#[test]
fn request_within_the_settle_time_then_connection_not_reused() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    let kept = harness.serve_request(client, "k1", VIEW, "one");
    harness.jumps.jump(4_000);
    harness.send_request(client, "k2", VIEW);
    let (other, _) = harness.next_attempt();
    assert_ne!(other, kept, "its second answer may still come");
    harness.reply_served(kept, "one");
    harness.settle();
    harness.reply_served(other, "two");
    harness.expect_received(client, "$3\r\ntwo\r\n");
}

#[test]
fn command_waited_unread_then_its_timeout_counts_from_the_pause() {
    let mut harness = Harness::new(40, LARGE_LIMITS);
    let client = harness.connect_client();
    for i in 0..70 {
        harness.send_request(client, &format!("f{i}"), VIEW);
    }
    let first = arrivals(&mut harness, 64);
    harness.jumps.jump(SECOND);
    first
        .iter()
        .for_each(|(endpoint, _)| harness.reply_served(*endpoint, "done"));
    let later = arrivals(&mut harness, 6);
    let waits: Vec<u64> = later.iter().map(|(_, words)| told_wait(words)).collect();
    assert!(
        waits.iter().all(|wait| *wait <= 1_000),
        "{waits:?} of 2,000 ms, of which 1,000 had gone"
    );
    later
        .iter()
        .for_each(|(endpoint, _)| harness.reply_served(*endpoint, "done"));
    // A command that comes when nothing waits has all its time.
    harness.wait_for("all are answered", |h| {
        let heard = h
            .received
            .get(&client)
            .map_or(0, |b| b.iter().filter(|c| **c == b'$').count());
        (heard == 70).then_some(())
    });
    harness.jumps.jump(SECOND);
    harness.send_request(client, "f99", VIEW);
    let (_, words) = harness.next_attempt();
    assert!(
        told_wait(&words) > 1_900,
        "{} of 2,000 ms",
        told_wait(&words)
    );
}

#[test]
fn keyed_request_failed_then_retried_only_within_the_key_window() {
    const ORDER: &str = "c=order,t=team,d=2000,k=5c0f,units=1,spread=3,first=1";
    let narrow = |text: String| text.replace(r#""window":3000000"#, r#""window":400000"#);
    for (after, again) in [(50_000, true), (200_000, false)] {
        let mut harness = Harness::with_config(2, LARGE_LIMITS, narrow);
        let client = harness.connect_client();
        harness.send_request(client, "i1", ORDER);
        let (endpoint, _) = harness.next_attempt();
        harness.jumps.jump(after);
        harness.write(endpoint, b"-ERR failed\r\n");
        if again {
            let (endpoint, words) = harness.next_attempt();
            assert_eq!(&words[2][..], b"i1");
            harness.reply_served(endpoint, "once");
            harness.expect_received(client, "$4\r\nonce\r\n");
        } else {
            harness.expect_received(client, "-ERR failed\r\n");
            assert!(
                harness.try_next_attempt().is_none(),
                "its connection may come up when the window is over"
            );
        }
    }
}

#[test]
fn connection_waits_beyond_the_limit_in_a_shutdown_then_accepted_and_answered() {
    // Calls to the counter wait for long, so that all clients are owed an answer for as long as the test wants.
    let patient =
        |text: String| text.replace(r#""count_limit":80000"#, r#""count_limit":60000000"#);
    let mut harness = Harness::with_config(4, SMALL_LIMITS, patient);
    harness.counter_is_silent = true;
    for i in 0..CLIENTS + CLIENTS_BEYOND {
        let client = harness.connect_client();
        harness.send_request(client, &format!("g{i}"), VIEW);
        harness.settle();
    }
    // The system completes this connection, and the gateway has no room for it before the stop.
    let waits = harness
        .engine
        .connect_raw(harness.gateway.local_address())
        .expect("a socket");
    harness.settle();
    harness.send_request(waits, "g99", VIEW);
    harness.run_peers_only();
    harness.gateway.shut_down();
    harness.jumps.jump(430_000);
    harness.settle();
    harness.counter_is_silent = false;
    let heard = harness.wait_for("it is answered or closed", |h| {
        while let Some((endpoint, _)) = h.try_next_attempt() {
            h.reply_served(endpoint, "done");
        }
        let heard = h.received.get(&waits).map(|b| b.to_vec());
        heard.or_else(|| h.closed.contains(&waits).then(Vec::new))
    });
    assert!(
        heard.starts_with(b"$4\r\ndone") || heard.starts_with(b"-BUSY"),
        "{}",
        heard.escape_ascii()
    );
    harness.wait_for("all is over", |h| h.gateway.is_shut_down().then_some(()));
}
