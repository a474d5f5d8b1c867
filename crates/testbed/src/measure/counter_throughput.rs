//! Measures the throughput of the counter, in adds per second for each durability promise, next to the stand-in counter and
//! to a plain loop that writes and syncs the same number of bytes. Also measures how long the counter takes to restart.

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
    /// Duration of each single run, in seconds
    #[arg(long, default_value_t = 3.0)]
    pub seconds: f64,
    /// Number of rounds; each round runs all variants in turn
    #[arg(long, default_value_t = 2)]
    pub rounds: u32,
    #[arg(long, default_value_t = 8)]
    pub connections: usize,
    /// Adds outstanding on each connection
    #[arg(long, default_value_t = 512)]
    pub outstanding: usize,
    #[arg(long, default_value_t = 10_000)]
    pub names: u64,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

const CLIENT_THREADS: usize = 2;
const COUNT_LIFETIME_US: u64 = 3_600_000_000;
/// Bound on the size of one response, which acknowledges one add and carries the total of its name.
const MAX_RESPONSE_BYTES: usize = 1_024;

/// The result of a single run.
struct Sample {
    adds: u64,
    latencies_us: Histogram<u64>,
    seconds: f64,
}

impl Sample {
    fn rate(&self) -> f64 {
        self.adds as f64 / self.seconds
    }
}

/// A connection with one stream of adds.
struct Caller {
    conn: ConnId,
    stream: Option<StreamId>,
    deframer: Deframer,
    /// Id that the counter knows it by; in production each gateway is one caller.
    id: u64,
    last_number: u64,
    sent_at: HashMap<u64, u64>,
}

/// Several callers on one event loop.
struct AddClient {
    engine: Engine,
    callers: Vec<Caller>,
    rng: fastrand::Rng,
    args: AddsArgs,
    address: SocketAddr,
    latencies_us: Histogram<u64>,
    adds: u64,
    /// The last name that was used, if each name is used once instead of at random.
    last_unique_name: Option<u64>,
}

impl AddClient {
    fn new(
        address: SocketAddr,
        args: &AddsArgs,
        caller_count: usize,
        seed: u64,
    ) -> anyhow::Result<AddClient> {
        let mut engine = Engine::new()?;
        let first_id = (engine.now() << 12) | (seed << 8);
        let connect = |i: usize| -> anyhow::Result<Caller> {
            let conn = engine.connect(address, Limits::default())?;
            let (deframer, id) = (Deframer::default(), first_id + i as u64);
            Ok(Caller {
                conn,
                stream: None,
                deframer,
                id,
                last_number: 0,
                sent_at: HashMap::new(),
            })
        };
        let callers = (0..caller_count)
            .map(connect)
            .collect::<anyhow::Result<Vec<Caller>>>()?;
        let (args, rng) = (args.clone(), fastrand::Rng::with_seed(seed));
        let latencies_us = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        Ok(AddClient {
            engine,
            callers,
            rng,
            args,
            address,
            latencies_us,
            adds: 0,
            last_unique_name: None,
        })
    }

    /// Keeps the configured number of adds outstanding for this time, or until each name has been used. Returns the seconds
    /// that it took.
    fn run(&mut self, seconds: f64) -> anyhow::Result<f64> {
        let start = Instant::now();
        let end = start + Duration::from_secs_f64(seconds);
        let mut events = Vec::new();
        while Instant::now() < end
            && self
                .last_unique_name
                .is_none_or(|last| last < self.args.names)
        {
            self.engine.turn(1_000, &mut events)?;
            for event in events.drain(..) {
                self.on_event(event)?;
            }
            for i in 0..self.callers.len() {
                self.send_adds(i);
            }
        }
        Ok(start.elapsed().as_secs_f64())
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
                self.callers
                    .iter_mut()
                    .filter(|c| c.conn == conn)
                    .for_each(|c| c.stream = stream);
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
        let Some(caller) = self.callers.iter_mut().find(|c| c.stream == Some(stream)) else {
            return Ok(());
        };
        caller.deframer.push(data);
        while let Some(message) = caller.deframer.next(MAX_RESPONSE_BYTES)? {
            let response = AddResponse::decode(&message[..])?;
            if response.status != 0 {
                bail!("an add was not counted: status {}", response.status);
            }
            if let Some(sent_at) = caller.sent_at.remove(&response.number) {
                self.latencies_us
                    .saturating_record(now.saturating_sub(sent_at));
                self.adds += 1;
            }
        }
        Ok(())
    }

    fn send_adds(&mut self, i: usize) {
        let now = self.engine.now();
        let caller = &mut self.callers[i];
        let Some(stream) = caller.stream else { return };
        let mut bytes = BytesMut::new();
        while caller.sent_at.len() < self.args.outstanding {
            caller.last_number += 1;
            let number = caller.last_number;
            let name = match &mut self.last_unique_name {
                Some(last) => {
                    *last += 1;
                    *last
                }
                None => self.rng.u64(..self.args.names),
            };
            let add = AddRequest {
                name,
                amount: 1.0,
                lifetime_us: COUNT_LIFETIME_US,
                number,
                caller: caller.id,
            };
            grpc::push_frame(&mut bytes, &add);
            caller.sent_at.insert(number, now);
        }
        if !bytes.is_empty() {
            self.engine.send(stream, bytes.freeze());
        }
    }
}

