//! Commands of `chalkdeck-counter`: the service, and tools for a part's folder and for a running part.

mod folder;
mod hot_names;

use crate::server;
use crate::settings::Settings;
use chalkdeck_net::signals::Signals;
use clap::Subcommand;
use folder::LogCommand;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Commands of `chalkdeck-counter`.
#[derive(Subcommand)]
pub enum Command {
    /// Run the counter
    Serve {
        /// Settings, `chalkdeck.counter.v1.Settings` in text form
        config: PathBuf,
    },
    /// Check settings without starting
    Check {
        /// The settings
        config: PathBuf,
    },
    /// Look at a part's folder; its service must not run
    #[command(subcommand)]
    Log(LogCommand),
    /// The hottest names of a running part
    Top {
        /// Its admin port
        admin: SocketAddr,
    },
}

impl Command {
    /// Runs the command.
    pub fn run(self) -> anyhow::Result<()> {
        match self {
            Command::Serve { config } => {
                tracing_subscriber::fmt()
                    .json()
                    .with_writer(std::io::stderr)
                    .init();
                let settings = Settings::load(&config)?;
                server::run(&settings, &Signals::take()?)?;
                Ok(())
            }
            Command::Check { config } => {
                Settings::load(&config)?;
                println!("{}: ok", config.display());
                Ok(())
            }
            Command::Log(command) => command.run(),
            Command::Top { admin } => hot_names::print(admin),
        }
    }
}
