//! What clients may do to a gateway, and what each of them hears.

mod common;

use common::{Harness, SECOND, SMALL, WIDE};

const VIEW: &str = "c=view,t=team,d=2000,units=1,spread=3,first=1";

#[test]
fn requests_end_out_of_order_then_replies_in_command_order() {
    let mut harness = Harness::new(2, WIDE);
    let client = harness.connect_client();
    harness.write(client, b"*1\r\n$4\r\nPING\r\n");
    harness.send_request(client, "a1", VIEW);
    harness.send_request(client, "a2", VIEW);
    let mut came = [harness.next_attempt(), harness.next_attempt()]
        .map(|(conn, words)| (words[2].clone(), conn));
    came.sort_by(|a, b| a.0.cmp(&b.0));
    let [(one, first), (two, second)] = came;
    assert_ne!(first, second, "one request on each connection");
    assert_eq!((&one[..], &two[..]), (&b"a1"[..], &b"a2"[..]));
    harness.reply_served(second, "two");
    harness.settle();
    assert_eq!(
        harness.received[&client][..],
        b"+PONG\r\n"[..],
        "the first is still to come"
    );
    harness.reply_served(first, "one");
    harness.expect_received(client, "+PONG\r\n$3\r\none\r\n$3\r\ntwo\r\n");
}

#[test]
fn request_forwarded_then_unchanged_but_for_the_timeout() {
    let mut harness = Harness::new(1, WIDE);
    let client = harness.connect_client();
    harness.send_request(
        client,
        "b1",
        "c=order,t=team,d=2000,k=5c0f,units=2,spread=3,first=1",
    );
    let (_, words) = harness.next_attempt();
    let list = String::from_utf8_lossy(&words[3]).into_owned();
    let (head, rest) = list.split_once(",d=").expect("it states the time");
    let (wait, tail) = rest.split_once(',').expect("and what follows it");
    assert_eq!(
        (head, tail),
        ("c=order,t=team", "k=5c0f,units=2,spread=3,first=1")
    );
    assert!(
        (1..=2_000).contains(&wait.parse::<u64>().expect("milliseconds")),
        "{wait}"
    );
    assert_eq!(
        (&words[0][..], &words[1][..], &words[4][..]),
        (&b"API.WRITE"[..], &b"00000000b4d65521"[..], &b"body"[..])
    );
}

fn assert_nothing_ran(harness: &mut Harness) {
    harness.settle();
    assert!(
        harness.try_next_attempt().is_none() && harness.counter_calls == 0,
        "nothing ran and nothing was counted"
    );
}

#[test]
fn invalid_field_then_error_names_it_and_nothing_runs() {
    let mut harness = Harness::new(1, WIDE);
    let client = harness.connect_client();
    for (list, want) in [
        (
            "c=nothing,t=team,d=480,units=2,spread=3,first=1",
            "-ERR c: expected a class",
        ),
        (
            "c=view,t=nobody,d=480,units=2,spread=3,first=1",
            "-ERR t: expected a plan",
        ),
        (
            "c=view,t=team,d=soon,units=2,spread=3,first=1",
            "-ERR d: expected",
        ),
        (
            "c=view,t=team,d=-5,units=2,spread=3,first=1",
            "-ERR d: expected",
        ),
        ("c=view,t=team,units=2,spread=3,first=1", "-ERR d: expected"),
        (
            "c=view,t=team,d=480,units=99,spread=3,first=1",
            "-ERR units: expected",
        ),
        (
            "c=view,t=team,d=480,units=NaN,spread=3,first=1",
            "-ERR units: expected",
        ),
        (
            "c=view,t=team,d=480,units=0,spread=3,first=1",
            "-ERR units: expected",
        ),
        (
            "c=view,t=team,d=480,units=2,spread=9,first=1",
            "-ERR spread: expected",
        ),
        (
            "c=view,t=team,d=480,units=2,spread=3,first=3",
            "-ERR first: expected",
        ),
        (
            "c=view,t=team,d=480,d=480,units=2,spread=3,first=1",
            "-ERR d: expected once",
        ),
        (
            "c=order,t=team,d=480,units=2,spread=3,first=1",
            "-ERR k: expected a key",
        ),
        ("nonsense,c=view", "-ERR expected name=value"),
    ] {
        harness.send_request(client, "c1", list);
        harness.expect_received(client, want);
    }
    assert_nothing_ran(&mut harness);
}

