//! `chalkdeck-lab`.
#![forbid(unsafe_code)]

use clap::Parser;

fn main() -> std::process::ExitCode {
    chalkdeck_lab::cli::exit(chalkdeck_lab::cli::Lab::parse().command.run())
}
