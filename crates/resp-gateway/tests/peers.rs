//! What backends, the counter and discovery do to a gateway.

mod common;

use common::{config, Entry, Stage, SECOND, WIDE};

const VIEW: &str = "c=view,t=team,d=2000,units=1,spread=3,first=1";
const SALE: &str = "c=sale,t=team,d=2000,units=1,spread=3,first=1";

#[test]
fn a_spoilt_answer_may_have_run_and_its_connection_is_closed() {
    for spoilt in [
        &b"\x00\xffnoise\r\n"[..],
        b"$3000000000\r\nxxxx",
        b"*3\r\n$5\r\nab\r\n$-1\r\n$-1\r\n",
        b"*1\r\n$2\r\nab\r\n",
        b"+OK\r\n",
        b":5\r\n",
        b"-WHAT\r\n",
    ] {
        let mut stage = Stage::new(2, WIDE);
        let client = stage.client();
        // Unsafe: neither sent again nor refused once it may have run.
        stage.ask(client, "a1", SALE);
        let (backend, _) = stage.arrived();
        stage.say(backend, spoilt);
        stage.hears(client, "-ERR failed\r\n");
        stage.until("the connection is closed", |s| {
            s.closed.contains(&backend).then_some(())
        });
        assert!(
            stage.arrival().is_none(),
            "{} led to a second attempt",
            spoilt.escape_ascii()
        );
        // Safe to repeat: it goes again.
        stage.ask(client, "a2", VIEW);
        let (backend, _) = stage.arrived();
        stage.say(backend, spoilt);
        let (backend, words) = stage.arrived();
        assert_eq!(&words[2][..], b"a2");
        stage.served(backend, "again");
        stage.hears(client, "$5\r\nagain\r\n");
    }
}

#[test]
fn a_line_without_end_is_told_before_it_takes_room() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    stage.ask(client, "a1", SALE);
    let (backend, _) = stage.arrived();
    stage.say(backend, &[b'-'; 4 << 10]);
    // Long before its deadline, by which it would be given up in any case.
    let closed = (0..5_000).any(|_| {
        stage.turn();
        stage.closed.contains(&backend)
    });
    assert!(closed, "it was waited on");
    stage.hears(client, "-ERR failed\r\n");
}

#[test]
fn a_value_beyond_the_stated_64_kib_is_served_as_it_came() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    stage.ask(client, "a1", VIEW);
    let (backend, _) = stage.arrived();
    let value: String = (0..400_000)
        .map(|i| char::from(b'a' + (i % 26) as u8))
        .collect();
    stage.served(backend, &value);
    stage.hears(client, &format!("$400000\r\n{value}\r\n"));
}

#[test]
fn a_good_answer_with_more_behind_it_is_served_and_its_connection_closed() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    stage.ask(client, "b1", VIEW);
    let (backend, _) = stage.arrived();
    stage.say(
        backend,
        b"*3\r\n$2\r\nab\r\n$1\r\n?\r\n$3\r\nx=y\r\n*3\r\n$2\r\nab\r\n$-1\r\n$-1\r\n",
    );
    stage.hears(client, "$2\r\nab\r\n");
    stage.until("the connection is closed", |s| {
        s.closed.contains(&backend).then_some(())
    });
    assert_eq!(stage.heard.get(&client).map_or(0, |b| b.len()), 0, "once");
}

#[test]
fn what_comes_on_a_kept_connection_unasked_never_reaches_the_next_request() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    let backend = stage.round(client, "c1", VIEW, "one");
    // A second copy that comes late.
    stage.served(backend, "one");
    stage.until("the connection is closed", |s| {
        s.closed.contains(&backend).then_some(())
    });
    stage.ask(client, "c2", VIEW);
    let (other, _) = stage.arrived();
    assert_ne!(other, backend);
    stage.served(other, "two");
    stage.hears(client, "$3\r\ntwo\r\n");
}

