//! What the gateway costs, side by side in one run: calls straight to the servers, through a bare relay on the same
//! sockets, and through a gateway that asks the counter for each call.

use crate::common::control;
use crate::common::load_stats::LoadSummary;
use crate::common::process::{cpu_seconds, memory_kib, Process, Program};
use crate::common::script::DAY_MESSAGE;
use crate::rig::fleet::{any_port, Fleet};
use anyhow::{bail, Context};
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use chalkdeck_proto::text;
use clap::Args;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

#[derive(Args)]
pub struct MeasureArgs {
    /// Seconds of each single run
    #[arg(long, default_value_t = 5.0)]
    pub seconds: f64,
    /// How often the ways take turns
    #[arg(long, default_value_t = 3)]
    pub rounds: u32,
    /// Idle connections and open calls for the memory figures; 0: none
    #[arg(long, default_value_t = 10_000)]
    pub held: usize,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

/// Calls out at once where the most is looked for.
const OUTSTANDING: &str = "64";

/// How long memory may take to settle.
const SETTLE: Duration = Duration::from_secs(6);

struct Way {
    name: &'static str,
    targets: Vec<SocketAddr>,
    /// The process between client and servers.
    process: Option<u32>,
}

struct Sample {
    summary: LoadSummary,
    cpu: f64,
}

impl Sample {
    fn rate(&self) -> f64 {
        self.summary.served as f64 / self.summary.seconds
    }
    fn per_core(&self) -> f64 {
        self.summary.served as f64 / self.cpu.max(1e-9)
    }
}

struct Lab<'a> {
    program: &'a Program,
    dir: &'a Path,
    seconds: f64,
}

/// A fleet whose servers answer at once, and customers within their quotas.
pub fn fleet() -> anyhow::Result<Day> {
    let source = include_str!("../../days/measure.txtpb");
    text::parse(DAY_MESSAGE, source).map_err(|e| anyhow::anyhow!("measure day: {e}"))
}

/// Runs all of it and prints tables.
pub fn run(program: Program, args: &MeasureArgs) -> anyhow::Result<()> {
    let day = fleet()?;
    let fleet = Fleet::start(program.clone(), day.clone(), &args.dir, any_port(), None)?;
    let servers = fleet.server_addresses();
    let list: Vec<String> = servers.iter().map(ToString::to_string).collect();
    let relay_args = ["relay".to_string(), "--servers".to_string(), list.join(",")];
    let relay = Process::start(&program, &relay_args, &args.dir.join("relay.log"))?;
    let gateway = fleet.gateway_process(0).context("expected a gateway")?.id();
    let ways = [
        Way {
            name: "straight",
            targets: servers,
            process: None,
        },
        Way {
            name: "relay",
            targets: vec![relay.address("grpc")?],
            process: Some(relay.id()),
        },
        Way {
            name: "gateway",
            targets: fleet.gateway_addresses(),
            process: Some(gateway),
        },
    ];
    let lab = Lab {
        program: &program,
        dir: &args.dir,
        seconds: args.seconds,
    };
    // The gateway learns its bounds, and the other ways have the same time before.
    for way in &ways {
        lab.load(way, &["--outstanding", OUTSTANDING])?;
    }
    let most = lab.most(&ways, args.rounds)?;
    lab.clients(&ways[0], args.rounds)?;
    lab.latencies(&ways, most, args.rounds)?;
    if args.held > 0 {
        lab.idle(&ways[2], args.held)?;
        drop(fleet);
        open_calls(&program, day, &args.dir.join("open"), args.held)?;
    }
    Ok(())
}

/// Memory of a gateway that holds many calls: servers work for long, the others wait at the gateway for their turn.
fn open_calls(program: &Program, mut day: Day, dir: &Path, held: usize) -> anyhow::Result<()> {
    day.work
        .iter_mut()
        .for_each(|w| (w.min_ms, w.max_ms) = (60_000.0, 60_000.0));
    day.load
        .iter_mut()
        .flat_map(|l| &mut l.mix)
        .for_each(|m| m.timeout_ms = 90_000);
    let classes = day.gateway.iter_mut().flat_map(|g| &mut g.classes);
    classes.for_each(|c| (c.aim_ms, c.deadline_ms) = (60_000, 90_000));
    let fleet = Fleet::start(program.clone(), day, dir, any_port(), None)?;
    let id = fleet.gateway_process(0).context("expected a gateway")?.id();
    let before = memory_kib(id)?;
    let held_text = held.to_string();
    let _load = fleet.start_load(30.0, &["--outstanding", &held_text, "--connections", "16"])?;
    std::thread::sleep(SETTLE);
    let open = control::get(fleet.admin_address(0), "/metrics")?;
    let open = open
        .lines()
        .find_map(|l| l.strip_prefix("chalkdeck_calls_open "))
        .unwrap_or("?")
        .to_string();
    let each = memory_kib(id)?.saturating_sub(before) as f64 / held as f64;
    println!("memory: {open} open calls, {each:.1} KiB each");
    Ok(())
}

