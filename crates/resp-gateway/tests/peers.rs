//! Tests of a gateway's behaviour towards endpoints, the counter and discovery, and of reloads and shutdowns.

mod common;

use common::{config, Entry, Harness, LARGE_LIMITS, SECOND_MICROS};

const VIEW: &str = "c=view,t=team,d=2000,units=1,spread=3,first=1";
const SALE: &str = "c=sale,t=team,d=2000,units=1,spread=3,first=1";

#[test]
fn invalid_reply_then_attempt_may_have_run_and_connection_closed() {
    for invalid in [
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
        // A request that is not idempotent is neither retried nor rejected once it may have run.
        harness.send_request(client, "a1", SALE);
        let (endpoint, _) = harness.next_attempt();
        harness.write(endpoint, invalid);
        harness.expect_received(client, "-ERR failed\r\n");
        harness.wait_for("the connection is closed", |h| {
            h.closed.contains(&endpoint).then_some(())
        });
        assert!(
            harness.try_next_attempt().is_none(),
            "{} led to a second attempt",
            invalid.escape_ascii()
        );
        // An idempotent request is retried.
        harness.send_request(client, "a2", VIEW);
        let (endpoint, _) = harness.next_attempt();
        harness.write(endpoint, invalid);
        let (endpoint, words) = harness.next_attempt();
        assert_eq!(&words[2][..], b"a2");
        harness.reply_served(endpoint, "again");
        harness.expect_received(client, "$5\r\nagain\r\n");
    }
}

#[test]
fn line_longer_than_the_limit_then_rejected_before_it_is_buffered() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.send_request(client, "a1", SALE);
    let (endpoint, _) = harness.next_attempt();
    harness.write(endpoint, &[b'-'; 4 << 10]);
    // The connection must be closed long before the deadline of the attempt, which would close it anyway.
    let is_closed = (0..5_000).any(|_| {
        harness.turn();
        harness.closed.contains(&endpoint)
    });
    assert!(is_closed, "the gateway waits for the end of the line");
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
fn valid_reply_followed_by_more_bytes_then_served_and_connection_closed() {
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
        "the client received more than one reply"
    );
}

#[test]
fn bytes_on_an_idle_connection_then_never_reach_the_next_request() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    let endpoint = harness.serve_request(client, "c1", VIEW, "one");
    // A late duplicate of the reply.
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
    let mut last_used = None;
    for i in 0..3 {
        harness.send_request(client, &format!("d{i}"), SALE);
        let (endpoint, _) = harness.next_attempt();
        assert!(
            last_used.is_none_or(|b| b == endpoint),
            "the idle connection was not reused"
        );
        harness.reply_served(endpoint, "ok");
        harness.expect_received(client, "$2\r\nok\r\n");
        harness.jumps.jump(10_000);
        last_used = Some(endpoint);
    }
    let ended = last_used.expect("a connection was used");
    harness.engine.close(ended);
    harness.send_request(client, "d9", SALE);
    let (endpoint, _) = harness.next_attempt();
    assert_ne!(endpoint, ended);
    harness.reply_served(endpoint, "new");
    harness.expect_received(client, "$3\r\nnew\r\n");
}

#[test]
fn endpoint_closes_idle_connections_early_then_keep_alive_shortened() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    let serve_and_idle = |harness: &mut Harness, id: &str, idle_micros: i64| {
        let endpoint = harness.serve_request(client, id, VIEW, "ok");
        harness.jumps.jump(idle_micros);
        endpoint
    };
    let first = serve_and_idle(&mut harness, "o1", 400_000);
    // The request is sent on the idle connection and reset at once, as if the endpoint had already closed it.
    harness.send_request(client, "o2", VIEW);
    let (stale, _) = harness.next_attempt();
    assert_eq!(stale, first);
    harness.engine.close(stale);
    let (second, _) = harness.next_attempt();
    harness.reply_served(second, "ok");
    harness.expect_received(client, "$2\r\nok\r\n");
    harness.jumps.jump(400_000);
    let third = serve_and_idle(&mut harness, "o3", 20_000);
    assert_ne!(
        third, second,
        "a connection was reused after being idle as long as the one that was reset"
    );
    let fourth = serve_and_idle(&mut harness, "o4", 0);
    assert_eq!(
        fourth, third,
        "a connection that was idle for a short time was not reused"
    );
}

