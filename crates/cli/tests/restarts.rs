//! No request is lost while gateways of the platform, as processes, are restarted in turn by SIGTERM or SIGKILL. Clients with persistent
//! connections send the next request as soon as they have a response.

mod platform;

use platform::{start_backend, start_counter, start_discovery, Gateway};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 8;
const RESTARTS: usize = 200;
/// The longest wait for a response or for a reset.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Counts over all clients, and the signal for them to stop.
#[derive(Default)]
struct ClientTotals {
    responses: AtomicUsize,
    /// Connections that the gateway closed before it read the last request, so that the client can safely send it again.
    closed_unread: AtomicUsize,
    /// Connections to a gateway that was killed with SIGKILL.
    killed: AtomicUsize,
    /// Connections that the gateway closed after it read the requests, without responding to them.
    lost: AtomicUsize,
    is_over: AtomicBool,
}

fn request(id: u64) -> String {
    let fields = "c=view,t=team,d=3000,units=1,spread=8,first=0";
    format!(
        "*4\r\n$8\r\nAPI.READ\r\n$16\r\n00000000b4d65521\r\n$16\r\n{id:016x}\r\n${}\r\n{fields}\r\n",
        fields.len()
    )
}

/// What a client read from its connection.
enum Received {
    /// This number of complete responses.
    Responses(usize),
    /// The connection was closed. True if it was also reset, as a request reached the socket after the gateway had stopped reading.
    Closed(bool),
}

/// Waits for responses. `buffer` keeps the bytes of an incomplete one.
fn read_responses(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Received {
    let mut chunk = [0; 256];
    match stream.read(&mut chunk) {
        Ok(0) => return Received::Closed(is_reset(stream)),
        Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        Err(e) => {
            assert!(
                e.kind() != std::io::ErrorKind::WouldBlock,
                "no response in time, received {buffer:?}"
            );
            return Received::Closed(true);
        }
    }
    let mut count = 0;
    while let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
        let length = if buffer[0] == b'$' {
            5 + 16 + 2
        } else {
            end + 2
        };
        if buffer.len() < length {
            break;
        }
        buffer.drain(..length);
        count += 1;
    }
    Received::Responses(count)
}

/// Whether a reset follows the end of the stream. The system sends a reset if bytes that the gateway did not read reached its closed
/// socket, and none if the gateway had read them all.
fn is_reset(stream: &TcpStream) -> bool {
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        if !matches!(stream.take_error(), Ok(None)) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    false
}

/// Sends requests to the gateways, one after another, until the test is over. Each gateway has its address and the number of its kills.
fn run_client(number: u64, gateways: &[(SocketAddr, AtomicUsize)], totals: &ClientTotals) {
    let (mut index, mut request_id) = (number as usize % gateways.len(), number << 40);
    while !totals.is_over.load(Ordering::Relaxed) {
        let (address, kills) = &gateways[index];
        index = (index + 1) % gateways.len();
        let kills_before = kills.load(Ordering::SeqCst);
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        let _ = (
            stream.set_nodelay(true),
            stream.set_read_timeout(Some(TIMEOUT)),
        );
        let (mut buffer, mut in_flight) = (Vec::new(), 0);
        // Half of the clients keep two requests in flight on a connection.
        let max_in_flight = 1 + number as usize % 2;
        'connection: while !totals.is_over.load(Ordering::Relaxed) {
            while in_flight < max_in_flight {
                request_id += 1;
                if stream.write_all(request(request_id).as_bytes()).is_err() {
                    totals.closed_unread.fetch_add(1, Ordering::Relaxed);
                    break 'connection;
                }
                in_flight += 1;
                // Half of the clients pause after each request.
                if number % 4 > 1 {
                    std::thread::sleep(Duration::from_micros(fastrand::u64(..4_000)));
                }
            }
            match read_responses(&mut stream, &mut buffer) {
                Received::Responses(count) => {
                    in_flight -= count;
                    totals.responses.fetch_add(count, Ordering::Relaxed);
                }
                Received::Closed(is_reset) => {
                    let total = match (kills.load(Ordering::SeqCst) > kills_before, is_reset) {
                        (true, _) => &totals.killed,
                        (false, true) => &totals.closed_unread,
                        (false, false) => &totals.lost,
                    };
                    total.fetch_add(1, Ordering::Relaxed);
                    break;
                }
            }
        }
    }
}

/// Stops a gateway with SIGTERM, or with SIGKILL if `is_kill`, and starts it again.
fn restart(gateway: &mut Gateway, kills: &AtomicUsize, is_kill: bool) {
    let pid = Pid::from_child(&gateway.child);
    if is_kill {
        kills.fetch_add(1, Ordering::SeqCst);
        gateway.child.kill().expect("it runs");
    } else {
        kill_process(pid, Signal::TERM).expect("it runs");
    }
    let status = gateway.child.wait().expect("it exits");
    assert!(is_kill || status.success(), "exits with {status}");
    gateway.start_again();
}

#[test]
fn no_request_is_lost_over_two_hundred_restarts() {
    let backends: Vec<SocketAddr> = (0..4).map(|_| start_backend()).collect();
    let (discovery, counter) = (start_discovery(&backends), start_counter());
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|i| Gateway::start(i, discovery, counter))
        .collect();
    let addresses: Vec<_> = gateways
        .iter()
        .map(|g| (g.listen, AtomicUsize::new(0)))
        .collect();
    let totals = ClientTotals::default();
    std::thread::scope(|scope| {
        for number in 0..24 {
            let (addresses, totals) = (&addresses, &totals);
            scope.spawn(move || run_client(number, addresses, totals));
        }
        // Up to four gateways are down at a time, one of each pair; every fifth restart is with SIGKILL.
        let threads = gateways.chunks_mut(2).enumerate().map(|(number, pair)| {
            let kills = &addresses[number * 2..];
            scope.spawn(move || {
                for round in 0..RESTARTS / (GATEWAYS / 2) {
                    let index = round % pair.len();
                    restart(&mut pair[index], &kills[index].1, round % 5 == 4);
                }
            })
        });
        let results: Vec<_> = threads
            .collect::<Vec<_>>()
            .into_iter()
            .map(|thread| thread.join())
            .collect();
        totals.is_over.store(true, Ordering::Relaxed);
        results
            .into_iter()
            .for_each(|result| result.expect("restarts succeed"));
    });
    let count = |total: &AtomicUsize| total.load(Ordering::Relaxed);
    println!(
        "{} responses; connections: {} closed before the request was read, {} to killed gateways, {} lost",
        count(&totals.responses),
        count(&totals.closed_unread),
        count(&totals.killed),
        count(&totals.lost)
    );
    assert!(
        count(&totals.responses) > RESTARTS,
        "clients are served during the restarts"
    );
    assert_eq!(
        count(&totals.lost),
        0,
        "a gateway exited after it read a request and did not respond to it"
    );
}
