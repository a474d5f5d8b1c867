//! Ends that cross something still owed. Each test holds the gateway's loop between two turns, so that the bad order of events
//! comes every time.

mod common;

use chalkdeck_net::ConnId;
use common::{Stage, SECOND, SMALL, WIDE};

const VIEW: &str = "c=view,t=team,d=2000,units=1,spread=3,first=1";
const SALE: &str = "c=sale,t=team,d=2000,units=1,spread=3,first=1";
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// Clients that a gateway with the limits `SMALL` holds, and those that it takes in beyond before one has to go.
const CLIENTS: usize = 35;
const CLIENTS_BEYOND: usize = 8;

fn pinged(stage: &mut Stage) -> ConnId {
    let client = stage.client();
    stage.say(client, PING);
    stage.hears(client, "+PONG");
    client
}

/// The time that an attempt told its backend, in milliseconds.
fn told_wait(words: &[bytes::Bytes]) -> u64 {
    let list = String::from_utf8_lossy(&words[3]).into_owned();
    let wait = list
        .split(',')
        .find_map(|pair| pair.strip_prefix("d=")?.parse().ok());
    wait.expect("it states the time")
}

/// The next attempts, so many of them.
fn arrivals(stage: &mut Stage, count: usize) -> Vec<(ConnId, Vec<bytes::Bytes>)> {
    (0..count).map(|_| stage.arrived()).collect()
}

#[test]
fn a_client_that_sends_much_at_once_and_goes_is_heard_though_its_connection_is_paused() {
    for behind in [0, 40] {
        let mut stage = Stage::new(40, WIDE);
        let client = stage.client();
        for i in 0..64 + behind {
            stage.ask(client, &format!("a{i}"), VIEW);
        }
        let open: Vec<ConnId> = arrivals(&mut stage, 64)
            .into_iter()
            .map(|(conn, _)| conn)
            .collect();
        // From here on nothing is read of this client: 64 of its commands are under way.
        stage.say(client, &vec![b'x'; 100_000]);
        stage.quiet();
        stage.engine.close(client);
        stage.quiet();
        let called_off = open.iter().filter(|c| stage.closed.contains(c)).count();
        assert_eq!(
            called_off,
            open.len(),
            "attempts for a client that had gone, long before their deadlines"
        );
        assert!(
            stage.arrival().is_none(),
            "an attempt began after its client had gone"
        );
    }
}

#[test]
fn an_idle_connection_on_which_a_request_stands_in_the_batch_of_its_close_is_served() {
    let mut stage = Stage::new(1, WIDE);
    let client = pinged(&mut stage);
    stage.ask(client, "b1", VIEW);
    stage.hold();
    stage.jumps.jump(11 * SECOND);
    let (backend, _) = stage.arrived();
    stage.served(backend, "kept");
    stage.hears(client, "$4\r\nkept\r\n");
}

#[test]
fn the_longest_idle_client_is_not_the_one_to_go_while_its_request_is_in_the_same_batch() {
    let mut stage = Stage::new(1, SMALL);
    let clients: Vec<ConnId> = (0..CLIENTS).map(|_| pinged(&mut stage)).collect();
    stage.jumps.jump(100_000);
    stage.ask(clients[0], "c1", VIEW);
    let new = stage
        .engine
        .connect_raw(stage.gateway.local_address())
        .expect("a socket");
    stage.hold();
    let (backend, _) = stage.arrived();
    stage.served(backend, "kept");
    stage.hears(clients[0], "$4\r\nkept\r\n");
    stage.until("another one makes room", |s| {
        s.closed.contains(&clients[1]).then_some(())
    });
    stage.say(new, PING);
    stage.hears(new, "+PONG");
}

#[test]
fn a_client_within_a_command_is_not_the_one_to_go_while_others_are_between_two() {
    let mut stage = Stage::new(1, SMALL);
    let clients: Vec<ConnId> = (0..CLIENTS).map(|_| pinged(&mut stage)).collect();
    stage.say(clients[0], b"*1\r\n$4\r\nPI");
    stage.quiet();
    stage.jumps.jump(100_000);
    clients[1..].iter().for_each(|c| stage.say(*c, PING));
    clients[1..].iter().for_each(|c| stage.hears(*c, "+PONG"));
    let new = stage.client();
    stage.until("one makes room", |s| {
        clients.iter().any(|c| s.closed.contains(c)).then_some(())
    });
    stage.say(clients[0], b"NG\r\n");
    stage.hears(clients[0], "+PONG");
    stage.say(new, PING);
    stage.hears(new, "+PONG");
}

#[test]
fn an_answer_in_the_batch_of_its_own_time_out_is_served() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    stage.ask(client, "d1", SALE);
    let (backend, _) = stage.arrived();
    stage.served(backend, "done");
    stage.hold();
    stage.jumps.jump(2_100_000);
    stage.hears(client, "$4\r\ndone\r\n");
}

