//! Commands of the laboratory.

use crate::audit::timeline::{self, TimelineArgs};
use crate::common::process::Program;
use crate::load::command::{self as load, LoadArgs};
use crate::measure::adds::{self, AddsArgs};
use crate::measure::asks::{self, AsksArgs};
use crate::measure::flood::{self, FloodArgs};
use crate::measure::gateway::{self, MeasureArgs};
use crate::measure::reconnect::{self, ReconnectArgs};
use crate::measure::returns::{self, ReturnsArgs};
use crate::measure::sites::{self, SitesArgs};
use crate::rig::coordinator_process::{self, OwnCoordinatorArgs};
use crate::rig::counter_process::{self, OwnCounterArgs};
use crate::rig::day::{self, RunArgs};
use crate::rig::demo::{self, DemoArgs};
use crate::rig::links::command::{self as links, LinksArgs};
use crate::rig::replay::{self, ReplayArgs};
use crate::rig::serve::{self, RelayArgs, ServeArgs};
use crate::soak::{self, SoakArgs};
use crate::stand_ins::counter::{self, CounterArgs};
use crate::stand_ins::farm::{self, FarmArgs};
use clap::{Parser, Subcommand};
use std::path::PathBuf;
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
    /// One keeper, as a part of the demo
    #[command(hide = true)]
    OwnKeeper(OwnCoordinatorArgs),
    /// Stand-ins for the servers of one cell
    Farm(FarmArgs),
    /// Open-loop gRPC load
    Load(LoadArgs),
    /// A gateway, as `chalkdeck serve` starts it
    Serve(ServeArgs),
    /// A relay on the gateway's sockets without its decisions
    Relay(RelayArgs),
    /// A relay between parties of a rig, with the faults of networks
    Links(LinksArgs),
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
    /// The loss of a site at several loads: the site core, failover alone and neither, against the optimum
    Sites(SitesArgs),
    /// One customer floods while others keep to their quotas, with the door and without
    Flood(FloodArgs),
    /// Commands a second of the RESP front, beside ECHO on the same loop
    Asks(AsksArgs),
    /// Worlds and faults drawn from seeds, judged by what clients and servers saw
    Soak(SoakArgs),
    /// Calls a second and core, and added latency: straight, through a bare relay, through a gateway
    Measure(MeasureArgs),
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
        let program = Program::this(before)?;
        match self {
            Command::Counter(args) => counter::command(&args),
            Command::OwnCounter(args) => counter_process::command(&args),
            Command::OwnKeeper(args) => coordinator_process::command(&args),
            Command::Farm(args) => farm::command(&args),
            Command::Load(args) => load::command(args),
            Command::Serve(args) => serve::serve(&args),
            Command::Relay(args) => serve::relay(args),
            Command::Links(args) => links::command(&args),
            Command::Run(args) => day::command(before, args),
            Command::Audit { dir } => day::audit_and_print(&dir),
            Command::Replay(args) => replay::command(before, &args),
            Command::Timeline(args) => timeline::run(&args.dirs, args.svg.as_deref()),
            Command::Reconnect(args) => reconnect::run(&program, &args),
            Command::Adds(args) => adds::run(&program, &args),
            Command::Asks(args) => asks::run(program, &args),
            Command::Returns(args) => returns::run(program, &args),
            Command::Sites(args) => sites::run(&program, &args),
            Command::Flood(args) => flood::run(&program, &args),
            Command::Soak(args) => soak::command(&program, &args),
            Command::Measure(args) => gateway::run(program, &args),
            Command::Demo(args) => demo::run(program, args.port, args.seconds, args.no_load),
        }
    }
    /// Does it in the laboratory's own program.
    pub fn run(self) -> anyhow::Result<()> {
        self.run_as(&[])
    }
}
