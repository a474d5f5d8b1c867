//! The RESP port over sockets: a Redis client library, raw bytes, and one quota for RESP and gRPC.
mod common;
use chalkdeck_net::grpc::Code;
use common::{CounterBehavior, Harness, VIEW};
use redis::{ConnectionLike, RedisResult, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The RESP port, a plan with two concurrency slots, and a plan with a burst of four units that hardly refills.
const RESP_AND_PLANS: &str = r#"resp { listen: "127.0.0.1:0" class: "buy" lease_ms: 60000 }
plans { name: "seats" open: 2 }
plans { name: "slow" rate: 0.0001 burst: 4 over_cost: 1 }
plans { name: "free" }"#;
const PLANS_OF_CUSTOMERS: &str = r#"plan_of { key: "small" value: "small" } plan_of { key: "seats" value: "seats" }
plan_of { key: "slow" value: "slow" } plan_of { key: "slow2" value: "slow" }"#;

fn settings_edits(resp_and_plans: &'static str) -> [(&'static str, &'static str); 2] {
    [
        ("plans { name: \"free\" }", resp_and_plans),
        (
            "plan_of { key: \"small\" value: \"small\" }",
            PLANS_OF_CUSTOMERS,
        ),
    ]
}

/// A gateway and its counter, driven by their own thread until this is dropped.
struct RunningGateway {
    address: SocketAddr,
    is_stopping: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl RunningGateway {
    fn start(resp_and_plans: &'static str) -> RunningGateway {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let (stop_flag, (address_sender, address_receiver)) = (is_stopping.clone(), channel());
        let thread = std::thread::spawn(move || {
            let mut harness = Harness::with_settings(
                1,
                CounterBehavior::Answers,
                &settings_edits(resp_and_plans),
            );
            address_sender
                .send(harness.gateway.resp_address().expect("a RESP port"))
                .expect("a test that waits for the address");
            while !stop_flag.load(Ordering::Relaxed) {
                harness.turn();
            }
        });
        RunningGateway {
            address: address_receiver.recv().expect("a started gateway"),
            is_stopping,
            thread: Some(thread),
        }
    }
    /// A connection of the Redis client library.
    fn connect(&self) -> redis::Connection {
        let client = redis::Client::open(format!("redis://{}", self.address)).expect("a client");
        client
            .get_connection_with_timeout(Duration::from_secs(10))
            .expect("a connection")
    }
    /// A connection for raw bytes.
    fn connect_raw(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .expect("a timeout");
        stream
    }
}

impl Drop for RunningGateway {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.thread
            .take()
            .into_iter()
            .for_each(|thread| thread.join().expect("no panic in the gateway's thread"));
    }
}

/// Sends `CL.THROTTLE` and returns its reply: 1 if rejected, limit, remaining units, seconds until a retry, seconds until the reset.
fn throttle(conn: &mut redis::Connection, customer: &str, units: u32) -> [i64; 5] {
    let mut command = redis::cmd("CL.THROTTLE");
    command.arg(customer).arg(15).arg(30).arg(60).arg(units);
    let numbers: Vec<i64> = command.query(conn).expect("five numbers");
    numbers.try_into().expect("five numbers")
}

/// Requests single units until one is rejected; returns how many were granted, and the rejection.
fn exhaust_quota(conn: &mut redis::Connection, customer: &str) -> (u32, [i64; 5]) {
    for granted in 0..100 {
        let reply = throttle(conn, customer, 1);
        if reply[0] == 1 {
            return (granted, reply);
        }
    }
    panic!("{customer} is never rejected");
}

#[test]
fn requests_of_a_redis_client_are_granted_until_the_quota_is_used_up() {
    let gateway = RunningGateway::start(RESP_AND_PLANS);
    let mut conn = gateway.connect();
    assert!(conn.check_connection());
    let first = throttle(&mut conn, "slow", 1);
    assert_eq!(
        (first[0], first[1], first[3]),
        (0, 4, -1),
        "the limit is that of the plan: {first:?}"
    );
    // The full burst is available, and perhaps units that refilled since the quota's window began. On a busy machine a call to the
    // counter may time out; the gateway's local share of the quota then decides, which may grant one less.
    let (granted, rejected) = exhaust_quota(&mut conn, "slow");
    assert!((2..=7).contains(&granted), "{granted}");
    assert_eq!((rejected[1], rejected[2]), (4, 0), "{rejected:?}");
    assert!(
        (1..=5).contains(&rejected[3]),
        "seconds until a retry: {rejected:?}"
    );
    let peek: Vec<i64> = redis::cmd("CHALK.PEEK")
        .arg("slow")
        .query(&mut conn)
        .expect("three numbers");
    assert_eq!(peek[..2], [4, 0], "{peek:?}");
    let peek: Vec<i64> = redis::cmd("CHALK.PEEK")
        .arg("slow2")
        .query(&mut conn)
        .expect("three numbers");
    assert_eq!(peek[..2], [4, 4], "CHALK.PEEK spends no units: {peek:?}");
    let error: RedisResult<Value> = redis::cmd("CL.THROTTLE").arg("slow").query(&mut conn);
    assert!(error
        .expect_err("too few arguments")
        .to_string()
        .contains("wrong number of arguments"));
    let error: RedisResult<Value> = redis::cmd("FLUSHALL").query(&mut conn);
    assert!(error
        .expect_err("an unsupported command")
        .to_string()
        .contains("unknown command"));
}

#[test]
fn concurrency_slots_are_freed_by_ticket_return_lost_connection_and_lease_expiry() {
    let gateway = RunningGateway::start(RESP_AND_PLANS);
    let mut conn = gateway.connect();
    let take = |conn: &mut redis::Connection, lease_ms: u64| -> (i64, Option<String>, i64) {
        redis::cmd("CHALK.TAKE")
            .arg("seats")
            .arg("LEASE")
            .arg(lease_ms)
            .query(conn)
            .expect("a reply")
    };
    let take_until_granted = |description: &str, conn: &mut redis::Connection| {
        let end = Instant::now() + Duration::from_secs(15);
        loop {
            let (granted, ticket, _) = take(conn, 60_000);
            if granted == 1 {
                return ticket.expect("a ticket");
            }
            assert!(Instant::now() < end, "not in time: {description}");
        }
    };
    let (first_granted, ticket, _) = take(&mut conn, 60_000);
    let (second_granted, _, _) = take(&mut conn, 60_000);
    assert_eq!((first_granted, second_granted), (1, 1));
    let (third_granted, no_ticket, _) = take(&mut conn, 60_000);
    assert_eq!(
        (third_granted, no_ticket),
        (0, None),
        "the plan has two concurrency slots"
    );
    let ticket = ticket.expect("a ticket");
    let return_ticket = |conn: &mut redis::Connection, ticket: &str| -> i64 {
        redis::cmd("CHALK.GIVE")
            .arg(ticket)
            .query(conn)
            .expect("a number")
    };
    assert_eq!(
        return_ticket(&mut conn, "1-00000000"),
        0,
        "an invented ticket is invalid"
    );
    assert_eq!(
        (
            return_ticket(&mut conn, &ticket),
            return_ticket(&mut conn, &ticket)
        ),
        (1, 0),
        "a ticket is valid once"
    );
    take_until_granted("the slot of a returned ticket", &mut conn);

    let mut other_conn = gateway.connect();
    drop(conn);
    take_until_granted("the slots of a lost connection", &mut other_conn);
    let (granted, _, _) = take(&mut other_conn, 50);
    assert_eq!(granted, 1);
    take_until_granted("the slot of an expired lease", &mut other_conn);
}

/// Guards against settled units that are not granted again. Until 2026-12-03 this failed in 594 of 7,152 runs beside load, with none,
/// one or two of three units granted: one late answer of the counter lowered the sample rate, and retries were rejected unsampled or
/// counted too high (`docs/incidents/2026-12-03-late-counter-answers.md`). Since then it failed in 2 of 765 runs at a load of 16: a
/// retry whose call to the counter times out is rejected.
#[test]
fn units_are_reserved_and_the_true_figure_settled() {
    let gateway = RunningGateway::start(RESP_AND_PLANS);
    let mut conn = gateway.connect();
    let take: (i64, String, i64) = redis::cmd("CHALK.TAKE")
        .arg("slow")
        .arg("UNITS")
        .arg(4)
        .query(&mut conn)
        .expect("a ticket");
    assert_eq!(take.0, 1);
    exhaust_quota(&mut conn, "slow");
    let returned: i64 = redis::cmd("CHALK.GIVE")
        .arg(&take.1)
        .arg("UNITS")
        .arg(1)
        .query(&mut conn)
        .expect("a number");
    assert_eq!(returned, 1);
    assert_eq!(
        exhaust_quota(&mut conn, "slow").0,
        3,
        "three of four units are free again"
    );
}

#[test]
fn resp_and_grpc_share_one_quota() {
    let mut harness =
        Harness::with_settings(1, CounterBehavior::Answers, &settings_edits(RESP_AND_PLANS));
    let mut stream =
        TcpStream::connect(harness.gateway.resp_address().expect("a port")).expect("a connection");
    stream.set_nonblocking(true).expect("a non-blocking socket");
    stream
        .write_all(&b"CL.THROTTLE slow 1 1 1 4\r\n".repeat(3))
        .expect("lines");
    let mut bytes = Vec::new();
    harness.turn_until("replies over RESP", |_| {
        let mut chunk = [0; 256];
        if let Ok(n) = stream.read(&mut chunk) {
            bytes.extend_from_slice(&chunk[..n]);
        }
        bytes.windows(4).filter(|w| w == b"*5\r\n").count() == 3
    });
    for (customer, code) in [("slow", Code::ResourceExhausted), ("slow2", Code::Ok)] {
        let call = harness.call(VIEW, &[("x-customer", customer), ("x-units", "4")]);
        if code == Code::Ok {
            let stream = harness.wait_for_server_call(1);
            harness.servers.answer(stream, b"served");
        }
        assert_eq!(harness.wait_for_status(call), code, "{customer}");
    }
}

#[test]
fn pipeline_of_ten_thousand_commands_is_answered_in_order() {
    let gateway = RunningGateway::start(RESP_AND_PLANS);
    let mut conn = gateway.connect();
    let mut pipeline = redis::pipe();
    for i in 0..10_000 {
        match i % 4 {
            0 => pipeline.cmd("CHALK.PEEK").arg("small"),
            1 => pipeline
                .cmd("CL.THROTTLE")
                .arg(format!("customer-{i}"))
                .arg(1)
                .arg(1)
                .arg(1),
            _ => pipeline.cmd("ECHO").arg(i),
        };
    }
    let replies: Vec<Value> = pipeline.query(&mut conn).expect("ten thousand replies");
    assert_eq!(replies.len(), 10_000);
    for (i, reply) in replies.iter().enumerate().filter(|(i, _)| i % 4 >= 2) {
        assert_eq!(*reply, Value::BulkString(i.to_string().into_bytes()));
    }
}

#[test]
fn clients_must_authenticate_and_may_switch_to_resp3() {
    const RESP_WITH_PASSWORD: &str = r#"resp { listen: "127.0.0.1:0" class: "buy" password: "secret" }
plans { name: "seats" open: 2 }
plans { name: "slow" rate: 0.0001 burst: 4 over_cost: 1 }
plans { name: "free" }"#;
    let gateway = RunningGateway::start(RESP_WITH_PASSWORD);
    let connect = |url: String| redis::Client::open(url).expect("a client").get_connection();
    assert!(connect(format!("redis://:wrong@{}", gateway.address)).is_err());
    let mut unauthenticated = gateway.connect_raw();
    unauthenticated
        .write_all(b"CHALK.PEEK small\r\n")
        .expect("a line");
    let mut chunk = [0; 256];
    let length = unauthenticated.read(&mut chunk).expect("a reply");
    assert!(chunk[..length].starts_with(b"-NOAUTH"));
    let mut conn = connect(format!(
        "redis://:secret@{}/?protocol=resp3",
        gateway.address
    ))
    .expect("RESP3");
    assert_eq!(throttle(&mut conn, "small", 1)[0], 0);
}

#[test]
fn invalid_input_and_unread_replies_affect_only_their_own_connection() {
    let gateway = RunningGateway::start(RESP_AND_PLANS);
    for bytes in [
        &b"*1000000\r\n"[..],
        b"*1\r\n$999999999\r\n",
        b"*1\r\n*1\r\n*1\r\n",
        b"*2\r\n$4\r\nPING\r\n:5\r\n",
        &[0xff; 9_000],
    ] {
        let mut stream = gateway.connect_raw();
        stream.write_all(bytes).expect("bytes");
        let mut reply = Vec::new();
        // The gateway may also reset the connection, as not all bytes were read.
        let _ = stream.read_to_end(&mut reply);
        assert!(
            reply.is_empty() || reply.starts_with(b"-ERR Protocol error"),
            "{reply:?}"
        );
    }
    let mut incomplete = gateway.connect_raw();
    incomplete
        .write_all(b"*2\r\n$4\r\nPING\r\n$100\r\nhalf")
        .expect("a part of a command");
    let mut slow_reader = gateway.connect_raw();
    let flood = b"*2\r\n$4\r\nECHO\r\n$100\r\n0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789\r\n".repeat(400);
    slow_reader
        .set_nonblocking(true)
        .expect("a non-blocking socket");
    // While replies stay unread, the gateway stops reading commands, so that writes no longer succeed.
    let end = Instant::now() + Duration::from_secs(15);
    let mut failed_writes = 0;
    while failed_writes < 50 {
        assert!(
            Instant::now() < end,
            "commands are read without limit while replies stay unread"
        );
        match slow_reader.write(&flood) {
            Ok(written) => failed_writes = if written > 0 { 0 } else { failed_writes + 1 },
            Err(_) => {
                failed_writes += 1;
                std::thread::sleep(Duration::from_millis(2));
            }
        }
    }
    let mut conn = gateway.connect();
    assert_eq!(
        throttle(&mut conn, "small", 1)[0],
        0,
        "other clients are served"
    );
}

#[test]
fn pipeline_longer_than_the_limit_of_pending_commands_is_answered_whole() {
    let gateway = RunningGateway::start(RESP_AND_PLANS);
    for count in [1_023, 1_024, 1_025, 5_000] {
        let mut stream = gateway.connect_raw();
        stream
            .write_all(&b"PING\r\n".repeat(count))
            .expect("commands");
        let mut received = vec![0; b"+PONG\r\n".len() * count];
        stream.read_exact(&mut received).expect("all replies");
        assert_eq!(received, b"+PONG\r\n".repeat(count), "{count} commands");
    }
}

/// Guards against a `QUIT` that stops the reading and the sending of what is due.
#[test]
fn quit_is_answered_behind_the_replies_before_it() {
    let gateway = RunningGateway::start(RESP_AND_PLANS);
    let mut client = gateway.connect_raw();
    client
        .write_all(b"*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nQUIT\r\n")
        .expect("the commands are sent");
    let mut received = Vec::new();
    client
        .read_to_end(&mut received)
        .expect("the replies and the end");
    assert_eq!(received, b"+PONG\r\n+OK\r\n");
}

/// Guards against a close over unread input, which resets the connection: replies that the client has not received yet go with it.
#[test]
fn client_sends_more_behind_its_last_command_then_all_replies_received() {
    let received = pipeline_hello_and_quit(30_000, Duration::ZERO);
    assert_eq!(received, 30_000);
}

/// Guards against a client that stays paused after it has read its replies, until a check that is made every 30 s.
#[test]
fn client_reads_the_replies_of_a_long_pipeline_late_then_served_without_delay() {
    let received = pipeline_hello_and_quit(200_000, Duration::from_secs(2));
    assert_eq!(received, 200_000);
}

/// Sends `count` `HELLO`s, a `QUIT` and more behind it, begins to read after `delay` and returns the number of replies to `HELLO`.
fn pipeline_hello_and_quit(count: usize, delay: Duration) -> usize {
    const REPLY_START: &[u8] = b"*10\r\n";
    let gateway = RunningGateway::start(RESP_AND_PLANS);
    let mut client = gateway.connect_raw();
    let mut sender = client.try_clone().expect("a socket");
    let sending = std::thread::spawn(move || {
        let mut commands = b"*1\r\n$5\r\nHELLO\r\n".repeat(count);
        commands.extend_from_slice(b"*1\r\n$4\r\nQUIT\r\n");
        sender.write_all(&commands).expect("the commands are sent");
        // The gateway discards this, and the client does not mind whether it can be sent.
        let _ = sender.write_all(&[b'x'; 64 << 10]);
    });
    std::thread::sleep(delay);
    let mut received = Vec::new();
    client
        .read_to_end(&mut received)
        .unwrap_or_else(|error| panic!("{error} after {} bytes", received.len()));
    sending.join().expect("no panic");
    assert!(received.ends_with(b"+OK\r\n"), "the last reply is missing");
    let starts = received.windows(REPLY_START.len());
    starts.filter(|bytes| *bytes == REPLY_START).count()
}
