//! Tests of a gateway's behaviour towards clients: replies, errors, time-outs, eviction and flow control.

mod common;

use common::{Harness, LARGE_LIMITS, SECOND_MICROS, SMALL_LIMITS};
use std::time::{Duration, Instant};

const VIEW: &str = "c=view,t=team,d=2000,units=1,spread=3,first=1";

#[test]
fn requests_end_out_of_order_then_replies_in_command_order() {
    let mut harness = Harness::new(2, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.write(client, b"*1\r\n$4\r\nPING\r\n");
    harness.send_request(client, "a1", VIEW);
    harness.send_request(client, "a2", VIEW);
    let mut attempts = [harness.next_attempt(), harness.next_attempt()]
        .map(|(conn, words)| (words[2].clone(), conn));
    attempts.sort_by(|a, b| a.0.cmp(&b.0));
    let [(first_id, first), (second_id, second)] = attempts;
    assert_ne!(first, second, "one attempt on each connection");
    assert_eq!((&first_id[..], &second_id[..]), (&b"a1"[..], &b"a2"[..]));
    harness.reply_served(second, "two");
    harness.settle();
    assert_eq!(
        harness.received[&client][..],
        b"+PONG\r\n"[..],
        "the second reply waits for the first"
    );
    harness.reply_served(first, "one");
    harness.expect_received(client, "+PONG\r\n$3\r\none\r\n$3\r\ntwo\r\n");
}

#[test]
fn request_forwarded_then_unchanged_but_for_the_timeout() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.send_request(
        client,
        "b1",
        "c=order,t=team,d=2000,k=5c0f,units=2,spread=3,first=1",
    );
    let (_, words) = harness.next_attempt();
    let fields = String::from_utf8_lossy(&words[3]).into_owned();
    let (before, rest) = fields.split_once(",d=").expect("a time-out");
    let (timeout, after) = rest.split_once(',').expect("fields after the time-out");
    assert_eq!(
        (before, after),
        ("c=order,t=team", "k=5c0f,units=2,spread=3,first=1")
    );
    assert!(
        (1..=2_000).contains(&timeout.parse::<u64>().expect("milliseconds")),
        "{timeout}"
    );
    assert_eq!(
        (&words[0][..], &words[1][..], &words[4][..]),
        (&b"API.WRITE"[..], &b"00000000b4d65521"[..], &b"body"[..])
    );
}

fn assert_nothing_ran(harness: &mut Harness) {
    harness.settle();
    assert!(
        harness.try_next_attempt().is_none() && harness.counter_call_count == 0,
        "an invalid command led to an attempt or a counter call"
    );
}

#[test]
fn invalid_field_then_error_names_it_and_nothing_runs() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    for (fields, expected) in [
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
        harness.send_request(client, "c1", fields);
        harness.expect_received(client, expected);
    }
    assert_nothing_ran(&mut harness);
}

#[test]
fn invalid_command_then_error_names_it_and_nothing_runs() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    for (command, expected) in [
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
        harness.write(client, command);
        harness.expect_received(client, expected);
    }
    // `API.READ` with a class that requires `API.WRITE`.
    let fields = "c=order,t=team,d=480,k=1,units=2,spread=3,first=1";
    let command = format!(
        "*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000000000000001\r\n$1\r\na\r\n${}\r\n{fields}\r\n",
        fields.len()
    );
    harness.write(client, command.as_bytes());
    harness.expect_received(client, "-ERR expected API.READ for a class that is safe");
    assert_nothing_ran(&mut harness);
}

#[test]
fn id_of_an_open_request_then_error_and_that_request_goes_on() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let (owner, other) = (harness.connect_client(), harness.connect_client());
    harness.send_request(owner, "d1", VIEW);
    let (endpoint, _) = harness.next_attempt();
    harness.send_request(other, "d1", VIEW);
    harness.expect_received(other, "-ERR id: expected one that no open request has");
    harness.reply_served(endpoint, "mine");
    harness.expect_received(owner, "$4\r\nmine\r\n");
    harness.serve_request(other, "d1", VIEW, "later");
}

