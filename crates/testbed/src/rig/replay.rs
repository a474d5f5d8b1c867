//! Replays the troubles (scheduled faults) of a bench day, a JSON file, against real gateways on a small fleet. Keeps the kinds of
//! the troubles and the affected fraction of the servers, and scales times where the day is too long; the numbers of servers and
//! gateways are those of this fleet.

use crate::rig::day::{self, RunOptions};
use crate::rig::demo;
use anyhow::Context;
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Trouble};
use clap::Args;
use serde::Deserialize;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct ReplayArgs {
    /// A bench day, JSON
    pub day: PathBuf,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
    /// Maximum duration; the times of longer days are scaled down
    #[arg(long, default_value_t = 60)]
    pub seconds: u32,
    #[arg(long)]
    pub lines: bool,
}

/// A bench day, as far as it is used. The names of its fields are those of the JSON file, and its times are in microseconds.
#[derive(Deserialize)]
struct BenchDay {
    length: u64,
    troubles: Vec<BenchTrouble>,
    #[serde(default)]
    servers: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct BenchTrouble {
    kind: String,
    at: u64,
    len: u64,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    on: Vec<u64>,
    #[serde(default)]
    which: usize,
}

/// The day to run, and the kinds of troubles that this fleet doesn't support.
pub struct Replay {
    pub day: Day,
    pub unsupported: Vec<String>,
}

/// Reads a bench day and replaces the troubles of `base` by its troubles, scaled down to at most `seconds`.
pub fn read(path: &Path, base: Day, seconds: u32) -> anyhow::Result<Replay> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let bench: BenchDay = serde_json::from_str(&text)
        .with_context(|| format!("{}: expected a bench day", path.display()))?;
    let length = bench.length.max(1);
    let scale = (f64::from(seconds) * 1e6 / length as f64).min(1.0);
    let mut day = base;
    day.seconds = (length as f64 * scale / 1e6).ceil() as u32;
    day.troubles.clear();
    let mut unsupported = Vec::new();
    for trouble in &bench.troubles {
        match convert_trouble(&day, trouble, bench.servers.len().max(1), scale) {
            Some(t) => day.troubles.push(t),
            None => unsupported.push(trouble.kind.clone()),
        }
    }
    crate::common::script::day_actions(&day)?;
    Ok(Replay { day, unsupported })
}

/// Converts a trouble of a bench day; `None` if its kind isn't supported.
fn convert_trouble(day: &Day, t: &BenchTrouble, servers: usize, scale: f64) -> Option<Trouble> {
    let ms = |us: u64| (us as f64 * scale / 1e3) as u32;
    let affected_fraction = (t.on.len() as f64 / servers as f64).clamp(0.0, 1.0);
    let zone = day.zones[t.which % day.zones.len()].name.clone();
    let load = day.load.as_ref()?;
    let path = load.mix.get(t.which % load.mix.len().max(1))?.path.clone();
    let gateway = (t.which % day.gateways.max(1) as usize).to_string();
    // In the bench, the size of a burst is a fraction of all traffic; here, one customer sends that much.
    let burst_rate = load.rate * if t.size > 0.0 { t.size.min(10.0) } else { 1.0 };
    let (target, factor) = match t.kind.as_str() {
        "crash" | "fast_errors" => (String::new(), affected_fraction),
        "class_fail" => (path, affected_fraction),
        "counter_down" => (String::new(), 0.0),
        "origin_slow" => (String::new(), t.size.clamp(1.0, 20.0)),
        "zone_loss" | "zone_cut" => (zone, 0.0),
        "tenant_burst" | "hot_key" | "hot_caller" => (String::new(), burst_rate),
        "reconnect" => (String::new(), 0.0),
        "shift" | "balancer_stall" => (gateway, 0.0),
        "retry_abuse" => (String::new(), t.size.clamp(1.0, 10.0)),
        _ => return None,
    };
    Some(Trouble {
        kind: t.kind.clone(),
        at_ms: ms(t.at),
        for_ms: ms(t.len).max(100),
        target,
        factor,
    })
}

/// Replays a bench day's troubles on the demo's fleet and audits the run.
pub fn command(leading_args: &[&str], args: &ReplayArgs) -> anyhow::Result<()> {
    let replay = read(&args.day, demo::day()?, args.seconds)?;
    for kind in &replay.unsupported {
        println!("not played: {kind}");
    }
    for t in &replay.day.troubles {
        println!("plays {} at {} ms for {} ms", t.kind, t.at_ms, t.for_ms);
    }
    day::run_and_audit(
        leading_args,
        replay.day,
        &args.dir,
        &RunOptions {
            is_verbose: args.lines,
            ..RunOptions::default()
        },
    )
}
