//! What clients may do to a gateway, and what each of them hears.

mod common;

use common::{Stage, SECOND, SMALL, WIDE};

const VIEW: &str = "c=view,t=team,d=2000,units=1,spread=3,first=1";

#[test]
fn answers_keep_the_order_of_commands_that_run_side_by_side() {
    let mut stage = Stage::new(2, WIDE);
    let client = stage.client();
    stage.say(client, b"*1\r\n$4\r\nPING\r\n");
    stage.ask(client, "a1", VIEW);
    stage.ask(client, "a2", VIEW);
    let mut came = [stage.arrived(), stage.arrived()].map(|(conn, words)| (words[2].clone(), conn));
    came.sort_by(|a, b| a.0.cmp(&b.0));
    let [(one, first), (two, second)] = came;
    assert_ne!(first, second, "one request on each connection");
    assert_eq!((&one[..], &two[..]), (&b"a1"[..], &b"a2"[..]));
    stage.served(second, "two");
    stage.quiet();
    assert_eq!(
        stage.heard[&client][..],
        b"+PONG\r\n"[..],
        "the first is still to come"
    );
    stage.served(first, "one");
    stage.hears(client, "+PONG\r\n$3\r\none\r\n$3\r\ntwo\r\n");
}

#[test]
fn the_command_goes_on_unchanged_but_for_the_time() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    stage.ask(
        client,
        "b1",
        "c=order,t=team,d=2000,k=5c0f,units=2,spread=3,first=1",
    );
    let (_, words) = stage.arrived();
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

fn assert_nothing_ran(stage: &mut Stage) {
    stage.quiet();
    assert!(
        stage.arrival().is_none() && stage.counted == 0,
        "nothing ran and nothing was counted"
    );
}

#[test]
fn invalid_field_then_error_names_it_and_nothing_runs() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
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
        stage.ask(client, "c1", list);
        stage.hears(client, want);
    }
    assert_nothing_ran(&mut stage);
}

#[test]
fn invalid_command_then_error_names_it_and_nothing_runs() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
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
        stage.say(client, words);
        stage.hears(client, want);
    }
    // The reverse of what the class asks for.
    let list = "c=order,t=team,d=480,k=1,units=2,spread=3,first=1";
    let words = format!(
        "*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000000000000001\r\n$1\r\na\r\n${}\r\n{list}\r\n",
        list.len()
    );
    stage.say(client, words.as_bytes());
    stage.hears(client, "-ERR expected API.READ for a class that is safe");
    assert_nothing_ran(&mut stage);
}

#[test]
fn the_id_of_an_open_request_is_told_and_that_request_stays() {
    let mut stage = Stage::new(1, WIDE);
    let (owner, other) = (stage.client(), stage.client());
    stage.ask(owner, "d1", VIEW);
    let (backend, _) = stage.arrived();
    stage.ask(other, "d1", VIEW);
    stage.hears(other, "-ERR id: expected one that no open request has");
    stage.served(backend, "mine");
    stage.hears(owner, "$4\r\nmine\r\n");
    stage.round(other, "d1", VIEW, "later");
}

#[test]
fn what_cannot_be_read_is_told_and_the_connection_ends_after_the_error_was_read() {
    let mut stage = Stage::new(1, WIDE);
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"*99999\r\n",
        b"*-5\r\n",
        b"*2\r\n$-1\r\n",
        b"*5\r\n$9\r\nAPI.WRITE\r\n$62914560\r\n",
        b"*1\r\n:5\r\n",
    ] {
        let client = stage.client();
        stage.say(client, bytes);
        // It goes on sending: a close over unread bytes would take the error away.
        stage.say(client, &vec![b'x'; 1 << 20]);
        stage.hears(client, "-ERR Protocol error");
        stage.until("the gateway ends its side", |s| {
            s.closed.contains(&client).then_some(())
        });
    }
}

#[test]
fn silence_and_half_a_command_are_closed_in_time_and_talkers_stay() {
    let mut stage = Stage::new(1, WIDE);
    let (silent, half, talker, busy) = (
        stage.client(),
        stage.client(),
        stage.client(),
        stage.client(),
    );
    stage.say(half, b"*4\r\n$8\r\nAPI.R");
    stage.say(talker, b"*1\r\n$4\r\nPING\r\n");
    stage.hears(talker, "+PONG");
    stage.ask(busy, "e1", &VIEW.replace("d=2000", "d=3000"));
    let (backend, _) = stage.arrived();
    stage.jumps.jump(2_200_000);
    stage.until("both are closed", |s| {
        (s.closed.contains(&silent) && s.closed.contains(&half)).then_some(())
    });
    assert!(!stage.closed.contains(&talker) && !stage.closed.contains(&busy));
    stage.served(backend, "done");
    stage.hears(busy, "$4\r\ndone\r\n");
    stage.jumps.jump(11 * SECOND);
    stage.until("one that asked and stayed is let go", |s| {
        s.closed.contains(&talker).then_some(())
    });
}

