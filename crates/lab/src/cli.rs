//! Commands of the laboratory.

use crate::day::{Clients, Ways};
use crate::farm::{Cell, Farm};
use crate::load::{Load, Plan};
use crate::log::Log;
use crate::model::Build;
use crate::process::{end_with_parent, Program};
use crate::report::Summary;
use crate::{
    adds, asks, audit, counter, day, demo, flood, library, measure, reconnect, replay, returns, timeline,
};
use anyhow::{bail, Context};
use chalkdeck_client::Repeat;
use chalkdeck_gateway::relay::Relay;
use chalkdeck_gateway::{logs, Settings, Shell};
use chalkdeck_net::signals::Signals;
use chalkdeck_proto::chalkdeck::config::v1::Gateway;
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Load as Shape, Mix};
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Stand-ins, load, days and audits for chalkdeck.
#[derive(Parser)]
#[command(name = "chalkdeck-lab", version)]
pub struct Lab {
    #[command(subcommand)]
    pub command: Command,
}

/// What the laboratory does.
#[derive(Subcommand)]
pub enum Command {
    /// Stand-in for the counter
    Counter(CounterArgs),
    /// The counter itself, as a part of a day
    #[command(hide = true)]
    OwnCounter(OwnCounterArgs),
    /// Stand-ins for the servers of one cell
    Farm(FarmArgs),
    /// Open-loop gRPC load
    Load(LoadArgs),
    /// A gateway, as `chalkdeck serve` starts it
    Serve(ServeArgs),
    /// A relay on the gateway's sockets without its decisions
    Relay(RelayArgs),
    /// Play a day and audit it
    Run(RunArgs),
    /// Audit the logs of a run
    Audit { dir: PathBuf },
    /// Play the troubles of a bench day and audit the run
    Replay(ReplayArgs),
    /// Gateways, counter, servers and a small load with no settings
    Demo(DemoArgs),
    /// Served calls by time of one or more runs, as a table of recoveries and an SVG
    Timeline(TimelineArgs),
    /// Many clients lose a gateway at once: connects by time, the library's against naive ones
    Reconnect(ReconnectArgs),
    /// Adds a second of the counter by its promise, beside the stand-in and a bare loop
    Adds(AddsArgs),
    /// Callers over their quota that come back when they are told to
    Returns(ReturnsArgs),
    /// One customer floods while others keep to their quotas, with the door and without
    Flood(FloodArgs),
    /// Commands a second of the RESP front, beside ECHO on the same loop
    Asks(AsksArgs),
    /// Calls a second and core, and added latency: straight, through a bare relay, through a gateway
    Measure(MeasureArgs),
}

#[derive(Args)]
pub struct TimelineArgs {
    /// Folders of runs
    #[arg(required = true)]
    pub dirs: Vec<PathBuf>,
    #[arg(long)]
    pub svg: Option<PathBuf>,
}

