//! `chalkdeck`: the gateway, its checks and its demo.
#![forbid(unsafe_code)]

use chalkdeck_gateway::Settings;
use chalkdeck_lab::cli::{exit, serve, Command as Lab, DemoArgs, ServeArgs};
use clap::{Parser, Subcommand};
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
    /// Check settings without starting
    Check { config: PathBuf },
    /// Gateways, counter, servers and a small load with no settings
    Demo(DemoArgs),
    /// The counter: serve, tools for its log
    #[command(subcommand)]
    Counter(chalkdeck_counter::cli::Command),
    /// Commands of the laboratory
    #[command(subcommand)]
    Lab(Lab),
}

fn main() -> ExitCode {
    exit(match Cli::parse().command {
        Command::Serve(args) => serve(&args),
        Command::Check { config } => {
            Settings::load(&config).map(|_| println!("{}: ok", config.display())).map_err(Into::into)
        }
        Command::Demo(args) => Lab::Demo(args).run_as(&["lab"]),
        Command::Counter(command) => command.run(),
        Command::Lab(command) => command.run_as(&["lab"]),
    })
}
