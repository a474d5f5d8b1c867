//! What endpoints, the counter and discovery do to a gateway.

mod common;

use common::{config, Entry, Harness, LARGE_LIMITS, SECOND};

const VIEW: &str = "c=view,t=team,d=2000,units=1,spread=3,first=1";
const SALE: &str = "c=sale,t=team,d=2000,units=1,spread=3,first=1";

#[test]
fn invalid_reply_then_attempt_may_have_run_and_connection_closed() {
    for spoilt in [
        &b"\x00\xffnoise\r\n"[..],
        b"$3000000000\r\nxxxx",
        b"*3\r\n$5\r\nab\r\n$-1\r\n$-1\r\n",
        b"*1\r\n$2\r\nab\r\n",
        b"+OK\r\n",
        b":5\r\n",
        b"-WHAT\r\n",
    ] {
        let mut harness = Harness::new(2, LARGE_LIMITS);
        let client = harness.connect_client();
        // Unsafe: neither sent again nor refused once it may have run.
        harness.send_request(client, "a1", SALE);
        let (endpoint, _) = harness.next_attempt();
        harness.write(endpoint, spoilt);
        harness.expect_received(client, "-ERR failed\r\n");
        harness.wait_for("the connection is closed", |h| {
            h.closed.contains(&endpoint).then_some(())
        });
        assert!(
            harness.try_next_attempt().is_none(),
            "{} led to a second attempt",
            spoilt.escape_ascii()
        );
        // Safe to repeat: it goes again.
        harness.send_request(client, "a2", VIEW);
        let (endpoint, _) = harness.next_attempt();
        harness.write(endpoint, spoilt);
        let (endpoint, words) = harness.next_attempt();
        assert_eq!(&words[2][..], b"a2");
        harness.reply_served(endpoint, "again");
        harness.expect_received(client, "$5\r\nagain\r\n");
    }
}

#[test]
fn endless_line_then_rejected_before_it_is_buffered() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.send_request(client, "a1", SALE);
    let (endpoint, _) = harness.next_attempt();
    harness.write(endpoint, &[b'-'; 4 << 10]);
    // Long before its deadline, by which it would be given up in any case.
    let closed = (0..5_000).any(|_| {
        harness.turn();
        harness.closed.contains(&endpoint)
    });
    assert!(closed, "it was waited on");
    harness.expect_received(client, "-ERR failed\r\n");
}

#[test]
fn value_beyond_64_kib_then_served_unchanged() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.send_request(client, "a1", VIEW);
    let (endpoint, _) = harness.next_attempt();
    let value: String = (0..400_000)
        .map(|i| char::from(b'a' + (i % 26) as u8))
        .collect();
    harness.reply_served(endpoint, &value);
    harness.expect_received(client, &format!("$400000\r\n{value}\r\n"));
}

#[test]
fn valid_reply_with_more_behind_it_then_served_and_connection_closed() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.send_request(client, "b1", VIEW);
    let (endpoint, _) = harness.next_attempt();
    harness.write(
        endpoint,
        b"*3\r\n$2\r\nab\r\n$1\r\n?\r\n$3\r\nx=y\r\n*3\r\n$2\r\nab\r\n$-1\r\n$-1\r\n",
    );
    harness.expect_received(client, "$2\r\nab\r\n");
    harness.wait_for("the connection is closed", |h| {
        h.closed.contains(&endpoint).then_some(())
    });
    assert_eq!(
        harness.received.get(&client).map_or(0, |b| b.len()),
        0,
        "once"
    );
}

#[test]
fn bytes_on_an_idle_connection_then_never_reach_the_next_request() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    let endpoint = harness.serve_request(client, "c1", VIEW, "one");
    // A second copy that comes late.
    harness.reply_served(endpoint, "one");
    harness.wait_for("the connection is closed", |h| {
        h.closed.contains(&endpoint).then_some(())
    });
    harness.send_request(client, "c2", VIEW);
    let (other, _) = harness.next_attempt();
    assert_ne!(other, endpoint);
    harness.reply_served(other, "two");
    harness.expect_received(client, "$3\r\ntwo\r\n");
}

