//! Measures what other customers lose while one customer floods a gateway, with and without the gateway's door: the queue
//! that takes requests in fair turns over customers before any decision is made for them.

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
    /// Duration of each single run, in seconds
    #[arg(long, default_value_t = 4.0)]
    pub seconds: f64,
    /// Calls that the flood keeps outstanding
    #[arg(long, default_value_t = 2_000)]
    pub outstanding: usize,
    /// Numbers of connections that the flood is spread over, one run for each
    #[arg(long, value_delimiter = ',', default_values_t = [1, 10, 1_000])]
    pub connections: Vec<usize>,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

/// The plan of the flooding customer.
const FLOOD_PLAN: &str = "estate";
/// How long the flood runs before the others are measured.
const FLOOD_LEAD: Duration = Duration::from_millis(500);

struct FloodRun<'a> {
    dir: &'a Path,
    fleet: Fleet,
    seconds: f64,
}

impl FloodRun<'_> {
    fn start_load(
        &self,
        name: &str,
        day: &Path,
        seconds: f64,
        extra_args: &[&str],
    ) -> anyhow::Result<(Process, PathBuf)> {
        let summary_file = self.dir.join(format!("{name}.json"));
        let file_text = summary_file.display().to_string();
        let common_args = ["--prefix", name, "--out", &file_text];
        Ok((
            self.fleet
                .start_load_of_day(day, seconds, &[&common_args, extra_args].concat())?,
            summary_file,
        ))
    }

    /// Runs the load of the other customers and waits for its summary.
    fn run_other_customers(&self, name: &str) -> anyhow::Result<LoadSummary> {
        let (mut load, summary_file) =
            self.start_load(name, &self.dir.join("day.txtpb"), self.seconds, &[])?;
        if !load.wait() {
            bail!(
                "the load ended badly, see {}",
                self.dir.join("load.log").display()
            );
        }
        Ok(serde_json::from_str(&std::fs::read_to_string(
            summary_file,
        )?)?)
    }
}

/// The day of the gateway and the other customers, without the load of the flooding customer.
fn day_without_flood(has_door: bool) -> anyhow::Result<Day> {
    let mut day = demo::day()?;
    day.gateways = 1;
    day.load
        .iter_mut()
        .for_each(|l| l.customers.retain(|c| c.plan != FLOOD_PLAN));
    let gateway = day.gateway.as_mut().context("expected a gateway")?;
    gateway
        .customers
        .get_or_insert_default()
        .plan_of
        .insert("flood-0".into(), FLOOD_PLAN.into());
    gateway.door = Some(Door {
        off: !has_door,
        ..Door::default()
    });
    Ok(day)
}

/// Writes the day that defines the flood: calls of a single customer. The plan `flood` of its group only gives the customer
/// its name, `flood-0`; the gateway assigns it to `FLOOD_PLAN`.
fn write_flood_day(dir: &Path, day: &Day) -> anyhow::Result<PathBuf> {
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

fn served_share(summary: &LoadSummary) -> f64 {
    summary.served as f64 / summary.sent.max(1) as f64
}

/// Measures each number of connections with the door and without it, and prints a table.
pub fn run(program: &Program, args: &FloodArgs) -> anyhow::Result<()> {
    println!("| connections | door | flood calls/s | others served before, during | p50, p99 before ms | during | RSS before, during MiB |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for &connections in &args.connections {
        for has_door in [true, false] {
            let dir = args.dir.join(format!("{connections}-{has_door}"));
            measure_one(program, args, connections, has_door, &dir)?;
        }
    }
    Ok(())
}

fn measure_one(
    program: &Program,
    args: &FloodArgs,
    connections: usize,
    has_door: bool,
    dir: &Path,
) -> anyhow::Result<()> {
    let day = day_without_flood(has_door)?;
    let fleet = Fleet::start(program.clone(), day.clone(), dir, any_port(), None)?;
    let id = fleet.gateway_process(0).context("expected a gateway")?.id();
    let run = FloodRun {
        dir,
        fleet,
        seconds: args.seconds,
    };
    let flood_file = write_flood_day(dir, &day)?;
    run.run_other_customers("warm")?;
    let before = run.run_other_customers("before")?;
    let rss_before_kib = memory_kib(id)?;
    let (outstanding, connections_text) = (args.outstanding.to_string(), connections.to_string());
    let extra_args = [
        "--outstanding",
        &outstanding,
        "--connections",
        &connections_text,
    ];
    let (mut load, summary_file) =
        run.start_load("flood", &flood_file, args.seconds + 4.0, &extra_args)?;
    std::thread::sleep(FLOOD_LEAD);
    let during = run.run_other_customers("during")?;
    let rss_during_kib = memory_kib(id)?;
    let refused_at_door =
        control::read_metric(run.fleet.admin_address(0), "chalkdeck_door_refused_total")?;
    load.wait();
    let flood: LoadSummary = serde_json::from_str(&std::fs::read_to_string(summary_file)?)?;
    let ms = |us: u64| us as f64 / 1e3;
    println!(
        "| {connections} | {} | {:.0} ({refused_at_door} at the door) | {:.3}, {:.3} | {:.1}, {:.1} | {:.1}, {:.1} | {:.1}, {:.1} |",
        if has_door { "on" } else { "off" },
        flood.sent as f64 / flood.seconds,
        served_share(&before),
        served_share(&during),
        ms(before.p50_us),
        ms(before.p99_us),
        ms(during.p50_us),
        ms(during.p99_us),
        rss_before_kib as f64 / 1024.0,
        rss_during_kib as f64 / 1024.0
    );
    Ok(())
}