impl Lab<'_> {
    fn load(&self, way: &Way, more: &[&str]) -> anyhow::Result<Sample> {
        let out = self.dir.join("measure.json");
        let targets: Vec<String> = way.targets.iter().map(ToString::to_string).collect();
        let mut args: Vec<String> = vec![
            "load".into(),
            "--day".into(),
            self.dir.join("day.txtpb").display().to_string(),
            "--gateways".into(),
            targets.join(","),
            "--seconds".into(),
            self.seconds.to_string(),
            "--out".into(),
            out.display().to_string(),
        ];
        args.extend(more.iter().map(|s| s.to_string()));
        let before = way.process.map(cpu_seconds).transpose()?;
        let mut process = Process::start(self.program, &args, &self.dir.join("load.log"))?;
        if !process.wait() {
            bail!(
                "the load ended badly, see {}",
                self.dir.join("load.log").display()
            );
        }
        let cpu = way
            .process
            .map(cpu_seconds)
            .transpose()?
            .zip(before)
            .map_or(0.0, |(after, before)| after - before);
        let summary: LoadSummary = serde_json::from_str(&std::fs::read_to_string(out)?)?;
        Ok(Sample { summary, cpu })
    }

    /// The most calls a second, by turns; returns the gateway's.
    fn most(&self, ways: &[Way], rounds: u32) -> anyhow::Result<f64> {
        println!("| way | calls/s | calls/s and core | of the relay's | not served |");
        println!("| --- | --- | --- | --- | --- |");
        let mut samples: Vec<Vec<Sample>> = ways.iter().map(|_| Vec::new()).collect();
        for _ in 0..rounds {
            for (way, of) in ways.iter().zip(&mut samples) {
                of.push(self.load(way, &["--outstanding", OUTSTANDING])?);
            }
        }
        let median = |of: &[Sample], value: fn(&Sample) -> f64| {
            let mut all: Vec<f64> = of.iter().map(value).collect();
            all.sort_by(f64::total_cmp);
            all[all.len() / 2]
        };
        let relay = median(&samples[1], Sample::per_core);
        for (way, of) in ways.iter().zip(&samples) {
            let unserved: u64 = of.iter().map(|s| s.summary.sent - s.summary.served).sum();
            let (rate, core) = (median(of, Sample::rate), median(of, Sample::per_core));
            match way.process {
                None => println!("| {} | {rate:.0} | - | - | {unserved} |", way.name),
                Some(_) => {
                    println!(
                        "| {} | {rate:.0} | {core:.0} | {:.2} | {unserved} |",
                        way.name,
                        core / relay
                    )
                }
            }
        }
        Ok(median(&samples[2], Sample::rate))
    }

    /// The library against a client that does nothing but call, on the same loop: what a call costs the caller.
    fn clients(&self, straight: &Way, rounds: u32) -> anyhow::Result<()> {
        println!(
            "\n| client | calls/s | calls/s and core | p50 us | p99 us |\n| --- | --- | --- | --- | --- |"
        );
        for (name, more) in [
            ("bare", &["--outstanding", OUTSTANDING][..]),
            ("library", &["--outstanding", OUTSTANDING, "--library"]),
        ] {
            let samples = (0..rounds)
                .map(|_| self.load(straight, more))
                .collect::<anyhow::Result<Vec<Sample>>>()?;
            let core = |s: &Sample| s.summary.served as f64 / s.summary.cpu_s.max(1e-9);
            let best = samples
                .iter()
                .max_by(|a, b| core(a).total_cmp(&core(b)))
                .context("expected a round")?;
            let s = &best.summary;
            println!(
                "| {name} | {:.0} | {:.0} | {} | {} |",
                best.rate(),
                core(best),
                s.p50_us,
                s.p99_us
            );
        }
        Ok(())
    }

    /// Times to an answer at parts of the gateway's most, the lowest of the rounds: others share the machine.
    fn latencies(&self, ways: &[Way], most: f64, rounds: u32) -> anyhow::Result<()> {
        println!("\n| load | way | p50 us | p99 us | p99.9 us |\n| --- | --- | --- | --- | --- |");
        for part in [0.2, 0.5, 0.8] {
            let rate = (most * part).round().to_string();
            let mut best: Vec<Option<LoadSummary>> = vec![None; ways.len()];
            for _ in 0..rounds {
                for (way, best) in ways.iter().zip(&mut best) {
                    let summary = self.load(way, &["--rate", &rate])?.summary;
                    if best.as_ref().is_none_or(|b| summary.p99_us < b.p99_us) {
                        *best = Some(summary);
                    }
                }
            }
            for (way, s) in ways.iter().zip(best.iter().flatten()) {
                println!(
                    "| {:.0}% ({rate}/s) | {} | {} | {} | {} |",
                    part * 100.0,
                    way.name,
                    s.p50_us,
                    s.p99_us,
                    s.p999_us
                );
            }
        }
        Ok(())
    }

    /// Memory of the gateway with many idle connections.
    fn idle(&self, gateway: &Way, held: usize) -> anyhow::Result<()> {
        let id = gateway.process.context("expected a gateway")?;
        let before = memory_kib(id)?;
        let targets = gateway.targets[0].to_string();
        let args = [
            "load",
            "--idle",
            "--seconds",
            "30",
            "--gateways",
            &targets,
            "--connections",
        ]
        .map(String::from);
        let day = [
            "--day".to_string(),
            self.dir.join("day.txtpb").display().to_string(),
        ];
        let args: Vec<String> = args
            .into_iter()
            .chain([held.to_string()])
            .chain(day)
            .collect();
        let idle = Process::start(self.program, &args, &self.dir.join("idle.log"))?;
        std::thread::sleep(SETTLE);
        let with = memory_kib(id)?;
        drop(idle);
        println!(
            "\nmemory: {before} KiB, with {held} idle connections {with} KiB, {:.1} KiB each",
            (with.saturating_sub(before)) as f64 / held as f64
        );
        Ok(())
    }
}