#[test]
fn idle_connection_then_reused_unless_it_ended() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    let mut last = None;
    for i in 0..3 {
        harness.send_request(client, &format!("d{i}"), SALE);
        let (endpoint, _) = harness.next_attempt();
        assert!(
            last.is_none_or(|b| b == endpoint),
            "the connection is used again"
        );
        harness.reply_served(endpoint, "ok");
        harness.expect_received(client, "$2\r\nok\r\n");
        harness.jumps.jump(10_000);
        last = Some(endpoint);
    }
    let ended = last.expect("it was used");
    harness.engine.close(ended);
    harness.send_request(client, "d9", SALE);
    let (endpoint, _) = harness.next_attempt();
    assert_ne!(endpoint, ended);
    harness.reply_served(endpoint, "new");
    harness.expect_received(client, "$3\r\nnew\r\n");
}

#[test]
fn endpoint_closes_idle_connections_unseen_then_keep_alive_shortened() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    let serve = |harness: &mut Harness, id: &str, rest: i64| {
        let endpoint = harness.serve_request(client, id, VIEW, "ok");
        harness.jumps.jump(rest);
        endpoint
    };
    let first = serve(&mut harness, "o1", 400_000);
    // It goes out on the kept connection, which breaks at once: it went unseen that its endpoint had closed it.
    harness.send_request(client, "o2", VIEW);
    let (stale, _) = harness.next_attempt();
    assert_eq!(stale, first);
    harness.engine.close(stale);
    let (second, _) = harness.next_attempt();
    harness.reply_served(second, "ok");
    harness.expect_received(client, "$2\r\nok\r\n");
    harness.jumps.jump(400_000);
    let third = serve(&mut harness, "o3", 20_000);
    assert_ne!(third, second, "unused for as long as the one that broke");
    let fourth = serve(&mut harness, "o4", 0);
    assert_eq!(fourth, third, "unused for a short while");
}

#[test]
fn connection_broken_after_the_last_byte_then_may_have_run_and_refused_then_never_ran() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.send_request(client, "e1", SALE);
    let (endpoint, _) = harness.next_attempt();
    harness.engine.close(endpoint);
    harness.expect_received(client, "-ERR failed\r\n");
    // Nobody listens there any more: nothing ran, so an unsafe request may be refused.
    let gone = harness.endpoints[0].0;
    harness.engine.unlisten(gone);
    harness.jumps.jump(2 * SECOND);
    harness.send_request(client, "e2", SALE);
    harness.expect_received(client, "-BUSY");
}

#[test]
fn endpoint_rejects_then_request_retried_and_not_rejected() {
    let mut harness = Harness::new(2, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.send_request(client, "f1", SALE);
    let (endpoint, _) = harness.next_attempt();
    harness.write(endpoint, b"-BUSY\r\n");
    // Turned away unseen: it may go again, even an unsafe one.
    let (endpoint, words) = harness.next_attempt();
    assert_eq!(&words[2][..], b"f1");
    harness.reply_served(endpoint, "ok");
    harness.expect_received(client, "$2\r\nok\r\n");
}

#[test]
fn silent_endpoint_then_attempt_aborted_by_the_deadline() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.send_request(client, "g1", SALE);
    let (endpoint, _) = harness.next_attempt();
    harness.jumps.jump(1_998_000);
    harness.expect_received(client, "-ERR failed\r\n");
    harness.wait_for("its connection is closed", |h| {
        h.closed.contains(&endpoint).then_some(())
    });
}

#[test]
fn counter_total_beyond_quota_then_rejected_and_invalid_reply_then_only_its_connection_closed() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    let tiny = "c=view,t=tiny,d=2000,units=2,spread=3,first=1";
    harness.serve_request(client, "h1", tiny, "in");
    assert_eq!(
        harness.counter_call_count, 1,
        "one add before it was sent on"
    );
    harness.send_request(client, "h2", tiny);
    harness.expect_received(client, "-BUSY ");
    // Another customer's first request while the counter answers noise: its local share decides.
    harness.counter_is_silent = true;
    let other = "*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000000000000007\r\n$2\r\nh3\r\n$45\r\nc=view,t=team,d=2000,units=1,spread=3,first=1\r\n";
    harness.write(client, other.as_bytes());
    let conn = harness.wait_for_counter_call();
    harness.write(conn, b"$4\r\nnoise");
    harness.write(conn, b"\r\n");
    let (endpoint, _) = harness.next_attempt();
    harness.reply_served(endpoint, "own");
    harness.expect_received(client, "$3\r\nown\r\n");
    harness.wait_for("that connection is closed", |h| {
        h.closed.contains(&conn).then_some(())
    });
}

