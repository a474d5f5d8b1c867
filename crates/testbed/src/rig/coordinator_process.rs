//! A coordinator with a single replica for the demo, to try contracts and access rules. With one replica, the loss of its disk
//! loses all of its data.

use crate::common::process::{init_process, Process, Program};
use chalkdeck_coordinator::replica::StartMode;
use chalkdeck_coordinator::server::ReplicaServer;
use chalkdeck_coordinator::settings::Settings;
use chalkdeck_net::signals::Signals;
use clap::Args;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct OwnCoordinatorArgs {
    /// Settings, protobuf text of chalkdeck.keeper.v1.Settings
    pub config: PathBuf,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

/// A running coordinator replica.
pub struct CoordinatorProcess {
    _process: Process,
    address: SocketAddr,
}

impl CoordinatorProcess {
    /// Starts the replica with an empty folder.
    pub fn start(program: &Program, dir: &Path) -> anyhow::Result<CoordinatorProcess> {
        let config = dir.join("keeper.txtpb");
        // A single replica has no peers, so its own entry in `keepers` is never dialled.
        let text = "slot: 1 keepers: '127.0.0.1:1' listen: '127.0.0.1:0' folder: 'keeper'";
        std::fs::write(&config, text)?;
        let args = ["own-keeper".to_string(), config.display().to_string()];
        let process = Process::start(program, &args, &dir.join("keeper.log"))?;
        Ok(CoordinatorProcess {
            address: process.address("grpc")?,
            _process: process,
        })
    }
    /// The address that gateways dial.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Runs the coordinator replica until a signal stops it.
pub fn command(args: &OwnCoordinatorArgs) -> anyhow::Result<()> {
    init_process(args.with_parent);
    let (settings, signals) = (Settings::load(&args.config)?, Signals::install()?);
    let server = ReplicaServer::start(&settings, StartMode::Bootstrap)?;
    println!("ready grpc={}", server.listen_address());
    Ok(server.run(&signals)?)
}
