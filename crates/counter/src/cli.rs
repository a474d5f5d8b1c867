//! Commands of `chalkdeck-counter`: the service, and tools for the folder of a partition and for a running partition.

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
        /// Settings file, `chalkdeck.counter.v1.Settings` in protobuf text format
        config: PathBuf,
    },
    /// Check a settings file without starting the counter
    Check {
        /// Settings file
        config: PathBuf,
    },
    /// Inspect or compact a part's folder while its service is stopped
    #[command(subcommand)]
    Log(LogCommand),
    /// Print the hottest names of a running part
    Top {
        /// Address of its admin port
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
                server::run(&settings, &Signals::install()?)?;
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
