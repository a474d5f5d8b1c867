//! Clients that send many long commands at once neither delay other clients of a gateway process nor have requests run once they have left.

mod platform;

use platform::clients::{
    next_id, run_alone, run_usual_client, send_at_full_speed, start_recording_backend,
    write_command, Arrivals, EndClients,
};
use platform::{start_counter, start_discovery, Gateway, SMALL_GRANT};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The size of the body of a long command.
const BODY_BYTES: usize = 60_000;
/// How long the clients of a test send.
const TEST_TIME: Duration = Duration::from_secs(8);
/// The platform allows an attempt to begin 0.1 s after its client has closed the connection, and extends every limit by 50 ms.
const MAX_ATTEMPT_DELAY: Duration = Duration::from_millis(150);
/// How long a backend works on a request.
const WORK_TIME: Duration = Duration::from_millis(60);

fn start_gateway(arrivals: &Arrivals) -> Gateway {
    let backends: Vec<SocketAddr> = (0..6)
        .map(|_| start_recording_backend(arrivals, WORK_TIME))
        .collect();
    Gateway::start_with(1, start_discovery(&backends), start_counter(), SMALL_GRANT)
}

/// Commands with new ids and bodies of this size.
fn commands(count: usize, body_bytes: usize) -> (Vec<u64>, Vec<u8>) {
    let ids: Vec<u64> = (0..count).map(|_| next_id()).collect();
    let commands = ids.iter().map(|id| write_command(6, *id, body_bytes));
    let bytes = commands.collect::<Vec<Vec<u8>>>().concat();
    (ids, bytes)
}

/// Guards against reading that is paused for all clients by the commands of a few: usual requests beside clients that sent hundreds of long
/// commands at once were answered seconds late, or never.
#[test]
fn clients_send_long_commands_at_full_speed_then_others_get_their_replies_in_time() {
    let _alone = run_alone();
    let gateway = start_gateway(&Arrivals::default());
    let is_over = AtomicBool::new(false);
    let replies = std::thread::scope(|scope| {
        let usual: Vec<_> = (0..6)
            .map(|_| scope.spawn(|| run_usual_client(gateway.listen, &is_over)))
            .collect();
        let end = EndClients(&is_over);
        for _ in 0..12 {
            scope.spawn(|| {
                send_at_full_speed(gateway.listen, &is_over, || commands(20, BODY_BYTES).1)
            });
        }
        std::thread::sleep(TEST_TIME);
        drop(end);
        let ended = usual.into_iter().map(|client| client.join());
        ended.collect::<Result<Vec<_>, _>>().expect("they end")
    });
    println!("{replies:?}");
    assert!(
        replies.iter().all(|replies| replies.lost == 0),
        "{replies:?}"
    );
}

/// Clients that send commands at once and close their connections, again and again.
#[derive(Clone, Copy)]
struct Leavers {
    count: usize,
    commands_at_once: usize,
    body_bytes: usize,
    /// So many attempts show that the clients were served at all.
    min_attempts: usize,
}

/// Plays one of the leavers. Records when the requests' client has left.
fn send_and_leave(
    address: SocketAddr,
    leavers: Leavers,
    is_over: &AtomicBool,
    left: &Mutex<HashMap<u64, Instant>>,
) {
    while !is_over.load(Ordering::Relaxed) {
        let (ids, bytes) = commands(leavers.commands_at_once, leavers.body_bytes);
        let mut stream = TcpStream::connect(address).expect("a connection");
        let _ = stream.write_all(&bytes);
        drop(stream);
        let now = Instant::now();
        let mut left = left.lock().expect("the lock is not poisoned");
        left.extend(ids.into_iter().map(|id| (id, now)));
        drop(left);
        std::thread::sleep(Duration::from_millis(700));
    }
}

fn assert_no_attempt_begins_for(leavers: Leavers) {
    let _alone = run_alone();
    let arrivals = Arrivals::default();
    let gateway = start_gateway(&arrivals);
    let (is_over, left) = (AtomicBool::new(false), Mutex::default());
    std::thread::scope(|scope| {
        let _end = EndClients(&is_over);
        for _ in 0..leavers.count {
            scope.spawn(|| send_and_leave(gateway.listen, leavers, &is_over, &left));
        }
        std::thread::sleep(TEST_TIME);
    });
    let left = left.into_inner().expect("the lock is not poisoned");
    let arrivals = arrivals.lock().expect("the lock is not poisoned");
    let delay = |(id, at): &(u64, Instant)| Some(at.saturating_duration_since(*left.get(id)?));
    let late: Vec<Duration> = arrivals
        .iter()
        .filter_map(delay)
        .filter(|delay| *delay > MAX_ATTEMPT_DELAY)
        .collect();
    println!("{} attempts, late: {late:?}", arrivals.len());
    assert!(arrivals.len() > leavers.min_attempts, "{}", arrivals.len());
    assert!(late.is_empty(), "{} late: {late:?}", late.len());
}

/// Guards against requests that are begun for clients that have left: the end of a connection stood behind unread commands, which were
/// taken up one after another.
#[test]
fn clients_send_long_commands_and_leave_then_no_attempt_begins_afterwards() {
    assert_no_attempt_begins_for(Leavers {
        count: 10,
        commands_at_once: 60,
        body_bytes: BODY_BYTES,
        min_attempts: 100,
    });
}

/// Guards against requests that wait for an endpoint and are begun while the end of their connection is unread: attempts began 0.26 s after
/// the close.
#[test]
fn clients_send_hundreds_of_commands_and_leave_then_no_attempt_begins_afterwards() {
    assert_no_attempt_begins_for(Leavers {
        count: 30,
        commands_at_once: 300,
        body_bytes: 3_000,
        min_attempts: 30,
    });
}

/// Guards against a request that runs twice: its client left while an attempt was in flight, and the same id came again.
#[test]
fn id_comes_again_after_its_client_has_left_then_it_runs_once() {
    let _alone = run_alone();
    let arrivals = Arrivals::default();
    let gateway = start_gateway(&arrivals);
    for _ in 0..10 {
        let id = next_id();
        let command = write_command(6, id, 4);
        let mut leaving = TcpStream::connect(gateway.listen).expect("a connection");
        leaving.write_all(&command).expect("the request is sent");
        let runs = || {
            let log = arrivals.lock().expect("the lock is not poisoned");
            log.iter().filter(|(run, _)| *run == id).count()
        };
        let begun = Instant::now();
        while runs() == 0 {
            assert!(begun.elapsed() < TEST_TIME, "the request never ran");
            std::thread::sleep(Duration::from_millis(1));
        }
        drop(leaving);
        std::thread::sleep(WORK_TIME / 3);
        let mut client = TcpStream::connect(gateway.listen).expect("a connection");
        client
            .set_read_timeout(Some(TEST_TIME))
            .expect("a time-out");
        client.write_all(&command).expect("the request is sent");
        let mut reply = [0; 256];
        let length = client.read(&mut reply).expect("a reply");
        let reply = String::from_utf8_lossy(&reply[..length]).into_owned();
        assert!(reply.starts_with("-ERR"), "{reply:?}");
        assert_eq!(runs(), 1);
    }
}
