//! Measures the overhead of the gateway by comparing three variants in one run: calls sent directly to the servers, through a
//! plain relay that uses the same network code, and through a gateway that asks the counter about each call.

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
    /// Duration of each single run, in seconds
    #[arg(long, default_value_t = 5.0)]
    pub seconds: f64,
    /// Number of rounds; each round runs all variants in turn
    #[arg(long, default_value_t = 3)]
    pub rounds: u32,
    /// Number of idle connections, and of open calls, in the memory measurements; 0 skips them
    #[arg(long, default_value_t = 10_000)]
    pub held: usize,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

/// Number of outstanding calls with which the highest throughput is measured.
const SATURATING_CALLS: &str = "64";

/// How long the memory of a process may take to settle.
const MEMORY_SETTLE_TIME: Duration = Duration::from_secs(6);

struct Variant {
    name: &'static str,
    targets: Vec<SocketAddr>,
    /// Process id of the relay or gateway between the clients and the servers.
    proxy_pid: Option<u32>,
}

struct Sample {
    summary: LoadSummary,
    cpu_seconds: f64,
}

impl Sample {
    fn served_per_second(&self) -> f64 {
        self.summary.served as f64 / self.summary.seconds
    }
    fn served_per_cpu_second(&self) -> f64 {
        self.summary.served as f64 / self.cpu_seconds.max(1e-9)
    }
}

struct Measurement<'a> {
    program: &'a Program,
    dir: &'a Path,
    seconds: f64,
}

/// The day that the measurements use: its servers respond at once, and its customers stay within their quotas.
pub fn measurement_day() -> anyhow::Result<Day> {
    let source = include_str!("../../days/measure.txtpb");
    text::parse(DAY_MESSAGE, source).map_err(|e| anyhow::anyhow!("measure day: {e}"))
}

/// Runs all measurements and prints their tables.
pub fn run(program: Program, args: &MeasureArgs) -> anyhow::Result<()> {
    let day = measurement_day()?;
    let fleet = Fleet::start(program.clone(), day.clone(), &args.dir, any_port(), None)?;
    let servers = fleet.server_addresses();
    let list: Vec<String> = servers.iter().map(ToString::to_string).collect();
    let relay_args = ["relay".to_string(), "--servers".to_string(), list.join(",")];
    let relay = Process::start(&program, &relay_args, &args.dir.join("relay.log"))?;
    let gateway = fleet.gateway_process(0).context("expected a gateway")?.id();
    let variants = [
        Variant {
            name: "straight",
            targets: servers,
            proxy_pid: None,
        },
        Variant {
            name: "relay",
            targets: vec![relay.address("grpc")?],
            proxy_pid: Some(relay.id()),
        },
        Variant {
            name: "gateway",
            targets: fleet.gateway_addresses(),
            proxy_pid: Some(gateway),
        },
    ];
    let measurement = Measurement {
        program: &program,
        dir: &args.dir,
        seconds: args.seconds,
    };
    // Warm-up: the gateway learns its concurrency limits. The other variants get the same time.
    for variant in &variants {
        measurement.run_load(variant, &["--outstanding", SATURATING_CALLS])?;
    }
    let max_rate = measurement.measure_max_rate(&variants, args.rounds)?;
    measurement.compare_clients(&variants[0], args.rounds)?;
    measurement.measure_latencies(&variants, max_rate, args.rounds)?;
    if args.held > 0 {
        measurement.measure_idle_connections(&variants[2], args.held)?;
        drop(fleet);
        measure_open_calls(&program, day, &args.dir.join("open"), args.held)?;
    }
    Ok(())
}

/// Measures the memory of a gateway with many open calls. Servers take a minute for a call, so the calls that exceed their
/// concurrency wait in the gateway.
fn measure_open_calls(
    program: &Program,
    mut day: Day,
    dir: &Path,
    call_count: usize,
) -> anyhow::Result<()> {
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
    let before_kib = memory_kib(id)?;
    let count_text = call_count.to_string();
    let _load = fleet.start_load(30.0, &["--outstanding", &count_text, "--connections", "16"])?;
    std::thread::sleep(MEMORY_SETTLE_TIME);
    let metrics = control::get(fleet.admin_address(0), "/metrics")?;
    let open = metrics
        .lines()
        .find_map(|l| l.strip_prefix("chalkdeck_calls_open "))
        .unwrap_or("?")
        .to_string();
    let kib_per_call = memory_kib(id)?.saturating_sub(before_kib) as f64 / call_count as f64;
    println!("memory: {open} open calls, {kib_per_call:.1} KiB each");
    Ok(())
}

