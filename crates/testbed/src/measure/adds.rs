//! What the counter costs: adds a second for each promise, beside the stand-in and beside a bare loop of write and sync of the
//! same bytes, in turns; and how long a start takes.

use crate::common::control::read_metric;
use crate::common::process::{cpu_seconds, Process, Program};
use anyhow::{bail, Context};
use bytes::BytesMut;
use chalkdeck_net::grpc::{self, Deframer};
use chalkdeck_net::{ConnId, Engine, Event, Limits, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::{AddRequest, AddResponse};
use clap::Args;
use hdrhistogram::Histogram;
use prost::Message;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

#[derive(Args, Clone)]
pub struct AddsArgs {
    /// Seconds of each single run
    #[arg(long, default_value_t = 3.0)]
    pub seconds: f64,
    /// How often the ways take turns
    #[arg(long, default_value_t = 2)]
    pub rounds: u32,
    #[arg(long, default_value_t = 8)]
    pub connections: usize,
    /// Adds out at once on each connection
    #[arg(long, default_value_t = 512)]
    pub outstanding: usize,
    #[arg(long, default_value_t = 10_000)]
    pub names: u64,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

const THREADS: usize = 2;
const LIFETIME: u64 = 3_600_000_000;
/// A name's total is read back with the answer, so each add is one message each way.
const ANSWER: usize = 1_024;

/// One run of a load.
struct Sample {
    adds: u64,
    took: Histogram<u64>,
    seconds: f64,
}

impl Sample {
    fn rate(&self) -> f64 {
        self.adds as f64 / self.seconds
    }
}

struct Lane {
    conn: ConnId,
    stream: Option<StreamId>,
    deframer: Deframer,
    /// Each lane is a gateway.
    caller: u64,
    next: u64,
    out: HashMap<u64, u64>,
}

struct Crowd {
    engine: Engine,
    lanes: Vec<Lane>,
    rng: fastrand::Rng,
    args: AddsArgs,
    address: SocketAddr,
    took: Histogram<u64>,
    adds: u64,
    /// The next name where each is to be touched once.
    each: Option<u64>,
}

impl Crowd {
    fn new(address: SocketAddr, args: &AddsArgs, lanes: usize, seed: u64) -> anyhow::Result<Crowd> {
        let mut engine = Engine::new()?;
        let first = (engine.now() << 12) | (seed << 8);
        let lane = |i: usize| -> anyhow::Result<Lane> {
            let conn = engine.connect(address, Limits::default())?;
            let (deframer, caller) = (Deframer::default(), first + i as u64);
            Ok(Lane {
                conn,
                stream: None,
                deframer,
                caller,
                next: 0,
                out: HashMap::new(),
            })
        };
        let lanes = (0..lanes)
            .map(lane)
            .collect::<anyhow::Result<Vec<Lane>>>()?;
        let (args, rng) = (args.clone(), fastrand::Rng::with_seed(seed));
        let took = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        Ok(Crowd {
            engine,
            lanes,
            rng,
            args,
            address,
            took,
            adds: 0,
            each: None,
        })
    }

    /// Keeps the adds out that are wanted, for so long or until each name was touched.
    fn run(&mut self, seconds: f64) -> anyhow::Result<f64> {
        let begun = Instant::now();
        let end = begun + Duration::from_secs_f64(seconds);
        let mut events = Vec::new();
        while Instant::now() < end && self.each.is_none_or(|e| e < self.args.names) {
            self.engine.turn(1_000, &mut events)?;
            for event in events.drain(..) {
                self.on_event(event)?;
            }
            for i in 0..self.lanes.len() {
                self.fill(i);
            }
        }
        Ok(begun.elapsed().as_secs_f64())
    }

    fn on_event(&mut self, event: Event) -> anyhow::Result<()> {
        match event {
            Event::Connected { conn } => {
                let head = grpc::request_head(
                    &self.address.to_string(),
                    "/chalkdeck.counter.v1.Counter/Adds",
                );
                let stream = self
                    .engine
                    .open_stream(conn, head.context("a head")?, false);
                self.lanes
                    .iter_mut()
                    .filter(|l| l.conn == conn)
                    .for_each(|l| l.stream = stream);
            }
            Event::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                self.on_data(stream, &data)?;
            }
            Event::Closed { reason, .. } => bail!("the counter closed a connection: {reason}"),
            _ => {}
        }
        Ok(())
    }

    fn on_data(&mut self, stream: StreamId, data: &[u8]) -> anyhow::Result<()> {
        let now = self.engine.now();
        let Some(lane) = self.lanes.iter_mut().find(|l| l.stream == Some(stream)) else {
            return Ok(());
        };
        lane.deframer.push(data);
        while let Some(message) = lane.deframer.next(ANSWER)? {
            let answer = AddResponse::decode(&message[..])?;
            if answer.status != 0 {
                bail!("an add was not counted: status {}", answer.status);
            }
            if let Some(sent) = lane.out.remove(&answer.number) {
                self.took.saturating_record(now.saturating_sub(sent));
                self.adds += 1;
            }
        }
        Ok(())
    }

    fn fill(&mut self, i: usize) {
        let now = self.engine.now();
        let lane = &mut self.lanes[i];
        let Some(stream) = lane.stream else { return };
        let mut bytes = BytesMut::new();
        while lane.out.len() < self.args.outstanding {
            lane.next += 1;
            let number = lane.next;
            let name = match &mut self.each {
                Some(next) => {
                    *next += 1;
                    *next
                }
                None => self.rng.u64(..self.args.names),
            };
            let add = AddRequest {
                name,
                amount: 1.0,
                lifetime_us: LIFETIME,
                number,
                caller: lane.caller,
            };
            grpc::push_frame(&mut bytes, &add);
            lane.out.insert(number, now);
        }
        if !bytes.is_empty() {
            self.engine.send(stream, bytes.freeze());
        }
    }
}

fn load(address: SocketAddr, args: &AddsArgs) -> anyhow::Result<Sample> {
    let threads = THREADS.min(args.connections);
    let crowd = |i: usize| {
        let lanes = args.connections / threads + usize::from(i < args.connections % threads);
        Crowd::new(address, args, lanes, i as u64 + 1)
    };
    let crowds = (0..threads)
        .map(crowd)
        .collect::<anyhow::Result<Vec<Crowd>>>()?;
    let seconds = args.seconds;
    let work: Vec<_> = crowds
        .into_iter()
        .map(|mut c| {
            std::thread::spawn(move || c.run(seconds).map(|s| (c, s)).map_err(|e| e.to_string()))
        })
        .collect();
    let mut sample = Sample {
        adds: 0,
        took: Histogram::new_with_bounds(1, 60_000_000, 3)?,
        seconds: 0.0,
    };
    for thread in work {
        let ended = thread
            .join()
            .map_err(|_| anyhow::anyhow!("a load thread panicked"))?;
        let (crowd, seconds) = ended.map_err(|e| anyhow::anyhow!(e))?;
        sample.adds += crowd.adds;
        sample.took.add(&crowd.took)?;
        sample.seconds = sample.seconds.max(seconds);
    }
    Ok(sample)
}

struct Way {
    name: &'static str,
    process: Process,
}

fn own(program: &Program, dir: &Path, promise: &str) -> anyhow::Result<Process> {
    let config = dir.join(format!("{promise}.txtpb"));
    let folder = if promise == "MEMORY" { "" } else { promise };
    let any = "127.0.0.1:0";
    let text = format!(
        "listen: \"{any}\" admin: \"{any}\" promise: {promise} folder: \"{folder}\" waiting: 1000000"
    );
    std::fs::write(&config, text)?;
    let args = ["own-counter".to_string(), config.display().to_string()];
    Process::start(program, &args, &dir.join("counter.log"))
}

/// Writes and syncs so many bytes again and again; syncs a second.
fn bare(path: &Path, bytes: usize, seconds: f64) -> anyhow::Result<f64> {
    let mut file = std::fs::File::create(path)?;
    let (block, begun) = (vec![7; bytes], Instant::now());
    let mut syncs = 0.0;
    while begun.elapsed().as_secs_f64() < seconds {
        file.write_all(&block)?;
        file.sync_data()?;
        syncs += 1.0;
    }
    let rate = syncs / begun.elapsed().as_secs_f64();
    std::fs::remove_file(path)?;
    Ok(rate)
}

/// Runs all ways in turns and prints a table, then the starts.
pub fn run(program: &Program, args: &AddsArgs) -> anyhow::Result<()> {
    std::fs::create_dir_all(&args.dir)?;
    let stand_in = [
        "counter",
        "--listen",
        "127.0.0.1:0",
        "--control",
        "127.0.0.1:0",
    ]
    .map(String::from);
    let ways = [
        Way {
            name: "sync",
            process: own(program, &args.dir, "SYNC")?,
        },
        Way {
            name: "write",
            process: own(program, &args.dir, "WRITE")?,
        },
        Way {
            name: "memory",
            process: own(program, &args.dir, "MEMORY")?,
        },
        Way {
            name: "stand-in",
            process: Process::start(program, &stand_in, &args.dir.join("stand-in.log"))?,
        },
    ];
    println!(
        "{} connections, {} adds out on each, {} names, {} s a run, the best of {}",
        args.connections, args.outstanding, args.names, args.seconds, args.rounds
    );
    let mut best: HashMap<&str, f64> = HashMap::new();
    for round in 0..args.rounds {
        for way in &ways {
            let cpu = cpu_seconds(way.process.id())?;
            let sample = load(way.process.address("grpc")?, args)?;
            let cpu = cpu_seconds(way.process.id())? - cpu;
            let at = |q| sample.took.value_at_quantile(q) as f64 / 1e3;
            println!(
                "{round} {:<8} {:>9.0} adds/s {:>9.0} a core  p50 {:>7.2} ms  p99 {:>7.2} ms",
                way.name,
                sample.rate(),
                sample.adds as f64 / cpu.max(1e-9),
                at(0.5),
                at(0.99)
            );
            let rate = best.entry(way.name).or_default();
            *rate = rate.max(sample.rate());
        }
    }
    let admin = ways[0].process.address("admin")?;
    let (adds, batches) = (
        read_metric(admin, "chalkdeck_counter_batch_adds_sum")?,
        read_metric(admin, "chalkdeck_counter_batch_adds_count")?,
    );
    let batch = adds / batches;
    let syncs = bare(
        &args.dir.join("bare"),
        (batch * 40.0) as usize,
        args.seconds,
    )?;
    println!(
        "bare loop of write and sync: {syncs:.0} a second; of batches of {batch:.0} adds: {:.0} adds/s",
        syncs * batch
    );
    let part = |of: &str| best["sync"] / best[of];
    println!(
        "sync is {:.2} of memory, {:.2} of the stand-in, {:.2} of the bare loop",
        part("memory"),
        part("stand-in"),
        best["sync"] / (syncs * batch)
    );
    drop(ways);
    starts(program, args)
}

/// Kills a counter that has a log to replay, and one that has a snapshot of many names, and starts them again.
fn starts(program: &Program, args: &AddsArgs) -> anyhow::Result<()> {
    let begun = Instant::now();
    let process = own(program, &args.dir, "SYNC")?;
    let took = begun.elapsed().as_secs_f64();
    let log = std::fs::read_to_string(args.dir.join("counter.log"))?;
    let said = log
        .lines()
        .rev()
        .find(|l| l.contains("recovered"))
        .context("expected a line of the recovery")?;
    println!("start after a kill: {took:.2} s to the first answer; it said: {said}");
    let mut crowd = Crowd::new(process.address("grpc")?, args, 4, 99)?;
    crowd.each = Some(0);
    crowd.args.names = 1_000_000;
    crowd.run(60.0)?;
    let names = read_metric(process.address("admin")?, "chalkdeck_counter_names")?;
    drop(process);
    let begun = Instant::now();
    let process = own(program, &args.dir, "SYNC")?;
    let took = begun.elapsed().as_secs_f64();
    println!("start with {names:.0} names after a kill: {took:.2} s to the first answer");
    drop(process);
    Ok(())
}
