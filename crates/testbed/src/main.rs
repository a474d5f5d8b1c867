//! `chalkdeck-lab`.
#![forbid(unsafe_code)]

use clap::Parser;

fn main() -> std::process::ExitCode {
    chalkdeck_testbed::cli::exit(chalkdeck_testbed::cli::Lab::parse().command.run())
}