#[test]
fn counter_connection_silent_then_next_call_takes_a_new_one() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.counter_is_silent = true;
    harness.send_request(client, "i1", VIEW);
    harness.wait_for("the call is under way", |h| {
        let counter = h.counter.0;
        h.listener_of
            .iter()
            .any(|(c, l)| *l == counter && h.received.get(c).is_some_and(|b| !b.is_empty()))
            .then_some(())
    });
    let counter = harness.counter.0;
    let calls = |h: &Harness| {
        h.listener_of
            .iter()
            .filter(|(_, l)| **l == counter)
            .map(|(c, _)| *c)
            .collect::<Vec<_>>()
    };
    let silent = calls(&harness);
    harness.jumps.jump(100_000);
    let (endpoint, _) = harness.next_attempt();
    harness.reply_served(endpoint, "own");
    harness.expect_received(client, "$3\r\nown\r\n");
    harness.wait_for("the silent one is let go", |h| {
        silent.iter().all(|c| h.closed.contains(c)).then_some(())
    });
    // The next call takes a new connection and is answered there.
    harness.counter_is_silent = false;
    silent.iter().for_each(|c| drop(harness.received.remove(c)));
    harness.serve_request(client, "i2", VIEW, "heard");
    assert!(harness.counter_call_count >= 1 && calls(&harness).iter().any(|c| !silent.contains(c)));
}

#[test]
fn incomplete_counter_reply_then_next_call_takes_a_new_connection() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.counter_is_silent = true;
    harness.send_request(client, "p1", VIEW);
    let conn = harness.wait_for_counter_call();
    // More is announced than ever comes.
    harness.write(conn, b"$400\r\n1");
    harness.settle();
    harness.jumps.jump(100_000);
    let (endpoint, _) = harness.next_attempt();
    harness.reply_served(endpoint, "own");
    harness.expect_received(client, "$3\r\nown\r\n");
    harness.counter_is_silent = false;
    let before = harness.counter_call_count;
    harness.send_request(client, "p2", VIEW);
    harness.wait_for("the next call takes another connection", |h| {
        (h.counter_call_count > before).then_some(())
    });
    let (endpoint, _) = harness.next_attempt();
    harness.reply_served(endpoint, "heard");
    harness.expect_received(client, "$5\r\nheard\r\n");
    assert!(harness.closed.contains(&conn));
}

#[test]
fn endpoint_drains_then_no_new_attempts_and_renamed_then_another_endpoint() {
    let mut harness = Harness::new(2, LARGE_LIMITS);
    let client = harness.connect_client();
    let mut list = harness.list.clone();
    list[0].status = "draining";
    harness.publish(list);
    let drained = harness.endpoints[0].0;
    for i in 0..4 {
        harness.send_request(client, &format!("j{i}"), VIEW);
        let (endpoint, _) = harness.next_attempt();
        assert_ne!(harness.listener_of[&endpoint], drained);
        harness.reply_served(endpoint, "ok");
        harness.expect_received(client, "$2\r\nok\r\n");
    }
    let kept: Vec<_> = harness
        .listener_of
        .iter()
        .filter(|(_, l)| **l == harness.endpoints[1].0)
        .map(|(c, _)| *c)
        .collect();
    let address = harness.endpoints[1].1;
    harness.publish(vec![Entry {
        name: "s-new".into(),
        address,
        status: "ready",
    }]);
    harness.wait_for("connections to the old one go", |h| {
        kept.iter().all(|c| h.closed.contains(c)).then_some(())
    });
    harness.send_request(client, "k1", VIEW);
    let (endpoint, _) = harness.next_attempt();
    assert!(!kept.contains(&endpoint));
    harness.reply_served(endpoint, "new");
    harness.expect_received(client, "$3\r\nnew\r\n");
}