fn measure_adds(address: SocketAddr, args: &AddsArgs) -> anyhow::Result<Sample> {
    let thread_count = CLIENT_THREADS.min(args.connections);
    let new_client = |i: usize| {
        let caller_count =
            args.connections / thread_count + usize::from(i < args.connections % thread_count);
        AddClient::new(address, args, caller_count, i as u64 + 1)
    };
    let clients = (0..thread_count)
        .map(new_client)
        .collect::<anyhow::Result<Vec<AddClient>>>()?;
    let seconds = args.seconds;
    let threads: Vec<_> = clients
        .into_iter()
        .map(|mut c| {
            std::thread::spawn(move || c.run(seconds).map(|s| (c, s)).map_err(|e| e.to_string()))
        })
        .collect();
    let mut sample = Sample {
        adds: 0,
        latencies_us: Histogram::new_with_bounds(1, 60_000_000, 3)?,
        seconds: 0.0,
    };
    for thread in threads {
        let result = thread
            .join()
            .map_err(|_| anyhow::anyhow!("a load thread panicked"))?;
        let (client, seconds) = result.map_err(|e| anyhow::anyhow!(e))?;
        sample.adds += client.adds;
        sample.latencies_us.add(&client.latencies_us)?;
        sample.seconds = sample.seconds.max(seconds);
    }
    Ok(sample)
}

struct Variant {
    name: &'static str,
    process: Process,
}

fn start_counter(program: &Program, dir: &Path, promise: &str) -> anyhow::Result<Process> {
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

/// Repeatedly writes and syncs a block of this size; returns the syncs per second.
fn measure_syncs(path: &Path, bytes: usize, seconds: f64) -> anyhow::Result<f64> {
    let mut file = std::fs::File::create(path)?;
    let (block, start) = (vec![7; bytes], Instant::now());
    let mut sync_count = 0.0;
    while start.elapsed().as_secs_f64() < seconds {
        file.write_all(&block)?;
        file.sync_data()?;
        sync_count += 1.0;
    }
    let rate = sync_count / start.elapsed().as_secs_f64();
    std::fs::remove_file(path)?;
    Ok(rate)
}

/// Runs all variants in turn and prints a table, then measures restarts.
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
    let variants = [
        Variant {
            name: "sync",
            process: start_counter(program, &args.dir, "SYNC")?,
        },
        Variant {
            name: "write",
            process: start_counter(program, &args.dir, "WRITE")?,
        },
        Variant {
            name: "memory",
            process: start_counter(program, &args.dir, "MEMORY")?,
        },
        Variant {
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
        for variant in &variants {
            let cpu = cpu_seconds(variant.process.id())?;
            let sample = measure_adds(variant.process.address("grpc")?, args)?;
            let cpu = cpu_seconds(variant.process.id())? - cpu;
            let quantile_ms = |q| sample.latencies_us.value_at_quantile(q) as f64 / 1e3;
            println!(
                "{round} {:<8} {:>9.0} adds/s {:>9.0} a core  p50 {:>7.2} ms  p99 {:>7.2} ms",
                variant.name,
                sample.rate(),
                sample.adds as f64 / cpu.max(1e-9),
                quantile_ms(0.5),
                quantile_ms(0.99)
            );
            let rate = best.entry(variant.name).or_default();
            *rate = rate.max(sample.rate());
        }
    }
    let admin = variants[0].process.address("admin")?;
    let (adds, batches) = (
        read_metric(admin, "chalkdeck_counter_batch_adds_sum")?,
        read_metric(admin, "chalkdeck_counter_batch_adds_count")?,
    );
    let batch_size = adds / batches;
    let syncs = measure_syncs(
        &args.dir.join("bare"),
        (batch_size * 40.0) as usize,
        args.seconds,
    )?;
    println!(
        "bare loop of write and sync: {syncs:.0} a second; of batches of {batch_size:.0} adds: {:.0} adds/s",
        syncs * batch_size
    );
    let ratio_to = |variant: &str| best["sync"] / best[variant];
    println!(
        "sync is {:.2} of memory, {:.2} of the stand-in, {:.2} of the bare loop",
        ratio_to("memory"),
        ratio_to("stand-in"),
        best["sync"] / (syncs * batch_size)
    );
    drop(variants);
    measure_restarts(program, args)
}

/// Measures the restart of a counter that was killed with a log to replay, and of one that was killed with many names.
fn measure_restarts(program: &Program, args: &AddsArgs) -> anyhow::Result<()> {
    let start = Instant::now();
    let process = start_counter(program, &args.dir, "SYNC")?;
    let restart_s = start.elapsed().as_secs_f64();
    let log = std::fs::read_to_string(args.dir.join("counter.log"))?;
    let recovery_line = log
        .lines()
        .rev()
        .find(|l| l.contains("recovered"))
        .context("expected a line of the recovery")?;
    println!("start after a kill: {restart_s:.2} s to the first answer; it said: {recovery_line}");
    let mut client = AddClient::new(process.address("grpc")?, args, 4, 99)?;
    client.last_unique_name = Some(0);
    client.args.names = 1_000_000;
    client.run(60.0)?;
    let names = read_metric(process.address("admin")?, "chalkdeck_counter_names")?;
    drop(process);
    let start = Instant::now();
    let process = start_counter(program, &args.dir, "SYNC")?;
    let restart_s = start.elapsed().as_secs_f64();
    println!("start with {names:.0} names after a kill: {restart_s:.2} s to the first answer");
    drop(process);
    Ok(())
}