#[test]
fn a_kept_connection_is_used_again_and_one_that_ended_is_not() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    let mut last = None;
    for i in 0..3 {
        stage.ask(client, &format!("d{i}"), SALE);
        let (backend, _) = stage.arrived();
        assert!(
            last.is_none_or(|b| b == backend),
            "the connection is used again"
        );
        stage.served(backend, "ok");
        stage.hears(client, "$2\r\nok\r\n");
        stage.jumps.jump(10_000);
        last = Some(backend);
    }
    let ended = last.expect("it was used");
    stage.engine.close(ended);
    stage.ask(client, "d9", SALE);
    let (backend, _) = stage.arrived();
    assert_ne!(backend, ended);
    stage.served(backend, "new");
    stage.hears(client, "$3\r\nnew\r\n");
}

#[test]
fn backends_that_close_kept_connections_unseen_are_dialled_sooner() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    let serve = |stage: &mut Stage, id: &str, rest: i64| {
        let backend = stage.round(client, id, VIEW, "ok");
        stage.jumps.jump(rest);
        backend
    };
    let first = serve(&mut stage, "o1", 400_000);
    // It goes out on the kept connection, which breaks at once: it went unseen that its backend had closed it.
    stage.ask(client, "o2", VIEW);
    let (stale, _) = stage.arrived();
    assert_eq!(stale, first);
    stage.engine.close(stale);
    let (second, _) = stage.arrived();
    stage.served(second, "ok");
    stage.hears(client, "$2\r\nok\r\n");
    stage.jumps.jump(400_000);
    let third = serve(&mut stage, "o3", 20_000);
    assert_ne!(third, second, "unused for as long as the one that broke");
    let fourth = serve(&mut stage, "o4", 0);
    assert_eq!(fourth, third, "unused for a short while");
}

#[test]
fn a_break_after_the_last_byte_may_have_run_a_refused_connection_never_did() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    stage.ask(client, "e1", SALE);
    let (backend, _) = stage.arrived();
    stage.engine.close(backend);
    stage.hears(client, "-ERR failed\r\n");
    // Nobody listens there any more: nothing ran, so an unsafe request may be refused.
    let gone = stage.backends[0].0;
    stage.engine.unlisten(gone);
    stage.jumps.jump(2 * SECOND);
    stage.ask(client, "e2", SALE);
    stage.hears(client, "-BUSY");
}

#[test]
fn only_the_decisions_word_a_refusal() {
    let mut stage = Stage::new(2, WIDE);
    let client = stage.client();
    stage.ask(client, "f1", SALE);
    let (backend, _) = stage.arrived();
    stage.say(backend, b"-BUSY\r\n");
    // Turned away unseen: it may go again, even an unsafe one.
    let (backend, words) = stage.arrived();
    assert_eq!(&words[2][..], b"f1");
    stage.served(backend, "ok");
    stage.hears(client, "$2\r\nok\r\n");
}

#[test]
fn a_silent_backend_is_given_up_by_the_deadline() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    stage.ask(client, "g1", SALE);
    let (backend, _) = stage.arrived();
    stage.jumps.jump(1_998_000);
    stage.hears(client, "-ERR failed\r\n");
    stage.until("its connection is closed", |s| {
        s.closed.contains(&backend).then_some(())
    });
}

#[test]
fn the_counter_decides_and_an_unreadable_answer_ends_its_connection_only() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    let tiny = "c=view,t=tiny,d=2000,units=2,spread=3,first=1";
    stage.round(client, "h1", tiny, "in");
    assert_eq!(stage.counted, 1, "one add before it was sent on");
    stage.ask(client, "h2", tiny);
    stage.hears(client, "-BUSY ");
    // Another customer's first request while the counter answers noise: its local share decides.
    stage.mute = true;
    let other = "*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000000000000007\r\n$2\r\nh3\r\n$45\r\nc=view,t=team,d=2000,units=1,spread=3,first=1\r\n";
    stage.say(client, other.as_bytes());
    let counter = stage.counter.0;
    let conn = stage.until("the call comes", |s| {
        let conns: Vec<_> =
            s.at.iter()
                .filter(|(_, l)| **l == counter)
                .map(|(c, _)| *c)
                .collect();
        conns.into_iter().find(|c| s.command(*c).is_some())
    });
    stage.say(conn, b"$4\r\nnoise");
    stage.say(conn, b"\r\n");
    let (backend, _) = stage.arrived();
    stage.served(backend, "own");
    stage.hears(client, "$3\r\nown\r\n");
    stage.until("that connection is closed", |s| {
        s.closed.contains(&conn).then_some(())
    });
}