#[test]
fn protocol_error_then_connection_closed_after_the_error_was_read() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
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
        // The client continues to send: closing a socket with unread bytes would reset the connection and lose the error.
        harness.write(client, &vec![b'x'; 1 << 20]);
        harness.expect_received(client, "-ERR Protocol error");
        harness.wait_for("the gateway closes its direction", |h| {
            h.closed.contains(&client).then_some(())
        });
    }
}

#[test]
fn no_command_or_an_incomplete_one_then_closed_and_active_clients_stay() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let (silent, incomplete, idle, waiting) = (
        harness.connect_client(),
        harness.connect_client(),
        harness.connect_client(),
        harness.connect_client(),
    );
    harness.write(incomplete, b"*4\r\n$8\r\nAPI.R");
    harness.write(idle, b"*1\r\n$4\r\nPING\r\n");
    harness.expect_received(idle, "+PONG");
    harness.send_request(waiting, "e1", &VIEW.replace("d=2000", "d=3000"));
    let (endpoint, _) = harness.next_attempt();
    harness.jumps.jump(2_200_000);
    harness.wait_for("the silent and the incomplete one are closed", |h| {
        (h.closed.contains(&silent) && h.closed.contains(&incomplete)).then_some(())
    });
    assert!(!harness.closed.contains(&idle) && !harness.closed.contains(&waiting));
    harness.reply_served(endpoint, "done");
    harness.expect_received(waiting, "$4\r\ndone\r\n");
    harness.jumps.jump(11 * SECOND_MICROS);
    harness.wait_for("the idle one is closed after the idle time-out", |h| {
        h.closed.contains(&idle).then_some(())
    });
}

#[test]
fn too_many_connections_then_silent_ones_evicted_first_and_requests_served() {
    let mut harness = Harness::new(1, SMALL_LIMITS);
    let active = harness.connect_client();
    harness.write(active, b"*1\r\n$4\r\nPING\r\n");
    harness.expect_received(active, "+PONG");
    let mut silent: Vec<_> = (0..30).map(|_| harness.connect_client()).collect();
    for _ in 0..20 {
        harness.jumps.jump(60_000);
        silent.push(harness.connect_client());
    }
    let last = harness.connect_client();
    harness.serve_request(last, "f1", VIEW, "room");
    assert!(
        !harness.closed.contains(&active),
        "a client that sent a command was evicted before silent ones"
    );
    assert!(
        silent.iter().any(|c| harness.closed.contains(c)),
        "no silent client was evicted"
    );
}

#[test]
fn client_disconnects_then_its_attempt_cancelled() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let client = harness.connect_client();
    harness.send_request(client, "g1", VIEW);
    let (endpoint, _) = harness.next_attempt();
    harness.engine.close(client);
    harness.wait_for("the attempt is cancelled", |h| {
        h.closed.contains(&endpoint).then_some(())
    });
}

#[test]
fn hundreds_of_pipelined_commands_then_all_answered() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
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
    let reply_count = |h: &Harness| {
        h.received.get(&client).map_or(0, |b| {
            b.iter().filter(|c| **c == b'-' || **c == b'$').count()
        })
    };
    harness.wait_for("all are answered", |h| {
        (reply_count(h) == 300).then_some(())
    });
}

#[test]
fn client_does_not_read_then_only_its_own_requests_are_paused() {
    let mut harness = Harness::new(4, LARGE_LIMITS);
    let (slow, other) = (harness.connect_client(), harness.connect_client());
    harness.engine.set_read_paused(slow, true);
    for i in 0..200 {
        harness.send_request(slow, &format!("s{i}"), &VIEW.replace("d=2000", "d=3000"));
    }
    let value = "v".repeat(300_000);
    let mut served_count = 0;
    for _ in 0..2_000 {
        harness.turn();
        while let Some((endpoint, _)) = harness.try_next_attempt() {
            harness.reply_served(endpoint, &value);
            served_count += 1;
        }
    }
    assert!(
        served_count > 0 && served_count < 190,
        "{served_count} of 200 were forwarded while the client read nothing"
    );
    harness.send_request(other, "o1", VIEW);
    let (endpoint, words) = harness.wait_for("the other client's request arrives", |h| {
        let attempt = h.try_next_attempt()?;
        (&attempt.1[2][..] == b"o1").then_some(attempt)
    });
    assert_eq!(&words[2][..], b"o1");
    harness.reply_served(endpoint, "mine");
    harness.expect_received(other, "$4\r\nmine\r\n");
}

