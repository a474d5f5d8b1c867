//! One customer floods a gateway while others keep to their quotas: what the others lose, with the door and without it.

use crate::common::control;
use crate::common::load_stats::LoadSummary;
use crate::common::process::{memory_kib, Process, Program};
use crate::common::script::DAY_MESSAGE;
use crate::rig::demo;
use crate::rig::fleet::{any_port, Fleet};
use anyhow::{bail, Context};
use chalkdeck_proto::chalkdeck::config::v1::Door;
use chalkdeck_proto::chalkdeck::lab::v1::{Customers, Day};
use chalkdeck_proto::text;
use clap::Args;
use std::path::{Path, PathBuf};
use std::time::Duration;

#[derive(Args)]
pub struct FloodArgs {
    /// Seconds of each single run
    #[arg(long, default_value_t = 4.0)]
    pub seconds: f64,
    /// Calls that the flood keeps out
    #[arg(long, default_value_t = 2_000)]
    pub outstanding: usize,
    /// Over so many connections, one run each
    #[arg(long, value_delimiter = ',', default_values_t = [1, 10, 1_000])]
    pub connections: Vec<usize>,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

/// The plan of the customer that floods.
const FLOODED: &str = "estate";
/// How long after the flood's begin the others are looked at.
const SETTLE: Duration = Duration::from_millis(500);

struct Run<'a> {
    dir: &'a Path,
    fleet: Fleet,
    seconds: f64,
}

impl Run<'_> {
    fn load(
        &self,
        name: &str,
        day: &Path,
        seconds: f64,
        more: &[&str],
    ) -> anyhow::Result<(Process, PathBuf)> {
        let out = self.dir.join(format!("{name}.json"));
        let text = out.display().to_string();
        let own = ["--prefix", name, "--out", &text];
        Ok((
            self.fleet
                .start_load_of_day(day, seconds, &[&own, more].concat())?,
            out,
        ))
    }

    /// The others' calls for a while.
    fn others(&self, name: &str) -> anyhow::Result<LoadSummary> {
        let (mut load, out) = self.load(name, &self.dir.join("day.txtpb"), self.seconds, &[])?;
        if !load.wait() {
            bail!(
                "the load ended badly, see {}",
                self.dir.join("load.log").display()
            );
        }
        Ok(serde_json::from_str(&std::fs::read_to_string(out)?)?)
    }
}

fn fleet(door: bool) -> anyhow::Result<Day> {
    let mut day = demo::day()?;
    day.gateways = 1;
    day.load
        .iter_mut()
        .for_each(|l| l.customers.retain(|c| c.plan != FLOODED));
    let gateway = day.gateway.as_mut().context("expected a gateway")?;
    gateway
        .customers
        .get_or_insert_default()
        .plan_of
        .insert("flood-0".into(), FLOODED.into());
    gateway.door = Some(Door {
        off: !door,
        ..Door::default()
    });
    Ok(day)
}

/// The flood's own day: one customer, whose name its plan's is.
fn flood_day(dir: &Path, day: &Day) -> anyhow::Result<PathBuf> {
    let mut day = day.clone();
    let load = day.load.as_mut().context("expected a load")?;
    load.customers = vec![Customers {
        plan: "flood".into(),
        count: 1,
        share: 1.0,
    }];
    load.mix.retain(|m| m.path.ends_with("View"));
    load.mix.iter_mut().for_each(|m| m.share = 1.0);
    let path = dir.join("flood.txtpb");
    std::fs::write(
        &path,
        text::print(DAY_MESSAGE, &day).context("expected a text form")?,
    )?;
    Ok(path)
}

fn share(summary: &LoadSummary) -> f64 {
    summary.served as f64 / summary.sent.max(1) as f64
}

/// Runs each number of connections with the door and without, and prints a table.
pub fn run(program: &Program, args: &FloodArgs) -> anyhow::Result<()> {
    println!("| connections | door | flood calls/s | others served before, during | p50, p99 before ms | during | RSS before, during MiB |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for &connections in &args.connections {
        for door in [true, false] {
            let dir = args.dir.join(format!("{connections}-{door}"));
            one(program, args, connections, door, &dir)?;
        }
    }
    Ok(())
}

fn one(
    program: &Program,
    args: &FloodArgs,
    connections: usize,
    door: bool,
    dir: &Path,
) -> anyhow::Result<()> {
    let day = fleet(door)?;
    let fleet = Fleet::start(program.clone(), day.clone(), dir, any_port(), None)?;
    let id = fleet.gateway_process(0).context("expected a gateway")?.id();
    let run = Run {
        dir,
        fleet,
        seconds: args.seconds,
    };
    let flood = flood_day(dir, &day)?;
    run.others("warm")?;
    let before = run.others("before")?;
    let rss = memory_kib(id)?;
    let (outstanding, connections_text) = (args.outstanding.to_string(), connections.to_string());
    let more = [
        "--outstanding",
        &outstanding,
        "--connections",
        &connections_text,
    ];
    let (mut load, out) = run.load("flood", &flood, args.seconds + 4.0, &more)?;
    std::thread::sleep(SETTLE);
    let during = run.others("during")?;
    let grown = memory_kib(id)?;
    let refused = control::read_metric(run.fleet.admin_address(0), "chalkdeck_door_refused_total")?;
    load.wait();
    let flood: LoadSummary = serde_json::from_str(&std::fs::read_to_string(out)?)?;
    let ms = |us: u64| us as f64 / 1e3;
    println!(
        "| {connections} | {} | {:.0} ({refused} at the door) | {:.3}, {:.3} | {:.1}, {:.1} | {:.1}, {:.1} | {:.1}, {:.1} |",
        if door { "on" } else { "off" },
        flood.sent as f64 / flood.seconds,
        share(&before),
        share(&during),
        ms(before.p50_us),
        ms(before.p99_us),
        ms(during.p50_us),
        ms(during.p99_us),
        rss as f64 / 1024.0,
        grown as f64 / 1024.0
    );
    Ok(())
}
