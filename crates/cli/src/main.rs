//! The program `chalkdeck`: runs gateways, the counter and the coordinator, and has the commands to operate and test them.
#![forbid(unsafe_code)]

mod contract;
mod coordinator;
mod errors;
mod failure;
mod proposal;
mod replica_args;
mod rules;
mod site;

use chalkdeck_grpc_gateway::{logs, Settings};
use chalkdeck_net::signals::Signals;
use chalkdeck_resp_gateway::{Config, GatewayServer};
use chalkdeck_testbed::cli::Command as Testbed;
use chalkdeck_testbed::rig::demo::DemoArgs;
use chalkdeck_testbed::rig::serve::{serve, ServeArgs};
use clap::{Parser, Subcommand};
use failure::Failure;
use std::path::PathBuf;
use std::process::ExitCode;

/// An API gateway that keeps quotas and priorities across a fleet of instances.
#[derive(Parser)]
#[command(name = "chalkdeck", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a gateway
    Serve(ServeArgs),
    /// Run a gateway of the platform with the configuration file that ROUTER_CONFIG names
    Platform,
    /// Check settings without starting a gateway
    Check { config: PathBuf },
    /// Run gateways, a counter, stand-in endpoints and a small load; needs no settings
    Demo(DemoArgs),
    /// Run the counter, or inspect it and its log
    #[command(subcommand)]
    Counter(chalkdeck_counter::cli::Command),
    /// Run a replica of the coordinator, show the status of all replicas, or override a site
    #[command(subcommand, alias = "keeper")]
    Coordinator(coordinator::Command),
    /// Apply, check and show customers' access rules
    #[command(subcommand)]
    Rules(rules::Command),
    /// Propose and retire versions of services, and show which customers use them
    #[command(subcommand)]
    Contract(contract::Command),
    /// Show the states of sites as gateways see them, or override them
    #[command(subcommand)]
    Site(site::Command),
    /// Plan for site loss: the load that the remaining sites can serve, from a file of capacities and demand
    #[command(subcommand)]
    Plan(chalkdeck_capacity_planner::command::Command),
    /// Run stand-in servers, load, fault injection, audits and measurements on this machine
    #[command(subcommand, alias = "lab")]
    Testbed(Testbed),
}

/// Runs a gateway of the platform with the configuration file that the environment variable `ROUTER_CONFIG` names.
fn run_platform_gateway() -> Result<(), Failure> {
    logs::start("info", false);
    let config = Config::from_env()?;
    let signals = Signals::install()?;
    tracing::info!(name = config.name, listen = %config.listen, "gateway starting");
    Ok(GatewayServer::start(config)?.run(&signals)?)
}

fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Serve(args) => serve(&args)?,
        Command::Platform => run_platform_gateway()?,
        Command::Check { config } => {
            Settings::load(&config).map_err(anyhow::Error::from)?;
            println!("{}: ok", config.display());
        }
        Command::Demo(args) => Testbed::Demo(args).run_as(&["testbed"])?,
        Command::Counter(command) => command.run()?,
        Command::Coordinator(command) => coordinator::run(&command)?,
        Command::Rules(command) => rules::run(&command)?,
        Command::Contract(command) => contract::run(&command)?,
        Command::Site(command) => site::run(&command)?,
        Command::Plan(command) => command.run()?,
        Command::Testbed(command) => command.run_as(&["testbed"])?,
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::FAILURE
        }
    }
}