#[test]
fn short_of_descriptors_the_wordless_go_first_and_a_request_is_still_served() {
    let mut stage = Stage::new(1, SMALL);
    let kept = stage.client();
    stage.say(kept, b"*1\r\n$4\r\nPING\r\n");
    stage.hears(kept, "+PONG");
    let mut silent: Vec<_> = (0..30).map(|_| stage.client()).collect();
    for _ in 0..20 {
        stage.jumps.jump(60_000);
        silent.push(stage.client());
    }
    let last = stage.client();
    stage.round(last, "f1", VIEW, "room");
    assert!(!stage.closed.contains(&kept), "one that spoke stays");
    assert!(
        silent.iter().any(|c| stage.closed.contains(c)),
        "wordless ones made room"
    );
}

#[test]
fn a_client_that_goes_takes_its_attempt_along() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    stage.ask(client, "g1", VIEW);
    let (backend, _) = stage.arrived();
    stage.engine.close(client);
    stage.until("the attempt is called off", |s| {
        s.closed.contains(&backend).then_some(())
    });
}

#[test]
fn hundreds_of_commands_at_once_are_bounded_and_all_answered_in_order() {
    let mut stage = Stage::new(1, WIDE);
    let client = stage.client();
    for i in 0..300 {
        stage.ask(
            client,
            &format!("h{i}"),
            if i % 2 == 0 { VIEW } else { "c=view,t=nobody" },
        );
    }
    for i in 0..150 {
        let (backend, words) = stage.arrived();
        assert!(words[2].starts_with(b"h"));
        stage.served(backend, &format!("v{i}"));
    }
    let answers = |s: &Stage| {
        s.heard.get(&client).map_or(0, |b| {
            b.iter().filter(|c| **c == b'-' || **c == b'$').count()
        })
    };
    stage.until("all are answered", |s| (answers(s) == 300).then_some(()));
}

#[test]
fn a_client_that_does_not_read_holds_its_own_requests_back_and_nobody_elses() {
    let mut stage = Stage::new(4, WIDE);
    let (slow, other) = (stage.client(), stage.client());
    stage.engine.pause(slow, true);
    for i in 0..200 {
        stage.ask(slow, &format!("s{i}"), &VIEW.replace("d=2000", "d=3000"));
    }
    let value = "v".repeat(300_000);
    let mut served = 0;
    for _ in 0..2_000 {
        stage.turn();
        while let Some((backend, _)) = stage.arrival() {
            stage.served(backend, &value);
            served += 1;
        }
    }
    assert!(
        served > 0 && served < 190,
        "{served} of 200 went on while nothing was read"
    );
    stage.ask(other, "o1", VIEW);
    let (backend, words) = stage.until("the other's request comes", |s| {
        let came = s.arrival()?;
        (&came.1[2][..] == b"o1").then_some(came)
    });
    assert_eq!(&words[2][..], b"o1");
    stage.served(backend, "mine");
    stage.hears(other, "$4\r\nmine\r\n");
}

#[test]
fn pipelines_of_any_length_are_answered_to_the_end() {
    let ping = &b"*1\r\n$4\r\nPING\r\n"[..];
    let wrong = &b"*1\r\n$5\r\nWRONG\r\n"[..];
    for count in [63, 64, 65, 200, 1_000] {
        let mut stage = Stage::new(1, WIDE);
        let (pings, errors, mixed) = (stage.client(), stage.client(), stage.client());
        stage.say(pings, &ping.repeat(count));
        stage.say(errors, &wrong.repeat(count));
        for i in 0..count {
            match i % 3 {
                0 => stage.ask(mixed, &format!("m{i}"), VIEW),
                1 => stage.say(mixed, ping),
                _ => stage.say(mixed, wrong),
            }
        }
        let heard = |s: &Stage, conn, what: &[u8]| {
            s.heard
                .get(&conn)
                .map_or(0, |b| b.windows(what.len()).filter(|w| *w == what).count())
        };
        stage.until(&format!("all {count} are answered"), |s| {
            while let Some((backend, _)) = s.arrival() {
                s.served(backend, "done");
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
fn a_long_pipeline_does_not_hold_the_turn() {
    let mut stage = Stage::new(1, WIDE);
    let (long, other) = (stage.client(), stage.client());
    stage.say(long, &b"*1\r\n$4\r\nPING\r\n".repeat(1_000));
    stage.say(other, b"*1\r\n$4\r\nPING\r\n");
    stage.hears(other, "+PONG\r\n");
    let answered = stage
        .heard
        .get(&long)
        .map_or(0, |b| b.len() / b"+PONG\r\n".len());
    assert!(
        answered <= 256,
        "{answered} of 1,000 went before the one of another client"
    );
}
