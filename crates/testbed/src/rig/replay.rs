//! Troubles of a bench day, played through the real gateway on a small fleet. Kinds are played, not sizes of fleets:
//! parts and spans are kept, numbers of servers and gateways are this fleet's.

use crate::rig::day::{self, Ways};
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
    /// The longest that it may last; longer days are played faster
    #[arg(long, default_value_t = 60)]
    pub seconds: u32,
    #[arg(long)]
    pub lines: bool,
}

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

/// What was taken over, and what could not be.
pub struct Replay {
    pub day: Day,
    pub unplayed: Vec<String>,
}

/// Reads a bench day and puts its troubles on `base`, its length brought down to at most `seconds`.
pub fn read(path: &Path, base: Day, seconds: u32) -> anyhow::Result<Replay> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let bench: BenchDay = serde_json::from_str(&text)
        .with_context(|| format!("{}: expected a bench day", path.display()))?;
    let length = bench.length.max(1);
    let scale = (f64::from(seconds) * 1e6 / length as f64).min(1.0);
    let mut day = base;
    day.seconds = (length as f64 * scale / 1e6).ceil() as u32;
    day.troubles.clear();
    let mut unplayed = Vec::new();
    for trouble in &bench.troubles {
        match translate(&day, trouble, bench.servers.len().max(1), scale) {
            Some(t) => day.troubles.push(t),
            None => unplayed.push(trouble.kind.clone()),
        }
    }
    crate::common::script::day_actions(&day)?;
    Ok(Replay { day, unplayed })
}

fn translate(day: &Day, t: &BenchTrouble, servers: usize, scale: f64) -> Option<Trouble> {
    let ms = |us: u64| (us as f64 * scale / 1e3) as u32;
    let part = (t.on.len() as f64 / servers as f64).clamp(0.0, 1.0);
    let zone = day.zones[t.which % day.zones.len()].name.clone();
    let load = day.load.as_ref()?;
    let path = load.mix.get(t.which % load.mix.len().max(1))?.path.clone();
    let gateway = (t.which % day.gateways.max(1) as usize).to_string();
    // A burst in the bench is a part of all traffic; here one customer sends that much.
    let burst = load.rate * if t.size > 0.0 { t.size.min(10.0) } else { 1.0 };
    let (target, factor) = match t.kind.as_str() {
        "crash" | "fast_errors" => (String::new(), part),
        "class_fail" => (path, part),
        "counter_down" => (String::new(), 0.0),
        "origin_slow" => (String::new(), t.size.clamp(1.0, 20.0)),
        "zone_loss" | "zone_cut" => (zone, 0.0),
        "tenant_burst" | "hot_key" | "hot_caller" => (String::new(), burst),
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

/// Plays a bench day's troubles on the demo's fleet and audits it.
pub fn command(before: &[&str], args: &ReplayArgs) -> anyhow::Result<()> {
    let replay = read(&args.day, demo::fleet()?, args.seconds)?;
    for kind in &replay.unplayed {
        println!("not played: {kind}");
    }
    for t in &replay.day.troubles {
        println!("plays {} at {} ms for {} ms", t.kind, t.at_ms, t.for_ms);
    }
    day::play(
        before,
        replay.day,
        &args.dir,
        &Ways {
            lines: args.lines,
            ..Ways::default()
        },
    )
}
