//! A seeded soak of gateways of the platform, as processes. From a seed come the granted resources, deadlines, slow backends, a crowd and a
//! series of signals that ends with SIGTERM, and SIGKILL at the earliest time that the platform names. Clients use their open connections until
//! then, and judge what they get.
//!
//! `CHALKDECK_SOAK_SEEDS=1..51 cargo test -p chalkdeck-cli --test platform_soak -- --nocapture` plays other seeds.

mod platform;

use fastrand::Rng;
use platform::clients::{next_id, read_command_within, start_recording_backend, Arrivals};
use platform::crowd::{run_crowd, CrowdBehavior};
use platform::{start_counter, start_discovery, Gateway, GatewayOptions};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The seeds that are played without another choice.
const DEFAULT_SEEDS: Range<u64> = 1..13;
const CLIENTS: usize = 8;
const BACKENDS: usize = 6;
const BYTES_PER_MB: usize = 1_000_000;
/// The time after SIGTERM and the longest deadline at which the platform kills a gateway.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// How much later than its deadline an answer still counts as given.
const LATE_REPLY_TIME: Duration = Duration::from_millis(550);
/// Requests that are sent so shortly before the kill are not judged.
const KILL_SLACK: Duration = Duration::from_millis(100);

/// What a seed draws.
#[derive(Debug)]
struct Plan {
    options: GatewayOptions,
    backend_delays: Vec<Duration>,
    crowd: Option<CrowdBehavior>,
    /// When signals are sent, from the start of the clients. The first SIGTERM begins the shutdown.
    signals: Vec<(Duration, Signal)>,
}

impl Plan {
    fn draw(seed: u64) -> Plan {
        let mut rng = Rng::with_seed(seed);
        let deadlines = [400, 1_000, 3_000];
        let options = GatewayOptions {
            memory_mb: [32, 192][rng.usize(..2)],
            descriptors: [256, 1_024][rng.usize(..2)],
            deadline_ms: deadlines[rng.usize(..deadlines.len())],
        };
        let backend_delays = (0..BACKENDS).map(|_| draw_delay(&mut rng)).collect();
        let crowd = rng.bool().then(|| draw_crowd(&mut rng));
        let mut signals = draw_signals(&mut rng);
        signals.sort_by_key(|(at, _)| *at);
        Plan {
            options,
            backend_delays,
            crowd,
            signals,
        }
    }

    /// When the gateway is killed, from the first SIGTERM.
    fn kill_after(&self) -> Duration {
        Duration::from_millis(self.options.deadline_ms) + KILL_DELAY
    }
}

/// Most backends answer soon; some hang for longer than any deadline.
fn draw_delay(rng: &mut Rng) -> Duration {
    match rng.u64(..8) {
        0 => Duration::from_secs(4),
        1 => Duration::from_millis(rng.u64(50..300)),
        _ => Duration::from_millis(rng.u64(..15)),
    }
}

fn draw_crowd(rng: &mut Rng) -> CrowdBehavior {
    CrowdBehavior {
        clients: rng.usize(100..900),
        commands_at_once: rng.u64(1..64),
        writes_per_connection: [Some(1), Some(20), None][rng.usize(..3)],
        connection_time: rng
            .bool()
            .then(|| Duration::from_millis(rng.u64(100..1_000))),
        reads_replies: rng.bool(),
        has_new_customers: rng.bool(),
    }
}

/// Up to three reloads before the shutdown, then SIGTERM, sometimes twice, and sometimes a reload within the shutdown.
fn draw_signals(rng: &mut Rng) -> Vec<(Duration, Signal)> {
    let mut signals = Vec::new();
    for _ in 0..rng.usize(..4) {
        let at = Duration::from_millis(rng.u64(1_000..1_500));
        signals.push((at, Signal::HUP));
    }
    let stopped_at = Duration::from_millis(rng.u64(1_500..2_500));
    signals.push((stopped_at, Signal::TERM));
    if rng.bool() {
        signals.push((stopped_at + Duration::from_millis(200), Signal::TERM));
    }
    if rng.bool() {
        signals.push((stopped_at + Duration::from_millis(100), Signal::HUP));
    }
    signals
}

/// What the clients of a play got.
#[derive(Debug, Default)]
struct Verdict {
    answered: usize,
    /// Requests that the gateway did not read, so that their clients send them again.
    unread: usize,
    /// What was seen of each request that was lost.
    lost: Vec<String>,
}

impl Verdict {
    fn add(&mut self, other: Verdict) {
        self.answered += other.answered;
        self.unread += other.unread;
        self.lost.extend(other.lost);
    }
}

/// One play: the gateway's address, and when it was killed and the play is over.
struct Play {
    address: SocketAddr,
    deadline: Duration,
    killed_at: OnceLock<Instant>,
    is_over: AtomicBool,
}

impl Play {
    /// Sends one request after another until the play is over, on each connection as long as it stays open.
    fn run_client(&self, mut rng: Rng) -> Verdict {
        let mut verdict = Verdict::default();
        while !self.is_over.load(Ordering::Relaxed) {
            let Ok(mut stream) = TcpStream::connect(self.address) else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            let timeout = Some(self.deadline + LATE_REPLY_TIME);
            let _ = (stream.set_nodelay(true), stream.set_read_timeout(timeout));
            while !self.is_over.load(Ordering::Relaxed)
                && self.request(&mut rng, &mut stream, &mut verdict)
            {
                std::thread::sleep(Duration::from_millis(rng.u64(..30)));
            }
        }
        verdict
    }

