//! A gateway, and the bare relay, as processes.

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
    /// A fault in the carrying code, to see a check fail: lose, repeat, drains, cold, ceiling, linger, leak, complain, shut
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

/// Runs a gateway until it is stopped.
pub fn serve(args: &ServeArgs) -> anyhow::Result<()> {
    let set = Settings::load(&args.config)?;
    logs::start(&set.log_level, set.log_json);
    if args.with_parent {
        exit_with_parent();
    }
    let signals = Signals::install()?;
    let mut shell = GatewayServer::start(set, Some(args.config.clone()), fastrand::u64(..), false)?;
    if let Some(fault) = &args.fault {
        shell.inject_fault(fault.parse().map_err(anyhow::Error::msg)?);
    }
    let admin = shell
        .admin_address()
        .map_or("-".to_string(), |a| a.to_string());
    let resp = shell
        .resp_address()
        .map_or(String::new(), |a| format!(" resp={a}"));
    println!("ready grpc={} admin={admin}{resp}", shell.listen_address());
    Ok(shell.run(&signals)?)
}

/// Runs the bare relay until it is stopped.
pub fn relay(args: RelayArgs) -> anyhow::Result<()> {
    init_process(args.with_parent);
    let signals = Signals::install()?;
    let mut relay = Relay::start(args.listen, args.servers)?;
    println!("ready grpc={}", relay.listen_address());
    Ok(relay.run(&signals)?)
}