#[test]
fn connection_closed_after_the_last_byte_then_failed_and_connection_refused_then_rejected() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.send_request(client, "e1", SALE);
    let (endpoint, _) = harness.next_attempt();
    harness.engine.close(endpoint);
    harness.expect_received(client, "-ERR failed\r\n");
    // The endpoint refuses connections, so the request never ran and may be rejected although it is not idempotent.
    let listener = harness.endpoints[0].0;
    harness.engine.close_listener(listener);
    harness.jumps.jump(2 * SECOND_MICROS);
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
    // The rejected attempt never ran, so even a request that is not idempotent may be retried.
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
    harness.serve_request(client, "h1", tiny, "ok");
    assert_eq!(
        harness.counter_call_count, 1,
        "one counter call before the request is forwarded"
    );
    harness.send_request(client, "h2", tiny);
    harness.expect_received(client, "-BUSY ");
    // The first request of another customer, with an invalid reply of the counter, is admitted by the gateway's local share.
    harness.is_counter_silent = true;
    let command = "*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000000000000007\r\n$2\r\nh3\r\n$45\r\nc=view,t=team,d=2000,units=1,spread=3,first=1\r\n";
    harness.write(client, command.as_bytes());
    let conn = harness.wait_for_counter_call();
    harness.write(conn, b"$4\r\nnoise");
    harness.write(conn, b"\r\n");
    let (endpoint, _) = harness.next_attempt();
    harness.reply_served(endpoint, "own");
    harness.expect_received(client, "$3\r\nown\r\n");
    harness.wait_for("the counter's connection is closed", |h| {
        h.closed.contains(&conn).then_some(())
    });
}

#[test]
fn counter_connection_silent_then_next_call_takes_a_new_one() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.is_counter_silent = true;
    harness.send_request(client, "i1", VIEW);
    harness.wait_for("the counter is called", |h| {
        let counter = h.counter.0;
        h.listener_of
            .iter()
            .any(|(c, l)| *l == counter && h.received.get(c).is_some_and(|b| !b.is_empty()))
            .then_some(())
    });
    let counter = harness.counter.0;
    let counter_conns = |h: &Harness| {
        h.listener_of
            .iter()
            .filter(|(_, l)| **l == counter)
            .map(|(c, _)| *c)
            .collect::<Vec<_>>()
    };
    let silent = counter_conns(&harness);
    harness.jumps.jump(100_000);
    let (endpoint, _) = harness.next_attempt();
    harness.reply_served(endpoint, "own");
    harness.expect_received(client, "$3\r\nown\r\n");
    harness.wait_for("the silent connection is closed", |h| {
        silent.iter().all(|c| h.closed.contains(c)).then_some(())
    });
    // The next call takes a new connection and is answered there.
    harness.is_counter_silent = false;
    silent.iter().for_each(|c| drop(harness.received.remove(c)));
    harness.serve_request(client, "i2", VIEW, "next");
    assert!(
        harness.counter_call_count >= 1
            && counter_conns(&harness).iter().any(|c| !silent.contains(c))
    );
}

#[test]
fn incomplete_counter_reply_then_next_call_takes_a_new_connection() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.is_counter_silent = true;
    harness.send_request(client, "p1", VIEW);
    let conn = harness.wait_for_counter_call();
    // The reply states a length of which only a part is sent.
    harness.write(conn, b"$400\r\n1");
    harness.settle();
    harness.jumps.jump(100_000);
    let (endpoint, _) = harness.next_attempt();
    harness.reply_served(endpoint, "own");
    harness.expect_received(client, "$3\r\nown\r\n");
    harness.is_counter_silent = false;
    let calls_before = harness.counter_call_count;
    harness.send_request(client, "p2", VIEW);
    harness.wait_for("the next call takes another connection", |h| {
        (h.counter_call_count > calls_before).then_some(())
    });
    let (endpoint, _) = harness.next_attempt();
    harness.reply_served(endpoint, "later");
    harness.expect_received(client, "$5\r\nlater\r\n");
    assert!(harness.closed.contains(&conn));
}

