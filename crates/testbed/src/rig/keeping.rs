//! One keeper beside a fleet, for the demo: contracts and access rules to try, with nothing that outlasts its loss.

use crate::common::process::{init_process, Process, Program};
use chalkdeck_coordinator::replica::StartMode;
use chalkdeck_coordinator::server::ReplicaServer;
use chalkdeck_coordinator::settings::Settings;
use chalkdeck_net::signals::Signals;
use clap::Args;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct OwnKeeperArgs {
    /// Settings, protobuf text of chalkdeck.keeper.v1.Settings
    pub config: PathBuf,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

/// A keeper that runs.
pub struct KeeperPart {
    _process: Process,
    address: SocketAddr,
}

impl KeeperPart {
    /// Starts it with an empty folder.
    pub fn start(program: &Program, dir: &Path) -> anyhow::Result<KeeperPart> {
        let config = dir.join("keeper.txtpb");
        // Alone it speaks to no other, so its own address among the keepers is never dialled.
        let text = "slot: 1 keepers: '127.0.0.1:1' listen: '127.0.0.1:0' folder: 'keeper'";
        std::fs::write(&config, text)?;
        let args = ["own-keeper".to_string(), config.display().to_string()];
        let process = Process::start(program, &args, &dir.join("keeper.log"))?;
        Ok(KeeperPart {
            address: process.address("grpc")?,
            _process: process,
        })
    }
    /// Where gateways find it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Runs the keeper itself until it is stopped.
pub fn command(args: &OwnKeeperArgs) -> anyhow::Result<()> {
    init_process(args.with_parent);
    let (settings, signals) = (Settings::load(&args.config)?, Signals::install()?);
    let server = ReplicaServer::start(&settings, StartMode::Bootstrap)?;
    println!("ready grpc={}", server.listen_address());
    Ok(server.run(&signals)?)
}