#[test]
fn invalid_list_then_last_good_one_stays_and_silent_agent_then_connected_again() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let discovery = harness.discovery.0;
    let watch = |h: &Harness| {
        let mut open: Vec<_> = h
            .listener_of
            .iter()
            .filter(|(c, l)| **l == discovery && !h.closed.contains(c))
            .map(|(c, _)| *c)
            .collect();
        open.sort_unstable();
        open.pop()
    };
    for broken in [
        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
        "nonsense\r\n\r\n",
    ] {
        let conn = harness.wait_for("a watch waits", |h| {
            watch(h).filter(|c| h.received.get(c).is_some_and(|b| !b.is_empty()))
        });
        harness.write(conn, broken.as_bytes());
        harness.wait_for("it is dialled again", |h| {
            h.closed.contains(&conn).then_some(())
        });
        harness.jumps.jump(200_000);
        harness.wait_for("and asked again", |h| watch(h).filter(|c| *c != conn));
    }
    let conn = harness.wait_for("a watch waits", |h| {
        watch(h).filter(|c| h.received.get(c).is_some_and(|b| !b.is_empty()))
    });
    harness.jumps.jump(3 * SECOND);
    harness.wait_for("a silent agent is dialled again", |h| {
        h.closed.contains(&conn).then_some(())
    });
    let client = harness.connect_client();
    harness.serve_request(client, "l1", VIEW, "still");
}

#[test]
fn reload_then_discovery_and_counter_move_and_invalid_file_then_nothing_changes() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.send_request(client, "m1", VIEW);
    let (endpoint, _) = harness.next_attempt();
    std::fs::write(&harness.file, "{").expect("the file");
    harness.gateway.reload();
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let counter = harness
        .engine
        .listen_raw(any, chalkdeck_net::Limits::default())
        .expect("a free port");
    let discovery = harness
        .engine
        .listen_raw(any, chalkdeck_net::Limits::default())
        .expect("a free port");
    std::fs::write(
        &harness.file,
        config("127.0.0.1:0", discovery.1, counter.1, LARGE_LIMITS),
    )
    .expect("the file");
    harness.gateway.reload();
    harness.reply_served(endpoint, "kept");
    harness.expect_received(client, "$4\r\nkept\r\n");
    let (old, before) = (harness.discovery.0, harness.counter_call_count);
    (harness.counter, harness.discovery) = (counter, discovery);
    harness.wait_for("the new one is asked", |h| {
        h.listener_of
            .values()
            .any(|l| *l == discovery.0)
            .then_some(())
    });
    assert!(harness.listener_of.values().any(|l| *l == old));
    harness.serve_request(client, "m2", VIEW, "moved");
    assert!(
        harness.counter_call_count > before,
        "the new counter was called"
    );
}

#[test]
fn shutdown_then_new_requests_served_and_connections_closed_between_requests() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let (idle, busy) = (harness.connect_client(), harness.connect_client());
    harness.write(idle, b"*1\r\n$4\r\nPING\r\n");
    harness.expect_received(idle, "+PONG");
    harness.send_request(busy, "n1", VIEW);
    let (endpoint, _) = harness.next_attempt();
    harness.gateway.shut_down();
    // New ones still come and are served.
    let late = harness.connect_client();
    harness.serve_request(late, "n2", VIEW, "late");
    assert!(!harness.gateway.is_shut_down());
    harness.jumps.jump(600_000);
    assert!(!harness.gateway.is_shut_down(), "a request is open");
    harness.wait_for("idle ones are let go", |h| {
        (h.closed.contains(&idle) && h.closed.contains(&late)).then_some(())
    });
    assert!(!harness.closed.contains(&busy));
    harness.reply_served(endpoint, "last");
    harness.expect_received(busy, "$4\r\nlast\r\n");
    harness.wait_for("all is over", |h| h.gateway.is_shut_down().then_some(()));
    assert!(
        harness.closed.contains(&busy)
            || harness.received.is_empty()
            || !harness.received.contains_key(&busy)
    );
}

