//! Measures the throughput of the RESP front: pipelines of commands that a decision is made for, next to ECHO on the same
//! event loop, in turns.

use crate::common::process::{cpu_seconds, Program};
use crate::measure::gateway_overhead;
use crate::rig::fleet::{any_port, Fleet};
use anyhow::{bail, Context};
use chalkdeck_proto::chalkdeck::config::v1::Resp;
use clap::Args;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct AsksArgs {
    /// Duration of each single run, in seconds
    #[arg(long, default_value_t = 2.0)]
    pub seconds: f64,
    /// Number of rounds; each round runs all pipelines in turn
    #[arg(long, default_value_t = 3)]
    pub rounds: u32,
    #[arg(long, default_value_t = 4)]
    pub connections: usize,
    /// Commands in each pipeline
    #[arg(long, default_value_t = 100)]
    pub pipeline: usize,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

/// Customers that the commands are for; so many that each stays far below its quota.
const CUSTOMERS: usize = 1_000;

/// An encoded pipeline of commands, and the number of lines in its replies.
struct Pipeline {
    name: &'static str,
    bytes: Vec<u8>,
    reply_lines: usize,
}

fn new_pipeline(
    name: &'static str,
    depth: usize,
    reply_lines: usize,
    command: impl Fn(usize) -> Vec<String>,
) -> Pipeline {
    let mut bytes = Vec::new();
    for i in 0..depth {
        let words = command(i);
        bytes.extend(format!("*{}\r\n", words.len()).into_bytes());
        words
            .iter()
            .for_each(|w| bytes.extend(format!("${}\r\n{w}\r\n", w.len()).into_bytes()));
    }
    Pipeline {
        name,
        bytes,
        reply_lines: reply_lines * depth,
    }
}

/// Sends the pipeline repeatedly on one connection; returns how often its replies were complete.
fn send_repeatedly(address: SocketAddr, pipeline: &Pipeline, seconds: f64) -> anyhow::Result<u64> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    let (mut completed, mut chunk) = (0, vec![0; 64 << 10]);
    while Instant::now() < end {
        stream.write_all(&pipeline.bytes)?;
        let mut remaining = pipeline.reply_lines;
        while remaining > 0 {
            let n = stream.read(&mut chunk)?;
            let lines = chunk[..n].iter().filter(|b| **b == b'\n').count();
            if n == 0 || lines > remaining || chunk[0] == b'-' {
                bail!("unexpected answer: {}", chunk[..n.min(80)].escape_ascii());
            }
            remaining -= lines;
        }
        completed += 1;
    }
    Ok(completed)
}

/// Runs all pipelines in turn and prints a table.
pub fn run(program: Program, args: &AsksArgs) -> anyhow::Result<()> {
    let mut day = gateway_overhead::measurement_day()?;
    day.own_counter = true;
    let gateway = day.gateway.as_mut().context("expected a gateway")?;
    let class = gateway
        .classes
        .first()
        .map(|c| c.name.clone())
        .unwrap_or_default();
    gateway.resp = Some(Resp {
        listen: "127.0.0.1:0".into(),
        class,
        ..Resp::default()
    });
    let fleet = Fleet::start(program, day, &args.dir, any_port(), None)?;
    let process = fleet.gateway_process(0).context("expected a gateway")?;
    let (address, id) = (process.address("resp")?, process.id());
    let words = |w: &[&str]| w.iter().map(|w| w.to_string()).collect::<Vec<String>>();
    let pipelines = [
        new_pipeline("echo", args.pipeline, 2, |_| {
            words(&["ECHO", "customer-0000"])
        }),
        new_pipeline("peek", args.pipeline, 4, |i| {
            words(&["CHALK.PEEK", &format!("customer-{}", i % CUSTOMERS)])
        }),
        new_pipeline("throttle", args.pipeline, 6, |i| {
            words(&[
                "CL.THROTTLE",
                &format!("customer-{}", i % CUSTOMERS),
                "15",
                "30",
                "60",
            ])
        }),
    ];
    println!(
        "{} connections, pipelines of {}, {} s a run",
        args.connections, args.pipeline, args.seconds
    );
    for round in 0..args.rounds {
        let mut echo_rate = 0.0;
        for pipeline in &pipelines {
            let (cpu, start) = (cpu_seconds(id)?, Instant::now());
            let completed = std::thread::scope(|scope| {
                let spawn = || scope.spawn(|| send_repeatedly(address, pipeline, args.seconds));
                let threads: Vec<_> = (0..args.connections).map(|_| spawn()).collect();
                let results = threads
                    .into_iter()
                    .map(|t| t.join().unwrap_or_else(|_| bail!("a thread panicked")));
                results.sum::<anyhow::Result<u64>>()
            })?;
            let commands = completed as f64 * args.pipeline as f64;
            let (rate, cpu) = (
                commands / start.elapsed().as_secs_f64(),
                cpu_seconds(id)? - cpu,
            );
            if pipeline.name == "echo" {
                echo_rate = rate;
            }
            println!(
                "{round} {:<9} {rate:>9.0} commands/s {:>9.0} a core, {:.2} of echo",
                pipeline.name,
                commands / cpu.max(1e-9),
                rate / echo_rate
            );
        }
    }
    Ok(())
}