impl Measurement<'_> {
    fn run_load(&self, variant: &Variant, extra_args: &[&str]) -> anyhow::Result<Sample> {
        let summary_file = self.dir.join("measure.json");
        let targets: Vec<String> = variant.targets.iter().map(ToString::to_string).collect();
        let mut args: Vec<String> = vec![
            "load".into(),
            "--day".into(),
            self.dir.join("day.txtpb").display().to_string(),
            "--gateways".into(),
            targets.join(","),
            "--seconds".into(),
            self.seconds.to_string(),
            "--out".into(),
            summary_file.display().to_string(),
        ];
        args.extend(extra_args.iter().map(|s| s.to_string()));
        let before = variant.proxy_pid.map(cpu_seconds).transpose()?;
        let mut process = Process::start(self.program, &args, &self.dir.join("load.log"))?;
        if !process.wait() {
            bail!(
                "the load ended badly, see {}",
                self.dir.join("load.log").display()
            );
        }
        let cpu_seconds = variant
            .proxy_pid
            .map(cpu_seconds)
            .transpose()?
            .zip(before)
            .map_or(0.0, |(after, before)| after - before);
        let summary: LoadSummary = serde_json::from_str(&std::fs::read_to_string(summary_file)?)?;
        Ok(Sample {
            summary,
            cpu_seconds,
        })
    }

    /// Measures the highest throughput of all variants in turn; returns the gateway's.
    fn measure_max_rate(&self, variants: &[Variant], rounds: u32) -> anyhow::Result<f64> {
        println!("| way | calls/s | calls/s and core | of the relay's | not served |");
        println!("| --- | --- | --- | --- | --- |");
        let mut samples_by_variant: Vec<Vec<Sample>> =
            variants.iter().map(|_| Vec::new()).collect();
        for _ in 0..rounds {
            for (variant, samples) in variants.iter().zip(&mut samples_by_variant) {
                samples.push(self.run_load(variant, &["--outstanding", SATURATING_CALLS])?);
            }
        }
        let median = |samples: &[Sample], value: fn(&Sample) -> f64| {
            let mut values: Vec<f64> = samples.iter().map(value).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        let relay_per_core = median(&samples_by_variant[1], Sample::served_per_cpu_second);
        for (variant, samples) in variants.iter().zip(&samples_by_variant) {
            let unserved: u64 = samples
                .iter()
                .map(|s| s.summary.sent - s.summary.served)
                .sum();
            let (rate, per_core) = (
                median(samples, Sample::served_per_second),
                median(samples, Sample::served_per_cpu_second),
            );
            match variant.proxy_pid {
                None => println!("| {} | {rate:.0} | - | - | {unserved} |", variant.name),
                Some(_) => {
                    println!(
                        "| {} | {rate:.0} | {per_core:.0} | {:.2} | {unserved} |",
                        variant.name,
                        per_core / relay_per_core
                    )
                }
            }
        }
        Ok(median(&samples_by_variant[2], Sample::served_per_second))
    }

    /// Compares the client library with a plain client on the same event loop, to measure what a call costs the caller.
    fn compare_clients(&self, straight: &Variant, rounds: u32) -> anyhow::Result<()> {
        println!(
            "\n| client | calls/s | calls/s and core | p50 us | p99 us |\n| --- | --- | --- | --- | --- |"
        );
        for (name, extra_args) in [
            ("bare", &["--outstanding", SATURATING_CALLS][..]),
            ("library", &["--outstanding", SATURATING_CALLS, "--library"]),
        ] {
            let samples = (0..rounds)
                .map(|_| self.run_load(straight, extra_args))
                .collect::<anyhow::Result<Vec<Sample>>>()?;
            let per_core = |s: &Sample| s.summary.served as f64 / s.summary.cpu_s.max(1e-9);
            let best = samples
                .iter()
                .max_by(|a, b| per_core(a).total_cmp(&per_core(b)))
                .context("expected a round")?;
            let s = &best.summary;
            println!(
                "| {name} | {:.0} | {:.0} | {} | {} |",
                best.served_per_second(),
                per_core(best),
                s.p50_us,
                s.p99_us
            );
        }
        Ok(())
    }

    /// Measures latencies at shares of the gateway's highest throughput. Prints the round with the lowest p99, because other
    /// processes share the machine.
    fn measure_latencies(
        &self,
        variants: &[Variant],
        max_rate: f64,
        rounds: u32,
    ) -> anyhow::Result<()> {
        println!("\n| load | way | p50 us | p99 us | p99.9 us |\n| --- | --- | --- | --- | --- |");
        for load_share in [0.2, 0.5, 0.8] {
            let rate = (max_rate * load_share).round().to_string();
            let mut best: Vec<Option<LoadSummary>> = vec![None; variants.len()];
            for _ in 0..rounds {
                for (variant, best) in variants.iter().zip(&mut best) {
                    let summary = self.run_load(variant, &["--rate", &rate])?.summary;
                    if best.as_ref().is_none_or(|b| summary.p99_us < b.p99_us) {
                        *best = Some(summary);
                    }
                }
            }
            for (variant, s) in variants.iter().zip(best.iter().flatten()) {
                println!(
                    "| {:.0}% ({rate}/s) | {} | {} | {} | {} |",
                    load_share * 100.0,
                    variant.name,
                    s.p50_us,
                    s.p99_us,
                    s.p999_us
                );
            }
        }
        Ok(())
    }

    /// Measures the memory of the gateway with many idle connections.
    fn measure_idle_connections(
        &self,
        gateway: &Variant,
        connection_count: usize,
    ) -> anyhow::Result<()> {
        let id = gateway.proxy_pid.context("expected a gateway")?;
        let before_kib = memory_kib(id)?;
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
            .chain([connection_count.to_string()])
            .chain(day)
            .collect();
        let idle_load = Process::start(self.program, &args, &self.dir.join("idle.log"))?;
        std::thread::sleep(MEMORY_SETTLE_TIME);
        let after_kib = memory_kib(id)?;
        drop(idle_load);
        println!(
            "\nmemory: {before_kib} KiB, with {connection_count} idle connections {after_kib} KiB, {:.1} KiB each",
            (after_kib.saturating_sub(before_kib)) as f64 / connection_count as f64
        );
        Ok(())
    }
}