#[test]
fn a_silent_counter_connection_is_left_for_a_new_one_after_one_call() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    stage.mute = true;
    stage.ask(client, "i1", VIEW);
    stage.until("the call is under way", |s| {
        let counter = s.counter.0;
        s.at.iter()
            .any(|(c, l)| *l == counter && s.heard.get(c).is_some_and(|b| !b.is_empty()))
            .then_some(())
    });
    let counter = stage.counter.0;
    let calls = |s: &Stage| {
        s.at.iter()
            .filter(|(_, l)| **l == counter)
            .map(|(c, _)| *c)
            .collect::<Vec<_>>()
    };
    let silent = calls(&stage);
    stage.jumps.jump(100_000);
    let (backend, _) = stage.arrived();
    stage.served(backend, "own");
    stage.hears(client, "$3\r\nown\r\n");
    stage.until("the silent one is let go", |s| {
        silent.iter().all(|c| s.closed.contains(c)).then_some(())
    });
    // The next call takes a new connection and is answered there.
    stage.mute = false;
    silent.iter().for_each(|c| drop(stage.heard.remove(c)));
    stage.round(client, "i2", VIEW, "heard");
    assert!(stage.counted >= 1 && calls(&stage).iter().any(|c| !silent.contains(c)));
}

#[test]
fn half_an_answer_of_the_counter_does_not_swallow_the_next_ones() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    stage.mute = true;
    stage.ask(client, "p1", VIEW);
    let counter = stage.counter.0;
    let conn = stage.until("the call comes", |s| {
        let conns: Vec<_> =
            s.at.iter()
                .filter(|(_, l)| **l == counter)
                .map(|(c, _)| *c)
                .collect();
        conns.into_iter().find(|c| s.command(*c).is_some())
    });
    // More is announced than ever comes.
    stage.say(conn, b"$400\r\n1");
    stage.quiet();
    stage.jumps.jump(100_000);
    let (backend, _) = stage.arrived();
    stage.served(backend, "own");
    stage.hears(client, "$3\r\nown\r\n");
    stage.mute = false;
    let before = stage.counted;
    stage.ask(client, "p2", VIEW);
    stage.until("the next call takes another connection", |s| {
        (s.counted > before).then_some(())
    });
    let (backend, _) = stage.arrived();
    stage.served(backend, "heard");
    stage.hears(client, "$5\r\nheard\r\n");
    assert!(stage.closed.contains(&conn));
}

#[test]
fn a_drained_server_gets_nothing_new_and_an_address_under_a_new_name_is_another_server() {
    let mut stage = Stage::new(2, WIDE);
    let client = stage.client();
    let mut list = stage.list.clone();
    list[0].status = "draining";
    stage.tell(list);
    let drained = stage.backends[0].0;
    for i in 0..4 {
        stage.ask(client, &format!("j{i}"), VIEW);
        let (backend, _) = stage.arrived();
        assert_ne!(stage.at[&backend], drained);
        stage.served(backend, "ok");
        stage.hears(client, "$2\r\nok\r\n");
    }
    let kept: Vec<_> = stage
        .at
        .iter()
        .filter(|(_, l)| **l == stage.backends[1].0)
        .map(|(c, _)| *c)
        .collect();
    let address = stage.backends[1].1;
    stage.tell(vec![Entry {
        name: "s-new".into(),
        address,
        status: "ready",
    }]);
    stage.until("connections to the old one go", |s| {
        kept.iter().all(|c| s.closed.contains(c)).then_some(())
    });
    stage.ask(client, "k1", VIEW);
    let (backend, _) = stage.arrived();
    assert!(!kept.contains(&backend));
    stage.served(backend, "new");
    stage.hears(client, "$3\r\nnew\r\n");
}