#[test]
fn invalid_command_then_error_names_it_and_nothing_runs() {
    let mut harness = Harness::new(1, WIDE);
    let client = harness.connect_client();
    for (words, want) in [
        (&b"*1\r\n$8\r\nAPI.READ\r\n"[..], "-ERR wrong number"),
        (b"*1\r\n$8\r\nFLUSHALL\r\n", "-ERR unknown command"),
        (
            b"*4\r\n$8\r\nAPI.READ\r\n$3\r\nxyz\r\n$1\r\na\r\n$1\r\nb\r\n",
            "-ERR customer: expected",
        ),
        (
            b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000000000000001\r\n$0\r\n\r\n$1\r\nb\r\n",
            "-ERR id: expected",
        ),
        (
            b"*4\r\n$8\r\nAPI.READ\r\n$16\r\nffffffffffffffff\r\n$1\r\na\r\n$1\r\nb\r\n",
            "-ERR customer: expected",
        ),
    ] {
        harness.write(client, words);
        harness.expect_received(client, want);
    }
    // The reverse of what the class asks for.
    let list = "c=order,t=team,d=480,k=1,units=2,spread=3,first=1";
    let words = format!(
        "*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000000000000001\r\n$1\r\na\r\n${}\r\n{list}\r\n",
        list.len()
    );
    harness.write(client, words.as_bytes());
    harness.expect_received(client, "-ERR expected API.READ for a class that is safe");
    assert_nothing_ran(&mut harness);
}

#[test]
fn id_of_an_open_request_then_error_and_that_request_goes_on() {
    let mut harness = Harness::new(1, WIDE);
    let (owner, other) = (harness.connect_client(), harness.connect_client());
    harness.send_request(owner, "d1", VIEW);
    let (endpoint, _) = harness.next_attempt();
    harness.send_request(other, "d1", VIEW);
    harness.expect_received(other, "-ERR id: expected one that no open request has");
    harness.reply_served(endpoint, "mine");
    harness.expect_received(owner, "$4\r\nmine\r\n");
    harness.serve_one(other, "d1", VIEW, "later");
}

#[test]
fn protocol_error_then_connection_closed_after_the_error_was_read() {
    let mut harness = Harness::new(1, WIDE);
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"*99999\r\n",
        b"*-5\r\n",
        b"*2\r\n$-1\r\n",
        b"*5\r\n$9\r\nAPI.WRITE\r\n$62914560\r\n",
        b"*1\r\n:5\r\n",
    ] {
        let client = harness.connect_client();
        harness.write(client, bytes);
        // It goes on sending: a close over unread bytes would take the error away.
        harness.write(client, &vec![b'x'; 1 << 20]);
        harness.expect_received(client, "-ERR Protocol error");
        harness.wait_for("the gateway ends its side", |s| {
            s.closed.contains(&client).then_some(())
        });
    }
}

#[test]
fn silent_or_half_command_then_closed_and_active_clients_stay() {
    let mut harness = Harness::new(1, WIDE);
    let (silent, half, talker, busy) = (
        harness.connect_client(),
        harness.connect_client(),
        harness.connect_client(),
        harness.connect_client(),
    );
    harness.write(half, b"*4\r\n$8\r\nAPI.R");
    harness.write(talker, b"*1\r\n$4\r\nPING\r\n");
    harness.expect_received(talker, "+PONG");
    harness.send_request(busy, "e1", &VIEW.replace("d=2000", "d=3000"));
    let (endpoint, _) = harness.next_attempt();
    harness.jumps.jump(2_200_000);
    harness.wait_for("both are closed", |s| {
        (s.closed.contains(&silent) && s.closed.contains(&half)).then_some(())
    });
    assert!(!harness.closed.contains(&talker) && !harness.closed.contains(&busy));
    harness.reply_served(endpoint, "done");
    harness.expect_received(busy, "$4\r\ndone\r\n");
    harness.jumps.jump(11 * SECOND);
    harness.wait_for("one that asked and stayed is let go", |s| {
        s.closed.contains(&talker).then_some(())
    });
}

#[test]
fn too_many_connections_then_silent_ones_evicted_first_and_requests_served() {
    let mut harness = Harness::new(1, SMALL);
    let kept = harness.connect_client();
    harness.write(kept, b"*1\r\n$4\r\nPING\r\n");
    harness.expect_received(kept, "+PONG");
    let mut silent: Vec<_> = (0..30).map(|_| harness.connect_client()).collect();
    for _ in 0..20 {
        harness.jumps.jump(60_000);
        silent.push(harness.connect_client());
    }
    let last = harness.connect_client();
    harness.serve_one(last, "f1", VIEW, "room");
    assert!(!harness.closed.contains(&kept), "one that spoke stays");
    assert!(
        silent.iter().any(|c| harness.closed.contains(c)),
        "wordless ones made room"
    );
}

