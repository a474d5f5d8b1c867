//! The command line of the testbed.

use crate::audit::timeline::{self, TimelineArgs};
use crate::common::process::Program;
use crate::load::command::{self as load, LoadArgs};
use crate::measure::counter_throughput::{self, AddsArgs};
use crate::measure::flood::{self, FloodArgs};
use crate::measure::gateway_overhead::{self, MeasureArgs};
use crate::measure::quota_retries::{self, ReturnsArgs};
use crate::measure::reconnect::{self, ReconnectArgs};
use crate::measure::resp_throughput::{self, AsksArgs};
use crate::measure::site_loss::{self, SitesArgs};
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

/// Stand-ins, load generators, scripted days and audits for chalkdeck.
#[derive(Parser)]
#[command(name = "chalkdeck-lab", version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands of the testbed.
#[derive(Subcommand)]
pub enum Command {
    /// Run a stand-in for the counter
    Counter(CounterArgs),
    /// Run the product's counter as part of a day
    #[command(hide = true)]
    OwnCounter(OwnCounterArgs),
    /// Run one replica of the coordinator as part of the demo
    #[command(hide = true)]
    OwnKeeper(OwnCoordinatorArgs),
    /// Run stand-ins for the servers of one cell
    Farm(FarmArgs),
    /// Generate open-loop gRPC load
    Load(LoadArgs),
    /// Run a gateway as `chalkdeck serve` does
    Serve(ServeArgs),
    /// Run a relay that uses the gateway's network code but makes no decisions
    Relay(RelayArgs),
    /// Run relays between the processes of a run, which inject network faults
    Links(LinksArgs),
    /// Play a day and audit its run
    Run(RunArgs),
    /// Audit the logs of a run
    Audit { dir: PathBuf },
    /// Play the troubles of a bench day and audit its run
    Replay(ReplayArgs),
    /// Run gateways, a counter, servers and a small load without any configuration
    Demo(DemoArgs),
    /// Print how soon runs recovered from their troubles, and draw their served calls over time
    Timeline(TimelineArgs),
    /// Measure the reconnects of many clients after the loss of a gateway, with the client library and naively
    Reconnect(ReconnectArgs),
    /// Measure the counter's adds per second by durability promise, next to the stand-in and a plain loop
    Adds(AddsArgs),
    /// Measure callers over their quota that retry after the delay that they are given
    Returns(ReturnsArgs),
    /// Measure the loss of a site at several loads, with the site core, failover alone and neither
    Sites(SitesArgs),
    /// Measure the effect of one customer's flood on the others, with the gateway's door and without it
    Flood(FloodArgs),
    /// Measure commands per second of the RESP front, next to ECHO on the same event loop
    Asks(AsksArgs),
    /// Run random environments and faults drawn from seeds, and check what clients and servers recorded
    Soak(SoakArgs),
    /// Measure throughput and added latency of a gateway, next to a plain relay and direct calls
    Measure(MeasureArgs),
}

/// Prints the error of a command, if any, and converts its result to the exit code of the program.
pub fn exit_code(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}

impl Command {
    /// Runs the command. `leading_args` are the arguments that select the testbed's commands in this program.
    pub fn run_as(self, leading_args: &[&str]) -> anyhow::Result<()> {
        let program = Program::this(leading_args)?;
        match self {
            Command::Counter(args) => counter::command(&args),
            Command::OwnCounter(args) => counter_process::command(&args),
            Command::OwnKeeper(args) => coordinator_process::command(&args),
            Command::Farm(args) => farm::command(&args),
            Command::Load(args) => load::command(args),
            Command::Serve(args) => serve::serve(&args),
            Command::Relay(args) => serve::relay(args),
            Command::Links(args) => links::command(&args),
            Command::Run(args) => day::command(leading_args, args),
            Command::Audit { dir } => day::audit_and_print(&dir),
            Command::Replay(args) => replay::command(leading_args, &args),
            Command::Timeline(args) => timeline::run(&args.dirs, args.svg.as_deref()),
            Command::Reconnect(args) => reconnect::run(&program, &args),
            Command::Adds(args) => counter_throughput::run(&program, &args),
            Command::Asks(args) => resp_throughput::run(program, &args),
            Command::Returns(args) => quota_retries::run(program, &args),
            Command::Sites(args) => site_loss::run(&program, &args),
            Command::Flood(args) => flood::run(&program, &args),
            Command::Soak(args) => soak::command(&program, &args),
            Command::Measure(args) => gateway_overhead::run(program, &args),
            Command::Demo(args) => demo::run(program, args.port, args.seconds, args.no_load),
        }
    }
    /// Runs the command in the testbed's own program.
    pub fn run(self) -> anyhow::Result<()> {
        self.run_as(&[])
    }
}