    /// Sends a request and judges its answer. Returns whether the connection stays open.
    fn request(&self, rng: &mut Rng, stream: &mut TcpStream, verdict: &mut Verdict) -> bool {
        let command = read_command_within(self.deadline, rng.u64(1..50), next_id(), "team");
        let sent_at = Instant::now();
        let mut reply = [0; 256];
        let result = stream
            .write_all(command.as_bytes())
            .and_then(|()| stream.read(&mut reply));
        let ended_at = Instant::now();
        let is_answered = matches!(result, Ok(1..));
        let is_served_in_vain = reply.starts_with(b"-ERR Protocol");
        verdict.answered += usize::from(is_answered);
        if is_answered && !is_served_in_vain {
            return true;
        }
        if self.is_killed_before(sent_at + KILL_SLACK) {
            return false;
        }
        if !self.is_killed_before(ended_at) && is_reset(stream, &result) {
            verdict.unread += 1;
        } else {
            verdict.lost.push(format!(
                "sent {:?} before the end: {result:?}, {:?} after the kill",
                ended_at - sent_at,
                self.killed_at.get().map(|at| ended_at.duration_since(*at))
            ));
        }
        false
    }

    fn is_killed_before(&self, at: Instant) -> bool {
        self.killed_at.get().is_some_and(|killed| *killed <= at)
    }
}

/// Whether a connection was reset: the system does so if bytes that the gateway did not read reached its closed socket.
fn is_reset(stream: &TcpStream, end: &std::io::Result<usize>) -> bool {
    match end {
        Err(error) => error.kind() != ErrorKind::WouldBlock,
        Ok(_) => {
            std::thread::sleep(Duration::from_millis(50));
            !matches!(stream.take_error(), Ok(None))
        }
    }
}

/// Sends the signals of a plan and watches the gateway's memory until it exits, or is killed. Returns the most memory that was seen.
fn run_signals(plan: &Plan, gateway: &mut Gateway, play: &Play) -> usize {
    let begun = Instant::now();
    let mut signals = plan.signals.iter().peekable();
    let mut stopped_at = None;
    let mut most_memory = 0;
    loop {
        if let Some(status) = gateway.child.try_wait().expect("a status") {
            assert!(stopped_at.is_some(), "it ended by itself with {status}");
            assert!(status.success(), "it ended with {status}");
            break;
        }
        most_memory = most_memory.max(gateway.resident_bytes().unwrap_or(0));
        if let Some((_, signal)) = signals.next_if(|(at, _)| begun.elapsed() >= *at) {
            let _ = kill_process(Pid::from_child(&gateway.child), *signal);
            if *signal == Signal::TERM {
                stopped_at.get_or_insert_with(Instant::now);
            }
        }
        if stopped_at.is_some_and(|at| at.elapsed() >= plan.kill_after()) {
            play.killed_at.get_or_init(Instant::now);
            let _ = gateway.child.kill();
            let _ = gateway.child.wait();
            break;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    most_memory
}

/// Plays a seed; returns what was broken.
fn play(seed: u64) -> Vec<String> {
    let plan = Plan::draw(seed);
    let arrivals = Arrivals::default();
    let start = |delay: &Duration| start_recording_backend(&arrivals, *delay);
    let backends: Vec<SocketAddr> = plan.backend_delays.iter().map(start).collect();
    let discovery = start_discovery(&backends);
    let mut gateway = Gateway::start_with(1, discovery, start_counter(), plan.options);
    let play = Play {
        address: gateway.listen,
        deadline: Duration::from_millis(plan.options.deadline_ms),
        killed_at: OnceLock::new(),
        is_over: AtomicBool::new(false),
    };
    let mut verdict = Verdict::default();
    let most_memory = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS as u64)
            .map(|number| Rng::with_seed(seed << 8 | number))
            .map(|rng| scope.spawn(|| play.run_client(rng)))
            .collect();
        let crowd = plan.crowd;
        let run = |crowd| run_crowd(play.address, &crowd, &play.is_over);
        scope.spawn(move || crowd.map(run));
        let end = platform::clients::EndClients(&play.is_over);
        let most_memory = run_signals(&plan, &mut gateway, &play);
        drop(end);
        for client in clients {
            verdict.add(client.join().expect("it ends"));
        }
        most_memory
    });
    println!(
        "seed {seed}: {} MB, {} descriptors, deadline {} ms, crowd {}: {most_memory} bytes, {} answered, {} unread, {} lost",
        plan.options.memory_mb,
        plan.options.descriptors,
        plan.options.deadline_ms,
        plan.crowd.map_or(0, |crowd| crowd.clients),
        verdict.answered,
        verdict.unread,
        verdict.lost.len()
    );
    let mut broken = verdict.lost;
    if most_memory > plan.options.memory_mb * BYTES_PER_MB {
        broken.push(format!("{most_memory} bytes of memory"));
    }
    if verdict.answered == 0 {
        broken.push("nothing was answered".to_string());
    }
    broken
        .into_iter()
        .map(|what| format!("seed {seed}: {what} ({plan:?})"))
        .collect()
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("CHALKDECK_SOAK_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (first, end) = text.split_once("..").expect("seeds as FIRST..END");
    first.parse().expect("the first seed")..end.parse().expect("the end of the seeds")
}

/// Guards against requests that are lost by a gateway that is told to end, beside slow backends, crowds and signals in series.
#[test]
fn gateways_are_ended_beside_crowds_then_no_request_is_lost_and_memory_is_within_the_grant() {
    let broken: Vec<String> = seeds().flat_map(play).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}
