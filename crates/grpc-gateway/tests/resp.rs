//! The RESP front over sockets: stock clients, raw bytes, and one quota over both fronts.
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

const FRONT: &str = r#"resp { listen: "127.0.0.1:0" class: "buy" lease_ms: 60000 }
plans { name: "seats" open: 2 }
plans { name: "slow" rate: 0.0001 burst: 4 over_cost: 1 }
plans { name: "free" }"#;
const PLANS: &str = r#"plan_of { key: "small" value: "small" } plan_of { key: "seats" value: "seats" }
plan_of { key: "slow" value: "slow" } plan_of { key: "slow2" value: "slow" }"#;

fn edits(front: &'static str) -> [(&'static str, &'static str); 2] {
    [
        ("plans { name: \"free\" }", front),
        ("plan_of { key: \"small\" value: \"small\" }", PLANS),
    ]
}

/// A gateway with its counter that turns in a thread of its own.
struct Running {
    address: SocketAddr,
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Running {
    fn start(front: &'static str) -> Running {
        let over = Arc::new(AtomicBool::new(false));
        let (ends, (tell, hear)) = (over.clone(), channel());
        let thread = std::thread::spawn(move || {
            let mut harness = Harness::with_settings(1, CounterBehavior::Answers, &edits(front));
            tell.send(harness.gateway.resp_listen().expect("a RESP port"))
                .expect("a test that listens");
            while !ends.load(Ordering::Relaxed) {
                harness.turn();
            }
        });
        Running {
            address: hear.recv().expect("a gateway"),
            over,
            thread: Some(thread),
        }
    }
    fn client(&self) -> redis::Connection {
        let client = redis::Client::open(format!("redis://{}", self.address)).expect("a client");
        client
            .get_connection_with_timeout(Duration::from_secs(10))
            .expect("a connection")
    }
    fn raw(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .expect("a timeout");
        stream
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.thread
            .take()
            .into_iter()
            .for_each(|t| t.join().expect("a gateway that ends well"));
    }
}

fn throttle(conn: &mut redis::Connection, customer: &str, units: u32) -> [i64; 5] {
    let mut ask = redis::cmd("CL.THROTTLE");
    ask.arg(customer).arg(15).arg(30).arg(60).arg(units);
    let numbers: Vec<i64> = ask.query(conn).expect("five numbers");
    numbers.try_into().expect("five numbers")
}

/// Asks for single units until one is refused; returns how many were granted and the refusal.
fn use_up(conn: &mut redis::Connection, customer: &str) -> (u32, [i64; 5]) {
    for granted in 0..100 {
        let answer = throttle(conn, customer, 1);
        if answer[0] == 1 {
            return (granted, answer);
        }
    }
    panic!("{customer} is never refused");
}

#[test]
fn a_stock_client_asks_until_the_plan_is_used_up() {
    let gateway = Running::start(FRONT);
    let mut conn = gateway.client();
    assert!(conn.check_connection());
    let first = throttle(&mut conn, "slow", 1);
    assert_eq!(
        (first[0], first[1], first[3]),
        (0, 4, -1),
        "the limit is the plan's: {first:?}"
    );
    // The store is full, and what came in since its window began may be there too; on a busy machine a call to the counter may time
    // out and the local share decide, which may grant one less.
    let (granted, refused) = use_up(&mut conn, "slow");
    assert!((2..=7).contains(&granted), "{granted}");
    assert_eq!((refused[1], refused[2]), (4, 0), "{refused:?}");
    assert!(
        (1..=5).contains(&refused[3]),
        "seconds to come back: {refused:?}"
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
    assert_eq!(peek[..2], [4, 4], "a look spends nothing: {peek:?}");
    let error: RedisResult<Value> = redis::cmd("CL.THROTTLE").arg("slow").query(&mut conn);
    assert!(error
        .expect_err("too few words")
        .to_string()
        .contains("wrong number of arguments"));
    let error: RedisResult<Value> = redis::cmd("FLUSHALL").query(&mut conn);
    assert!(error
        .expect_err("not here")
        .to_string()
        .contains("unknown command"));
}

#[test]
fn places_come_back_when_given_when_the_lease_is_over_and_when_their_caller_vanishes() {
    let gateway = Running::start(FRONT);
    let mut conn = gateway.client();
    let take = |conn: &mut redis::Connection, lease: u64| -> (i64, Option<String>, i64) {
        redis::cmd("CHALK.TAKE")
            .arg("seats")
            .arg("LEASE")
            .arg(lease)
            .query(conn)
            .expect("an answer")
    };
    let until = |what: &str, conn: &mut redis::Connection| {
        let end = Instant::now() + Duration::from_secs(15);
        loop {
            let (granted, ticket, _) = take(conn, 60_000);
            if granted == 1 {
                return ticket.expect("a ticket");
            }
            assert!(Instant::now() < end, "not in time: {what}");
        }
    };
    let (a, ticket, _) = take(&mut conn, 60_000);
    let (b, _, _) = take(&mut conn, 60_000);
    assert_eq!((a, b), (1, 1));
    let (c, none, _) = take(&mut conn, 60_000);
    assert_eq!((c, none), (0, None), "two places are the plan's");
    let ticket = ticket.expect("a ticket");
    let give = |conn: &mut redis::Connection, ticket: &str| -> i64 {
        redis::cmd("CHALK.GIVE")
            .arg(ticket)
            .query(conn)
            .expect("a number")
    };
    assert_eq!(give(&mut conn, "1-00000000"), 0, "a made-up ticket is none");
    assert_eq!(
        (give(&mut conn, &ticket), give(&mut conn, &ticket)),
        (1, 0),
        "once"
    );
    until("a given place", &mut conn);

    let mut other = gateway.client();
    drop(conn);
    until("places of a lost connection", &mut other);
    let (granted, _, _) = take(&mut other, 50);
    assert_eq!(granted, 1);
    until("a place whose lease is over", &mut other);
}

/// Failed in 594 of 7,152 runs beside load until 2026-12-03, with none, one or two of three units: one late answer of the counter lowered
/// the sample rate, and retries were rejected unsampled or counted too high (`docs/incidents/2026-12-03-late-counter-answers.md`). Since then 2 of
/// 765 at a load of 16: a retry whose call to the counter times out is rejected.
#[test]
fn units_are_reserved_and_the_true_figure_settled() {
    let gateway = Running::start(FRONT);
    let mut conn = gateway.client();
    let take: (i64, String, i64) = redis::cmd("CHALK.TAKE")
        .arg("slow")
        .arg("UNITS")
        .arg(4)
        .query(&mut conn)
        .expect("a ticket");
    assert_eq!(take.0, 1);
    use_up(&mut conn, "slow");
    let given: i64 = redis::cmd("CHALK.GIVE")
        .arg(&take.1)
        .arg("UNITS")
        .arg(1)
        .query(&mut conn)
        .expect("a number");
    assert_eq!(given, 1);
    assert_eq!(use_up(&mut conn, "slow").0, 3, "three came back");
}

#[test]
fn one_quota_over_both_fronts() {
    let mut harness = Harness::with_settings(1, CounterBehavior::Answers, &edits(FRONT));
    let mut stream =
        TcpStream::connect(harness.gateway.resp_listen().expect("a port")).expect("a connection");
    stream.set_nonblocking(true).expect("a mode");
    stream
        .write_all(&b"CL.THROTTLE slow 1 1 1 4\r\n".repeat(3))
        .expect("lines");
    let mut bytes = Vec::new();
    harness.turn_until("answers over RESP", |_| {
        let mut chunk = [0; 256];
        if let Ok(n) = stream.read(&mut chunk) {
            bytes.extend_from_slice(&chunk[..n]);
        }
        bytes.windows(4).filter(|w| w == b"*5\r\n").count() == 3
    });
    for (customer, code) in [("slow", Code::ResourceExhausted), ("slow2", Code::Ok)] {
        let call = harness.call(VIEW, &[("x-customer", customer), ("x-units", "4")]);
        if code == Code::Ok {
            let asked = harness.wait_for_server_call(1);
            harness.servers.answer(asked, b"served");
        }
        assert_eq!(harness.wait_for_status(call), code, "{customer}");
    }
}

#[test]
fn a_pipeline_of_ten_thousand_is_answered_in_order() {
    let gateway = Running::start(FRONT);
    let mut conn = gateway.client();
    let mut pipe = redis::pipe();
    for i in 0..10_000 {
        match i % 4 {
            0 => pipe.cmd("CHALK.PEEK").arg("small"),
            1 => pipe
                .cmd("CL.THROTTLE")
                .arg(format!("customer-{i}"))
                .arg(1)
                .arg(1)
                .arg(1),
            _ => pipe.cmd("ECHO").arg(i),
        };
    }
    let replies: Vec<Value> = pipe.query(&mut conn).expect("ten thousand answers");
    assert_eq!(replies.len(), 10_000);
    for (i, reply) in replies.iter().enumerate().filter(|(i, _)| i % 4 >= 2) {
        assert_eq!(*reply, Value::BulkString(i.to_string().into_bytes()));
    }
}

#[test]
fn resp3_and_passwords() {
    const LOCKED: &str = r#"resp { listen: "127.0.0.1:0" class: "buy" password: "secret" }
plans { name: "seats" open: 2 }
plans { name: "slow" rate: 0.0001 burst: 4 over_cost: 1 }
plans { name: "free" }"#;
    let gateway = Running::start(LOCKED);
    let open = |url: String| redis::Client::open(url).expect("a client").get_connection();
    assert!(open(format!("redis://:wrong@{}", gateway.address)).is_err());
    let mut locked = gateway.raw();
    locked.write_all(b"CHALK.PEEK small\r\n").expect("a line");
    let mut chunk = [0; 256];
    let n = locked.read(&mut chunk).expect("an answer");
    assert!(chunk[..n].starts_with(b"-NOAUTH"));
    let mut conn = open(format!(
        "redis://:secret@{}/?protocol=resp3",
        gateway.address
    ))
    .expect("RESP3");
    assert_eq!(throttle(&mut conn, "small", 1)[0], 0);
}

#[test]
fn odd_input_ends_its_own_connection_and_stalls_nobody() {
    let gateway = Running::start(FRONT);
    for bytes in [
        &b"*1000000\r\n"[..],
        b"*1\r\n$999999999\r\n",
        b"*1\r\n*1\r\n*1\r\n",
        b"*2\r\n$4\r\nPING\r\n:5\r\n",
        &[0xff; 9_000],
    ] {
        let mut stream = gateway.raw();
        stream.write_all(bytes).expect("bytes");
        let mut answer = Vec::new();
        // A reset with bytes unread is an end as well.
        let _ = stream.read_to_end(&mut answer);
        assert!(
            answer.is_empty() || answer.starts_with(b"-ERR Protocol error"),
            "{answer:?}"
        );
    }
    let mut half = gateway.raw();
    half.write_all(b"*2\r\n$4\r\nPING\r\n$100\r\nhalf")
        .expect("half a command");
    let mut reader = gateway.raw();
    let flood = b"*2\r\n$4\r\nECHO\r\n$100\r\n0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789\r\n".repeat(400);
    reader.set_nonblocking(true).expect("a mode");
    // Answers that nobody reads: in the end the gateway reads no more.
    let end = Instant::now() + Duration::from_secs(15);
    let mut stuck = 0;
    while stuck < 50 {
        assert!(
            Instant::now() < end,
            "what nobody reads is read on without end"
        );
        match reader.write(&flood) {
            Ok(written) => stuck = if written > 0 { 0 } else { stuck + 1 },
            Err(_) => {
                stuck += 1;
                std::thread::sleep(Duration::from_millis(2));
            }
        }
    }
    let mut conn = gateway.client();
    assert_eq!(throttle(&mut conn, "small", 1)[0], 0, "others are served");
}

#[test]
fn a_pipeline_longer_than_what_may_wait_is_answered_to_the_end() {
    let running = Running::start(FRONT);
    for count in [1_023, 1_024, 1_025, 5_000] {
        let mut raw = running.raw();
        raw.write_all(&b"PING\r\n".repeat(count))
            .expect("it is sent");
        let mut heard = vec![0; b"+PONG\r\n".len() * count];
        raw.read_exact(&mut heard).expect("all answers");
        assert_eq!(heard, b"+PONG\r\n".repeat(count), "{count} commands");
    }
}
