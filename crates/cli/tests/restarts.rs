//! Gateways of the platform as processes that are ended and killed in turn, under clients on kept connections that send again
//! the moment they have an answer.

mod platform;

use platform::{backend, counter, discovery, Gateway};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 8;
const RESTARTS: usize = 200;
const TIMEOUT: Duration = Duration::from_secs(20);

/// What clients saw, over all of them.
#[derive(Default)]
struct Seen {
    answered: AtomicUsize,
    /// Sent as the gateway ended the connection: never read there, so it goes again.
    crossed: AtomicUsize,
    /// At a gateway that was killed outright.
    killed: AtomicUsize,
    lost: AtomicUsize,
    over: AtomicBool,
}

fn request(id: u64) -> String {
    let list = "c=view,t=team,d=3000,units=1,spread=8,first=0";
    format!(
        "*4\r\n$8\r\nAPI.READ\r\n$16\r\n00000000b4d65521\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n",
        list.len()
    )
}

enum Heard {
    Answers(usize),
    /// The connection ended; whether it was reset, too: a request came to a socket that nobody read any more.
    End(bool),
}

/// Waits for answers; what is left of `held` is the beginning of the next one.
fn answers(stream: &mut TcpStream, held: &mut Vec<u8>) -> Heard {
    let mut some = [0; 256];
    match stream.read(&mut some) {
        Ok(0) => return Heard::End(is_reset(stream)),
        Ok(n) => held.extend_from_slice(&some[..n]),
        Err(e) => {
            assert!(
                e.kind() != std::io::ErrorKind::WouldBlock,
                "an answer comes in time, heard {held:?}"
            );
            return Heard::End(true);
        }
    }
    let mut count = 0;
    while let Some(end) = held.windows(2).position(|w| w == b"\r\n") {
        let whole = if held[0] == b'$' { 5 + 16 + 2 } else { end + 2 };
        if held.len() < whole {
            break;
        }
        held.drain(..whole);
        count += 1;
    }
    Heard::Answers(count)
}

/// Whether a reset follows the end: the system sends one where bytes come to a socket that was closed unread, none where the
/// gateway had read them.
fn is_reset(stream: &TcpStream) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < TIMEOUT {
        if !matches!(stream.take_error(), Ok(None)) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    false
}

fn client(number: u64, gateways: &[(SocketAddr, AtomicUsize)], seen: &Seen) {
    let (mut at, mut next) = (number as usize % gateways.len(), number << 40);
    while !seen.over.load(Ordering::Relaxed) {
        let (address, kills) = &gateways[at];
        at = (at + 1) % gateways.len();
        let before = kills.load(Ordering::SeqCst);
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        let _ = (
            stream.set_nodelay(true),
            stream.set_read_timeout(Some(TIMEOUT)),
        );
        let (mut held, mut out) = (Vec::new(), 0);
        // Half of them have two requests out on a connection.
        let most = 1 + number as usize % 2;
        'connection: while !seen.over.load(Ordering::Relaxed) {
            while out < most {
                next += 1;
                if stream.write_all(request(next).as_bytes()).is_err() {
                    seen.crossed.fetch_add(1, Ordering::Relaxed);
                    break 'connection;
                }
                out += 1;
                // Some think for a moment.
                if number % 4 > 1 {
                    std::thread::sleep(Duration::from_micros(fastrand::u64(..4_000)));
                }
            }
            match answers(&mut stream, &mut held) {
                Heard::Answers(count) => {
                    out -= count;
                    seen.answered.fetch_add(count, Ordering::Relaxed);
                }
                Heard::End(reset) => {
                    let why = match (kills.load(Ordering::SeqCst) > before, reset) {
                        (true, _) => &seen.killed,
                        (false, true) => &seen.crossed,
                        (false, false) => &seen.lost,
                    };
                    why.fetch_add(1, Ordering::Relaxed);
                    break;
                }
            }
        }
    }
}

/// Ends a gateway, or kills it outright, and starts it anew.
fn restart(gateway: &mut Gateway, kills: &AtomicUsize, outright: bool) {
    let pid = Pid::from_child(&gateway.child);
    if outright {
        kills.fetch_add(1, Ordering::SeqCst);
        gateway.child.kill().expect("it runs");
    } else {
        kill_process(pid, Signal::TERM).expect("it runs");
    }
    let ended = gateway.child.wait().expect("it ends");
    assert!(outright || ended.success(), "ends with {ended}");
    gateway.again();
}

#[test]
fn no_request_is_lost_over_two_hundred_restarts() {
    let backends: Vec<SocketAddr> = (0..4).map(|_| backend()).collect();
    let (discovery, counter) = (discovery(&backends), counter());
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|i| Gateway::start(i, discovery, counter))
        .collect();
    let addresses: Vec<_> = gateways
        .iter()
        .map(|g| (g.listen, AtomicUsize::new(0)))
        .collect();
    let seen = Seen::default();
    std::thread::scope(|scope| {
        for number in 0..24 {
            let (addresses, seen) = (&addresses, &seen);
            scope.spawn(move || client(number, addresses, seen));
        }
        // Four at a time are away, one of five times killed outright.
        let parts = gateways.chunks_mut(2).enumerate().map(|(number, part)| {
            let kills = &addresses[number * 2..];
            scope.spawn(move || {
                for turn in 0..RESTARTS / (GATEWAYS / 2) {
                    let at = turn % part.len();
                    restart(&mut part[at], &kills[at].1, turn % 5 == 4);
                }
            })
        });
        let ended: Vec<_> = parts
            .collect::<Vec<_>>()
            .into_iter()
            .map(|part| part.join())
            .collect();
        seen.over.store(true, Ordering::Relaxed);
        ended.into_iter().for_each(|e| e.expect("restarts go well"));
    });
    let count = |n: &AtomicUsize| n.load(Ordering::Relaxed);
    println!(
        "{} answered, {} crossed an end, {} at killed gateways, {} lost",
        count(&seen.answered),
        count(&seen.crossed),
        count(&seen.killed),
        count(&seen.lost)
    );
    assert!(
        count(&seen.answered) > RESTARTS,
        "clients were served meanwhile"
    );
    assert_eq!(
        count(&seen.lost),
        0,
        "read by a gateway that ended without an answer to it"
    );
}