#[test]
fn client_disconnects_then_its_attempt_cancelled() {
    let mut harness = Harness::new(1, WIDE);
    let client = harness.connect_client();
    harness.send_request(client, "g1", VIEW);
    let (endpoint, _) = harness.next_attempt();
    harness.engine.close(client);
    harness.wait_for("the attempt is called off", |s| {
        s.closed.contains(&endpoint).then_some(())
    });
}

#[test]
fn hundreds_of_pipelined_commands_then_all_answered() {
    let mut harness = Harness::new(1, WIDE);
    let client = harness.connect_client();
    for i in 0..300 {
        harness.send_request(
            client,
            &format!("h{i}"),
            if i % 2 == 0 { VIEW } else { "c=view,t=nobody" },
        );
    }
    for i in 0..150 {
        let (endpoint, words) = harness.next_attempt();
        assert!(words[2].starts_with(b"h"));
        harness.reply_served(endpoint, &format!("v{i}"));
    }
    let answers = |s: &Harness| {
        s.received.get(&client).map_or(0, |b| {
            b.iter().filter(|c| **c == b'-' || **c == b'$').count()
        })
    };
    harness.wait_for("all are answered", |s| (answers(s) == 300).then_some(()));
}

#[test]
fn client_does_not_read_then_only_its_own_requests_are_held_back() {
    let mut harness = Harness::new(4, WIDE);
    let (slow, other) = (harness.connect_client(), harness.connect_client());
    harness.engine.pause(slow, true);
    for i in 0..200 {
        harness.send_request(slow, &format!("s{i}"), &VIEW.replace("d=2000", "d=3000"));
    }
    let value = "v".repeat(300_000);
    let mut served = 0;
    for _ in 0..2_000 {
        harness.turn();
        while let Some((endpoint, _)) = harness.try_next_attempt() {
            harness.reply_served(endpoint, &value);
            served += 1;
        }
    }
    assert!(
        served > 0 && served < 190,
        "{served} of 200 went on while nothing was read"
    );
    harness.send_request(other, "o1", VIEW);
    let (endpoint, words) = harness.wait_for("the other's request comes", |s| {
        let came = s.try_next_attempt()?;
        (&came.1[2][..] == b"o1").then_some(came)
    });
    assert_eq!(&words[2][..], b"o1");
    harness.reply_served(endpoint, "mine");
    harness.expect_received(other, "$4\r\nmine\r\n");
}

#[test]
fn pipeline_of_any_length_then_all_answered() {
    let ping = &b"*1\r\n$4\r\nPING\r\n"[..];
    let wrong = &b"*1\r\n$5\r\nWRONG\r\n"[..];
    for count in [63, 64, 65, 200, 1_000] {
        let mut harness = Harness::new(1, WIDE);
        let (pings, errors, mixed) = (
            harness.connect_client(),
            harness.connect_client(),
            harness.connect_client(),
        );
        harness.write(pings, &ping.repeat(count));
        harness.write(errors, &wrong.repeat(count));
        for i in 0..count {
            match i % 3 {
                0 => harness.send_request(mixed, &format!("m{i}"), VIEW),
                1 => harness.write(mixed, ping),
                _ => harness.write(mixed, wrong),
            }
        }
        let heard = |s: &Harness, conn, what: &[u8]| {
            s.received
                .get(&conn)
                .map_or(0, |b| b.windows(what.len()).filter(|w| *w == what).count())
        };
        harness.wait_for(&format!("all {count} are answered"), |s| {
            while let Some((endpoint, _)) = s.try_next_attempt() {
                s.reply_served(endpoint, "done");
            }
            // Beyond the quota they are refused.
            let answers = [&b"$4\r\n"[..], b"-BUSY", b"+PONG", b"-ERR unknown"];
            let mixed = answers.map(|what| heard(s, mixed, what));
            let alone = (heard(s, pings, b"+PONG"), heard(s, errors, b"-ERR unknown"));
            (alone == (count, count) && mixed.iter().sum::<usize>() == count).then_some(())
        });
    }
}

#[test]
fn long_pipeline_then_other_clients_are_answered_meanwhile() {
    let mut harness = Harness::new(1, WIDE);
    let (long, other) = (harness.connect_client(), harness.connect_client());
    harness.write(long, &b"*1\r\n$4\r\nPING\r\n".repeat(1_000));
    harness.write(other, b"*1\r\n$4\r\nPING\r\n");
    harness.expect_received(other, "+PONG\r\n");
    let answered = harness
        .received
        .get(&long)
        .map_or(0, |b| b.len() / b"+PONG\r\n".len());
    assert!(
        answered <= 256,
        "{answered} of 1,000 went before the one of another client"
    );
}