#[test]
fn endpoint_drains_then_no_new_attempts_and_endpoint_renamed_then_its_connections_closed() {
    let mut harness = Harness::new(2, LARGE_LIMITS);
    let client = harness.connect_client();
    let mut list = harness.list.clone();
    list[0].status = "draining";
    harness.publish(list);
    let draining = harness.endpoints[0].0;
    for i in 0..4 {
        harness.send_request(client, &format!("j{i}"), VIEW);
        let (endpoint, _) = harness.next_attempt();
        assert_ne!(harness.listener_of[&endpoint], draining);
        harness.reply_served(endpoint, "ok");
        harness.expect_received(client, "$2\r\nok\r\n");
    }
    let idle: Vec<_> = harness
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
    harness.wait_for(
        "connections to the endpoint under its old name are closed",
        |h| idle.iter().all(|c| h.closed.contains(c)).then_some(()),
    );
    harness.send_request(client, "k1", VIEW);
    let (endpoint, _) = harness.next_attempt();
    assert!(!idle.contains(&endpoint));
    harness.reply_served(endpoint, "new");
    harness.expect_received(client, "$3\r\nnew\r\n");
}

#[test]
fn invalid_list_then_last_valid_one_stays_and_silent_agent_then_reconnected() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let discovery = harness.discovery.0;
    let discovery_conn = |h: &Harness| {
        let mut open: Vec<_> = h
            .listener_of
            .iter()
            .filter(|(c, l)| **l == discovery && !h.closed.contains(c))
            .map(|(c, _)| *c)
            .collect();
        open.sort_unstable();
        open.pop()
    };
    for invalid in [
        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
        "nonsense\r\n\r\n",
    ] {
        let conn = harness.wait_for("a long poll arrives", |h| {
            discovery_conn(h).filter(|c| h.received.get(c).is_some_and(|b| !b.is_empty()))
        });
        harness.write(conn, invalid.as_bytes());
        harness.wait_for("the gateway closes the connection", |h| {
            h.closed.contains(&conn).then_some(())
        });
        harness.jumps.jump(200_000);
        harness.wait_for("the gateway reconnects", |h| {
            discovery_conn(h).filter(|c| *c != conn)
        });
    }
    let conn = harness.wait_for("a long poll arrives", |h| {
        discovery_conn(h).filter(|c| h.received.get(c).is_some_and(|b| !b.is_empty()))
    });
    harness.jumps.jump(3 * SECOND_MICROS);
    harness.wait_for("the connection to the silent agent is closed", |h| {
        h.closed.contains(&conn).then_some(())
    });
    let client = harness.connect_client();
    harness.serve_request(client, "l1", VIEW, "still");
}