#[test]
fn pipeline_of_any_length_then_all_answered() {
    let ping = &b"*1\r\n$4\r\nPING\r\n"[..];
    let unknown = &b"*1\r\n$5\r\nWRONG\r\n"[..];
    for count in [63, 64, 65, 200, 1_000] {
        let mut harness = Harness::new(1, LARGE_LIMITS);
        let (pings, errors, mixed) = (
            harness.connect_client(),
            harness.connect_client(),
            harness.connect_client(),
        );
        harness.write(pings, &ping.repeat(count));
        harness.write(errors, &unknown.repeat(count));
        for i in 0..count {
            match i % 3 {
                0 => harness.send_request(mixed, &format!("m{i}"), VIEW),
                1 => harness.write(mixed, ping),
                _ => harness.write(mixed, unknown),
            }
        }
        let count_of = |h: &Harness, conn, reply: &[u8]| {
            h.received.get(&conn).map_or(0, |b| {
                b.windows(reply.len()).filter(|w| *w == reply).count()
            })
        };
        harness.wait_for(&format!("all {count} are answered"), |h| {
            while let Some((endpoint, _)) = h.try_next_attempt() {
                h.reply_served(endpoint, "done");
            }
            // Requests above the quota are rejected with `BUSY`.
            let replies = [&b"$4\r\n"[..], b"-BUSY", b"+PONG", b"-ERR unknown"];
            let mixed = replies.map(|reply| count_of(h, mixed, reply));
            let uniform = (
                count_of(h, pings, b"+PONG"),
                count_of(h, errors, b"-ERR unknown"),
            );
            (uniform == (count, count) && mixed.iter().sum::<usize>() == count).then_some(())
        });
    }
}

#[test]
fn long_pipeline_then_other_clients_answered_meanwhile() {
    let mut harness = Harness::new(1, LARGE_LIMITS);
    let (long, other) = (harness.connect_client(), harness.connect_client());
    harness.write(long, &b"*1\r\n$4\r\nPING\r\n".repeat(1_000));
    harness.write(other, b"*1\r\n$4\r\nPING\r\n");
    harness.expect_received(other, "+PONG\r\n");
    let answered_count = harness
        .received
        .get(&long)
        .map_or(0, |b| b.len() / b"+PONG\r\n".len());
    assert!(
        answered_count <= 256,
        "{answered_count} of 1,000 commands were answered before the one of another client"
    );
}

/// Guards against replies without a bound in bytes that wait behind an unknown one on pipelined connections.
#[test]
fn first_replies_of_pipelines_are_missing_then_the_others_are_kept_within_the_granted_memory() {
    const CLIENTS: usize = 8;
    const VALUE_BYTES: usize = 100_000;
    const GRANTED_BYTES: usize = 32_000_000;
    let mut harness = Harness::with_config(16, SMALL_LIMITS, |text| {
        text.replace("\"per_second\":100.0", "\"per_second\":100000.0")
            .replace("\"peak_units\":200.0", "\"peak_units\":200000.0")
    });
    let clients: Vec<_> = (0..CLIENTS).map(|_| harness.connect_client()).collect();
    let value = "v".repeat(VALUE_BYTES);
    let mut kept_bytes = 0;
    for request in 0..64 {
        for (number, client) in clients.iter().enumerate() {
            harness.send_request(*client, &format!("m{number}-{request}"), VIEW);
        }
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_millis(20) {
            harness.turn();
            while let Some((endpoint, words)) = harness.try_next_attempt() {
                if !words[2].ends_with(b"-0") {
                    harness.reply_served(endpoint, &value);
                    kept_bytes += VALUE_BYTES;
                }
            }
        }
    }
    println!("{kept_bytes} bytes are kept");
    assert!(kept_bytes > 10 * VALUE_BYTES, "{kept_bytes} bytes");
    assert!(kept_bytes <= GRANTED_BYTES, "{kept_bytes} bytes are kept");
}