#[test]
fn a_late_second_answer_in_the_batch_in_which_its_connection_would_be_used_again_reaches_nobody() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    let kept = stage.round(client, "e1", VIEW, "one");
    stage.jumps.jump(SECOND);
    stage.mute = true;
    stage.ask(client, "e2", VIEW);
    let counter = stage.counter.0;
    let asked = stage.until("the counter is asked", |s| {
        let conns: Vec<ConnId> =
            s.at.iter()
                .filter(|(_, l)| **l == counter)
                .map(|(c, _)| *c)
                .collect();
        conns.into_iter().find(|c| s.command(*c).is_some())
    });
    // Both are read in one turn, the counter's answer first: it sends the request on.
    stage.say(asked, b"$1\r\n1\r\n");
    stage.hold();
    stage.served(kept, "stale");
    stage.hold();
    let (other, words) = stage.arrived();
    assert_eq!(&words[2][..], b"e2");
    assert_ne!(other, kept, "bytes that nobody asked for stood on it");
    stage.served(other, "two");
    stage.hears(client, "$3\r\ntwo\r\n");
}

#[test]
fn a_connection_rests_until_a_second_answer_some_milliseconds_late_has_come() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    let kept = stage.round(client, "k1", VIEW, "one");
    stage.jumps.jump(4_000);
    stage.ask(client, "k2", VIEW);
    let (other, _) = stage.arrived();
    assert_ne!(other, kept, "its second answer may still come");
    stage.served(kept, "one");
    stage.quiet();
    stage.served(other, "two");
    stage.hears(client, "$3\r\ntwo\r\n");
}

#[test]
fn the_time_of_a_command_that_waited_unread_is_not_told_anew() {
    let mut stage = Stage::new(40, WIDE);
    let client = stage.client();
    for i in 0..70 {
        stage.ask(client, &format!("f{i}"), VIEW);
    }
    let first = arrivals(&mut stage, 64);
    stage.jumps.jump(SECOND);
    first
        .iter()
        .for_each(|(backend, _)| stage.served(*backend, "done"));
    let later = arrivals(&mut stage, 6);
    let waits: Vec<u64> = later.iter().map(|(_, words)| told_wait(words)).collect();
    assert!(
        waits.iter().all(|wait| *wait <= 1_000),
        "{waits:?} of 2,000 ms, of which 1,000 had gone"
    );
    later
        .iter()
        .for_each(|(backend, _)| stage.served(*backend, "done"));
    // A command that comes when nothing waits has all its time.
    stage.until("all are answered", |s| {
        let heard = s
            .heard
            .get(&client)
            .map_or(0, |b| b.iter().filter(|c| **c == b'$').count());
        (heard == 70).then_some(())
    });
    stage.jumps.jump(SECOND);
    stage.ask(client, "f99", VIEW);
    let (_, words) = stage.arrived();
    assert!(
        told_wait(&words) > 1_900,
        "{} of 2,000 ms",
        told_wait(&words)
    );
}

#[test]
fn a_keyed_request_goes_again_only_where_its_connection_comes_up_within_the_window() {
    const ORDER: &str = "c=order,t=team,d=2000,k=5c0f,units=1,spread=3,first=1";
    let narrow = |text: String| text.replace(r#""window":3000000"#, r#""window":400000"#);
    for (after, again) in [(50_000, true), (200_000, false)] {
        let mut stage = Stage::configured(2, WIDE, narrow);
        let client = stage.client();
        stage.ask(client, "i1", ORDER);
        let (backend, _) = stage.arrived();
        stage.jumps.jump(after);
        stage.say(backend, b"-ERR failed\r\n");
        if again {
            let (backend, words) = stage.arrived();
            assert_eq!(&words[2][..], b"i1");
            stage.served(backend, "once");
            stage.hears(client, "$4\r\nonce\r\n");
        } else {
            stage.hears(client, "-ERR failed\r\n");
            assert!(
                stage.arrival().is_none(),
                "its connection may come up when the window is over"
            );
        }
    }
}

#[test]
fn a_connection_that_waits_beyond_the_bound_at_a_stop_is_taken_in_and_served() {
    // Calls to the counter wait for long, so that all clients are owed an answer for as long as the test wants.
    let patient =
        |text: String| text.replace(r#""count_limit":80000"#, r#""count_limit":60000000"#);
    let mut stage = Stage::configured(4, SMALL, patient);
    stage.mute = true;
    for i in 0..CLIENTS + CLIENTS_BEYOND {
        let client = stage.client();
        stage.ask(client, &format!("g{i}"), VIEW);
        stage.quiet();
    }
    // The system completes this connection, and the gateway has no room for it before the stop.
    let waits = stage
        .engine
        .connect_raw(stage.gateway.local_address())
        .expect("a socket");
    stage.quiet();
    stage.ask(waits, "g99", VIEW);
    stage.hold();
    stage.gateway.shut_down();
    stage.jumps.jump(430_000);
    stage.quiet();
    stage.mute = false;
    let heard = stage.until("it is answered or closed", |s| {
        while let Some((backend, _)) = s.arrival() {
            s.served(backend, "done");
        }
        let heard = s.heard.get(&waits).map(|b| b.to_vec());
        heard.or_else(|| s.closed.contains(&waits).then(Vec::new))
    });
    assert!(
        heard.starts_with(b"$4\r\ndone") || heard.starts_with(b"-BUSY"),
        "{}",
        heard.escape_ascii()
    );
    stage.until("all is over", |s| s.gateway.is_shut_down().then_some(()));
}
