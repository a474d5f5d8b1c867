//! The demo: three gateways, a counter, nine servers and a small load on this machine, without any configuration.

use crate::common::control;
use crate::common::process::Program;
use crate::common::script::DAY_MESSAGE;
use crate::rig::fleet::Fleet;
use anyhow::Context;
use chalkdeck_net::signals::Signals;
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use chalkdeck_proto::text;
use clap::Args;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct DemoArgs {
    /// Port of the first gateway; 0 chooses a free one
    #[arg(long, default_value_t = 0)]
    pub port: u16,
    /// Stop after this many seconds
    #[arg(long)]
    pub seconds: Option<u64>,
    /// Start the fleet without a load
    #[arg(long)]
    pub no_load: bool,
}

/// The scripted day of the demo, with its fleet and load.
pub fn day() -> anyhow::Result<Day> {
    let source = include_str!("../../days/demo.txtpb");
    text::parse(DAY_MESSAGE, source).map_err(|e| anyhow::anyhow!("the demo's day: {e}"))
}

/// Starts the demo and prints its addresses, then a line of statistics each second, until the time is over or a signal stops
/// it.
pub fn run(program: Program, port: u16, seconds: Option<u64>, no_load: bool) -> anyhow::Result<()> {
    let signals = Signals::install()?;
    let dir = std::env::temp_dir().join(format!("chalkdeck-demo-{}", std::process::id()));
    let listen = SocketAddr::from(([127, 0, 0, 1], port));
    let result = run_fleet(program, &dir, listen, seconds, no_load, &signals);
    if result.is_ok() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    result.with_context(|| format!("logs are in {}", dir.display()))
}

fn run_fleet(
    program: Program,
    dir: &std::path::Path,
    listen: SocketAddr,
    seconds: Option<u64>,
    no_load: bool,
    signals: &Signals,
) -> anyhow::Result<()> {
    let mut fleet = Fleet::start(program, day()?, dir, listen, None)?;
    let resp = fleet
        .gateway_process(0)
        .context("expected a gateway")?
        .address("resp")?;
    let coordinator = fleet
        .coordinator_address()
        .map_or(String::new(), |address| format!(" keeper={address}"));
    println!(
        "ready grpc={} admin={} resp={resp}{coordinator}",
        fleet.gateway_addresses()[0],
        fleet.admin_address(0)
    );
    let seconds = seconds.unwrap_or(u64::from(u32::MAX));
    let mut load = (!no_load)
        .then(|| fleet.start_load(seconds as f64, &["--lines"]))
        .transpose()?;
    load.iter_mut().for_each(|l| l.forward_stdout());
    let end = Instant::now() + Duration::from_secs(seconds);
    let mut next_line = Instant::now() + Duration::from_secs(1);
    while !signals.is_stop_requested() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(50));
        if no_load && Instant::now() >= next_line {
            next_line += Duration::from_secs(1);
            println!("{}", call_counts(&fleet)?);
        }
    }
    drop(load);
    if !fleet.stop_gateways() {
        anyhow::bail!("a gateway exited with an error");
    }
    Ok(())
}

/// A line with the numbers of calls that the gateways accepted and completed, from their metrics.
fn call_counts(fleet: &Fleet) -> anyhow::Result<String> {
    let mut sums = [0.0; 2];
    for gateway in 0..fleet.gateway_addresses().len() {
        let metrics = control::get(fleet.admin_address(gateway), "/metrics")?;
        for (sum, name) in sums
            .iter_mut()
            .zip(["chalkdeck_calls_taken_total", "chalkdeck_calls_ended_total"])
        {
            let values = metrics
                .lines()
                .filter(|l| l.starts_with(name))
                .filter_map(|l| l.rsplit(' ').next());
            *sum += values.filter_map(|v| v.parse::<f64>().ok()).sum::<f64>();
        }
    }
    Ok(format!("taken={} ended={}", sums[0], sums[1]))
}