#[test]
fn request_late_in_a_shutdown_then_answered_before_the_platform_kills_it() {
    let mut harness = Harness::new(6, LARGE_LIMITS);
    let busy = harness.connect_client();
    let sale = SALE.replace("d=2000", "d=3000");
    harness.send_request(busy, "n1", &sale);
    harness.next_attempt();
    harness.gateway.shut_down();
    // On a connection that is never between two requests, with endpoints that are silent.
    let mut waits = Vec::new();
    for (after, id) in [(600_000, "n2"), (400_000, "n3")] {
        harness.jumps.jump(after);
        harness.send_request(busy, id, &sale);
        let (_, words) = harness.next_attempt();
        let list = String::from_utf8_lossy(&words[3]).into_owned();
        let wait = list
            .split(',')
            .find_map(|p| p.strip_prefix("d=")?.parse::<u64>().ok());
        waits.push(wait.expect("it states the time"));
    }
    // The second's own time would be over 4 s after the stop; the platform's patience ends at 3.7 s.
    assert!(waits[0] > 2_800 && waits[1] <= 2_640, "{waits:?}");
    // 3.45 s after the stop: the first has failed at its deadline, two are open.
    harness.jumps.jump(2_450_000);
    harness.expect_received(busy, "-ERR failed\r\n");
    assert!(!harness.gateway.is_shut_down(), "two that it took are open");
    harness.jumps.jump(200_000);
    harness.expect_received(busy, "-ERR failed\r\n-ERR failed\r\n");
    harness.wait_for("all is over", |h| h.gateway.is_shut_down().then_some(()));
}

#[test]
fn no_discovery_and_no_counter_then_initial_list_and_local_share_serve() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let (discovery, counter) = (harness.discovery.0, harness.counter.0);
    harness.engine.unlisten(discovery);
    harness.engine.unlisten(counter);
    let known = format!(
        r#""known":{{"index":4,"snapshot":true,"endpoints":[{{"name":"s-0","address":"{}","status":"ready"}}]}},"settings""#,
        harness.endpoints[0].1
    );
    let text = config(
        "127.0.0.1:0",
        harness.discovery.1,
        harness.counter.1,
        LARGE_LIMITS,
    )
    .replacen("\"settings\"", &known, 1);
    std::fs::write(&harness.file, text).expect("the file");
    let set = chalkdeck_resp_gateway::Config::load(&harness.file).expect("a sound configuration");
    harness.gateway = chalkdeck_resp_gateway::GatewayServer::start(set).expect("a free port");
    let client = harness.connect_client();
    harness.serve_request(client, "q1", VIEW, "known");
}

#[test]
fn list_version_goes_back_then_only_a_complete_list_is_applied() {
    let mut harness = Harness::new(2, LARGE_LIMITS);
    harness.list_version = 50;
    harness.publish(harness.list.clone());
    let discovery = harness.discovery.0;
    let watch = |h: &Harness| {
        let open = h
            .listener_of
            .iter()
            .filter(|(c, l)| **l == discovery && !h.closed.contains(c));
        open.map(|(c, _)| *c)
            .max()
            .filter(|c| h.received.get(c).is_some_and(|b| !b.is_empty()))
    };
    let conn = harness.wait_for("a watch waits", |h| watch(h));
    harness.discovery_is_silent = true;
    // Changes to an older version: not built on, the whole list is asked for.
    let body = r#"{"index":3,"snapshot":false,"endpoints":[{"name":"s-0","address":"127.0.0.1:1","status":"gone"}]}"#;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    harness.write(conn, (head + body).as_bytes());
    harness.wait_for("it is dialled again", |h| {
        h.closed.contains(&conn).then_some(())
    });
    harness.jumps.jump(200_000);
    let asked = harness.wait_for("and asked again", |h| {
        let open = h
            .listener_of
            .iter()
            .filter(|(c, l)| **l == discovery && !h.closed.contains(c) && **c != conn);
        let text = open
            .map(|(c, _)| *c)
            .max()
            .and_then(|c| h.received.get(&c).cloned())?;
        text.ends_with(b"\r\n\r\n").then_some(text)
    });
    assert!(
        asked.starts_with(b"GET /v1/endpoints HTTP/1.1\r\n"),
        "the whole list"
    );
}