#[derive(Args)]
pub struct ReconnectArgs {
    #[arg(long, default_value_t = 8_000)]
    pub clients: usize,
    /// Connect again at once after each loss, every 10 ms, as naive clients do
    #[arg(long)]
    pub naive: bool,
    /// How long the gateway is away
    #[arg(long, default_value_t = 3.0)]
    pub away: f64,
    /// Run the library's clients and then naive ones, and draw both
    #[arg(long, conflicts_with = "naive")]
    pub svg: Option<PathBuf>,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

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

#[derive(Args)]
pub struct CounterArgs {
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    #[arg(long, default_value = "127.0.0.1:0")]
    pub control: SocketAddr,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

#[derive(Args, Clone)]
pub struct AddsArgs {
    /// Seconds of each single run
    #[arg(long, default_value_t = 3.0)]
    pub seconds: f64,
    /// How often the ways take turns
    #[arg(long, default_value_t = 2)]
    pub rounds: u32,
    #[arg(long, default_value_t = 8)]
    pub connections: usize,
    /// Adds out at once on each connection
    #[arg(long, default_value_t = 512)]
    pub outstanding: usize,
    #[arg(long, default_value_t = 10_000)]
    pub names: u64,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

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

#[derive(Args)]
pub struct ReturnsArgs {
    #[arg(long, default_value_t = 12.0)]
    pub seconds: f64,
    /// Callers of each of eight customers
    #[arg(long, default_value_t = 4)]
    pub callers: usize,
    /// Asks a second of each caller while it is granted
    #[arg(long, default_value_t = 40.0)]
    pub rate: f64,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

#[derive(Args)]
pub struct OwnCounterArgs {
    /// Settings, protobuf text of chalkdeck.counter.v1.Settings
    pub config: PathBuf,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

#[derive(Args)]
pub struct FarmArgs {
    /// A day: its farm, work and cold start
    #[arg(long)]
    pub day: PathBuf,
    /// One address for each server
    #[arg(long, value_delimiter = ',', default_value = "127.0.0.1:0")]
    pub listen: Vec<SocketAddr>,
    #[arg(long, default_value = "127.0.0.1:0")]
    pub control: SocketAddr,
    #[arg(long)]
    pub log: Option<PathBuf>,
    /// The servers have been up for long
    #[arg(long)]
    pub warm: bool,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

#[derive(Args)]
pub struct LoadArgs {
    /// A day: its load
    #[arg(long)]
    pub day: PathBuf,
    /// Gateways, or whatever takes the calls
    #[arg(long, value_delimiter = ',', required = true)]
    pub gateways: Vec<SocketAddr>,
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Calls a second, instead of the day's
    #[arg(long)]
    pub rate: Option<f64>,
    /// Keep so many calls out instead of a rate
    #[arg(long)]
    pub outstanding: Option<usize>,
    #[arg(long, default_value_t = 2)]
    pub connections: usize,
    #[arg(long)]
    pub control: Option<SocketAddr>,
    #[arg(long)]
    pub log: Option<PathBuf>,
    /// Where the figures go as JSON
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// The first part of every call's id
    #[arg(long, default_value = "c")]
    pub prefix: String,
    /// Calls go through the client library
    #[arg(long, conflicts_with = "naive")]
    pub library: bool,
    /// Tries beyond the first that a call makes at once, as a naive loop does
    #[arg(long, default_value_t = 0)]
    pub naive: u32,
    /// Print figures each second
    #[arg(long)]
    pub lines: bool,
    /// Only connect, and hold the connections for the whole time
    #[arg(long)]
    pub idle: bool,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

#[derive(Args)]
pub struct ServeArgs {
    /// Settings, protobuf text of chalkdeck.config.v1.Gateway
    pub config: PathBuf,
    /// A fault in the carrying code, to see an audit fail: lose, repeat, drains, cold, ceiling
    #[arg(long, hide = true)]
    pub fault: Option<String>,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

#[derive(Args)]
pub struct RelayArgs {
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    #[arg(long, value_delimiter = ',', required = true)]
    pub servers: Vec<SocketAddr>,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

#[derive(Args)]
pub struct RunArgs {
    pub day: PathBuf,
    /// Where logs go; made, and emptied of an earlier run's logs
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
    #[arg(long, hide = true)]
    pub fault: Option<String>,
    /// With the counter that keeps its counts, in place of its stand-in
    #[arg(long)]
    pub own_counter: bool,
    /// Calls go through the client library
    #[arg(long, conflicts_with = "naive")]
    pub library: bool,
    /// Tries beyond the first that a call makes at once
    #[arg(long, default_value_t = 0)]
    pub naive: u32,
    /// Print figures each second
    #[arg(long)]
    pub lines: bool,
}

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

/// Turns a command's end into the program's.
pub fn exit(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}

impl Command {
    /// Does it. `before`: the arguments that lead this program to these commands.
    pub fn run_as(self, before: &[&str]) -> anyhow::Result<()> {
        match self {
            Command::Counter(args) => run_counter(&args),
            Command::OwnCounter(args) => {
                begin(args.with_parent);
                let settings = chalkdeck_counter::settings::Settings::load(&args.config)?;
                chalkdeck_counter::serve::run(&settings, &Signals::take()?)
            }
            Command::Farm(args) => run_farm(&args),
            Command::Load(args) => run_load(args),
            Command::Serve(args) => serve(&args),
            Command::Relay(args) => run_relay(args),
            Command::Run(args) => {
                let mut day = day::read(&args.day)?;
                day.own_counter |= args.own_counter;
                let clients = match args.naive {
                    _ if args.library => Clients::Library,
                    0 => Clients::Plain,
                    tries => Clients::Naive(tries),
                };
                play(before, day, &args.dir, &Ways { fault: args.fault, lines: args.lines, clients })
            }
            Command::Audit { dir } => report(&dir),
            Command::Replay(args) => {
                let replay = replay::read(&args.day, demo::fleet()?, args.seconds)?;
                for kind in &replay.unplayed {
                    println!("not played: {kind}");
                }
                for t in &replay.day.troubles {
                    println!("plays {} at {} ms for {} ms", t.kind, t.at_ms, t.for_ms);
                }
                play(before, replay.day, &args.dir, &Ways { lines: args.lines, ..Ways::default() })
            }
            Command::Timeline(args) => timeline::run(&args.dirs, args.svg.as_deref()),
            Command::Reconnect(args) => reconnect::run(&Program::this(before)?, &args),
            Command::Adds(args) => adds::run(&Program::this(before)?, &args),
            Command::Asks(args) => asks::run(Program::this(before)?, &args),
            Command::Returns(args) => returns::run(Program::this(before)?, &args),
            Command::Flood(args) => flood::run(&Program::this(before)?, &args),
            Command::Measure(args) => measure::run(Program::this(before)?, &args),
            Command::Demo(args) => demo::run(Program::this(before)?, args.port, args.seconds, args.no_load),
        }
    }
    /// Does it in the laboratory's own program.
    pub fn run(self) -> anyhow::Result<()> {
        self.run_as(&[])
    }
}

fn begin(with_parent: bool) {
    logs::start("info", false);
    if with_parent {
        end_with_parent();
    }
}

fn run_counter(args: &CounterArgs) -> anyhow::Result<()> {
    begin(args.with_parent);
    let signals = Signals::take()?;
    let mut counter = counter::Counter::start(args.listen, args.control)?;
    println!("ready grpc={} control={}", counter.listen(), counter.control());
    Ok(counter.run(&signals)?)
}

/// The servers' side of a day.
pub fn farm_of(day: &Day, warm: bool) -> Farm {
    let farm = day.farm.unwrap_or_default();
    let gateway = day.gateway.clone().unwrap_or_default();
    let start = gateway.start.unwrap_or_default();
    let window = gateway.classes.iter().map(|c| c.window_ms).max().unwrap_or(0);
    let build = Build {
        cores: farm.cores.max(1) as usize,
        room: farm.room as usize,
        cold_from: start.cold_from,
        cold: if warm { 0 } else { u64::from(start.cold_ms) * 1_000 },
        fall_multiple: start.fall_multiple,
        tip_after: u64::from(start.tip_after_ms) * 1_000,
        runs_on: farm.runs_on,
    };
    let connections = if farm.connections == 0 { 1024 } else { farm.connections as usize };
    Farm { build, work: day.work.clone(), connections, window: u64::from(window) * 1_000, seed: day.seed }
}

fn run_farm(args: &FarmArgs) -> anyhow::Result<()> {
    begin(args.with_parent);
    let signals = Signals::take()?;
    let day = day::read(&args.day)?;
    let log = Log::create(args.log.as_deref())?;
    let mut cell = Cell::start(farm_of(&day, args.warm), &args.listen, args.control, log)?;
    let addresses: Vec<String> = cell.addresses().iter().map(ToString::to_string).collect();
    println!("ready servers={} control={}", addresses.join(","), cell.control());
    Ok(cell.run(&signals)?)
}

fn run_load(args: LoadArgs) -> anyhow::Result<()> {
    begin(args.with_parent);
    let signals = Signals::take()?;
    let day = day::read(&args.day)?;
    let mut shape = day.load.context("expected a load in the day")?;
    if let Some(rate) = args.rate {
        shape.rate = rate;
    }
    if shape.customers.is_empty() || shape.mix.is_empty() || shape.rate <= 0.0 {
        bail!("{}: expected load.customers, load.mix and a rate above 0", args.day.display());
    }
    if args.library {
        let library = library::Plan {
            gateways: args.gateways,
            repeats: repeats(&day.gateway.unwrap_or_default(), &shape),
            shape,
            seconds: args.seconds,
            outstanding: args.outstanding,
            seed: day.seed,
            prefix: args.prefix,
        };
        println!("ready control=-");
        let figures = library::run(&library, &signals, Log::create(args.log.as_deref())?)?;
        return write_summary(args.out.as_deref(), &figures.summary());
    }
    let plan = Plan {
        gateways: args.gateways,
        shape,
        seconds: args.seconds,
        seed: day.seed,
        outstanding: args.outstanding,
        connections: args.connections,
        prefix: args.prefix,
        control: args.control,
        lines: args.lines,
        naive: args.naive,
    };
    let mut load = Load::start(plan, Log::create(args.log.as_deref())?)?;
    let control = load.control().map_or(String::new(), |c| format!(" control={c}"));
    println!("ready{control}");
    if args.idle {
        load.idle(&signals)?;
    } else {
        load.run(&signals)?;
    }
    write_summary(args.out.as_deref(), &load.figures.summary())
}

/// By the classes of the routes; a path without one is not repeated.
fn repeats(gateway: &Gateway, shape: &Shape) -> Vec<Repeat> {
    let class = |path: &str| {
        let route = gateway.routes.iter().find(|r| r.path == path)?;
        gateway.classes.iter().find(|c| c.name == route.class)
    };
    let repeat = |m: &Mix| class(&m.path).map_or(Repeat::Unsafe, |c| library::repeat_of(c, m.keyed));
    shape.mix.iter().map(repeat).collect()
}

fn write_summary(out: Option<&Path>, summary: &Summary) -> anyhow::Result<()> {
    let text = serde_json::to_string(summary)?;
    match out {
        Some(path) => std::fs::write(path, text)?,
        None => println!("{text}"),
    }
    Ok(())
}

/// Runs a gateway until it is stopped.
pub fn serve(args: &ServeArgs) -> anyhow::Result<()> {
    let set = Settings::load(&args.config)?;
    logs::start(&set.log_level, set.log_json);
    if args.with_parent {
        end_with_parent();
    }
    let signals = Signals::take()?;
    let mut shell = Shell::start(set, Some(args.config.clone()), fastrand::u64(..), false)?;
    if let Some(fault) = &args.fault {
        shell.inject(fault.parse().map_err(anyhow::Error::msg)?);
    }
    let admin = shell.admin().map_or("-".to_string(), |a| a.to_string());
    let resp = shell.resp_listen().map_or(String::new(), |a| format!(" resp={a}"));
    println!("ready grpc={} admin={admin}{resp}", shell.listen());
    Ok(shell.run(&signals)?)
}

fn run_relay(args: RelayArgs) -> anyhow::Result<()> {
    begin(args.with_parent);
    let signals = Signals::take()?;
    let mut relay = Relay::start(args.listen, args.servers)?;
    println!("ready grpc={}", relay.listen());
    Ok(relay.run(&signals)?)
}

fn play(before: &[&str], day: Day, dir: &Path, ways: &Ways) -> anyhow::Result<()> {
    clear(dir)?;
    let summary = day::run(Program::this(before)?, day, dir, ways)?;
    println!("{}", serde_json::to_string(&summary)?);
    report(dir)
}

/// Removes an earlier run's logs, and nothing else.
fn clear(dir: &Path) -> anyhow::Result<()> {
    let Ok(entries) = std::fs::read_dir(dir) else { return Ok(()) };
    for entry in entries {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "jsonl" || e == "log") {
            std::fs::remove_file(path)?;
        }
    }
    Ok(())
}

fn report(dir: &Path) -> anyhow::Result<()> {
    let verdict = audit::audit(&audit::Record::read(dir)?);
    println!(
        "calls {} ends {:?} attempts {} work done {}",
        verdict.calls, verdict.ends, verdict.attempts, verdict.effects
    );
    for breach in verdict.breaches.iter().take(20) {
        println!("rule {}: {}", breach.rule, breach.what);
    }
    if !verdict.breaches.is_empty() {
        bail!("{} breaches of the rules", verdict.breaches.len());
    }
    println!("no rule broken");
    Ok(())
}
