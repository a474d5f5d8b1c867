//! The program `chalkdeck-counter`: the counter service and its tools.
#![forbid(unsafe_code)]

use chalkdeck_counter::cli::Command;
use clap::Parser;
use std::process::ExitCode;

/// Counter service that all gateways share, with a write-ahead log.
#[derive(Parser)]
#[command(name = "chalkdeck-counter", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    match Cli::parse().command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}