#[test]
fn a_broken_list_leaves_the_last_good_one_and_a_silent_agent_is_dialled_again() {
    let mut stage = Stage::new(1, WIDE);
    let discovery = stage.discovery.0;
    let watch = |s: &Stage| {
        let mut open: Vec<_> =
            s.at.iter()
                .filter(|(c, l)| **l == discovery && !s.closed.contains(c))
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
        let conn = stage.until("a watch waits", |s| {
            watch(s).filter(|c| s.heard.get(c).is_some_and(|b| !b.is_empty()))
        });
        stage.say(conn, broken.as_bytes());
        stage.until("it is dialled again", |s| {
            s.closed.contains(&conn).then_some(())
        });
        stage.jumps.jump(200_000);
        stage.until("and asked again", |s| watch(s).filter(|c| *c != conn));
    }
    let conn = stage.until("a watch waits", |s| {
        watch(s).filter(|c| s.heard.get(c).is_some_and(|b| !b.is_empty()))
    });
    stage.jumps.jump(3 * SECOND);
    stage.until("a silent agent is dialled again", |s| {
        s.closed.contains(&conn).then_some(())
    });
    let client = stage.client();
    stage.round(client, "l1", VIEW, "still");
}

#[test]
fn a_new_configuration_moves_discovery_and_counter_and_a_broken_one_changes_nothing() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    stage.ask(client, "m1", VIEW);
    let (backend, _) = stage.arrived();
    std::fs::write(&stage.file, "{").expect("the file");
    stage.gateway.reload();
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let counter = stage
        .engine
        .listen_raw(any, chalkdeck_net::Limits::default())
        .expect("a free port");
    let discovery = stage
        .engine
        .listen_raw(any, chalkdeck_net::Limits::default())
        .expect("a free port");
    std::fs::write(
        &stage.file,
        config("127.0.0.1:0", discovery.1, counter.1, WIDE),
    )
    .expect("the file");
    stage.gateway.reload();
    stage.served(backend, "kept");
    stage.hears(client, "$4\r\nkept\r\n");
    let (old, before) = (stage.discovery.0, stage.counted);
    (stage.counter, stage.discovery) = (counter, discovery);
    stage.until("the new one is asked", |s| {
        s.at.values().any(|l| *l == discovery.0).then_some(())
    });
    assert!(stage.at.values().any(|l| *l == old));
    stage.round(client, "m2", VIEW, "moved");
    assert!(stage.counted > before, "the new counter was called");
}

#[test]
fn a_stop_serves_what_still_comes_then_ends_between_requests() {
    let mut stage = Stage::new(1, WIDE);
    let (idle, busy) = (stage.client(), stage.client());
    stage.say(idle, b"*1\r\n$4\r\nPING\r\n");
    stage.hears(idle, "+PONG");
    stage.ask(busy, "n1", VIEW);
    let (backend, _) = stage.arrived();
    stage.gateway.shut_down();
    // New ones still come and are served.
    let late = stage.client();
    stage.round(late, "n2", VIEW, "late");
    assert!(!stage.gateway.is_shut_down());
    stage.jumps.jump(600_000);
    assert!(!stage.gateway.is_shut_down(), "a request is open");
    stage.until("idle ones are let go", |s| {
        (s.closed.contains(&idle) && s.closed.contains(&late)).then_some(())
    });
    assert!(!stage.closed.contains(&busy));
    stage.served(backend, "last");
    stage.hears(busy, "$4\r\nlast\r\n");
    stage.until("all is over", |s| s.gateway.is_shut_down().then_some(()));
    assert!(
        stage.closed.contains(&busy) || stage.heard.is_empty() || !stage.heard.contains_key(&busy)
    );
}

