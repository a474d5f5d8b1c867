//! The demo: three gateways, a counter, nine servers and a small load on this machine, with no settings.

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
    /// Port of the first gateway; 0: a free one
    #[arg(long, default_value_t = 0)]
    pub port: u16,
    /// End after so many seconds
    #[arg(long)]
    pub seconds: Option<u64>,
    /// Only the fleet, no calls
    #[arg(long)]
    pub no_load: bool,
}

/// The demo's fleet and load.
pub fn fleet() -> anyhow::Result<Day> {
    let source = include_str!("../../days/demo.txtpb");
    text::parse(DAY_MESSAGE, source).map_err(|e| anyhow::anyhow!("the demo's day: {e}"))
}

/// Starts all, prints where to call, and a line of figures each second until the time is up or it is stopped.
pub fn run(program: Program, port: u16, seconds: Option<u64>, no_load: bool) -> anyhow::Result<()> {
    let signals = Signals::install()?;
    let dir = std::env::temp_dir().join(format!("chalkdeck-demo-{}", std::process::id()));
    let listen = SocketAddr::from(([127, 0, 0, 1], port));
    let ran = play(program, &dir, listen, seconds, no_load, &signals);
    if ran.is_ok() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    ran.with_context(|| format!("logs are in {}", dir.display()))
}

fn play(
    program: Program,
    dir: &std::path::Path,
    listen: SocketAddr,
    seconds: Option<u64>,
    no_load: bool,
    signals: &Signals,
) -> anyhow::Result<()> {
    let mut fleet = Fleet::start(program, fleet()?, dir, listen, None)?;
    let resp = fleet
        .gateway_process(0)
        .context("expected a gateway")?
        .address("resp")?;
    let keeper = fleet
        .keeper()
        .map_or(String::new(), |k| format!(" keeper={k}"));
    println!(
        "ready grpc={} admin={} resp={resp}{keeper}",
        fleet.gateways()[0],
        fleet.admin(0)
    );
    let span = seconds.unwrap_or(u64::from(u32::MAX));
    let mut load = (!no_load)
        .then(|| fleet.load(span as f64, &["--lines"]))
        .transpose()?;
    load.iter_mut().for_each(|l| l.forward_stdout());
    let end = Instant::now() + Duration::from_secs(span);
    let mut second = Instant::now() + Duration::from_secs(1);
    while !signals.is_stop_requested() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(50));
        if no_load && Instant::now() >= second {
            second += Duration::from_secs(1);
            println!("{}", taken(&fleet)?);
        }
    }
    drop(load);
    if !fleet.stop_gateways() {
        anyhow::bail!("a gateway ended badly");
    }
    Ok(())
}

/// Calls that the gateways say they took and ended.
fn taken(fleet: &Fleet) -> anyhow::Result<String> {
    let mut sums = [0.0; 2];
    for gateway in 0..fleet.gateways().len() {
        let text = control::get(fleet.admin(gateway), "/metrics")?;
        for (sum, name) in sums
            .iter_mut()
            .zip(["chalkdeck_calls_taken_total", "chalkdeck_calls_ended_total"])
        {
            let values = text
                .lines()
                .filter(|l| l.starts_with(name))
                .filter_map(|l| l.rsplit(' ').next());
            *sum += values.filter_map(|v| v.parse::<f64>().ok()).sum::<f64>();
        }
    }
    Ok(format!("taken={} ended={}", sums[0], sums[1]))
}
