//! What the RESP front costs: pipelines of asks with the decisions on, beside ECHO on the same loop, in turns.

use crate::common::process::{cpu_seconds, Program};
use crate::measure::gateway;
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
    /// Seconds of each single run
    #[arg(long, default_value_t = 2.0)]
    pub seconds: f64,
    /// How often the ways take turns
    #[arg(long, default_value_t = 3)]
    pub rounds: u32,
    #[arg(long, default_value_t = 4)]
    pub connections: usize,
    /// Commands in one pipeline
    #[arg(long, default_value_t = 100)]
    pub pipeline: usize,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

/// Customers that ask; each is far below its quota.
const CUSTOMERS: usize = 1_000;

/// A pipeline, and how many lines its answers have.
struct Pipeline {
    name: &'static str,
    bytes: Vec<u8>,
    lines: usize,
}

fn pipeline(
    name: &'static str,
    depth: usize,
    lines: usize,
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
        lines: lines * depth,
    }
}

/// Sends the pipeline again and again; returns how often it was answered.
fn work(address: SocketAddr, pipeline: &Pipeline, seconds: f64) -> anyhow::Result<u64> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    let (mut rounds, mut chunk) = (0, vec![0; 64 << 10]);
    while Instant::now() < end {
        stream.write_all(&pipeline.bytes)?;
        let mut left = pipeline.lines;
        while left > 0 {
            let n = stream.read(&mut chunk)?;
            let lines = chunk[..n].iter().filter(|b| **b == b'\n').count();
            if n == 0 || lines > left || chunk[0] == b'-' {
                bail!("unexpected answer: {}", chunk[..n.min(80)].escape_ascii());
            }
            left -= lines;
        }
        rounds += 1;
    }
    Ok(rounds)
}

/// Runs both ways in turns and prints a table.
pub fn run(program: Program, args: &AsksArgs) -> anyhow::Result<()> {
    let mut day = gateway::fleet()?;
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
    let ways = [
        pipeline("echo", args.pipeline, 2, |_| {
            words(&["ECHO", "customer-0000"])
        }),
        pipeline("peek", args.pipeline, 4, |i| {
            words(&["CHALK.PEEK", &format!("customer-{}", i % CUSTOMERS)])
        }),
        pipeline("throttle", args.pipeline, 6, |i| {
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
        let mut echo = 0.0;
        for way in &ways {
            let (cpu, begun) = (cpu_seconds(id)?, Instant::now());
            let answered = std::thread::scope(|scope| {
                let one = || scope.spawn(|| work(address, way, args.seconds));
                let threads: Vec<_> = (0..args.connections).map(|_| one()).collect();
                let ended = threads
                    .into_iter()
                    .map(|t| t.join().unwrap_or_else(|_| bail!("a thread panicked")));
                ended.sum::<anyhow::Result<u64>>()
            })?;
            let commands = answered as f64 * args.pipeline as f64;
            let (rate, cpu) = (
                commands / begun.elapsed().as_secs_f64(),
                cpu_seconds(id)? - cpu,
            );
            if way.name == "echo" {
                echo = rate;
            }
            println!(
                "{round} {:<9} {rate:>9.0} commands/s {:>9.0} a core, {:.2} of echo",
                way.name,
                commands / cpu.max(1e-9),
                rate / echo
            );
        }
    }
    Ok(())
}