#[test]
fn what_comes_late_into_a_stop_has_its_answer_before_the_platform_kills_it() {
    let mut stage = Stage::new(6, WIDE);
    let busy = stage.client();
    let sale = SALE.replace("d=2000", "d=3000");
    stage.ask(busy, "n1", &sale);
    stage.arrived();
    stage.gateway.shut_down();
    // On a connection that is never between two requests, with backends that are silent.
    let mut waits = Vec::new();
    for (after, id) in [(600_000, "n2"), (400_000, "n3")] {
        stage.jumps.jump(after);
        stage.ask(busy, id, &sale);
        let (_, words) = stage.arrived();
        let list = String::from_utf8_lossy(&words[3]).into_owned();
        let wait = list
            .split(',')
            .find_map(|p| p.strip_prefix("d=")?.parse::<u64>().ok());
        waits.push(wait.expect("it states the time"));
    }
    // The second's own time would be over 4 s after the stop; the platform's patience ends at 3.7 s.
    assert!(waits[0] > 2_800 && waits[1] <= 2_640, "{waits:?}");
    // 3.45 s after the stop: the first has failed at its deadline, two are open.
    stage.jumps.jump(2_450_000);
    stage.hears(busy, "-ERR failed\r\n");
    assert!(!stage.gateway.is_shut_down(), "two that it took are open");
    stage.jumps.jump(200_000);
    stage.hears(busy, "-ERR failed\r\n-ERR failed\r\n");
    stage.until("all is over", |s| s.gateway.is_shut_down().then_some(()));
}

#[test]
fn without_discovery_and_counter_the_known_list_and_the_local_share_serve() {
    let mut stage = Stage::new(1, WIDE);
    let (discovery, counter) = (stage.discovery.0, stage.counter.0);
    stage.engine.unlisten(discovery);
    stage.engine.unlisten(counter);
    let known = format!(
        r#""known":{{"index":4,"snapshot":true,"endpoints":[{{"name":"s-0","address":"{}","status":"ready"}}]}},"settings""#,
        stage.backends[0].1
    );
    let text = config("127.0.0.1:0", stage.discovery.1, stage.counter.1, WIDE).replacen(
        "\"settings\"",
        &known,
        1,
    );
    std::fs::write(&stage.file, text).expect("the file");
    let set = chalkdeck_resp_gateway::Config::load(&stage.file).expect("a sound configuration");
    stage.gateway = chalkdeck_resp_gateway::GatewayServer::start(set).expect("a free port");
    let client = stage.client();
    stage.round(client, "q1", VIEW, "known");
}

#[test]
fn a_version_that_goes_back_is_taken_as_a_whole_list_and_never_as_changes() {
    let mut stage = Stage::new(2, WIDE);
    stage.index = 50;
    stage.tell(stage.list.clone());
    let discovery = stage.discovery.0;
    let watch = |s: &Stage| {
        let open =
            s.at.iter()
                .filter(|(c, l)| **l == discovery && !s.closed.contains(c));
        open.map(|(c, _)| *c)
            .max()
            .filter(|c| s.heard.get(c).is_some_and(|b| !b.is_empty()))
    };
    let conn = stage.until("a watch waits", |s| watch(s));
    stage.hush = true;
    // Changes to an older version: not built on, the whole list is asked for.
    let body = r#"{"index":3,"snapshot":false,"endpoints":[{"name":"s-0","address":"127.0.0.1:1","status":"gone"}]}"#;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stage.say(conn, (head + body).as_bytes());
    stage.until("it is dialled again", |s| {
        s.closed.contains(&conn).then_some(())
    });
    stage.jumps.jump(200_000);
    let asked = stage.until("and asked again", |s| {
        let open =
            s.at.iter()
                .filter(|(c, l)| **l == discovery && !s.closed.contains(c) && **c != conn);
        let text = open
            .map(|(c, _)| *c)
            .max()
            .and_then(|c| s.heard.get(&c).cloned())?;
        text.ends_with(b"\r\n\r\n").then_some(text)
    });
    assert!(
        asked.starts_with(b"GET /v1/endpoints HTTP/1.1\r\n"),
        "the whole list"
    );
}
