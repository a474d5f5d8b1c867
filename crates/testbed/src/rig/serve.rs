//! Subcommands that run a gateway, or the bare relay: the gateway's sockets without its decisions.

use crate::common::process::{exit_with_parent, init_process};
use chalkdeck_grpc_gateway::relay::Relay;
use chalkdeck_grpc_gateway::{logs, GatewayServer, Settings};
use chalkdeck_net::signals::Signals;
use clap::Args;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Args)]
pub struct ServeArgs {
    /// Settings, protobuf text of chalkdeck.config.v1.Gateway
    pub config: PathBuf,
    /// A fault to inject into the gateway's own code, which a check has to detect: lose, repeat, drains, cold, ceiling, linger, leak, complain, shut
    #[arg(long, hide = true)]
    pub fault: Option<String>,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

#[derive(Args)]
pub struct RelayArgs {
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    #[arg(long, value_delimiter = ',', required = true)]
    pub servers: Vec<SocketAddr>,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

/// Runs a gateway until a signal stops it.
pub fn serve(args: &ServeArgs) -> anyhow::Result<()> {
    let settings = Settings::load(&args.config)?;
    logs::start(&settings.log_level, settings.log_json);
    if args.with_parent {
        exit_with_parent();
    }
    let signals = Signals::install()?;
    let mut server = GatewayServer::start(
        settings,
        Some(args.config.clone()),
        fastrand::u64(..),
        false,
    )?;
    if let Some(fault) = &args.fault {
        server.inject_fault(fault.parse().map_err(anyhow::Error::msg)?);
    }
    let admin = server
        .admin_address()
        .map_or("-".to_string(), |a| a.to_string());
    let resp = server
        .resp_address()
        .map_or(String::new(), |a| format!(" resp={a}"));
    println!("ready grpc={} admin={admin}{resp}", server.listen_address());
    Ok(server.run(&signals)?)
}

/// Runs the bare relay until a signal stops it.
pub fn relay(args: RelayArgs) -> anyhow::Result<()> {
    init_process(args.with_parent);
    let signals = Signals::install()?;
    let mut relay = Relay::start(args.listen, args.servers)?;
    println!("ready grpc={}", relay.listen_address());
    Ok(relay.run(&signals)?)
}
