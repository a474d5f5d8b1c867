//! The `chalkdeck-lab` program, which runs the commands of the testbed.
#![forbid(unsafe_code)]

use clap::Parser;

fn main() -> std::process::ExitCode {
    chalkdeck_testbed::cli::exit_code(chalkdeck_testbed::cli::Cli::parse().command.run())
}