#[test]
fn reload_then_new_addresses_of_discovery_and_counter_used_and_invalid_file_then_ignored() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.send_request(client, "m1", VIEW);
    let (endpoint, _) = harness.next_attempt();
    std::fs::write(&harness.file, "{").expect("the file");
    harness.gateway.reload();
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let counter = harness
        .engine
        .listen_plain(any, chalkdeck_net::Limits::default())
        .expect("a free port");
    let discovery = harness
        .engine
        .listen_plain(any, chalkdeck_net::Limits::default())
        .expect("a free port");
    std::fs::write(
        &harness.file,
        config("127.0.0.1:0", discovery.1, counter.1, LARGE_LIMITS),
    )
    .expect("the file");
    harness.gateway.reload();
    harness.reply_served(endpoint, "kept");
    harness.expect_received(client, "$4\r\nkept\r\n");
    let (old_discovery, calls_before) = (harness.discovery.0, harness.counter_call_count);
    (harness.counter, harness.discovery) = (counter, discovery);
    harness.wait_for("the gateway connects to the new discovery agent", |h| {
        h.listener_of
            .values()
            .any(|l| *l == discovery.0)
            .then_some(())
    });
    assert!(harness.listener_of.values().any(|l| *l == old_discovery));
    harness.serve_request(client, "m2", VIEW, "moved");
    assert!(
        harness.counter_call_count > calls_before,
        "the new counter was not called"
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
    // New connections are still accepted and served.
    let late = harness.connect_client();
    harness.serve_request(late, "n2", VIEW, "late");
    assert!(!harness.gateway.is_shut_down());
    harness.jumps.jump(600_000);
    assert!(!harness.gateway.is_shut_down(), "a request is open");
    harness.wait_for("idle connections are closed", |h| {
        (h.closed.contains(&idle) && h.closed.contains(&late)).then_some(())
    });
    assert!(!harness.closed.contains(&busy));
    harness.reply_served(endpoint, "last");
    harness.expect_received(busy, "$4\r\nlast\r\n");
    harness.wait_for("the shutdown is complete", |h| {
        h.gateway.is_shut_down().then_some(())
    });
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
    // The connection always has a pending request, so it is not closed; the endpoints do not reply.
    let mut timeouts = Vec::new();
    for (sent_after, id) in [(600_000, "n2"), (400_000, "n3")] {
        harness.jumps.jump(sent_after);
        harness.send_request(busy, id, &sale);
        let (_, words) = harness.next_attempt();
        let fields = String::from_utf8_lossy(&words[3]).into_owned();
        let timeout = fields
            .split(',')
            .find_map(|p| p.strip_prefix("d=")?.parse::<u64>().ok());
        timeouts.push(timeout.expect("a time-out"));
    }
    // By its own time-out the second request would end 4 s after the shutdown began, but the platform kills the process after 3.7 s.
    assert!(timeouts[0] > 2_800 && timeouts[1] <= 2_640, "{timeouts:?}");
    // 3.45 s after the shutdown began, the first request has failed at its deadline and the other two are open.
    harness.jumps.jump(2_450_000);
    harness.expect_received(busy, "-ERR failed\r\n");
    assert!(!harness.gateway.is_shut_down(), "two requests are open");
    harness.jumps.jump(200_000);
    harness.expect_received(busy, "-ERR failed\r\n-ERR failed\r\n");
    harness.wait_for("the shutdown is complete", |h| {
        h.gateway.is_shut_down().then_some(())
    });
}

#[test]
fn no_discovery_and_no_counter_then_initial_list_and_local_share_serve() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let (discovery, counter) = (harness.discovery.0, harness.counter.0);
    harness.engine.close_listener(discovery);
    harness.engine.close_listener(counter);
    let initial_list = format!(
        r#""known":{{"index":4,"snapshot":true,"endpoints":[{{"name":"s-0","address":"{}","status":"ready"}}]}},"settings""#,
        harness.endpoints[0].1
    );
    let text = config(
        "127.0.0.1:0",
        harness.discovery.1,
        harness.counter.1,
        LARGE_LIMITS,
    )
    .replacen("\"settings\"", &initial_list, 1);
    std::fs::write(&harness.file, text).expect("the file");
    let config =
        chalkdeck_resp_gateway::Config::load(&harness.file).expect("a valid configuration");
    harness.gateway = chalkdeck_resp_gateway::GatewayServer::start(config).expect("a free port");
    let client = harness.connect_client();
    harness.serve_request(client, "q1", VIEW, "known");
}

#[test]
fn list_version_goes_back_then_only_a_complete_list_is_applied() {
    let mut harness = Harness::new(2, LARGE_LIMITS);
    harness.list_version = 50;
    harness.publish(harness.list.clone());
    let discovery = harness.discovery.0;
    let discovery_conn = |h: &Harness| {
        let open = h
            .listener_of
            .iter()
            .filter(|(c, l)| **l == discovery && !h.closed.contains(c));
        open.map(|(c, _)| *c)
            .max()
            .filter(|c| h.received.get(c).is_some_and(|b| !b.is_empty()))
    };
    let conn = harness.wait_for("a long poll arrives", |h| discovery_conn(h));
    harness.is_discovery_silent = true;
    // Changes to an older version are not applied; the complete list is requested instead.
    let body = r#"{"index":3,"snapshot":false,"endpoints":[{"name":"s-0","address":"127.0.0.1:1","status":"gone"}]}"#;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    harness.write(conn, (head + body).as_bytes());
    harness.wait_for("the gateway closes the connection", |h| {
        h.closed.contains(&conn).then_some(())
    });
    harness.jumps.jump(200_000);
    let request = harness.wait_for("the gateway sends a new request", |h| {
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
        request.starts_with(b"GET /v1/endpoints HTTP/1.1\r\n"),
        "the complete list was not requested"
    );
}
